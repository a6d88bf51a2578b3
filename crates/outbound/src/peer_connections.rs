//! Conns to the nodes beside other back ends: one each, many requests on it (design 13.2).

use model::{Error, ErrorKind};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

type OutcomeSender = tokio::sync::oneshot::Sender<inbound::Outcome>;

enum Command {
    Forward(u32, Box<transport::ForwardedRequest>, OutcomeSender),
    /// Its caller waits no longer.
    Cancel(u32),
    /// Said once, without an answer.
    Notify(transport::Frame),
}

pub type HandshakeInfo = Arc<dyn Fn(transport::Purpose) -> transport::Handshake + Send + Sync>;

/// Address to the queue of the task that carries its conn.
#[derive(Clone)]
pub struct PeerConnections {
    queues: Arc<Mutex<HashMap<String, tokio::sync::mpsc::Sender<Command>>>>,
    /// Requests of this process are numbered over all conns, so that a late answer meets no later request.
    next_request_id: Arc<AtomicU32>,
    handshake_info: HandshakeInfo,
}

/// Says to the other node that the caller is gone, unless the answer came first.
struct CancelOnDrop {
    queue: tokio::sync::mpsc::Sender<Command>,
    number: u32,
    answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            // Without room the other node finds its time over instead.
            drop(self.queue.try_send(Command::Cancel(self.number)));
        }
    }
}

/// A conn that nothing was asked on for so long is let go.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const QUEUE_CAPACITY: usize = 1_024;

impl PeerConnections {
    pub fn start(greet: HandshakeInfo) -> PeerConnections {
        PeerConnections {
            queues: Default::default(),
            next_request_id: Default::default(),
            handshake_info: greet,
        }
    }

    pub async fn call(
        &self,
        address: &str,
        cue: Box<transport::ForwardedRequest>,
    ) -> inbound::Outcome {
        let (answer, outcome) = tokio::sync::oneshot::channel();
        let line = self.queue_to(address);
        let number = self
            .next_request_id
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        if let Err(tokio::sync::mpsc::error::TrySendError::Full(_)) =
            line.try_send(Command::Forward(number, cue, answer))
        {
            return (
                Err(Error::new(
                    ErrorKind::Unreachable,
                    "too much waits for that node",
                )),
                0,
            );
        }
        let mut caller = CancelOnDrop {
            queue: line,
            number,
            answered: false,
        };
        let outcome = outcome.await;
        caller.answered = true;
        // A queue that closed, or a task that ended with it in hand, has written nothing.
        outcome.unwrap_or_else(|_| {
            (
                Err(Error::new(
                    ErrorKind::Unreachable,
                    "the conn to that node ended",
                )),
                0,
            )
        })
    }

    /// Something that may as well be lost.
    pub fn notify(&self, address: &str, word: transport::Frame) {
        drop(self.queue_to(address).try_send(Command::Notify(word)));
    }

    /// The lock is a leaf: nothing is awaited or locked under it (design 8.1).
    fn queue_to(&self, address: &str) -> tokio::sync::mpsc::Sender<Command> {
        let mut lines = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(line) = lines.get(address).filter(|line| !line.is_closed()) {
            return line.clone();
        }
        let (line, asked) = tokio::sync::mpsc::channel(QUEUE_CAPACITY);
        lines.insert(address.to_string(), line.clone());
        tokio::spawn(run_connection(
            address.to_string(),
            self.handshake_info.clone(),
            asked,
        ));
        line
    }
}

async fn run_connection(
    address: String,
    greet: HandshakeInfo,
    mut asked: tokio::sync::mpsc::Receiver<Command>,
) {
    let conn = transport::dial(&address, (greet)(transport::Purpose::Forward)).await;
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(trouble) => {
            asked.close();
            while let Some(next) = asked.recv().await {
                if let Command::Forward(_, _, answer) = next {
                    drop(answer.send((
                        Err(Error::new(ErrorKind::Unreachable, trouble.to_string())),
                        0,
                    )));
                }
            }
            return;
        }
    };
    let mut pending: HashMap<u32, OutcomeSender> = Default::default();
    let (mut encoder, mut decoder) = (
        transport::HeaderEncoder::default(),
        transport::HeaderDecoder::default(),
    );
    loop {
        tokio::select! {
            next = asked.recv() => {
                let (number, cue, answer) = match next {
                    // The caller left before anything was said.
                    Some(Command::Forward(_, _, answer)) if answer.is_closed() => continue,
                    Some(Command::Forward(number, cue, answer)) => (number, cue, answer),
                    Some(Command::Cancel(number)) => {
                        if pending.remove(&number).is_some() {
                            drop(conn.sender.try_send(transport::Frame::CancelRequest(number)));
                        }
                        continue;
                    }
                    Some(Command::Notify(word)) => {
                        drop(conn.sender.try_send(word));
                        continue;
                    }
                    None => return,
                };
                match conn.sender.try_send(transport::Frame::ForwardedRequest(number, Box::new(cue.encode(&mut encoder)))) {
                    Ok(()) => drop(pending.insert(number, answer)),
                    // What was not said is not in the other end's table either: the conn has to end.
                    Err(_) => {
                        drop(answer.send((Err(Error::new(ErrorKind::Unreachable, "the conn takes nothing more")), 0)));
                        break;
                    }
                }
            },
            frame = conn.receiver.recv() => match frame {
                Some(transport::Frame::ForwardedResponse(number, wait, take)) => {
                    let Ok(take) = take.decode(&mut decoder) else { break };
                    pending.remove(&number).into_iter().for_each(|answer| drop(answer.send((Ok(take.clone()), wait as u64))));
                }
                Some(transport::Frame::ForwardFailed(number, wait, trouble)) => {
                    pending.remove(&number).into_iter().for_each(|answer| drop(answer.send((Err((*trouble).clone()), wait as u64))));
                }
                Some(_) => {}
                None => break,
            },
            _ = tokio::time::sleep(IDLE_TIMEOUT), if pending.is_empty() => break,
        }
        if encoder.is_full() && pending.is_empty() {
            break;
        }
    }
    // What was asked and not answered may have run; what still waits in the queue was not said.
    pending.into_values().for_each(|answer| {
        drop(answer.send((
            Err(Error::new(
                ErrorKind::PeerLost,
                "the conn to that node broke",
            )),
            0,
        )))
    });
    asked.close();
}
