//! What a node relays to the others of its zone: its own slice, and proofs no older than their
//! request (design 5.9).

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use model::state_slice::ServiceSet;
use model::{Microseconds, Position, StateSlice};
use tokio::sync::{Notify, watch};
use transport::{Connection, Frame, FrameSender};

use super::server;
use super::view::{SharedView, View};

/// The relay of one node, which shares the view of the node's own subscription.
#[derive(Clone)]
pub struct Relay {
    /// What the node itself received.
    pub view: SharedView,
    /// When the latest proof from a replica was requested; changes with every proof.
    pub verified_at: watch::Receiver<Microseconds>,
    /// Has the node request a proof now instead of at its next turn.
    pub proof_wanted: Arc<Notify>,
    /// Only a node that is connected to a replica may relay: no chains and no rings of relays.
    pub follows_core_directly: Arc<AtomicBool>,
}

/// A subscriber's request for a proof.
struct PendingProof {
    request_id: u64,
    received_at: Microseconds,
}

/// The relay's side of one connection.
struct RelaySession<'a> {
    wanted: &'a ServiceSet,
    /// The position that the subscriber holds from an earlier connection.
    held: Position,
    sender: &'a FrameSender,
    /// What was last sent on this connection.
    last_sent: Option<StateSlice>,
    pending_proofs: VecDeque<PendingProof>,
}

impl Relay {
    /// Serves one subscriber. Ends when this node cannot be its relay; the subscriber then asks a
    /// replica.
    pub async fn serve(&self, connection: Connection, wanted: ServiceSet, held: Position) {
        let mut verified_at = self.verified_at.clone();
        let (sender, mut receiver) = (connection.sender, connection.receiver);
        let mut session = RelaySession {
            wanted: &wanted,
            held,
            sender: &sender,
            last_sent: None,
            pending_proofs: VecDeque::new(),
        };
        loop {
            // In this order: the view is stored before the proof that speaks of it.
            let proved_since = *verified_at.borrow_and_update();
            let view = self.view.load_full();
            if !self.can_serve(&view, &wanted) || !session.send_news(&view, proved_since).await {
                return;
            }
            tokio::select! {
                frame = receiver.recv() => match frame {
                    Some(Frame::RequestProof { request_id }) => {
                        session.pending_proofs.push_back(PendingProof {
                            request_id,
                            received_at: model::now(),
                        });
                        self.proof_wanted.notify_one();
                    }
                    Some(Frame::Subscribe { .. }) | None => return,
                    Some(_) => {}
                },
                changed = verified_at.changed() => if changed.is_err() { return },
            }
        }
    }

    fn can_serve(&self, view: &View, wanted: &ServiceSet) -> bool {
        let is_direct = self.follows_core_directly.load(Ordering::Relaxed);
        is_direct && wanted.is_subset(&view.slice.services)
    }
}

impl RelaySession<'_> {
    /// Sends what changed, and then the proof that rests on it: one for the requests that were
    /// received before the relay requested its own at `proved_since`. Whether the connection still
    /// holds. A relay that lags behind its subscriber sends nothing.
    async fn send_news(&mut self, view: &View, proved_since: Microseconds) -> bool {
        if view.slice.position < self.held {
            return true;
        }
        let slice = view.slice.narrowed_to(self.wanted);
        if let Some(update) = server::update_frame(&mut self.last_sent, slice)
            && self.sender.send(update).await.is_err()
        {
            return false;
        }
        let Some(request_id) = self.take_proved(proved_since) else {
            return true;
        };
        let proof = Frame::Proof {
            request_id,
            position: view.slice.position,
        };
        self.sender.send(proof).await.is_ok()
    }

    /// The latest request that is proved, which speaks for all before it.
    fn take_proved(&mut self, proved_since: Microseconds) -> Option<u64> {
        let mut latest = None;
        self.pending_proofs.retain(|pending| {
            let is_proved = pending.received_at <= proved_since;
            if is_proved {
                latest = latest.max(Some(pending.request_id));
            }
            !is_proved
        });
        latest
    }
}
