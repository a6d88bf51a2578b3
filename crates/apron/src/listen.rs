//! What a node answers its mates: requests for the back end beside it, and beats (design 13.2, 5.10).

/// Tells the watch that a ward was heard.
pub type Heard = tokio::sync::mpsc::Sender<(String, playbill::Incarnation)>;
/// What back ends are asked for, told to whoever places keys here.
pub type Loads = tokio::sync::mpsc::Sender<wings::Load>;

pub async fn listen(listener: tokio::net::TcpListener, greet: crate::mates::Greet, known: gallery::Known, pit: pit::Pit, (heard, loads): (Heard, Loads)) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (greet, known, pit, heard) = (greet.clone(), known.clone(), pit.clone(), (heard.clone(), loads.clone()));
            tokio::spawn(async move {
                let accepted = wings::accept(stream, |caller| async move {
                    gallery::acquaint::merge(&known, caller.known);
                    match caller.purpose {
                        wings::Purpose::Core | wings::Purpose::Enlist => Err("no core seat is here".to_string()),
                        purpose => Ok((greet)(purpose)),
                    }
                })
                .await;
                if let Ok(conn) = accepted {
                    serve(conn, pit, heard).await;
                }
            });
        }
    }
}

async fn serve(mut conn: wings::Conn, pit: pit::Pit, (heard, loads): (Heard, Loads)) {
    while let Some(frame) = conn.receiver.recv().await {
        match frame {
            wings::Frame::Cue(cue) => {
                let (pit, replies) = (pit.clone(), conn.sender.clone());
                tokio::spawn(async move {
                    let number = cue.number;
                    let (take, wait) = pit.perform(cue).await;
                    replies.send(wings::Frame::Taken { number, wait, take: Box::new(take) }).await.unwrap_or_default();
                });
            }
            wings::Frame::Beat => heard.send((conn.greeting.name.clone(), conn.greeting.incarnation)).await.unwrap_or_default(),
            // A telling that finds no room is followed by the next.
            wings::Frame::Load(load) => drop(loads.try_send(*load)),
            _ => {}
        }
    }
}
