//! Serves everyone who connects to a replica: peers, machines that ask for a replica, and nodes
//! with their subscriptions, proofs and forwarded entries (design 5.2, 6.2).

use std::time::Duration;

use model::state_slice::ServiceSet;
use model::{Entry, Position, StateSlice};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use transport::{Connection, Frame, FrameSender, Handshake, Purpose, Rejection};

use crate::membership::{bootstrap, discovery};
use crate::replica::{ReplicaHandle, peer_link};

/// A machine that was answered about a replica closes the connection; it is closed here after so
/// long.
const ASSIGNMENT_LINGER: Duration = Duration::from_secs(2);

/// Proofs of one subscriber that may wait to be sent.
const PROOF_QUEUE_CAPACITY: usize = 64;

/// What a subscriber that was last sent `last_sent` has to be sent: nothing, a patch, or all.
pub(crate) fn update_frame(last_sent: &mut Option<StateSlice>, slice: StateSlice) -> Option<Frame> {
    let frame = match last_sent.as_ref() {
        Some(held) if held.same_content(&slice) => return None,
        Some(held) => Frame::StatePatch(Box::new(held.diff_to(&slice))),
        None => Frame::StateUpdate(Box::new(slice.clone())),
    };
    *last_sent = Some(slice);
    Some(frame)
}

/// Serves everyone who connects, for as long as the process runs.
pub async fn listen(handle: ReplicaHandle, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(accept_connection(handle.clone(), stream));
        }
    }
}

async fn accept_connection(handle: ReplicaHandle, stream: TcpStream) {
    let authorizing = handle.clone();
    let authorize = |caller: Handshake| async move { authorize(&authorizing, &caller).await };
    match transport::accept(stream, authorize).await {
        Ok(connection) => serve(handle, connection).await,
        Err(error) => slog::debug!(handle.logger, "a connection was not accepted";
            "error" => %error),
    }
}

/// The handshake that answers a caller, or why it is refused; callers read that text, which is
/// part of the protocol.
async fn authorize(handle: &ReplicaHandle, caller: &Handshake) -> Result<Handshake, Rejection> {
    discovery::merge(&handle.known_replicas, caller.known_replicas.clone());
    match caller.purpose {
        Purpose::Consensus => {
            let pinned = peer_link::pin_peer(handle, caller).await;
            pinned.map_err(|refused| Rejection::from(refused.to_string()))?;
        }
        Purpose::Forward | Purpose::Monitor => {
            return Err("a core seat takes neither requests nor beats".into());
        }
        Purpose::Discover => peer_link::handle_replacement_request(handle, caller).await,
        Purpose::Subscribe | Purpose::Inspect | Purpose::RequestAssignment => {}
    }
    Ok(handle.handshake(caller.purpose))
}

async fn serve(handle: ReplicaHandle, connection: Connection) {
    if !peer_link::is_expected_disk(&handle, &connection.peer_handshake) {
        return;
    }
    match connection.peer_handshake.purpose {
        Purpose::Consensus => peer_link::serve_peer(&handle, connection).await,
        // The handshakes said all there is to say.
        Purpose::Discover => {}
        Purpose::RequestAssignment => answer_assignment(&handle, connection).await,
        _ => {
            Subscriber::new(handle, connection.sender)
                .serve(connection.receiver)
                .await
        }
    }
}

async fn answer_assignment(handle: &ReplicaHandle, connection: Connection) {
    let answer = bootstrap::membership_answer(handle, &connection.peer_handshake);
    // A machine that is gone asks again.
    drop(connection.sender.send(answer).await);
    let mut receiver = connection.receiver;
    // Both ends of the wait end the connection.
    drop(timeout(ASSIGNMENT_LINGER, receiver.recv()).await);
}

/// What a node subscribed to.
struct SubscribedSlice {
    services: ServiceSet,
    /// The position that the node holds from an earlier connection.
    held: Position,
}

/// The replica's side of a connection to a node.
struct Subscriber {
    handle: ReplicaHandle,
    sender: FrameSender,
    /// Where reads for proofs report that they are done.
    proved: mpsc::Sender<u64>,
    proofs: mpsc::Receiver<u64>,
    subscribed: Option<SubscribedSlice>,
    last_sent: Option<StateSlice>,
    /// The node follows the cluster state: the event loop sends its updates and proofs.
    follows: bool,
}

/// The connection is of no use any more.
struct Ended;

impl Subscriber {
    fn new(handle: ReplicaHandle, sender: FrameSender) -> Subscriber {
        let (proved, proofs) = mpsc::channel(PROOF_QUEUE_CAPACITY);
        Subscriber {
            handle,
            sender,
            proved,
            proofs,
            subscribed: None,
            last_sent: None,
            follows: false,
        }
    }

    async fn serve(mut self, mut receiver: mpsc::Receiver<Frame>) {
        let mut position = self.handle.position.clone();
        loop {
            let proved = tokio::select! {
                frame = receiver.recv() => match frame {
                    Some(Frame::Subscribe { services, held_position }) => {
                        self.subscribed = Some(SubscribedSlice {
                            services,
                            held: held_position,
                        });
                        None
                    }
                    Some(frame) => {
                        self.handle_frame(frame).await;
                        continue;
                    }
                    None => return,
                },
                proved = self.proofs.recv() => proved,
                changed = position.changed() => if changed.is_err() { return } else { None },
            };
            if self.send_news(proved).await.is_err() {
                return;
            }
        }
    }

    /// Answers to frames that are late because the process stops are dropped.
    async fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::FollowClusterState { held_position } => {
                self.follows = true;
                drop(self.handle.follow(held_position, self.sender.clone()).await);
            }
            Frame::RequestProof { request_id } if self.follows => {
                let sender = self.sender.clone();
                drop(self.handle.request_proof(request_id, sender).await);
            }
            Frame::RequestProof { request_id } => self.prove(request_id),
            Frame::ForwardEntry { request_id, entry } => self.submit(request_id, *entry),
            Frame::Inspect => self.send_inspection().await,
            _ => {}
        }
    }

    fn prove(&self, request_id: u64) {
        let (handle, proved) = (self.handle.clone(), self.proved.clone());
        tokio::spawn(async move {
            if handle.read_barrier().await.is_some() {
                let _ = proved.send(request_id).await;
            }
        });
    }

    fn submit(&self, request_id: u64, entry: Entry) {
        let (handle, sender) = (self.handle.clone(), self.sender.clone());
        tokio::spawn(async move {
            let outcome = handle.submit(entry).await;
            let answer = Frame::EntryOutcome {
                request_id,
                outcome,
            };
            drop(sender.send(answer).await);
        });
    }

    async fn send_inspection(&self) {
        let state_machine = self.handle.state_machine.load_full();
        let inspection = serde_json::to_vec(&*state_machine).unwrap_or_default();
        drop(self.sender.send(Frame::Inspection(inspection)).await);
    }

    /// Sends what changed of the subscribed slice, and then the proof that rests on it, which the
    /// node receives in this order. A replica that has not reached the position that the node holds
    /// sends nothing: an early update could later pass for an unchanged one.
    async fn send_news(&mut self, proved: Option<u64>) -> Result<(), Ended> {
        let Some(SubscribedSlice { services, held }) = &self.subscribed else {
            return Ok(());
        };
        let state_machine = self.handle.state_machine.load_full();
        if state_machine.position < *held {
            return Ok(());
        }
        let slice = StateSlice::for_services(&state_machine, services);
        let position = slice.position;
        if let Some(update) = update_frame(&mut self.last_sent, slice) {
            self.sender.send(update).await.map_err(|_| Ended)?;
        }
        if let Some(request_id) = proved {
            let proof = Frame::Proof {
                request_id,
                position,
            };
            self.sender.send(proof).await.map_err(|_| Ended)?;
        }
        Ok(())
    }
}
