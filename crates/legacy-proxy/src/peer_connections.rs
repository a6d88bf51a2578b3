//! Connections to other nodes: one to each, with many requests on it, told apart by request id
//! (design 5.2). One task owns them all and is reached through [`PeerConnections`].

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

/// Commands that may wait for the task.
const QUEUE_CAPACITY: usize = 4_096;

/// A request on its way to one incarnation of the node at some address.
struct Call {
    incarnation: Incarnation,
    request: Box<AttemptRequest>,
    reply: ReplySender,
}

/// What the task is told; the first field is the address of the node.
enum Command {
    Call(String, Call),
    Connected(String, Result<transport::Connection, transport::Error>),
    Reply(
        String,
        ConnectionId,
        RequestId,
        Result<AttemptResponse, Error>,
    ),
    /// The other node sent its latest mark (see [`AgeWatermarks`](crate::age_marks::AgeWatermarks)).
    Marked(String, ConnectionId, u64),
    ConnectionLost(String, ConnectionId),
    CallerGone(String, RequestId),
}

/// A handle on the task that owns all connections. Clones share everything.
#[derive(Clone)]
pub struct PeerConnections {
    commands: mpsc::Sender<Command>,
    next_request_id: Arc<AtomicU64>,
}

enum Connection {
    /// Since when it is being dialed, and what waits for it, which has certainly not left.
    Dialing(Microseconds, Vec<Call>),
    Open(OpenConnection),
}

struct OpenConnection {
    id: ConnectionId,
    /// The incarnation of the node that answered there.
    incarnation: Incarnation,
    sender: FrameSender,
    last_mark: u64,
    pending: HashMap<RequestId, ReplySender>,
}

impl PeerConnections {
    /// Starts the task. `handshake` is what this node says of itself when it connects.
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

    /// Has a request run beside the node at `address`; another incarnation than the one given is not
    /// the node that was meant.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreachable`], certainly not run, if the request never left;
    /// [`ErrorKind::PeerLost`] and [`ErrorKind::TimedOut`], may have run, if no answer came.
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
            Ok(result) => result
                .unwrap_or_else(|_| Err(Error::new(ErrorKind::PeerLost, "the far node was lost"))),
            Err(_) => {
                let command = Command::CallerGone(address.to_string(), request_id);
                self.commands.send(command).await.unwrap_or_default();
                let detail = "the far node did not answer in time";
                Err(Error::new(ErrorKind::TimedOut, detail))
            }
        }
    }
}

struct ConnectionsTask {
    commands: mpsc::Sender<Command>,
    /// By address.
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
                let open = self.open(&address).filter(|open| open.id == connection_id);
                if let Some(reply) = open.and_then(|open| open.pending.remove(&request_id)) {
                    // The caller may have stopped waiting.
                    drop(reply.send(result));
                }
            }
            Command::Marked(address, connection_id, mark) => {
                if let Some(open) = self.open(&address).filter(|open| open.id == connection_id) {
                    open.last_mark = mark;
                }
            }
            Command::ConnectionLost(address, connection_id) => {
                // Dropping the senders of replies says that the peer was lost: what was sent may have
                // run.
                if self
                    .open(&address)
                    .is_some_and(|open| open.id == connection_id)
                {
                    self.connections.remove(&address);
                }
            }
            Command::CallerGone(address, request_id) => {
                if let Some(open) = self.open(&address) {
                    open.pending.remove(&request_id);
                }
            }
        }
    }

    fn open(&mut self, address: &str) -> Option<&mut OpenConnection> {
        match self.connections.get_mut(address)? {
            Connection::Open(open) => Some(open),
            Connection::Dialing(..) => None,
        }
    }

    /// Sends a request, or has it wait for a connection.
    fn call(&mut self, address: String, mut call: Call) {
        match self.connections.get_mut(&address) {
            Some(Connection::Dialing(since, waiting)) => {
                // Counted from the beginning of the dial, so that no more time than is left is said.
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

    /// A dial ended: what waited for the connection is sent, or certainly never left.
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
                    last_mark: 0,
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
            // Its caller has given up, so it need not leave at all.
            return;
        }
        request.last_watermark = self.last_mark;
        if incarnation != self.incarnation {
            let detail = "another life of the far node answers there";
            return drop(reply.send(Err(Error::new(ErrorKind::Unreachable, detail))));
        }
        let request_id = request.request_id;
        match self.sender.try_send(Frame::Attempt(request)) {
            Ok(()) => {
                self.pending.insert(request_id, reply);
            }
            // It never entered the queue, so it never left.
            Err(_) => {
                let detail = "the conn to the far node takes nothing";
                drop(reply.send(Err(Error::new(ErrorKind::Unreachable, detail))));
            }
        }
    }
}

/// Hands what the other node sends to the task, until the connection ends.
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
            Frame::Watermark(mark) => Command::Marked(address.clone(), connection_id, mark),
            _ => continue,
        };
        commands.send(command).await.unwrap_or_default();
    }
    commands
        .send(Command::ConnectionLost(address, connection_id))
        .await
        .unwrap_or_default();
}
