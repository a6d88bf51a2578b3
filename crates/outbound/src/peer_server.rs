//! Server for peer nodes. It accepts requests for the backend beside this node, heartbeats, and
//! reports on the load of shard keys (design 13.2, 5.10).

use std::collections::{HashMap, VecDeque};
use std::mem;
use std::sync::Arc;

use bytes::Bytes;
use control::KnownReplicas;
use inbound::{ConcurrencyLimiter, ForwardOutcome};
use model::{Error, ErrorKind, Incarnation, Microseconds};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use transport::bodies::{BODY_PART_BYTES, BODY_PARTS_VERSION, IncomingBodies, OutgoingBodies};
use transport::{
    Connection, ForwardedRequest, ForwardedResponse, Frame, HeaderDecoder, HeaderEncoder,
    LoadReport, Purpose,
};

use crate::peer_connections::MAX_UNDIVIDED_BODY_BYTES;
use crate::{HandshakeFactory, InFlightGuard, InFlightRequests};

/// Sends the name and incarnation of each peer that sent a heartbeat to the failure detector.
pub type HeartbeatSender = mpsc::Sender<(String, Incarnation)>;
/// Sends peers' reports on the load of shard keys to the placement coordinator.
pub type LoadReportSender = mpsc::Sender<LoadReport>;

/// Capacity of the queue of outcomes that wait to be written to one connection.
const OUTCOME_CAPACITY: usize = 1_024;

/// What serves the frames of peers.
#[derive(Clone)]
pub struct PeerServices {
    /// The concurrency limiter of the backend beside this node.
    pub limiter: ConcurrencyLimiter,
    /// Counts the requests of peers, each until its answer is written to the connection.
    pub in_flight: InFlightRequests,
    /// Receives the heartbeats.
    pub heartbeats: HeartbeatSender,
    /// Receives the load reports.
    pub load_reports: LoadReportSender,
}

/// Accepts connections from peers indefinitely and serves each connection in its own task.
pub async fn serve_peers(
    listener: TcpListener,
    handshake_factory: HandshakeFactory,
    known_replicas: KnownReplicas,
    services: PeerServices,
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (handshake_factory, known_replicas) =
                (handshake_factory.clone(), known_replicas.clone());
            let services = services.clone();
            tokio::spawn(async move {
                if let Some(connection) = accept(stream, handshake_factory, known_replicas).await {
                    PeerConnection::serve(services, connection).await;
                }
            });
        }
    }
}

/// Performs the handshake: merges the replicas that the peer knows into `known_replicas`, and
/// refuses connections whose purpose only a replica serves.
async fn accept(
    stream: TcpStream,
    handshake_factory: HandshakeFactory,
    known_replicas: KnownReplicas,
) -> Option<Connection> {
    let accepted = transport::accept(stream, |peer| async move {
        control::membership::discovery::merge(&known_replicas, peer.known_replicas);
        match peer.purpose {
            Purpose::Consensus | Purpose::RequestAssignment => {
                Err("this node is not a core replica".into())
            }
            purpose => Ok((handshake_factory)(purpose)),
        }
    });
    accepted.await.ok()
}

/// A request that was passed to the limiter.
struct RunningRequest {
    task: AbortHandle,
    withdrawal: Arc<Notify>,
}

/// The running requests of one connection, by the peer's request id. Dropping this aborts them,
/// because nobody waits for their outcome after the connection has ended.
#[derive(Default)]
struct RunningRequests {
    by_id: HashMap<u32, RunningRequest>,
}

impl Drop for RunningRequests {
    fn drop(&mut self) {
        for request in self.by_id.values() {
            request.task.abort();
        }
    }
}

/// A request whose body is being received.
struct IncomingRequest {
    request: ForwardedRequest,
    received_at: Microseconds,
}

impl IncomingRequest {
    /// Returns the request with its body and with the time that is left after the transfer.
    fn complete(self, body: Bytes) -> ForwardedRequest {
        let transfer_time = model::now().saturating_sub(self.received_at);
        ForwardedRequest {
            body,
            time_left: self.request.time_left.saturating_sub(transfer_time),
            latency_target: self.request.latency_target.saturating_sub(transfer_time),
            ..self.request
        }
    }
}

/// The connection of one peer.
struct PeerConnection {
    services: PeerServices,
    connection: Connection,
    encoder: HeaderEncoder,
    decoder: HeaderDecoder,
    running: RunningRequests,
    /// Where running requests send their outcomes.
    outcome_sender: mpsc::Sender<(u32, ForwardOutcome)>,
    incoming_bodies: IncomingBodies<IncomingRequest>,
    /// Bodies of responses.
    outgoing_bodies: OutgoingBodies,
    /// The requests that are not answered yet, or whose answer's body is not sent as a whole.
    unanswered: HashMap<u32, InFlightGuard>,
    /// The number of frames that were sent.
    sent_frames: u64,
    /// The requests whose answer is sent and may not be written yet, with the number of frames that
    /// have to be written first.
    unwritten: VecDeque<(u64, InFlightGuard)>,
}

/// The connection has ended or has to be closed.
struct Ended;

impl PeerConnection {
    /// Serves the connection until it ends.
    async fn serve(services: PeerServices, connection: Connection) {
        let (outcome_sender, mut outcomes) = mpsc::channel(OUTCOME_CAPACITY);
        let part_sender = connection.part_sender.clone();
        let mut written_frames = connection.written_frames.clone();
        let mut peer = PeerConnection {
            services,
            connection,
            encoder: HeaderEncoder::default(),
            decoder: HeaderDecoder::default(),
            running: RunningRequests::default(),
            outcome_sender,
            incoming_bodies: IncomingBodies::default(),
            outgoing_bodies: OutgoingBodies::default(),
            unanswered: HashMap::new(),
            sent_frames: 0,
            unwritten: VecDeque::new(),
        };
        loop {
            let handled = tokio::select! {
                frame = peer.connection.receiver.recv() => match frame {
                    Some(frame) => peer.receive(frame).await,
                    None => Err(Ended),
                },
                Some((request_id, outcome)) = outcomes.recv() => {
                    peer.running.by_id.remove(&request_id);
                    peer.respond(request_id, outcome).await
                }
                permit = part_sender.reserve(), if !peer.outgoing_bodies.is_empty() => {
                    match (permit, peer.outgoing_bodies.next_part()) {
                        (Ok(permit), Some((request_id, part))) => {
                            permit.send(part);
                            peer.sent(request_id);
                            Ok(())
                        }
                        _ => Err(Ended),
                    }
                }
                changed = written_frames.changed(), if !peer.unwritten.is_empty() => {
                    peer.written(*written_frames.borrow_and_update());
                    changed.map_err(|_| Ended)
                }
            };
            if handled.is_err() {
                return;
            }
        }
    }

    async fn receive(&mut self, frame: Frame) -> Result<(), Ended> {
        match frame {
            Frame::ForwardedRequest(request_id, encoded) => {
                let request = encoded.decode(&mut self.decoder).map_err(|_| Ended)?;
                self.unanswered.extend(
                    self.services
                        .in_flight
                        .begin()
                        .map(|guard| (request_id, guard)),
                );
                let received_at = model::now();
                let incoming = IncomingRequest {
                    request,
                    received_at,
                };
                if let Some(complete) = self.incoming_bodies.add_message(request_id, incoming) {
                    self.run_request(request_id, complete.request);
                }
            }
            Frame::BodyFollows(request_id, length) => {
                self.incoming_bodies.announce(request_id, length);
            }
            Frame::BodyPart(request_id, part) => {
                let complete = self.incoming_bodies.add_part(request_id, part);
                if let Some((incoming, body)) = complete.map_err(|_| Ended)? {
                    self.run_request(request_id, incoming.complete(body));
                }
            }
            // A queued request is never started; a running request is cancelled only if it is
            // idempotent (design 13.2).
            Frame::CancelRequest(request_id) => {
                self.unanswered.remove(&request_id);
                self.incoming_bodies.remove(request_id);
                self.outgoing_bodies.remove(request_id);
                if let Some(request) = self.running.by_id.remove(&request_id) {
                    request.task.abort();
                }
            }
            Frame::WithdrawRequest(request_id) => return self.withdraw(request_id).await,
            Frame::Heartbeat => {
                let peer = &self.connection.peer_handshake;
                let heartbeat = (peer.node_name.clone(), peer.incarnation);
                let sent = self.services.heartbeats.send(heartbeat);
                sent.await.unwrap_or_default();
            }
            // A report that does not fit into the queue is dropped; another one follows.
            Frame::LoadReport(load_report) => {
                drop(self.services.load_reports.try_send(*load_report));
            }
            _ => {}
        }
        Ok(())
    }

    /// Starts a request in a separate task.
    fn run_request(&mut self, request_id: u32, request: ForwardedRequest) {
        let (limiter, outcomes) = (self.services.limiter.clone(), self.outcome_sender.clone());
        let withdrawal = Arc::new(Notify::new());
        let withdrawn = withdrawal.clone().notified_owned();
        let task = tokio::spawn(async move {
            let request = Box::new(request);
            let outcome = limiter.perform_unless_withdrawn(request, withdrawn).await;
            outcomes
                .send((request_id, outcome))
                .await
                .unwrap_or_default();
        });
        let running = RunningRequest {
            task: task.abort_handle(),
            withdrawal,
        };
        self.running.by_id.insert(request_id, running);
    }

    async fn withdraw(&mut self, request_id: u32) -> Result<(), Ended> {
        if let Some(request) = self.running.by_id.get(&request_id) {
            request.withdrawal.notify_one();
        } else if self.incoming_bodies.remove(request_id) {
            let error = Error::new(
                ErrorKind::ShuttingDown,
                "the request was withdrawn before its body was complete",
            );
            return self.respond(request_id, (Err(error), 0)).await;
        }
        Ok(())
    }

    async fn respond(
        &mut self,
        request_id: u32,
        (result, expected_wait): ForwardOutcome,
    ) -> Result<(), Ended> {
        let expected_wait = expected_wait.min(Microseconds::from(u32::MAX)) as u32;
        match result.and_then(|response| self.check_length(response)) {
            Ok(response) => {
                self.send_response(request_id, expected_wait, response)
                    .await
            }
            Err(error) => {
                let frame = Frame::ForwardFailed(request_id, expected_wait, Box::new(error));
                self.send(frame).await?;
                self.sent_answer(request_id);
                Ok(())
            }
        }
    }

    /// Handles that a part of an answer was sent.
    fn sent(&mut self, request_id: u32) {
        self.sent_frames += 1;
        self.sent_answer(request_id);
    }

    /// From now on the answer only has to be written, unless parts of its body are still to be sent.
    fn sent_answer(&mut self, request_id: u32) {
        if self.outgoing_bodies.contains(request_id) {
            return;
        }
        if let Some(guard) = self.unanswered.remove(&request_id) {
            self.unwritten.push_back((self.sent_frames, guard));
        }
    }

    /// Handles that this many frames are written.
    fn written(&mut self, frames: u64) {
        while self
            .unwritten
            .pop_front_if(|(required, _)| *required <= frames)
            .is_some()
        {}
    }

    /// Fails if the peer is of an earlier build, which cannot receive a body of this length.
    fn check_length(&self, response: ForwardedResponse) -> Result<ForwardedResponse, Error> {
        if self.sends_parts() || response.body.len() <= MAX_UNDIVIDED_BODY_BYTES {
            return Ok(response);
        }
        Err(Error::new(
            ErrorKind::ResponseTooLarge,
            "the response is too long for a peer node of an earlier build",
        ))
    }

    fn sends_parts(&self) -> bool {
        self.connection.protocol_version >= BODY_PARTS_VERSION
    }

    async fn send_response(
        &mut self,
        request_id: u32,
        expected_wait: u32,
        mut response: ForwardedResponse,
    ) -> Result<(), Ended> {
        if self.sends_parts() && response.body.len() > BODY_PART_BYTES {
            let body = mem::take(&mut response.body);
            let announcement = self.outgoing_bodies.add(request_id, body);
            self.send(announcement).await?;
        }
        let encoded = Box::new(response.encode(&mut self.encoder));
        let frame = Frame::ForwardedResponse(request_id, expected_wait, encoded);
        self.send(frame).await?;
        self.sent_answer(request_id);
        Ok(())
    }

    async fn send(&mut self, frame: Frame) -> Result<(), Ended> {
        let sent = self.connection.sender.send(frame).await;
        sent.map_err(|_| Ended)?;
        self.sent_frames += 1;
        Ok(())
    }
}
