//! Connections to other nodes: one connection to each, on which requests are multiplexed by request
//! id (design 5.2). One task owns all connections; [`PeerConnections`] is its handle.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use model::{Error, ErrorKind, Incarnation, Microseconds};
use tokio::sync::{mpsc, oneshot};
use tokio::time;
use transport::{AttemptRequest, AttemptResponse, Frame, FrameSender, Handshake};

type ReplySender = oneshot::Sender<Result<AttemptResponse, Error>>;
type ConnectionId = u64;
type RequestId = u64;

/// Capacity of the task's command channel.
const QUEUE_CAPACITY: usize = 4_096;

/// A request to a certain incarnation of a node.
struct Call {
    incarnation: Incarnation,
    request: Box<AttemptRequest>,
    reply: ReplySender,
}

/// A command to the task. The first field is the address of the node.
enum Command {
    Call(String, Call),
    Connected(String, Result<transport::Connection, transport::Error>),
    Reply(
        String,
        ConnectionId,
        RequestId,
        Result<AttemptResponse, Error>,
    ),
    /// The peer sent a watermark (see [`AgeWatermarks`](crate::age_marks::AgeWatermarks)).
    Watermark(String, ConnectionId, u64),
    ConnectionLost(String, ConnectionId),
    /// The caller of a request stopped waiting.
    CallAbandoned(String, RequestId),
}

/// Handle on the task that owns all connections. Clones share all state.
#[derive(Clone)]
pub struct PeerConnections {
    commands: mpsc::Sender<Command>,
    next_request_id: Arc<AtomicU64>,
}

enum Connection {
    /// The time at which dialing began, and the calls that wait for the connection and are not sent
    /// yet.
    Dialing(Microseconds, Vec<Call>),
    Open(OpenConnection),
}

struct OpenConnection {
    id: ConnectionId,
    /// Incarnation of the node at the other end.
    incarnation: Incarnation,
    sender: FrameSender,
    last_watermark: u64,
    pending: HashMap<RequestId, ReplySender>,
}

impl PeerConnections {
    /// Starts the task. `handshake` returns the handshake that this node sends when it connects.
    pub fn start(handshake: impl Fn() -> Handshake + Send + Sync + 'static) -> Self {
        let (commands, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let task = ConnectionsTask {
            commands: commands.clone(),
            connections: HashMap::new(),
            last_connection_id: 0,
            handshake: Arc::new(handshake),
        };
        tokio::spawn(task.run(receiver));
        PeerConnections {
            commands,
            next_request_id: Arc::default(),
        }
    }

    /// Sends a request to the node at `address` and waits for its result. The request is sent only
    /// if that node still has the given incarnation.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`] (certainly not run) if the request was not sent;
    /// [`ErrorKind::PeerLost`] or [`ErrorKind::TimedOut`] (may have run) if no answer arrived.
    pub async fn call(
        &self,
        address: &str,
        incarnation: Incarnation,
        mut request: AttemptRequest,
    ) -> Result<AttemptResponse, Error> {
        let (reply, replied) = oneshot::channel();
        let request_id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        request.request_id = request_id;
        let time_left = Duration::from_micros(request.time_left);
        let call = Call {
            incarnation,
            request: Box::new(request),
            reply,
        };
        if self
            .commands
            .send(Command::Call(address.to_string(), call))
            .await
            .is_err()
        {
            return Err(Error::new(ErrorKind::ShuttingDown, "this node is stopping"));
        }
        match time::timeout(time_left, replied).await {
            Ok(result) => result.unwrap_or_else(|_| {
                Err(Error::new(
                    ErrorKind::PeerLost,
                    "the connection to the peer node was lost",
                ))
            }),
            Err(_) => {
                let command = Command::CallAbandoned(address.to_string(), request_id);
                self.commands.send(command).await.unwrap_or_default();
                let detail = "the peer node did not answer before the deadline";
                Err(Error::new(ErrorKind::TimedOut, detail))
            }
        }
    }
}

struct ConnectionsTask {
    commands: mpsc::Sender<Command>,
    /// Connections by the address of their node.
    connections: HashMap<String, Connection>,
    last_connection_id: ConnectionId,
    handshake: Arc<dyn Fn() -> Handshake + Send + Sync>,
}

impl ConnectionsTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        while let Some(command) = commands.recv().await {
            self.handle(command);
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Call(address, call) => self.call(address, call),
            Command::Connected(address, connection) => self.connected(address, connection),
            Command::Reply(address, connection_id, request_id, result) => {
                let open = self
                    .open_connection(&address)
                    .filter(|open| open.id == connection_id);
                if let Some(reply) = open.and_then(|open| open.pending.remove(&request_id)) {
                    // The caller may have stopped waiting.
                    drop(reply.send(result));
                }
            }
            Command::Watermark(address, connection_id, watermark) => {
                if let Some(open) = self
                    .open_connection(&address)
                    .filter(|open| open.id == connection_id)
                {
                    open.last_watermark = watermark;
                }
            }
            Command::ConnectionLost(address, connection_id) => {
                // Dropping the reply senders fails the pending calls with `PeerLost`: they were
                // sent and may have run.
                if self
                    .open_connection(&address)
                    .is_some_and(|open| open.id == connection_id)
                {
                    self.connections.remove(&address);
                }
            }
            Command::CallAbandoned(address, request_id) => {
                if let Some(open) = self.open_connection(&address) {
                    open.pending.remove(&request_id);
                }
            }
        }
    }

    fn open_connection(&mut self, address: &str) -> Option<&mut OpenConnection> {
        match self.connections.get_mut(address)? {
            Connection::Open(open) => Some(open),
            Connection::Dialing(..) => None,
        }
    }

    /// Sends a request on the open connection, or queues it until one is established.
    fn call(&mut self, address: String, mut call: Call) {
        match self.connections.get_mut(&address) {
            Some(Connection::Dialing(since, waiting)) => {
                // `connected` subtracts the whole time of the dial, so the part of it that was over
                // before this call is added here.
                call.request.time_left += model::now() - *since;
                waiting.push(call);
            }
            Some(Connection::Open(open)) => open.send(call),
            None => {
                let dialing = Connection::Dialing(model::now(), vec![call]);
                self.connections.insert(address.clone(), dialing);
                let (commands, handshake) = (self.commands.clone(), (self.handshake)());
                tokio::spawn(async move {
                    let connection = transport::dial(&address, handshake).await;
                    let command = Command::Connected(address, connection);
                    commands.send(command).await.unwrap_or_default();
                });
            }
        }
    }

    /// Handles the end of a dial: sends the calls that waited for the connection, or fails them as
    /// certainly not run.
    fn connected(
        &mut self,
        address: String,
        connection: Result<transport::Connection, transport::Error>,
    ) {
        let Some(Connection::Dialing(since, waiting)) = self.connections.remove(&address) else {
            return;
        };
        let waited = model::now() - since;
        match connection {
            Ok(connection) => {
                self.last_connection_id += 1;
                let mut open = OpenConnection {
                    id: self.last_connection_id,
                    incarnation: connection.peer_handshake.incarnation,
                    sender: connection.sender,
                    last_watermark: 0,
                    pending: HashMap::new(),
                };
                for mut call in waiting {
                    call.request.time_left = call.request.time_left.saturating_sub(waited);
                    open.send(call);
                }
                let connection_id = open.id;
                self.connections
                    .insert(address.clone(), Connection::Open(open));
                let commands = self.commands.clone();
                tokio::spawn(receive_frames(
                    address,
                    connection_id,
                    connection.receiver,
                    commands,
                ));
            }
            Err(error) => {
                for call in waiting {
                    let error = Error::new(ErrorKind::Unreachable, error.to_string());
                    drop(call.reply.send(Err(error)));
                }
            }
        }
    }
}

impl OpenConnection {
    fn send(&mut self, call: Call) {
        let Call {
            incarnation,
            mut request,
            reply,
        } = call;
        if reply.is_closed() {
            // The caller stopped waiting, so the request need not be sent.
            return;
        }
        request.last_watermark = self.last_watermark;
        if incarnation != self.incarnation {
            let detail = "the address now belongs to another incarnation of the peer node";
            return drop(reply.send(Err(Error::new(ErrorKind::Unreachable, detail))));
        }
        let request_id = request.request_id;
        match self.sender.try_send(Frame::Attempt(request)) {
            Ok(()) => {
                self.pending.insert(request_id, reply);
            }
            // The frame did not enter the send queue, so the request was not sent.
            Err(_) => {
                let detail = "the connection to the peer node accepts no frames";
                drop(reply.send(Err(Error::new(ErrorKind::Unreachable, detail))));
            }
        }
    }
}

/// Passes the frames of the peer to the task until the connection ends.
async fn receive_frames(
    address: String,
    connection_id: ConnectionId,
    mut receiver: mpsc::Receiver<Frame>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(frame) = receiver.recv().await {
        let command = match frame {
            Frame::AttemptResult { request_id, reply } => {
                Command::Reply(address.clone(), connection_id, request_id, *reply)
            }
            Frame::Watermark(watermark) => {
                Command::Watermark(address.clone(), connection_id, watermark)
            }
            _ => continue,
        };
        commands.send(command).await.unwrap_or_default();
    }
    commands
        .send(Command::ConnectionLost(address, connection_id))
        .await
        .unwrap_or_default();
}
