//! What a core seat says to subscribers: slices, proofs, answers to forwarded entries (design 5.2, 6.2).

/// What a subscriber that was last told `last` has to be told: nothing, a patch, or all.
pub(crate) fn frame(last: &mut Option<model::Slice>, slice: model::Slice) -> Option<transport::Frame> {
    let frame = match last.as_ref() {
        Some(held) if held.says_the_same(&slice) => return None,
        Some(held) => transport::Frame::Patch(Box::new(held.patch_to(&slice))),
        None => transport::Frame::News(Box::new(slice.clone())),
    };
    *last = Some(slice);
    Some(frame)
}

/// Serves everyone who calls this core seat.
pub async fn listen(core: crate::Core, listener: tokio::net::TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(welcome(core.clone(), stream));
        }
    }
}

async fn welcome(core: crate::Core, stream: tokio::net::TcpStream) {
    let judge = core.clone();
    let accepted = transport::accept(stream, |greeting| async move {
        crate::acquaint::merge(&judge.known, greeting.known.clone());
        match greeting.purpose {
            transport::Purpose::Core => crate::core_link::bind(&judge, &greeting).await?,
            transport::Purpose::Call | transport::Purpose::Watch => return Err("a core seat takes neither requests nor beats".into()),
            transport::Purpose::Acquaint => crate::core_link::mind_knock(&judge, &greeting).await,
            transport::Purpose::Subscribe | transport::Purpose::Look | transport::Purpose::Enlist => {}
        }
        Ok(judge.greeting(greeting.purpose))
    })
    .await;
    match accepted {
        Ok(conn) if !crate::core_link::expected(&core, &conn.greeting) => drop(conn),
        Ok(conn) if conn.greeting.purpose == transport::Purpose::Core => crate::core_link::attend(&core, conn).await,
        Ok(conn) if conn.greeting.purpose == transport::Purpose::Acquaint => drop(conn),
        Ok(conn) if conn.greeting.purpose == transport::Purpose::Enlist => {
            drop(conn.sender.send(crate::founding::word(&core, &conn.greeting)).await);
            // The caller ends the conn once it has heard.
            let mut heard = conn.receiver;
            drop(tokio::time::timeout(std::time::Duration::from_secs(2), heard.recv()).await);
        }
        Ok(conn) => serve(core, conn).await,
        Err(trouble) => slog::debug!(core.logger, "a caller was not taken"; "trouble" => %trouble),
    }
}

async fn serve(core: crate::Core, mut conn: transport::Conn) {
    let mut changed = core.changed.clone();
    let (proved, mut proofs) = tokio::sync::mpsc::channel::<u64>(64);
    let mut services: Option<(model::slice::Services, model::Position)> = None;
    let mut last: Option<model::Slice> = None;
    let mut follows = false;
    loop {
        let number = tokio::select! {
            frame = conn.receiver.recv() => match frame {
                Some(transport::Frame::Subscribe { services: wanted, held }) => {
                    services = Some((wanted, held));
                    None
                }
                Some(transport::Frame::Follow { held }) => {
                    follows = true;
                    drop(core.commands.send(crate::core::Command::Follow(held, conn.sender.clone())).await);
                    continue;
                }
                Some(transport::Frame::Ask { number }) if follows => {
                    drop(core.commands.send(crate::core::Command::Ask(number, conn.sender.clone())).await);
                    continue;
                }
                Some(transport::Frame::Ask { number }) => {
                    let (reader, proved) = (core.clone(), proved.clone());
                    tokio::spawn(async move {
                        if reader.read().await.is_some() {
                            proved.send(number).await.unwrap_or_default();
                        }
                    });
                    continue;
                }
                Some(transport::Frame::Forward { number, entry }) => {
                    let (writer, answers) = (core.clone(), conn.sender.clone());
                    tokio::spawn(async move {
                        let outcome = writer.submit(*entry).await;
                        drop(answers.send(transport::Frame::Answer { number, outcome }).await);
                    });
                    continue;
                }
                Some(transport::Frame::Look) => {
                    let seen = serde_json::to_vec(&**core.book.load()).unwrap_or_default();
                    drop(conn.sender.send(transport::Frame::Seen(seen)).await);
                    continue;
                }
                Some(_) => continue,
                None => return,
            },
            number = proofs.recv() => number,
            moved = changed.changed() => if moved.is_err() { return } else { None },
        };
        let Some((wanted, held)) = &services else { continue };
        // A seat that lags says nothing: news it sent early could later pass for unchanged.
        if core.book.load().position < *held {
            continue;
        }
        // News goes before the proof that leans on it, on the same FIFO channel.
        let slice = model::Slice::cut(&core.book.load(), wanted);
        let position = slice.position;
        if let Some(news) = frame(&mut last, slice)
            && conn.sender.send(news).await.is_err()
        {
            return;
        }
        if let Some(number) = number
            && conn.sender.send(transport::Frame::Proof { number, position }).await.is_err()
        {
            return;
        }
    }
}
