//! Conns to other ushers, one each, replies told apart by number (design 5.2).

use model::{Error, ErrorKind};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

type ReplySender = tokio::sync::oneshot::Sender<Result<transport::AttemptResponse, Error>>;

enum Command {
    Call {
        address: String,
        incarnation: u64,
        dispatch: Box<transport::AttemptRequest>,
        answer: ReplySender,
    },
    Connected(String, Result<transport::Connection, transport::Error>),
    Reply(String, u64, u64, Result<transport::AttemptResponse, Error>),
    Marked(String, u64, u64),
    ConnectionLost(String, u64),
    CallerGone(String, u64),
}

#[derive(Clone)]
pub struct PeerConnections {
    commands: tokio::sync::mpsc::Sender<Command>,
    next_request_id: Arc<AtomicU64>,
}

/// What waits for a conn that is being dialed has certainly not left.
enum Connection {
    Dialing(
        model::Microseconds,
        Vec<(Box<transport::AttemptRequest>, u64, ReplySender)>,
    ),
    Open {
        connection_id: u64,
        incarnation: u64,
        sender: transport::FrameSender,
        mark: u64,
        pending: HashMap<u64, ReplySender>,
    },
}

impl PeerConnections {
    pub fn start(greeting: impl Fn() -> transport::Handshake + Send + Sync + 'static) -> Self {
        let (commands, buffer) = tokio::sync::mpsc::channel(4_096);
        let owner = ConnectionsTask {
            commands: commands.clone(),
            connections: Default::default(),
            last_connection_id: 0,
            handshake: Arc::new(greeting),
        };
        tokio::spawn(owner.run(buffer));
        PeerConnections {
            commands,
            next_request_id: Default::default(),
        }
    }

    /// `life` is the far node's: another life at that address is not the one that was meant.
    pub async fn call(
        &self,
        address: &str,
        incarnation: u64,
        mut dispatch: transport::AttemptRequest,
    ) -> Result<transport::AttemptResponse, Error> {
        let (answer, answered) = tokio::sync::oneshot::channel();
        let number = self
            .next_request_id
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        dispatch.request_id = number;
        let wait = Duration::from_micros(dispatch.time_left);
        let command = Command::Call {
            address: address.to_string(),
            incarnation,
            dispatch: Box::new(dispatch),
            answer,
        };
        if self.commands.send(command).await.is_err() {
            return Err(Error::new(ErrorKind::ShuttingDown, "this node is stopping"));
        }
        match tokio::time::timeout(wait, answered).await {
            Ok(answer) => answer
                .unwrap_or_else(|_| Err(Error::new(ErrorKind::PeerLost, "the far node was lost"))),
            Err(_) => {
                self.commands
                    .send(Command::CallerGone(address.to_string(), number))
                    .await
                    .unwrap_or_default();
                Err(Error::new(
                    ErrorKind::TimedOut,
                    "the far node did not answer in time",
                ))
            }
        }
    }
}

struct ConnectionsTask {
    commands: tokio::sync::mpsc::Sender<Command>,
    connections: HashMap<String, Connection>,
    last_connection_id: u64,
    handshake: Arc<dyn Fn() -> transport::Handshake + Send + Sync>,
}

impl ConnectionsTask {
    async fn run(mut self, mut buffer: tokio::sync::mpsc::Receiver<Command>) {
        while let Some(command) = buffer.recv().await {
            match command {
                Command::Call {
                    address,
                    incarnation: life,
                    dispatch,
                    answer,
                } => self.call(address, life, dispatch, answer),
                Command::Connected(address, conn) => self.connected(address, conn),
                Command::Reply(address, token, number, reply) => {
                    if let Some(Connection::Open {
                        connection_id: current,
                        pending,
                        ..
                    }) = self.connections.get_mut(&address)
                        && *current == token
                    {
                        pending
                            .remove(&number)
                            .map(|answer| answer.send(reply).is_ok());
                    }
                }
                Command::Marked(address, token, told) => match self.connections.get_mut(&address) {
                    Some(Connection::Open {
                        connection_id: current,
                        mark,
                        ..
                    }) if *current == token => *mark = told,
                    _ => {}
                },
                // Dropping the answers says MateLost: what was sent may have run.
                Command::ConnectionLost(address, token) => {
                    let same = matches!(self.connections.get(&address), Some(Connection::Open { connection_id: current, .. }) if *current == token);
                    if same {
                        self.connections.remove(&address);
                    }
                }
                Command::CallerGone(address, number) => {
                    if let Some(Connection::Open { pending, .. }) =
                        self.connections.get_mut(&address)
                    {
                        pending.remove(&number);
                    }
                }
            }
        }
    }

    fn call(
        &mut self,
        address: String,
        life: u64,
        mut dispatch: Box<transport::AttemptRequest>,
        answer: ReplySender,
    ) {
        match self.connections.get_mut(&address) {
            Some(Connection::Dialing(since, waiting)) => {
                // Counted from the dial's beginning, so that what is left is never told too long.
                dispatch.time_left += model::now() - *since;
                waiting.push((dispatch, life, answer));
            }
            Some(open @ Connection::Open { .. }) => send_dispatch(open, dispatch, life, answer),
            None => {
                self.connections.insert(
                    address.clone(),
                    Connection::Dialing(model::now(), vec![(dispatch, life, answer)]),
                );
                let (commands, greeting) = (self.commands.clone(), (self.handshake)());
                tokio::spawn(async move {
                    let conn = transport::dial(&address, greeting).await;
                    commands
                        .send(Command::Connected(address, conn))
                        .await
                        .unwrap_or_default();
                });
            }
        }
    }

    fn connected(
        &mut self,
        address: String,
        conn: Result<transport::Connection, transport::Error>,
    ) {
        let Some(Connection::Dialing(since, waiting)) = self.connections.remove(&address) else {
            return;
        };
        let waited = model::now() - since;
        match conn {
            Ok(conn) => {
                self.last_connection_id += 1;
                let token = self.last_connection_id;
                let mut line = Connection::Open {
                    connection_id: token,
                    incarnation: conn.peer_handshake.incarnation,
                    sender: conn.sender,
                    mark: 0,
                    pending: Default::default(),
                };
                waiting
                    .into_iter()
                    .for_each(|(mut dispatch, life, answer)| {
                        dispatch.time_left = dispatch.time_left.saturating_sub(waited);
                        send_dispatch(&mut line, dispatch, life, answer);
                    });
                self.connections.insert(address.clone(), line);
                tokio::spawn(receive_frames(
                    address,
                    token,
                    conn.receiver,
                    self.commands.clone(),
                ));
            }
            Err(trouble) => waiting.into_iter().for_each(|(_, _, answer)| {
                drop(answer.send(Err(Error::new(ErrorKind::Unreachable, trouble.to_string()))));
            }),
        }
    }
}

fn send_dispatch(
    line: &mut Connection,
    mut dispatch: Box<transport::AttemptRequest>,
    life: u64,
    answer: ReplySender,
) {
    let Connection::Open {
        incarnation: found,
        sender,
        pending,
        mark,
        ..
    } = line
    else {
        return;
    };
    if answer.is_closed() {
        // Its caller has given up, so it need not leave at all.
        return;
    }
    dispatch.last_watermark = *mark;
    if life != *found {
        let trouble = Error::new(
            ErrorKind::Unreachable,
            "another life of the far node answers there",
        );
        return drop(answer.send(Err(trouble)));
    }
    let number = dispatch.request_id;
    match sender.try_send(transport::Frame::Attempt(dispatch)) {
        Ok(()) => {
            pending.insert(number, answer);
        }
        // It never entered the buffer, so it never left.
        Err(_) => drop(answer.send(Err(Error::new(
            ErrorKind::Unreachable,
            "the conn to the far node takes nothing",
        )))),
    }
}

async fn receive_frames(
    address: String,
    token: u64,
    mut receiver: tokio::sync::mpsc::Receiver<transport::Frame>,
    commands: tokio::sync::mpsc::Sender<Command>,
) {
    while let Some(frame) = receiver.recv().await {
        let command = match frame {
            transport::Frame::AttemptResult {
                request_id: number,
                reply,
            } => Command::Reply(address.clone(), token, number, *reply),
            transport::Frame::Watermark(mark) => Command::Marked(address.clone(), token, mark),
            _ => continue,
        };
        commands.send(command).await.unwrap_or_default();
    }
    commands
        .send(Command::ConnectionLost(address, token))
        .await
        .unwrap_or_default();
}
