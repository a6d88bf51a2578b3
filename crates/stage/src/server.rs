//! What an usher answers its mates (design 5.2).

pub async fn listen(
    listener: tokio::net::TcpListener,
    greeting: impl Fn() -> wings::Greeting + Send + Sync + 'static,
    known: gallery::Known,
    far: crate::Far,
    view: gallery::view::SharedView,
) {
    let greeting = std::sync::Arc::new(greeting);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (greeting, known, far, view) = (greeting.clone(), known.clone(), far.clone(), view.clone());
            tokio::spawn(async move {
                let accepted = wings::accept(stream, |caller| async move {
                    gallery::acquaint::merge(&known, caller.known);
                    match caller.purpose {
                        wings::Purpose::Core => Err("no core seat is here".to_string()),
                        _ => Ok((greeting)()),
                    }
                })
                .await;
                if let Ok(conn) = accepted {
                    serve(conn, far, view).await;
                }
            });
        }
    }
}

async fn serve(mut conn: wings::Conn, far: crate::Far, view: gallery::view::SharedView) {
    while let Some(frame) = conn.receiver.recv().await {
        match frame {
            wings::Frame::Dispatch(dispatch) => {
                let (far, replies) = (far.clone(), conn.sender.clone());
                tokio::spawn(async move {
                    let number = dispatch.number;
                    let reply = far.perform(dispatch).await;
                    replies.send(wings::Frame::Reply { number, reply }).await.unwrap_or_default();
                });
            }
            wings::Frame::Look => {
                let seen = serde_json::to_vec(&*view.load().slice).unwrap_or_default();
                conn.sender.send(wings::Frame::Seen(seen)).await.unwrap_or_default();
            }
            _ => {}
        }
    }
}
