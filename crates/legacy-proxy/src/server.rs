//! What a node answers its mates (design 5.2).

pub async fn listen(
    listener: tokio::net::TcpListener,
    greeting: impl Fn() -> transport::Greeting + Send + Sync + 'static,
    known: control::Known,
    far: crate::Far,
    relay: control::relay::Relay,
    heard: control::watching::Heard,
) {
    let greeting = std::sync::Arc::new(greeting);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (greeting, known, far) = (greeting.clone(), known.clone(), far.clone());
            let (relay, heard) = (relay.clone(), heard.clone());
            tokio::spawn(async move {
                let accepted = transport::accept(stream, |caller| async move {
                    control::acquaint::merge(&known, caller.known);
                    match caller.purpose {
                        transport::Purpose::Core => Err("no core seat is here".to_string()),
                        _ => Ok((greeting)()),
                    }
                })
                .await;
                if let Ok(conn) = accepted {
                    serve(conn, far, relay, heard).await;
                }
            });
        }
    }
}

async fn serve(mut conn: transport::Conn, far: crate::Far, relay: control::relay::Relay, heard: control::watching::Heard) {
    let mut marks = crate::marks::Marks::new(model::now());
    let mut every = tokio::time::interval(std::time::Duration::from_micros(crate::marks::EVERY));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            frame = conn.receiver.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            _ = every.tick(), if conn.greeting.purpose == transport::Purpose::Call => {
                let mark = marks.next(model::now());
                // A mate that takes nothing just now goes without; its dispatches then look older, not younger.
                drop(conn.sender.try_send(transport::Frame::Mark(mark)));
                continue;
            }
        };
        match frame {
            transport::Frame::Dispatch(mut dispatch) => {
                dispatch.left = marks.left(model::now(), dispatch.mark, dispatch.left);
                let (far, replies) = (far.clone(), conn.sender.clone());
                tokio::spawn(async move {
                    let number = dispatch.number;
                    let reply = Box::new(far.perform(*dispatch).await);
                    replies.send(transport::Frame::Reply { number, reply }).await.unwrap_or_default();
                });
            }
            transport::Frame::Look => {
                let seen = serde_json::to_vec(&*relay.view.load().slice).unwrap_or_default();
                conn.sender.send(transport::Frame::Seen(seen)).await.unwrap_or_default();
            }
            transport::Frame::Beat => {
                let ward = (conn.greeting.name.clone(), conn.greeting.incarnation);
                heard.send(ward).await.unwrap_or_default();
            }
            transport::Frame::Subscribe { services, held } => return relay.serve(conn, services, held).await,
            _ => {}
        }
    }
}
