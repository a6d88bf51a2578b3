//! Conns to the nodes beside other back ends: one each, many requests on it (design 13.2).

use playbill::{Cause, Trouble};

type Answer = tokio::sync::oneshot::Sender<pit::Outcome>;

enum Asked {
    Cue(Box<wings::Cue>, Answer),
    /// Said once, without an answer.
    Word(wings::Frame),
}

pub type Greet = std::sync::Arc<dyn Fn(wings::Purpose) -> wings::Greeting + Send + Sync>;

/// Address to the queue of the task that carries its conn.
#[derive(Clone)]
pub struct Mates {
    lines: std::sync::Arc<std::sync::Mutex<std::collections::HashMap<String, tokio::sync::mpsc::Sender<Asked>>>>,
    greet: Greet,
}

/// A conn that nothing was asked on for so long is let go.
const IDLE: std::time::Duration = std::time::Duration::from_secs(30);
const BUFFER: usize = 1_024;

impl Mates {
    pub fn start(greet: Greet) -> Mates {
        Mates { lines: Default::default(), greet }
    }

    pub async fn call(&self, address: &str, cue: Box<wings::Cue>) -> pit::Outcome {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        let line = self.line(address);
        if let Err(tokio::sync::mpsc::error::TrySendError::Full(_)) = line.try_send(Asked::Cue(cue, answer)) {
            return (Err(Trouble::new(Cause::Unreachable, "too much waits for that node")), 0);
        }
        // A queue that closed, or a task that ended with it in hand, has written nothing.
        outcome.await.unwrap_or_else(|_| (Err(Trouble::new(Cause::Unreachable, "the conn to that node ended")), 0))
    }

    /// Something that may as well be lost.
    pub fn tell(&self, address: &str, word: wings::Frame) {
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
    let conn = wings::dial(&address, (greet)(wings::Purpose::Call)).await;
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(trouble) => {
            asked.close();
            while let Some(next) = asked.recv().await {
                if let Asked::Cue(_, answer) = next {
                    drop(answer.send((Err(Trouble::new(Cause::Unreachable, trouble.to_string())), 0)));
                }
            }
            return;
        }
    };
    let mut waiting: std::collections::HashMap<u64, Answer> = Default::default();
    let mut numbers = 0u64;
    loop {
        tokio::select! {
            next = asked.recv() => {
                let (mut cue, answer) = match next {
                    Some(Asked::Cue(cue, answer)) => (cue, answer),
                    Some(Asked::Word(word)) => {
                        drop(conn.sender.try_send(word));
                        continue;
                    }
                    None => return,
                };
                numbers += 1;
                cue.number = numbers;
                match conn.sender.try_send(wings::Frame::Cue(cue)) {
                    Ok(()) => drop(waiting.insert(numbers, answer)),
                    Err(_) => drop(answer.send((Err(Trouble::new(Cause::Unreachable, "the conn takes nothing more")), 0))),
                }
            },
            frame = conn.receiver.recv() => match frame {
                Some(wings::Frame::Taken { number, wait, take }) => {
                    if let Some(answer) = waiting.remove(&number) {
                        drop(answer.send((*take, wait)));
                    }
                }
                Some(_) => {}
                None => break,
            },
            _ = tokio::time::sleep(IDLE), if waiting.is_empty() => break,
        }
    }
    // What was asked and not answered may have run; what still waits in the queue was not said.
    waiting.into_values().for_each(|answer| drop(answer.send((Err(Trouble::new(Cause::MateLost, "the conn to that node broke")), 0))));
    asked.close();
}
