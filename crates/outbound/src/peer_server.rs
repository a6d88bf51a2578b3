//! What a node answers its mates: requests for the back end beside it, and beats (design 13.2, 5.10).

use std::collections::HashMap;

/// Tells the watch that a ward was heard.
pub type HeartbeatSender = tokio::sync::mpsc::Sender<(String, model::Incarnation)>;
/// What back ends are asked for, told to whoever places keys here.
pub type LoadReportSender = tokio::sync::mpsc::Sender<transport::LoadReport>;

pub async fn serve_peers(
    listener: tokio::net::TcpListener,
    greet: crate::peer_connections::HandshakeInfo,
    known: control::KnownReplicas,
    pit: inbound::ConcurrencyLimiter,
    (heard, loads): (HeartbeatSender, LoadReportSender),
) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (greet, known, pit, heard) = (
                greet.clone(),
                known.clone(),
                pit.clone(),
                (heard.clone(), loads.clone()),
            );
            tokio::spawn(async move {
                let accepted = transport::accept(stream, |caller| async move {
                    control::membership::discovery::merge(&known, caller.known_replicas);
                    match caller.purpose {
                        transport::Purpose::Consensus | transport::Purpose::RequestAssignment => {
                            Err("no core seat is here".into())
                        }
                        purpose => Ok((greet)(purpose)),
                    }
                })
                .await;
                if let Ok(conn) = accepted {
                    serve_connection(conn, pit, heard).await;
                }
            });
        }
    }
}

/// Requests of one conn, by number.
#[derive(Default)]
struct RunningRequests(HashMap<u32, tokio::task::AbortHandle>);

impl Drop for RunningRequests {
    fn drop(&mut self) {
        self.0.values().for_each(tokio::task::AbortHandle::abort);
    }
}

async fn serve_connection(
    mut conn: transport::Connection,
    pit: inbound::ConcurrencyLimiter,
    (heard, loads): (HeartbeatSender, LoadReportSender),
) {
    let (mut encoder, mut decoder) = (
        transport::HeaderEncoder::default(),
        transport::HeaderDecoder::default(),
    );
    let (ended, mut outcomes) = tokio::sync::mpsc::channel::<(u32, inbound::Outcome)>(1_024);
    // With the conn goes whoever waited on it.
    let mut running = RunningRequests::default();
    loop {
        let frame = tokio::select! {
            frame = conn.receiver.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            Some((number, (outcome, wait))) = outcomes.recv() => {
                running.0.remove(&number);
                let wait = wait.min(u32::MAX as u64) as u32;
                let response = match outcome {
                    Ok(take) => transport::Frame::ForwardedResponse(number, wait, Box::new(take.encode(&mut encoder))),
                    Err(trouble) => transport::Frame::ForwardFailed(number, wait, Box::new(trouble)),
                };
                if conn.sender.send(response).await.is_err() {
                    return;
                }
                continue;
            }
        };
        match frame {
            transport::Frame::ForwardedRequest(number, said) => {
                let Ok(cue) = said.decode(&mut decoder) else {
                    return;
                };
                let (pit, ended) = (pit.clone(), ended.clone());
                let run = tokio::spawn(async move {
                    let outcome = pit.perform(Box::new(cue)).await;
                    ended.send((number, outcome)).await.unwrap_or_default();
                });
                running.0.insert(number, run.abort_handle());
            }
            // What waits for a slot never begins; what runs is broken off where it may be repeated (design 13.2).
            transport::Frame::CancelRequest(number) => running
                .0
                .remove(&number)
                .into_iter()
                .for_each(|run| run.abort()),
            transport::Frame::Heartbeat => heard
                .send((
                    conn.peer_handshake.node_name.clone(),
                    conn.peer_handshake.incarnation,
                ))
                .await
                .unwrap_or_default(),
            // A telling that finds no room is followed by the next.
            transport::Frame::LoadReport(load) => drop(loads.try_send(*load)),
            _ => {}
        }
    }
}
