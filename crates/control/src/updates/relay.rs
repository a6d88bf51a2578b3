//! The relay of a zone: a node that forwards its slice of the state machine to other nodes of its
//! zone, and answers a request for a freshness proof only with a proof that it requested after the
//! request arrived (design 5.9).

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use model::state_slice::ServiceSet;
use model::{Microseconds, Position, StateSlice};
use tokio::sync::{Notify, watch};
use transport::{Connection, Frame, FrameSender};

use super::server;
use super::view::{SharedView, View};

/// The relay of one node. It shares the view of the subscription of that node.
#[derive(Clone)]
pub struct Relay {
    /// The view of the node's own subscription.
    pub view: SharedView,
    /// Time at which the latest proof from a replica was requested, in microseconds; updated with
    /// every proof.
    pub verified_at: watch::Receiver<Microseconds>,
    /// Makes the subscription request a proof now instead of after its regular interval.
    pub proof_needed: Arc<Notify>,
    /// Whether the node is connected to a replica. Only such a node may relay, so that relays never
    /// form chains or cycles.
    pub is_connected_to_replica: Arc<AtomicBool>,
}

/// A subscriber's request for a freshness proof.
struct PendingProof {
    request_id: u64,
    received_at: Microseconds,
}

/// The state of one connection from a subscriber to the relay.
struct RelaySession<'a> {
    services: &'a ServiceSet,
    /// The position that the subscriber holds from an earlier connection.
    held_position: Position,
    sender: &'a FrameSender,
    /// The slice last sent on this connection.
    last_sent: Option<StateSlice>,
    pending_proofs: VecDeque<PendingProof>,
}

impl Relay {
    /// Serves one subscriber until the connection ends or this node can no longer relay to it; the
    /// subscriber then connects to a replica.
    pub async fn serve(
        &self,
        connection: Connection,
        services: ServiceSet,
        held_position: Position,
    ) {
        let mut verified_at = self.verified_at.clone();
        let (sender, mut receiver) = (connection.sender, connection.receiver);
        let mut session = RelaySession {
            services: &services,
            held_position,
            sender: &sender,
            last_sent: None,
            pending_proofs: VecDeque::new(),
        };
        loop {
            // `verified_at` must be read before the view, because the subscription stores the view
            // before the time of the proof that covers it.
            let proved_since = *verified_at.borrow_and_update();
            let view = self.view.load_full();
            if !self.can_serve(&view, &services) || !session.send_updates(&view, proved_since).await
            {
                return;
            }
            tokio::select! {
                frame = receiver.recv() => match frame {
                    Some(Frame::RequestProof { request_id }) => {
                        session.pending_proofs.push_back(PendingProof {
                            request_id,
                            received_at: model::now(),
                        });
                        self.proof_needed.notify_one();
                    }
                    Some(Frame::Subscribe { .. }) | None => return,
                    Some(_) => {}
                },
                changed = verified_at.changed() => if changed.is_err() { return },
            }
        }
    }

    fn can_serve(&self, view: &View, services: &ServiceSet) -> bool {
        let is_connected_to_replica = self.is_connected_to_replica.load(Ordering::Relaxed);
        is_connected_to_replica && services.is_subset(&view.slice.services)
    }
}

impl RelaySession<'_> {
    /// Sends the changes of the slice, and then one proof for all requests that arrived before the
    /// relay requested its own proof at `proved_since`. Returns whether the connection is still
    /// open. A relay that lags behind its subscriber sends nothing.
    async fn send_updates(&mut self, view: &View, proved_since: Microseconds) -> bool {
        if view.slice.position < self.held_position {
            return true;
        }
        let slice = view.slice.narrowed_to(self.services);
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

    /// Removes the requests that are proved and returns the id of the latest. Answering that one
    /// also answers all earlier requests.
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
