//! What a core seat says to subscribers: slices, proofs, answers to forwarded entries (design 5.2, 6.2).

use std::time::Duration;

/// What a subscriber that was last told `last` has to be told: nothing, a patch, or all.
pub(crate) fn update_frame(
    last: &mut Option<model::StateSlice>,
    slice: model::StateSlice,
) -> Option<transport::Frame> {
    let frame = match last.as_ref() {
        Some(held) if held.same_content(&slice) => return None,
        Some(held) => transport::Frame::StatePatch(Box::new(held.diff_to(&slice))),
        None => transport::Frame::StateUpdate(Box::new(slice.clone())),
    };
    *last = Some(slice);
    Some(frame)
}

/// Serves everyone who calls this core seat.
pub async fn listen(core: crate::ReplicaHandle, listener: tokio::net::TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(accept_connection(core.clone(), stream));
        }
    }
}

async fn accept_connection(core: crate::ReplicaHandle, stream: tokio::net::TcpStream) {
    let judge = core.clone();
    let accepted = transport::accept(stream, |greeting| async move {
        crate::discovery::merge(&judge.known_replicas, greeting.known_replicas.clone());
        match greeting.purpose {
            transport::Purpose::Consensus => crate::peer_link::pin_peer(&judge, &greeting).await?,
            transport::Purpose::Forward | transport::Purpose::Monitor => {
                return Err("a core seat takes neither requests nor beats".into());
            }
            transport::Purpose::Discover => {
                crate::peer_link::handle_replacement_request(&judge, &greeting).await
            }
            transport::Purpose::Subscribe
            | transport::Purpose::Inspect
            | transport::Purpose::RequestAssignment => {}
        }
        Ok(judge.handshake(greeting.purpose))
    })
    .await;
    match accepted {
        Ok(conn) if !crate::peer_link::is_expected_disk(&core, &conn.peer_handshake) => drop(conn),
        Ok(conn) if conn.peer_handshake.purpose == transport::Purpose::Consensus => {
            crate::peer_link::serve_peer(&core, conn).await
        }
        Ok(conn) if conn.peer_handshake.purpose == transport::Purpose::Discover => drop(conn),
        Ok(conn) if conn.peer_handshake.purpose == transport::Purpose::RequestAssignment => {
            drop(
                conn.sender
                    .send(crate::bootstrap::membership_answer(
                        &core,
                        &conn.peer_handshake,
                    ))
                    .await,
            );
            // The caller ends the conn once it has heard.
            let mut heard = conn.receiver;
            drop(tokio::time::timeout(Duration::from_secs(2), heard.recv()).await);
        }
        Ok(conn) => serve_subscriber(core, conn).await,
        Err(trouble) => slog::debug!(core.logger, "a caller was not taken"; "trouble" => %trouble),
    }
}

async fn serve_subscriber(core: crate::ReplicaHandle, mut conn: transport::Connection) {
    let mut changed = core.position.clone();
    let (proved, mut proofs) = tokio::sync::mpsc::channel::<u64>(64);
    let mut services: Option<(model::state_slice::ServiceSet, model::Position)> = None;
    let mut last: Option<model::StateSlice> = None;
    let mut follows = false;
    loop {
        let number = tokio::select! {
            frame = conn.receiver.recv() => match frame {
                Some(transport::Frame::Subscribe { services: wanted, held_position: held }) => {
                    services = Some((wanted, held));
                    None
                }
                Some(transport::Frame::FollowClusterState { held_position: held }) => {
                    follows = true;
                    drop(core.commands.send(crate::replica::Command::Follow(held, conn.sender.clone())).await);
                    continue;
                }
                Some(transport::Frame::RequestProof { request_id: number }) if follows => {
                    drop(core.commands.send(crate::replica::Command::RequestProof(number, conn.sender.clone())).await);
                    continue;
                }
                Some(transport::Frame::RequestProof { request_id: number }) => {
                    let (reader, proved) = (core.clone(), proved.clone());
                    tokio::spawn(async move {
                        if reader.read_barrier().await.is_some() {
                            proved.send(number).await.unwrap_or_default();
                        }
                    });
                    continue;
                }
                Some(transport::Frame::ForwardEntry { request_id: number, entry }) => {
                    let (writer, answers) = (core.clone(), conn.sender.clone());
                    tokio::spawn(async move {
                        let outcome = writer.submit(*entry).await;
                        drop(answers.send(transport::Frame::EntryOutcome { request_id: number, outcome }).await);
                    });
                    continue;
                }
                Some(transport::Frame::Inspect) => {
                    let seen = serde_json::to_vec(&**core.state_machine.load()).unwrap_or_default();
                    drop(conn.sender.send(transport::Frame::Inspection(seen)).await);
                    continue;
                }
                Some(_) => continue,
                None => return,
            },
            number = proofs.recv() => number,
            moved = changed.changed() => if moved.is_err() { return } else { None },
        };
        let Some((wanted, held)) = &services else {
            continue;
        };
        // A seat that lags says nothing: news it sent early could later pass for unchanged.
        if core.state_machine.load().position < *held {
            continue;
        }
        // News goes before the proof that leans on it, on the same FIFO channel.
        let slice = model::StateSlice::for_services(&core.state_machine.load(), wanted);
        let position = slice.position;
        if let Some(news) = update_frame(&mut last, slice)
            && conn.sender.send(news).await.is_err()
        {
            return;
        }
        if let Some(number) = number
            && conn
                .sender
                .send(transport::Frame::Proof {
                    request_id: number,
                    position,
                })
                .await
                .is_err()
        {
            return;
        }
    }
}
