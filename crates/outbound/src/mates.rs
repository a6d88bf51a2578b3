//! Conns to the nodes beside other back ends: one each, many requests on it (design 13.2).

use model::{Cause, Trouble};

type Answer = tokio::sync::oneshot::Sender<inbound::Outcome>;

enum Asked {
    Cue(u32, Box<transport::Cue>, Answer),
    /// Its caller waits no longer.
    Cancel(u32),
    /// Said once, without an answer.
    Word(transport::Frame),
}

pub type Greet = std::sync::Arc<dyn Fn(transport::Purpose) -> transport::Greeting + Send + Sync>;

/// Address to the queue of the task that carries its conn.
#[derive(Clone)]
pub struct Mates {
    lines: std::sync::Arc<std::sync::Mutex<std::collections::HashMap<String, tokio::sync::mpsc::Sender<Asked>>>>,
    /// Requests of this process are numbered over all conns, so that a late answer meets no later request.
    numbers: std::sync::Arc<std::sync::atomic::AtomicU32>,
    greet: Greet,
}

/// Says to the other node that the caller is gone, unless the answer came first.
struct Caller {
    line: tokio::sync::mpsc::Sender<Asked>,
    number: u32,
    answered: bool,
}

impl Drop for Caller {
    fn drop(&mut self) {
        if !self.answered {
            // Without room the other node finds its time over instead.
            drop(self.line.try_send(Asked::Cancel(self.number)));
        }
    }
}

/// A conn that nothing was asked on for so long is let go.
const IDLE: std::time::Duration = std::time::Duration::from_secs(30);
const BUFFER: usize = 1_024;

impl Mates {
    pub fn start(greet: Greet) -> Mates {
        Mates { lines: Default::default(), numbers: Default::default(), greet }
    }

    pub async fn call(&self, address: &str, cue: Box<transport::Cue>) -> inbound::Outcome {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        let line = self.line(address);
        let number = self.numbers.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if let Err(tokio::sync::mpsc::error::TrySendError::Full(_)) = line.try_send(Asked::Cue(number, cue, answer)) {
            return (Err(Trouble::new(Cause::Unreachable, "too much waits for that node")), 0);
        }
        let mut caller = Caller { line, number, answered: false };
        let outcome = outcome.await;
        caller.answered = true;
        // A queue that closed, or a task that ended with it in hand, has written nothing.
        outcome.unwrap_or_else(|_| (Err(Trouble::new(Cause::Unreachable, "the conn to that node ended")), 0))
    }

    /// Something that may as well be lost.
    pub fn tell(&self, address: &str, word: transport::Frame) {
        drop(self.line(address).try_send(Asked::Word(word)));
    }

    /// The lock is a leaf: nothing is awaited or locked under it (design 8.1).
    fn line(&self, address: &str) -> tokio::sync::mpsc::Sender<Asked> {
        let mut lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some(line) = lines.get(address).filter(|line| !line.is_closed()) {
            return line.clone();
        }
        let (line, asked) = tokio::sync::mpsc::channel(BUFFER);
        lines.insert(address.to_string(), line.clone());
        tokio::spawn(carry(address.to_string(), self.greet.clone(), asked));
        line
    }
}

async fn carry(address: String, greet: Greet, mut asked: tokio::sync::mpsc::Receiver<Asked>) {
    let conn = transport::dial(&address, (greet)(transport::Purpose::Call)).await;
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(trouble) => {
            asked.close();
            while let Some(next) = asked.recv().await {
                if let Asked::Cue(_, _, answer) = next {
                    drop(answer.send((Err(Trouble::new(Cause::Unreachable, trouble.to_string())), 0)));
                }
            }
            return;
        }
    };
    let mut waiting: std::collections::HashMap<u32, Answer> = Default::default();
    let (mut speaker, mut listener) = (transport::Speaker::default(), transport::Listener::default());
    loop {
        tokio::select! {
            next = asked.recv() => {
                let (number, cue, answer) = match next {
                    // The caller left before anything was said.
                    Some(Asked::Cue(_, _, answer)) if answer.is_closed() => continue,
                    Some(Asked::Cue(number, cue, answer)) => (number, cue, answer),
                    Some(Asked::Cancel(number)) => {
                        if waiting.remove(&number).is_some() {
                            drop(conn.sender.try_send(transport::Frame::Cancel(number)));
                        }
                        continue;
                    }
                    Some(Asked::Word(word)) => {
                        drop(conn.sender.try_send(word));
                        continue;
                    }
                    None => return,
                };
                match conn.sender.try_send(transport::Frame::Cue(number, Box::new(cue.say(&mut speaker)))) {
                    Ok(()) => drop(waiting.insert(number, answer)),
                    // What was not said is not in the other end's table either: the conn has to end.
                    Err(_) => {
                        drop(answer.send((Err(Trouble::new(Cause::Unreachable, "the conn takes nothing more")), 0)));
                        break;
                    }
                }
            },
            frame = conn.receiver.recv() => match frame {
                Some(transport::Frame::Taken(number, wait, take)) => {
                    let Some(take) = take.hear(&mut listener) else { break };
                    waiting.remove(&number).into_iter().for_each(|answer| drop(answer.send((Ok(take.clone()), wait as u64))));
                }
                Some(transport::Frame::Untaken(number, wait, trouble)) => {
                    waiting.remove(&number).into_iter().for_each(|answer| drop(answer.send((Err((*trouble).clone()), wait as u64))));
                }
                Some(_) => {}
                None => break,
            },
            _ = tokio::time::sleep(IDLE), if waiting.is_empty() => break,
        }
        if speaker.is_full() && waiting.is_empty() {
            break;
        }
    }
    // What was asked and not answered may have run; what still waits in the queue was not said.
    waiting.into_values().for_each(|answer| drop(answer.send((Err(Trouble::new(Cause::MateLost, "the conn to that node broke")), 0))));
    asked.close();
}
