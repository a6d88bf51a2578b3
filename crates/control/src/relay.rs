//! What a home tells the nodes of its zone: its own news, and proofs no older than their asking (design 5.9).

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

#[derive(Clone)]
pub struct Relay {
    pub view: crate::view::SharedView,
    /// When the latest proof from the core was asked; moves with every proof.
    pub verified_at: tokio::sync::watch::Receiver<model::Microseconds>,
    /// Asks the core now instead of at the next turn.
    pub proof_wanted: Arc<tokio::sync::Notify>,
    /// Only a node that hears the core itself may be a home: no chains, no rings.
    pub follows_core_directly: Arc<AtomicBool>,
}

impl Relay {
    /// Serves one subscriber. Ends the conn when this node cannot be its home; it then asks the core.
    pub async fn serve(
        &self,
        mut conn: transport::Connection,
        wanted: model::state_slice::ServiceSet,
        held: model::Position,
    ) {
        let mut proved = self.verified_at.clone();
        let mut last: Option<model::StateSlice> = None;
        let mut asks: VecDeque<(u64, model::Microseconds)> = Default::default();
        loop {
            // In this order: the view is stored before the proof that speaks of it.
            let asked = *proved.borrow_and_update();
            let view = self.view.load_full();
            let fit = self
                .follows_core_directly
                .load(std::sync::atomic::Ordering::Relaxed)
                && wanted.is_subset(&view.slice.services);
            if !fit {
                return;
            }
            if view.slice.position >= held {
                if let Some(news) =
                    crate::stream::update_frame(&mut last, view.slice.narrowed_to(&wanted))
                    && conn.sender.send(news).await.is_err()
                {
                    return;
                }
                let done: Vec<u64> = asks
                    .iter()
                    .filter(|(_, at)| *at <= asked)
                    .map(|(number, _)| *number)
                    .collect();
                asks.retain(|(number, _)| !done.contains(number));
                // The latest of them speaks for all that were asked before it.
                if let Some(number) = done.into_iter().max()
                    && conn
                        .sender
                        .send(transport::Frame::Proof {
                            request_id: number,
                            position: view.slice.position,
                        })
                        .await
                        .is_err()
                {
                    return;
                }
            }
            tokio::select! {
                frame = conn.receiver.recv() => match frame {
                    Some(transport::Frame::RequestProof { request_id: number }) => {
                        asks.push_back((number, model::now()));
                        self.proof_wanted.notify_one();
                    }
                    Some(transport::Frame::Subscribe { .. }) | None => return,
                    Some(_) => {}
                },
                moved = proved.changed() => if moved.is_err() { return },
            }
        }
    }
}
