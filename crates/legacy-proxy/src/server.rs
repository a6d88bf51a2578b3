//! What a node serves to its peers: attempts on the backends beside it, heartbeats, inspection, and
//! updates of the state it follows (design 5.2).

use std::sync::Arc;
use std::time::Duration;

use control::KnownReplicas;
use control::failure_detection::monitor::HeartbeatSender;
use control::membership::discovery;
use control::updates::relay::Relay;
use tokio::net::TcpListener;
use tokio::time::{self, MissedTickBehavior};
use transport::{Connection, Frame, Handshake, Purpose};

use crate::InboundProxy;
use crate::age_marks::{AgeWatermarks, WATERMARK_INTERVAL};

/// Accepts peers' connections for ever and serves each in a task of its own.
pub async fn serve_peers(
    listener: TcpListener,
    handshake: impl Fn() -> Handshake + Send + Sync + 'static,
    known_replicas: KnownReplicas,
    inbound: InboundProxy,
    relay: Relay,
    heartbeats: HeartbeatSender,
) {
    let handshake = Arc::new(handshake);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (handshake, known_replicas, inbound) =
                (handshake.clone(), known_replicas.clone(), inbound.clone());
            let (relay, heartbeats) = (relay.clone(), heartbeats.clone());
            tokio::spawn(async move {
                let accepted = transport::accept(stream, |peer| async move {
                    discovery::merge(&known_replicas, peer.known_replicas);
                    match peer.purpose {
                        Purpose::Consensus => Err("no core seat is here".into()),
                        _ => Ok((handshake)()),
                    }
                })
                .await;
                if let Ok(connection) = accepted {
                    serve_connection(connection, inbound, relay, heartbeats).await;
                }
            });
        }
    }
}

async fn serve_connection(
    mut connection: Connection,
    inbound: InboundProxy,
    relay: Relay,
    heartbeats: HeartbeatSender,
) {
    let mut marks = AgeWatermarks::new(model::now());
    let mut mark_interval = time::interval(Duration::from_micros(WATERMARK_INTERVAL));
    mark_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            frame = connection.receiver.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            _ = mark_interval.tick(), if connection.peer_handshake.purpose == Purpose::Forward => {
                let mark = marks.issue(model::now());
                // A peer that takes nothing just now goes without; its requests then look older, not younger.
                drop(connection.sender.try_send(Frame::Watermark(mark)));
                continue;
            }
        };
        match frame {
            Frame::Attempt(mut request) => {
                request.time_left =
                    marks.time_left(model::now(), request.last_watermark, request.time_left);
                let (inbound, replies) = (inbound.clone(), connection.sender.clone());
                tokio::spawn(async move {
                    let request_id = request.request_id;
                    let reply = Box::new(inbound.perform(*request).await);
                    replies
                        .send(Frame::AttemptResult { request_id, reply })
                        .await
                        .unwrap_or_default();
                });
            }
            Frame::Inspect => {
                let inspection = serde_json::to_vec(&*relay.view.load().slice).unwrap_or_default();
                connection
                    .sender
                    .send(Frame::Inspection(inspection))
                    .await
                    .unwrap_or_default();
            }
            Frame::Heartbeat => {
                let peer = (
                    connection.peer_handshake.node_name.clone(),
                    connection.peer_handshake.incarnation,
                );
                heartbeats.send(peer).await.unwrap_or_default();
            }
            Frame::Subscribe {
                services,
                held_position,
            } => {
                return relay.serve(connection, services, held_position).await;
            }
            _ => {}
        }
    }
}
