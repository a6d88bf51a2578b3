//! What a node answers its mates: requests for the back end beside it, and beats (design 13.2, 5.10).

/// Tells the watch that a ward was heard.
pub type Heard = tokio::sync::mpsc::Sender<(String, model::Incarnation)>;
/// What back ends are asked for, told to whoever places keys here.
pub type Loads = tokio::sync::mpsc::Sender<transport::Load>;

pub async fn listen(listener: tokio::net::TcpListener, greet: crate::mates::Greet, known: control::Known, pit: inbound::Pit, (heard, loads): (Heard, Loads)) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let (greet, known, pit, heard) = (greet.clone(), known.clone(), pit.clone(), (heard.clone(), loads.clone()));
            tokio::spawn(async move {
                let accepted = transport::accept(stream, |caller| async move {
                    control::acquaint::merge(&known, caller.known);
                    match caller.purpose {
                        transport::Purpose::Core | transport::Purpose::Enlist => Err("no core seat is here".to_string()),
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

/// Requests of one conn, by number.
#[derive(Default)]
struct UnderWay(std::collections::HashMap<u32, tokio::task::AbortHandle>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.values().for_each(tokio::task::AbortHandle::abort);
    }
}

async fn serve(mut conn: transport::Conn, pit: inbound::Pit, (heard, loads): (Heard, Loads)) {
    let (mut speaker, mut listener) = (transport::Speaker::default(), transport::Listener::default());
    let (ended, mut ends) = tokio::sync::mpsc::channel::<(u32, inbound::Outcome)>(1_024);
    // With the conn goes whoever waited on it.
    let mut under_way = UnderWay::default();
    loop {
        let frame = tokio::select! {
            frame = conn.receiver.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            Some((number, (outcome, wait))) = ends.recv() => {
                under_way.0.remove(&number);
                let wait = wait.min(u32::MAX as u64) as u32;
                let word = match outcome {
                    Ok(take) => transport::Frame::Taken(number, wait, Box::new(take.say(&mut speaker))),
                    Err(trouble) => transport::Frame::Untaken(number, wait, Box::new(trouble)),
                };
                if conn.sender.send(word).await.is_err() {
                    return;
                }
                continue;
            }
        };
        match frame {
            transport::Frame::Cue(number, said) => {
                let Some(cue) = said.hear(&mut listener) else { return };
                let (pit, ended) = (pit.clone(), ended.clone());
                let run = tokio::spawn(async move {
                    let outcome = pit.perform(Box::new(cue)).await;
                    ended.send((number, outcome)).await.unwrap_or_default();
                });
                under_way.0.insert(number, run.abort_handle());
            }
            // What waits for a slot never begins; what runs is broken off where it may be repeated (design 13.2).
            transport::Frame::Cancel(number) => under_way.0.remove(&number).into_iter().for_each(|run| run.abort()),
            transport::Frame::Beat => heard.send((conn.greeting.name.clone(), conn.greeting.incarnation)).await.unwrap_or_default(),
            // A telling that finds no room is followed by the next.
            transport::Frame::Load(load) => drop(loads.try_send(*load)),
            _ => {}
        }
    }
}
