//! Conns to other ushers, one each, replies told apart by number (design 5.2).

use model::{Cause, Trouble};

type Answer = tokio::sync::oneshot::Sender<Result<transport::Reply, Trouble>>;

enum Command {
    Call { address: String, life: u64, dispatch: Box<transport::Dispatch>, answer: Answer },
    Dialed(String, Result<transport::Conn, transport::Trouble>),
    Reply(String, u64, u64, Result<transport::Reply, Trouble>),
    Marked(String, u64, u64),
    Lost(String, u64),
    GaveUp(String, u64),
}

#[derive(Clone)]
pub struct Mates {
    commands: tokio::sync::mpsc::Sender<Command>,
    numbers: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

/// What waits for a conn that is being dialed has certainly not left.
enum Line {
    Dialing(model::Micros, Vec<(Box<transport::Dispatch>, u64, Answer)>),
    Open { token: u64, life: u64, sender: transport::Sender, mark: u64, pending: std::collections::HashMap<u64, Answer> },
}

impl Mates {
    pub fn start(greeting: impl Fn() -> transport::Greeting + Send + Sync + 'static) -> Self {
        let (commands, buffer) = tokio::sync::mpsc::channel(4_096);
        let owner = Owner { commands: commands.clone(), lines: Default::default(), tokens: 0, greeting: std::sync::Arc::new(greeting) };
        tokio::spawn(owner.run(buffer));
        Mates { commands, numbers: Default::default() }
    }

    /// `life` is the far node's: another life at that address is not the one that was meant.
    pub async fn call(&self, address: &str, life: u64, mut dispatch: transport::Dispatch) -> Result<transport::Reply, Trouble> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let number = self.numbers.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        dispatch.number = number;
        let wait = std::time::Duration::from_micros(dispatch.left);
        let command = Command::Call { address: address.to_string(), life, dispatch: Box::new(dispatch), answer };
        if self.commands.send(command).await.is_err() {
            return Err(Trouble::new(Cause::Leaving, "this node is stopping"));
        }
        match tokio::time::timeout(wait, answered).await {
            Ok(answer) => answer.unwrap_or_else(|_| Err(Trouble::new(Cause::MateLost, "the far node was lost"))),
            Err(_) => {
                self.commands.send(Command::GaveUp(address.to_string(), number)).await.unwrap_or_default();
                Err(Trouble::new(Cause::RanOutOfTime, "the far node did not answer in time"))
            }
        }
    }
}

struct Owner {
    commands: tokio::sync::mpsc::Sender<Command>,
    lines: std::collections::HashMap<String, Line>,
    tokens: u64,
    greeting: std::sync::Arc<dyn Fn() -> transport::Greeting + Send + Sync>,
}

impl Owner {
    async fn run(mut self, mut buffer: tokio::sync::mpsc::Receiver<Command>) {
        while let Some(command) = buffer.recv().await {
            match command {
                Command::Call { address, life, dispatch, answer } => self.call(address, life, dispatch, answer),
                Command::Dialed(address, conn) => self.dialed(address, conn),
                Command::Reply(address, token, number, reply) => {
                    if let Some(Line::Open { token: current, pending, .. }) = self.lines.get_mut(&address)
                        && *current == token
                    {
                        pending.remove(&number).map(|answer| answer.send(reply).is_ok());
                    }
                }
                Command::Marked(address, token, told) => match self.lines.get_mut(&address) {
                    Some(Line::Open { token: current, mark, .. }) if *current == token => *mark = told,
                    _ => {}
                },
                // Dropping the answers says MateLost: what was sent may have run.
                Command::Lost(address, token) => {
                    let same = matches!(self.lines.get(&address), Some(Line::Open { token: current, .. }) if *current == token);
                    if same {
                        self.lines.remove(&address);
                    }
                }
                Command::GaveUp(address, number) => {
                    if let Some(Line::Open { pending, .. }) = self.lines.get_mut(&address) {
                        pending.remove(&number);
                    }
                }
            }
        }
    }

    fn call(&mut self, address: String, life: u64, mut dispatch: Box<transport::Dispatch>, answer: Answer) {
        match self.lines.get_mut(&address) {
            Some(Line::Dialing(since, waiting)) => {
                // Counted from the dial's beginning, so that what is left is never told too long.
                dispatch.left += model::now() - *since;
                waiting.push((dispatch, life, answer));
            }
            Some(open @ Line::Open { .. }) => hand_over(open, dispatch, life, answer),
            None => {
                self.lines.insert(address.clone(), Line::Dialing(model::now(), vec![(dispatch, life, answer)]));
                let (commands, greeting) = (self.commands.clone(), (self.greeting)());
                tokio::spawn(async move {
                    let conn = transport::dial(&address, greeting).await;
                    commands.send(Command::Dialed(address, conn)).await.unwrap_or_default();
                });
            }
        }
    }

    fn dialed(&mut self, address: String, conn: Result<transport::Conn, transport::Trouble>) {
        let Some(Line::Dialing(since, waiting)) = self.lines.remove(&address) else { return };
        let waited = model::now() - since;
        match conn {
            Ok(conn) => {
                self.tokens += 1;
                let token = self.tokens;
                let mut line = Line::Open { token, life: conn.greeting.incarnation, sender: conn.sender, mark: 0, pending: Default::default() };
                waiting.into_iter().for_each(|(mut dispatch, life, answer)| {
                    dispatch.left = dispatch.left.saturating_sub(waited);
                    hand_over(&mut line, dispatch, life, answer);
                });
                self.lines.insert(address.clone(), line);
                tokio::spawn(listen(address, token, conn.receiver, self.commands.clone()));
            }
            Err(trouble) => waiting.into_iter().for_each(|(_, _, answer)| {
                drop(answer.send(Err(Trouble::new(Cause::Unreachable, trouble.to_string()))));
            }),
        }
    }
}

fn hand_over(line: &mut Line, mut dispatch: Box<transport::Dispatch>, life: u64, answer: Answer) {
    let Line::Open { life: found, sender, pending, mark, .. } = line else { return };
    if answer.is_closed() {
        // Its caller has given up, so it need not leave at all.
        return;
    }
    dispatch.mark = *mark;
    if life != *found {
        let trouble = Trouble::new(Cause::Unreachable, "another life of the far node answers there");
        return drop(answer.send(Err(trouble)));
    }
    let number = dispatch.number;
    match sender.try_send(transport::Frame::Dispatch(dispatch)) {
        Ok(()) => {
            pending.insert(number, answer);
        }
        // It never entered the buffer, so it never left.
        Err(_) => drop(answer.send(Err(Trouble::new(Cause::Unreachable, "the conn to the far node takes nothing")))),
    }
}

async fn listen(address: String, token: u64, mut receiver: tokio::sync::mpsc::Receiver<transport::Frame>, commands: tokio::sync::mpsc::Sender<Command>) {
    while let Some(frame) = receiver.recv().await {
        let command = match frame {
            transport::Frame::Reply { number, reply } => Command::Reply(address.clone(), token, number, *reply),
            transport::Frame::Mark(mark) => Command::Marked(address.clone(), token, mark),
            _ => continue,
        };
        commands.send(command).await.unwrap_or_default();
    }
    commands.send(Command::Lost(address, token)).await.unwrap_or_default();
}
