//! Connections to the nodes beside other backends: one to each, with many requests on it, closed
//! when idle (design 13.2).

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use inbound::ForwardOutcome;
use model::{Error, ErrorKind, Microseconds};
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use transport::{
    Connection, ForwardedRequest, ForwardedResponse, Frame, Handshake, HeaderDecoder,
    HeaderEncoder, Purpose,
};

type OutcomeSender = oneshot::Sender<ForwardOutcome>;

enum Command {
    /// Forward a request under this id and answer with its outcome.
    Forward(u32, Box<ForwardedRequest>, OutcomeSender),
    /// The caller of this request waits no longer.
    Cancel(u32),
    /// Send this frame; no answer is expected.
    Notify(Frame),
}

/// What this node says of itself in a handshake, by the purpose of the connection.
pub type HandshakeFactory = Arc<dyn Fn(Purpose) -> Handshake + Send + Sync>;

/// A handle on all connections to peers. Each connection is owned by a task of its own, which is
/// started by the first request to its address and reached over a queue. Clones share everything.
#[derive(Clone)]
pub struct PeerConnections {
    /// The queue of the task that owns the connection to each address.
    queues: Arc<Mutex<HashMap<String, mpsc::Sender<Command>>>>,
    /// Request ids count over all connections, so that a late answer meets no later request.
    next_request_id: Arc<AtomicU32>,
    handshake_factory: HandshakeFactory,
}

/// Tells the peer that the caller is gone, unless the outcome came first.
struct CancelOnDrop {
    queue: mpsc::Sender<Command>,
    request_id: u32,
    answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            // Without room in the queue the peer finds the request's time over instead.
            drop(self.queue.try_send(Command::Cancel(self.request_id)));
        }
    }
}

/// A connection without a request for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Commands that may wait for one connection.
const QUEUE_CAPACITY: usize = 1_024;

impl PeerConnections {
    /// A handle without any connection yet.
    pub fn start(handshake_factory: HandshakeFactory) -> PeerConnections {
        PeerConnections {
            queues: Default::default(),
            next_request_id: Default::default(),
            handshake_factory,
        }
    }

    /// Forwards a request to the node at `address` and waits for the outcome. Dropping the future
    /// cancels the request there.
    ///
    /// An error is [`ErrorKind::Unreachable`], certainly not run, if the request was never written, and
    /// [`ErrorKind::PeerLost`], may have run, if the connection broke with the request on it.
    pub async fn call(&self, address: &str, request: Box<ForwardedRequest>) -> ForwardOutcome {
        let (outcome_sender, outcome) = oneshot::channel();
        let queue = self.queue_to(address);
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let sent = queue.try_send(Command::Forward(request_id, request, outcome_sender));
        if let Err(mpsc::error::TrySendError::Full(_)) = sent {
            return unreachable("too much waits for that node");
        }
        let mut cancel_on_drop = CancelOnDrop {
            queue,
            request_id,
            answered: false,
        };
        let outcome = outcome.await;
        cancel_on_drop.answered = true;
        // A queue that closed, or a task that ended with the command in hand, has written nothing.
        outcome.unwrap_or_else(|_| unreachable("the connection to that node ended"))
    }

    /// Sends a frame that may as well be lost.
    pub fn notify(&self, address: &str, frame: Frame) {
        drop(self.queue_to(address).try_send(Command::Notify(frame)));
    }

    /// The queue to the connection's task, which is started if there is none. The lock is a leaf:
    /// nothing is awaited or locked while it is held (design 8.1).
    fn queue_to(&self, address: &str) -> mpsc::Sender<Command> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(address).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let (queue, commands) = mpsc::channel(QUEUE_CAPACITY);
        queues.insert(address.to_string(), queue.clone());
        tokio::spawn(connect_and_run(
            address.to_string(),
            self.handshake_factory.clone(),
            commands,
        ));
        queue
    }
}

/// The outcome of a request that was never written.
fn unreachable(detail: impl Into<String>) -> ForwardOutcome {
    (Err(Error::new(ErrorKind::Unreachable, detail)), 0)
}

async fn connect_and_run(
    address: String,
    handshake_factory: HandshakeFactory,
    mut commands: mpsc::Receiver<Command>,
) {
    match transport::dial(&address, (handshake_factory)(Purpose::Forward)).await {
        Ok(connection) => ConnectionTask::new(connection).run(commands).await,
        Err(error) => {
            commands.close();
            while let Some(command) = commands.recv().await {
                if let Command::Forward(_, _, outcome_sender) = command {
                    drop(outcome_sender.send(unreachable(error.to_string())));
                }
            }
        }
    }
}

/// Owns one connection, and the requests on it that wait for their outcome.
struct ConnectionTask {
    connection: Connection,
    pending: HashMap<u32, OutcomeSender>,
    encoder: HeaderEncoder,
    decoder: HeaderDecoder,
}

/// Whether the connection goes on after a command or a frame.
#[derive(PartialEq)]
enum Continue {
    Yes,
    /// Both ends' tables of headers may differ from now on: the connection has to end.
    No,
}

impl ConnectionTask {
    fn new(connection: Connection) -> ConnectionTask {
        ConnectionTask {
            connection,
            pending: HashMap::new(),
            encoder: HeaderEncoder::default(),
            decoder: HeaderDecoder::default(),
        }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            let forwarded_or_received = tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Forward(request_id, request, outcome_sender)) => {
                        // The caller left before anything was written.
                        if outcome_sender.is_closed() {
                            continue;
                        }
                        self.forward(request_id, *request, outcome_sender)
                    }
                    Some(Command::Cancel(request_id)) => {
                        self.cancel(request_id);
                        continue;
                    }
                    Some(Command::Notify(frame)) => {
                        drop(self.connection.sender.try_send(frame));
                        continue;
                    }
                    None => return,
                },
                frame = self.connection.receiver.recv() => match frame {
                    Some(frame) => self.receive(frame),
                    None => break,
                },
                _ = time::sleep(IDLE_TIMEOUT), if self.pending.is_empty() => break,
            };
            // A full table of headers begins anew with a new connection.
            let table_used_up = self.encoder.is_full() && self.pending.is_empty();
            if forwarded_or_received == Continue::No || table_used_up {
                break;
            }
        }
        // What was written and not answered may have run; what is still queued was not written.
        for outcome_sender in self.pending.into_values() {
            let error = Error::new(ErrorKind::PeerLost, "the connection to that node broke");
            drop(outcome_sender.send((Err(error), 0)));
        }
        commands.close();
    }

    fn forward(
        &mut self,
        request_id: u32,
        request: ForwardedRequest,
        outcome_sender: OutcomeSender,
    ) -> Continue {
        let encoded = Box::new(request.encode(&mut self.encoder));
        match self
            .connection
            .sender
            .try_send(Frame::ForwardedRequest(request_id, encoded))
        {
            Ok(()) => {
                self.pending.insert(request_id, outcome_sender);
                Continue::Yes
            }
            // What was not written is not in the peer's table of headers either.
            Err(_) => {
                drop(outcome_sender.send(unreachable("the connection takes nothing more")));
                Continue::No
            }
        }
    }

    fn cancel(&mut self, request_id: u32) {
        if self.pending.remove(&request_id).is_some() {
            drop(
                self.connection
                    .sender
                    .try_send(Frame::CancelRequest(request_id)),
            );
        }
    }

    fn receive(&mut self, frame: Frame) -> Continue {
        match frame {
            Frame::ForwardedResponse(request_id, expected_wait, encoded) => {
                let Ok(response) = encoded.decode(&mut self.decoder) else {
                    return Continue::No;
                };
                self.answer(request_id, Ok(response), expected_wait);
            }
            Frame::ForwardFailed(request_id, expected_wait, error) => {
                self.answer(request_id, Err(*error), expected_wait);
            }
            _ => {}
        }
        Continue::Yes
    }

    fn answer(
        &mut self,
        request_id: u32,
        result: Result<ForwardedResponse, Error>,
        expected_wait: u32,
    ) {
        if let Some(outcome_sender) = self.pending.remove(&request_id) {
            drop(outcome_sender.send((result, Microseconds::from(expected_wait))));
        }
    }
}
