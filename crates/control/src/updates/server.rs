//! Accepts and serves the connections to a replica: from peers, from machines that request a
//! replica, and from nodes that subscribe, request freshness proofs and forward entries (design
//! 5.2, 6.2).

use std::time::Duration;

use model::state_slice::ServiceSet;
use model::{Entry, Position, StateSlice};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use transport::{Connection, Frame, FrameSender, Handshake, Purpose, Rejection};

use crate::membership::{bootstrap, discovery};
use crate::replica::{ReplicaHandle, peer_link};

/// Time for which the connection stays open after a replica assignment was sent, if the machine
/// that requested it does not close it earlier.
const ASSIGNMENT_LINGER: Duration = Duration::from_secs(2);

/// Capacity of the queue of completed reads of one subscriber, whose proofs are to be sent.
const PROOF_QUEUE_CAPACITY: usize = 64;

/// Returns the frame that brings a subscriber from `last_sent` to `slice`: the whole slice, a
/// patch, or `None` if the content is the same. Also updates `last_sent`.
pub(crate) fn update_frame(last_sent: &mut Option<StateSlice>, slice: StateSlice) -> Option<Frame> {
    let frame = match last_sent.as_ref() {
        Some(sent) if sent.same_content(&slice) => return None,
        Some(sent) => Frame::StatePatch(Box::new(sent.diff_to(&slice))),
        None => Frame::StateUpdate(Box::new(slice.clone())),
    };
    *last_sent = Some(slice);
    Some(frame)
}

/// Accepts and serves connections for as long as the process runs.
pub async fn listen(handle: ReplicaHandle, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(accept_connection(handle.clone(), stream));
        }
    }
}

async fn accept_connection(handle: ReplicaHandle, stream: TcpStream) {
    let authorizing_handle = handle.clone();
    let authorize =
        |caller: Handshake| async move { authorize(&authorizing_handle, &caller).await };
    match transport::accept(stream, authorize).await {
        Ok(connection) => serve(handle, connection).await,
        Err(error) => slog::debug!(handle.logger, "did not accept a connection";
            "error" => %error),
    }
}

/// Returns the handshake that answers a caller, or the reason why the caller is refused. The text
/// is sent to the caller and is part of the protocol.
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
        // The handshakes have already exchanged the known locations.
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
    let answer = bootstrap::assignment_answer(handle, &connection.peer_handshake).await;
    // If the send fails, the machine connects and asks again.
    drop(connection.sender.send(answer).await);
    let mut receiver = connection.receiver;
    // The connection ends after the timeout as well as when the machine closes it.
    drop(timeout(ASSIGNMENT_LINGER, receiver.recv()).await);
}

/// The slice to which a node subscribed.
struct SubscribedSlice {
    services: ServiceSet,
    /// The position that the node holds from an earlier connection.
    held: Position,
}

/// The state of a connection from a node to the replica.
struct Subscriber {
    handle: ReplicaHandle,
    sender: FrameSender,
    /// Receives the id of each proof request whose read is done.
    proved_sender: mpsc::Sender<u64>,
    proved: mpsc::Receiver<u64>,
    subscription: Option<SubscribedSlice>,
    last_sent: Option<StateSlice>,
    /// Whether the node follows the cluster state. The event loop then sends its updates and
    /// proofs.
    follows_cluster_state: bool,
}

/// The connection has ended.
struct Ended;

impl Subscriber {
    fn new(handle: ReplicaHandle, sender: FrameSender) -> Subscriber {
        let (proved_sender, proved) = mpsc::channel(PROOF_QUEUE_CAPACITY);
        Subscriber {
            handle,
            sender,
            proved_sender,
            proved,
            subscription: None,
            last_sent: None,
            follows_cluster_state: false,
        }
    }

    async fn serve(mut self, mut receiver: mpsc::Receiver<Frame>) {
        let mut position = self.handle.position.clone();
        loop {
            let proved = tokio::select! {
                frame = receiver.recv() => match frame {
                    Some(Frame::Subscribe { services, held_position }) => {
                        self.subscription = Some(SubscribedSlice {
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
                proved = self.proved.recv() => proved,
                changed = position.changed() => if changed.is_err() { return } else { None },
            };
            if self.send_updates(proved).await.is_err() {
                return;
            }
        }
    }

    /// Handles a frame of the node. Send errors are ignored, because they occur only when the
    /// process stops or the connection has ended.
    async fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::FollowClusterState { held_position } => {
                self.follows_cluster_state = true;
                drop(self.handle.follow(held_position, self.sender.clone()).await);
            }
            Frame::RequestProof { request_id } if self.follows_cluster_state => {
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
        let (handle, proved_sender) = (self.handle.clone(), self.proved_sender.clone());
        tokio::spawn(async move {
            if handle.read_barrier().await.is_some() {
                let _ = proved_sender.send(request_id).await;
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

    /// Sends the changes of the subscribed slice, and then the proof that covers them. A replica
    /// that has not reached the position held by the node sends nothing: an early update would be
    /// recorded as sent although the node drops it, and its content could later be mistaken for
    /// unchanged.
    async fn send_updates(&mut self, proved: Option<u64>) -> Result<(), Ended> {
        let Some(SubscribedSlice { services, held }) = &self.subscription else {
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
