//! What a node answers its mates (design 5.2).

use std::sync::Arc;
use std::time::Duration;

pub async fn serve_peers(
    listener: tokio::net::TcpListener,
    greeting: impl Fn() -> transport::Handshake + Send + Sync + 'static,
    known: control::KnownReplicas,
    far: crate::InboundProxy,
    relay: control::updates::relay::Relay,
    heard: control::failure_detection::monitor::HeartbeatSender,
) {
    let greeting = Arc::new(greeting);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (greeting, known, far) = (greeting.clone(), known.clone(), far.clone());
            let (relay, heard) = (relay.clone(), heard.clone());
            tokio::spawn(async move {
                let accepted = transport::accept(stream, |caller| async move {
                    control::membership::discovery::merge(&known, caller.known_replicas);
                    match caller.purpose {
                        transport::Purpose::Consensus => Err("no core seat is here".into()),
                        _ => Ok((greeting)()),
                    }
                })
                .await;
                if let Ok(conn) = accepted {
                    serve_connection(conn, far, relay, heard).await;
                }
            });
        }
    }
}

async fn serve_connection(
    mut conn: transport::Connection,
    far: crate::InboundProxy,
    relay: control::updates::relay::Relay,
    heard: control::failure_detection::monitor::HeartbeatSender,
) {
    let mut marks = crate::age_marks::AgeMarks::new(model::now());
    let mut every = tokio::time::interval(Duration::from_micros(crate::age_marks::MARK_INTERVAL));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            frame = conn.receiver.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            _ = every.tick(), if conn.peer_handshake.purpose == transport::Purpose::Forward => {
                let mark = marks.issue(model::now());
                // A mate that takes nothing just now goes without; its dispatches then look older, not younger.
                drop(conn.sender.try_send(transport::Frame::Watermark(mark)));
                continue;
            }
        };
        match frame {
            transport::Frame::Attempt(mut dispatch) => {
                dispatch.time_left =
                    marks.time_left(model::now(), dispatch.last_watermark, dispatch.time_left);
                let (far, replies) = (far.clone(), conn.sender.clone());
                tokio::spawn(async move {
                    let number = dispatch.request_id;
                    let reply = Box::new(far.perform(*dispatch).await);
                    replies
                        .send(transport::Frame::AttemptResult {
                            request_id: number,
                            reply,
                        })
                        .await
                        .unwrap_or_default();
                });
            }
            transport::Frame::Inspect => {
                let seen = serde_json::to_vec(&*relay.view.load().slice).unwrap_or_default();
                conn.sender
                    .send(transport::Frame::Inspection(seen))
                    .await
                    .unwrap_or_default();
            }
            transport::Frame::Heartbeat => {
                let ward = (
                    conn.peer_handshake.node_name.clone(),
                    conn.peer_handshake.incarnation,
                );
                heard.send(ward).await.unwrap_or_default();
            }
            transport::Frame::Subscribe {
                services,
                held_position: held,
            } => {
                return relay.serve(conn, services, held).await;
            }
            _ => {}
        }
    }
}
