//! The server for peer nodes: runs attempts on the backends beside this node, and serves
//! heartbeats, inspection and updates of the state that this node follows (design 5.2).

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

/// Accepts connections of peers and serves each in a separate task. Does not return.
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
                        Purpose::Consensus => Err("this node is not a core replica".into()),
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
    let mut watermarks = AgeWatermarks::new(model::now());
    let mut watermark_interval = time::interval(Duration::from_micros(WATERMARK_INTERVAL));
    watermark_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            frame = connection.receiver.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            _ = watermark_interval.tick(), if connection.peer_handshake.purpose == Purpose::Forward => {
                let watermark = watermarks.issue(model::now());
                // If the send queue is full, the watermark is dropped: the peer's requests then
                // appear older, never younger, than they are.
                drop(connection.sender.try_send(Frame::Watermark(watermark)));
                continue;
            }
        };
        match frame {
            Frame::Attempt(mut request) => {
                request.time_left =
                    watermarks.time_left(model::now(), request.last_watermark, request.time_left);
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
