//! Reports on their way to the log, one at a time, through whichever core seat answers (design 5.8).

pub struct ReportingEnv {
    pub name: String,
    pub life: model::Incarnation,
    pub logger: slog::Logger,
}

type Asked = (model::Act, tokio::sync::oneshot::Sender<model::Outcome>);

/// Hands a report to the log and waits until it is answered.
#[derive(Clone)]
pub struct Reports(tokio::sync::mpsc::Sender<Asked>);

/// A seat that has not answered by then may be cut off; the same entry then goes to another.
const PATIENCE: std::time::Duration = std::time::Duration::from_millis(700);
/// A conn nothing was said on for so long is let go.
const IDLE: std::time::Duration = std::time::Duration::from_secs(5);

impl Reports {
    pub fn start(env: ReportingEnv, known: crate::Known, greeting: impl Fn() -> transport::Greeting + Send + 'static) -> Reports {
        let (sender, asked) = tokio::sync::mpsc::channel(256);
        tokio::spawn(run(env, known, greeting, asked));
        Reports(sender)
    }

    pub async fn tell(&self, report: model::standing::Report) -> Option<model::Outcome> {
        self.put(model::Act::Standing(report)).await
    }

    /// Of back ends, nodes and keys in the bill (design 11.2).
    pub async fn report(&self, reports: Vec<model::bill::Report>) -> Option<model::Outcome> {
        self.put(model::Act::Bill(model::bill::Act::Reports(reports))).await
    }

    async fn put(&self, act: model::Act) -> Option<model::Outcome> {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        self.0.send((act, answer)).await.ok()?;
        outcome.await.ok()
    }
}

async fn run(
    env: ReportingEnv,
    known: crate::Known,
    greeting: impl Fn() -> transport::Greeting + Send + 'static,
    mut asked: tokio::sync::mpsc::Receiver<Asked>,
) {
    let mut conn: Option<transport::Conn> = None;
    let mut turn = model::terms::slice_of(&env.name) as usize;
    let mut sequence = 0;
    loop {
        let next = match tokio::time::timeout(IDLE, asked.recv()).await {
            Ok(Some(next)) => next,
            Ok(None) => return,
            Err(_) => {
                conn = None;
                continue;
            }
        };
        sequence += 1;
        // The same entry, sequence and all, until it is answered: repeats are dropped by the book.
        let entry = model::Entry { origin: env.name.clone(), life: env.life, sequence, act: next.0 };
        let outcome = loop {
            if let Some(line) = conn.as_mut() {
                let answered = tokio::time::timeout(PATIENCE, forward(line, &entry)).await.ok().flatten();
                if let Some(outcome) = answered {
                    break outcome;
                }
            }
            conn = dial(&known, &mut turn, greeting()).await;
            if conn.is_none() {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        };
        slog::info!(env.logger, "reported"; "sequence" => sequence, "outcome" => ?outcome);
        // Whoever asked may have stopped waiting.
        drop(next.1.send(outcome));
    }
}

async fn dial(known: &crate::Known, turn: &mut usize, greeting: transport::Greeting) -> Option<transport::Conn> {
    let seats = crate::acquaint::list(known);
    let seat = seats.get(*turn % seats.len().max(1))?;
    *turn += 1;
    transport::dial(&seat.address, greeting).await.ok()
}

async fn forward(conn: &mut transport::Conn, entry: &model::Entry) -> Option<model::Outcome> {
    let frame = transport::Frame::Forward { number: entry.sequence, entry: Box::new(entry.clone()) };
    conn.sender.send(frame).await.ok()?;
    loop {
        match conn.receiver.recv().await? {
            transport::Frame::Answer { number, outcome } if number == entry.sequence => return outcome,
            _ => {}
        }
    }
}
