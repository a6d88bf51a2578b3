//! Connections to the nodes beside other backends. There is one multiplexed connection per node,
//! which is closed when idle (design 13.2).

use std::collections::HashMap;
use std::future;
use std::mem;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use inbound::ForwardOutcome;
use model::{Error, ErrorKind, Microseconds};
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use transport::bodies::{BODY_PART_BYTES, BODY_PARTS_VERSION, IncomingBodies, OutgoingBodies};
use transport::{
    Connection, ForwardedRequest, ForwardedResponse, Frame, Handshake, HeaderDecoder,
    HeaderEncoder, MAX_FRAME_BYTES, Purpose,
};

type OutcomeSender = oneshot::Sender<ForwardOutcome>;

enum Command {
    /// Forward a request under this id and send back its outcome.
    Forward(u32, Box<ForwardedRequest>, OutcomeSender),
    /// Cancel the request with this id, because its caller has stopped waiting.
    Cancel(u32),
    /// Ask the peer to refuse the request with this id if its run has not begun.
    Withdraw(u32),
    /// Send this frame without expecting an answer.
    Notify(Frame),
}

/// Builds this node's handshake for a connection of the given purpose.
pub type HandshakeFactory = Arc<dyn Fn(Purpose) -> Handshake + Send + Sync>;

/// Handle of all connections to peers. Each connection is owned by its own task, which is started
/// by the first request to its address and receives commands over a queue. Clones share all
/// connections.
#[derive(Clone)]
pub struct PeerConnections {
    /// By address, the command queue of the task that owns the connection.
    queues: Arc<Mutex<HashMap<String, mpsc::Sender<Command>>>>,
    /// Request ids are unique over all connections, so that a late answer is not matched to a later
    /// request.
    next_request_id: Arc<AtomicU32>,
    handshake_factory: HandshakeFactory,
}

/// Guard that cancels the request at the peer when it is dropped before the outcome has arrived.
struct CancelOnDrop {
    queue: mpsc::Sender<Command>,
    request_id: u32,
    answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.answered {
            // If the queue is full, the peer drops the request when its time has passed.
            drop(self.queue.try_send(Command::Cancel(self.request_id)));
        }
    }
}

/// Maximum size of a body that a peer without bodies in parts can receive, in bytes. The rest of the
/// frame is left to the headers.
pub(crate) const MAX_UNDIVIDED_BODY_BYTES: usize = MAX_FRAME_BYTES / 4 * 3;
/// The first protocol version with [`Frame::WithdrawRequest`].
const WITHDRAWAL_VERSION: u16 = 6;
/// Time without requests after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Capacity of the command queue of a connection.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

impl PeerConnections {
    /// Creates a handle without connections.
    pub fn start(handshake_factory: HandshakeFactory) -> PeerConnections {
        PeerConnections {
            queues: Default::default(),
            next_request_id: Default::default(),
            handshake_factory,
        }
    }

    /// Forwards a request to the node at `address` and waits for the outcome. Dropping the future
    /// cancels the request at that node.
    ///
    /// The error is [`ErrorKind::Unreachable`] if the request was never written and certainly did
    /// not run, and [`ErrorKind::PeerLost`] if the connection failed after it was written and the
    /// request may have run.
    pub async fn call(&self, address: &str, request: Box<ForwardedRequest>) -> ForwardOutcome {
        self.call_unless_withdrawn(address, request, future::pending())
            .await
    }

    /// Like [`call`](Self::call), but once `withdrawn` completes, the peer is asked to refuse the
    /// request with [`ErrorKind::ShuttingDown`] if its run has not begun. A peer of a build that
    /// does not know this answers the request as usual.
    pub async fn call_unless_withdrawn(
        &self,
        address: &str,
        request: Box<ForwardedRequest>,
        withdrawn: impl Future<Output = ()>,
    ) -> ForwardOutcome {
        let (outcome_sender, mut outcome) = oneshot::channel();
        let queue = self.queue_to(address);
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let enqueued = queue.try_send(Command::Forward(request_id, request, outcome_sender));
        if let Err(mpsc::error::TrySendError::Full(_)) = enqueued {
            return unreachable("the queue to the peer node is full");
        }
        let mut cancel_on_drop = CancelOnDrop {
            queue: queue.clone(),
            request_id,
            answered: false,
        };
        let outcome = tokio::select! {
            outcome = &mut outcome => outcome,
            () = withdrawn => {
                // If the task has ended, the outcome is known already.
                drop(queue.send(Command::Withdraw(request_id)).await);
                outcome.await
            }
        };
        cancel_on_drop.answered = true;
        // If the queue was closed or the task ended without an outcome, the request was not
        // written.
        outcome.unwrap_or_else(|_| {
            unreachable("the connection to the peer node was closed before the request was written")
        })
    }

    /// Sends a frame without a delivery guarantee.
    pub fn notify(&self, address: &str, frame: Frame) {
        drop(self.queue_to(address).try_send(Command::Notify(frame)));
    }

    /// Returns the queue of the connection's task, and starts the task if there is none. While the
    /// lock is held, no other lock is taken and nothing is awaited (design 8.1).
    fn queue_to(&self, address: &str) -> mpsc::Sender<Command> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(address).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let (queue, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        queues.insert(address.to_string(), queue.clone());
        tokio::spawn(connect_and_run(
            address.to_string(),
            self.handshake_factory.clone(),
            commands,
        ));
        queue
    }
}

/// Builds the outcome of a request that was never written.
fn unreachable(detail: impl Into<String>) -> ForwardOutcome {
    (Err(Error::new(ErrorKind::Unreachable, detail)), 0)
}

/// Connects to the peer and runs the connection's task. If connecting fails, all queued requests
/// fail as unreachable.
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

/// The task that owns one connection and its pending requests.
struct ConnectionTask {
    connection: Connection,
    pending: HashMap<u32, OutcomeSender>,
    encoder: HeaderEncoder,
    decoder: HeaderDecoder,
    /// Bodies of requests.
    outgoing_bodies: OutgoingBodies,
    /// Responses whose bodies are being received, with the expected wait.
    incoming_bodies: IncomingBodies<(ForwardedResponse, u32)>,
}

/// Whether the connection can still be used after a command or a frame.
#[derive(PartialEq)]
enum ConnectionState {
    Usable,
    /// The header tables of the two ends may differ, so the connection must be closed.
    MustClose,
}

impl ConnectionTask {
    fn new(connection: Connection) -> ConnectionTask {
        ConnectionTask {
            connection,
            pending: HashMap::new(),
            encoder: HeaderEncoder::default(),
            decoder: HeaderDecoder::default(),
            outgoing_bodies: OutgoingBodies::default(),
            incoming_bodies: IncomingBodies::default(),
        }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let part_sender = self.connection.part_sender.clone();
        loop {
            let connection_state = tokio::select! {
                command = commands.recv() => match command {
                    Some(Command::Forward(request_id, request, outcome_sender)) => {
                        // The caller stopped waiting before anything was written.
                        if outcome_sender.is_closed() {
                            continue;
                        }
                        self.forward(request_id, *request, outcome_sender)
                    }
                    Some(Command::Cancel(request_id)) => {
                        self.cancel(request_id);
                        continue;
                    }
                    Some(Command::Withdraw(request_id)) => {
                        self.withdraw(request_id);
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
                permit = part_sender.reserve(), if !self.outgoing_bodies.is_empty() => {
                    let next = self.outgoing_bodies.next_part();
                    let (Ok(permit), Some((_, part))) = (permit, next) else {
                        break;
                    };
                    permit.send(part);
                    continue;
                }
                _ = time::sleep(IDLE_TIMEOUT), if self.pending.is_empty() => break,
            };
            // A full header table is reset by opening a new connection.
            let header_table_is_full = self.encoder.is_full() && self.pending.is_empty();
            if connection_state == ConnectionState::MustClose || header_table_is_full {
                break;
            }
        }
        // A request that was written and not answered may have run; a queued request, or one whose
        // body was not written as a whole, has not.
        for (request_id, outcome_sender) in self.pending {
            let kind = match self.outgoing_bodies.contains(request_id) {
                true => ErrorKind::Unreachable,
                false => ErrorKind::PeerLost,
            };
            let error = Error::new(kind, "the connection to the peer node was lost");
            drop(outcome_sender.send((Err(error), 0)));
        }
        commands.close();
    }

    fn forward(
        &mut self,
        request_id: u32,
        mut request: ForwardedRequest,
        outcome_sender: OutcomeSender,
    ) -> ConnectionState {
        let sends_parts = self.connection.protocol_version >= BODY_PARTS_VERSION;
        let length = request.body.len();
        if !sends_parts && length > MAX_UNDIVIDED_BODY_BYTES {
            let detail = "the body is too long for a peer node of an earlier build";
            drop(outcome_sender.send(unreachable(detail)));
            return ConnectionState::Usable;
        }
        let announcement = (sends_parts && length > BODY_PART_BYTES).then(|| {
            let body = mem::take(&mut request.body);
            self.outgoing_bodies.add(request_id, body)
        });
        let encoded = Box::new(request.encode(&mut self.encoder));
        let frame = Frame::ForwardedRequest(request_id, encoded);
        for frame in announcement.into_iter().chain([frame]) {
            if self.connection.sender.try_send(frame).is_err() {
                // The peer's header table lacks the headers of a request that was not written.
                drop(outcome_sender.send(unreachable(
                    "the connection to the peer node accepts no more frames",
                )));
                return ConnectionState::MustClose;
            }
        }
        self.pending.insert(request_id, outcome_sender);
        ConnectionState::Usable
    }

    fn cancel(&mut self, request_id: u32) {
        if self.pending.remove(&request_id).is_some() {
            self.forget_bodies(request_id);
            drop(
                self.connection
                    .sender
                    .try_send(Frame::CancelRequest(request_id)),
            );
        }
    }

    fn withdraw(&mut self, request_id: u32) {
        let understood = self.connection.protocol_version >= WITHDRAWAL_VERSION;
        if understood && self.pending.contains_key(&request_id) {
            // If the queue is full, the request is answered as usual.
            let frame = Frame::WithdrawRequest(request_id);
            drop(self.connection.sender.try_send(frame));
        }
    }

    fn receive(&mut self, frame: Frame) -> ConnectionState {
        match frame {
            Frame::ForwardedResponse(request_id, expected_wait, encoded) => {
                let Ok(response) = encoded.decode(&mut self.decoder) else {
                    return ConnectionState::MustClose;
                };
                let response = (response, expected_wait);
                if let Some((response, expected_wait)) =
                    self.incoming_bodies.add_message(request_id, response)
                {
                    self.answer(request_id, Ok(response), expected_wait);
                }
            }
            Frame::ForwardFailed(request_id, expected_wait, error) => {
                self.answer(request_id, Err(*error), expected_wait);
            }
            // The response to a cancelled request is dropped with its body.
            Frame::BodyFollows(request_id, length) if self.pending.contains_key(&request_id) => {
                self.incoming_bodies.announce(request_id, length);
            }
            Frame::BodyPart(request_id, part) => return self.receive_part(request_id, part),
            _ => {}
        }
        ConnectionState::Usable
    }

    fn receive_part(&mut self, request_id: u32, part: Vec<u8>) -> ConnectionState {
        match self.incoming_bodies.add_part(request_id, part) {
            Ok(Some(((response, expected_wait), body))) => {
                let response = ForwardedResponse { body, ..response };
                self.answer(request_id, Ok(response), expected_wait);
                ConnectionState::Usable
            }
            Ok(None) => ConnectionState::Usable,
            Err(_) => ConnectionState::MustClose,
        }
    }

    fn forget_bodies(&mut self, request_id: u32) {
        self.outgoing_bodies.remove(request_id);
        self.incoming_bodies.remove(request_id);
    }

    fn answer(
        &mut self,
        request_id: u32,
        result: Result<ForwardedResponse, Error>,
        expected_wait: u32,
    ) {
        if let Some(outcome_sender) = self.pending.remove(&request_id) {
            // A peer that refuses a request early receives no more of its body.
            self.forget_bodies(request_id);
            drop(outcome_sender.send((result, Microseconds::from(expected_wait))));
        }
    }
}
