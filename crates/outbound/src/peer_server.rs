//! What a node serves to its peers: requests for the backend beside it, heartbeats, and reports of
//! the load on shard keys (design 13.2, 5.10).

use std::collections::HashMap;

use control::KnownReplicas;
use inbound::{ConcurrencyLimiter, ForwardOutcome};
use model::{Incarnation, Microseconds};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use transport::{
    Connection, EncodedRequest, Frame, HeaderDecoder, HeaderEncoder, LoadReport, Purpose,
};

use crate::HandshakeFactory;

/// Tells the failure detector which peer, in which incarnation, sent a heartbeat.
pub type HeartbeatSender = mpsc::Sender<(String, Incarnation)>;
/// Tells the placement coordinator how much its shard keys are asked for beside a peer.
pub type LoadReportSender = mpsc::Sender<LoadReport>;

/// Outcomes that may wait to be written to one connection.
const OUTCOME_CAPACITY: usize = 1_024;

/// Accepts peers' connections for ever and serves each in a task of its own.
pub async fn serve_peers(
    listener: TcpListener,
    handshake_factory: HandshakeFactory,
    known_replicas: KnownReplicas,
    limiter: ConcurrencyLimiter,
    (heartbeats, load_reports): (HeartbeatSender, LoadReportSender),
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (handshake_factory, known_replicas) =
                (handshake_factory.clone(), known_replicas.clone());
            let server = PeerServer {
                limiter: limiter.clone(),
                heartbeats: heartbeats.clone(),
                load_reports: load_reports.clone(),
            };
            tokio::spawn(async move {
                if let Some(connection) = accept(stream, handshake_factory, known_replicas).await {
                    server.serve(connection).await;
                }
            });
        }
    }
}

/// The handshake: takes over the replicas that the peer knows, and refuses what only a replica serves.
async fn accept(
    stream: TcpStream,
    handshake_factory: HandshakeFactory,
    known_replicas: KnownReplicas,
) -> Option<Connection> {
    let accepted = transport::accept(stream, |peer| async move {
        control::membership::discovery::merge(&known_replicas, peer.known_replicas);
        match peer.purpose {
            Purpose::Consensus | Purpose::RequestAssignment => Err("no core seat is here".into()),
            purpose => Ok((handshake_factory)(purpose)),
        }
    });
    accepted.await.ok()
}

/// Requests of one connection, by the peer's request id. Dropping it aborts them: with the
/// connection goes whoever waited on it.
#[derive(Default)]
struct RunningRequests {
    tasks: HashMap<u32, AbortHandle>,
}

impl Drop for RunningRequests {
    fn drop(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}

struct PeerServer {
    limiter: ConcurrencyLimiter,
    heartbeats: HeartbeatSender,
    load_reports: LoadReportSender,
}

impl PeerServer {
    /// Serves one connection to its end.
    async fn serve(self, mut connection: Connection) {
        let (mut encoder, mut decoder) = (HeaderEncoder::default(), HeaderDecoder::default());
        let (outcome_sender, mut outcomes) =
            mpsc::channel::<(u32, ForwardOutcome)>(OUTCOME_CAPACITY);
        let mut running = RunningRequests::default();
        loop {
            let frame = tokio::select! { frame = connection.receiver.recv() => match frame { Some(frame) => frame, None => return }, Some((request_id, outcome)) = outcomes.recv() => { running.tasks.remove(&request_id); let response = response_frame(request_id, outcome, &mut encoder); if connection.sender.send(response).await.is_err() { return; } continue; } };
            match frame {
                Frame::ForwardedRequest(request_id, encoded) => {
                    let task =
                        self.run_request(request_id, *encoded, &mut decoder, &outcome_sender);
                    let Ok(task) = task else { return };
                    running.tasks.insert(request_id, task);
                }
                // What is queued never begins; what runs is broken off if it is idempotent (design 13.2).
                Frame::CancelRequest(request_id) => {
                    if let Some(task) = running.tasks.remove(&request_id) {
                        task.abort();
                    }
                }
                Frame::Heartbeat => {
                    let peer = &connection.peer_handshake;
                    let heartbeat = (peer.node_name.clone(), peer.incarnation);
                    self.heartbeats.send(heartbeat).await.unwrap_or_default();
                }
                // A report that finds no room is followed by the next.
                Frame::LoadReport(load_report) => drop(self.load_reports.try_send(*load_report)),
                _ => {}
            }
        }
    }

    /// Starts a request.
    ///
    /// # Errors
    ///
    /// If it cannot be decoded; the connection has to end then.
    fn run_request(
        &self,
        request_id: u32,
        encoded: EncodedRequest,
        decoder: &mut HeaderDecoder,
        outcomes: &mpsc::Sender<(u32, ForwardOutcome)>,
    ) -> Result<AbortHandle, transport::Error> {
        let request = encoded.decode(decoder)?;
        let (limiter, outcomes) = (self.limiter.clone(), outcomes.clone());
        let task = tokio::spawn(async move {
            let outcome = limiter.perform(Box::new(request)).await;
            outcomes
                .send((request_id, outcome))
                .await
                .unwrap_or_default();
        });
        Ok(task.abort_handle())
    }
}

fn response_frame(
    request_id: u32,
    (result, expected_wait): ForwardOutcome,
    encoder: &mut HeaderEncoder,
) -> Frame {
    let expected_wait = expected_wait.min(Microseconds::from(u32::MAX)) as u32;
    match result {
        Ok(response) => Frame::ForwardedResponse(
            request_id,
            expected_wait,
            Box::new(response.encode(encoder)),
        ),
        Err(error) => Frame::ForwardFailed(request_id, expected_wait, Box::new(error)),
    }
}
