//! What one incarnation of a node received of the cluster state, and what of it a majority has
//! confirmed (design 11.6). Pure: the caller brings the time.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwap;
use model::cluster_state::StateSnapshot;
use model::{Microseconds, Position};
use transport::Frame;

use super::publisher;

#[cfg(test)]
mod tests;

/// What a node may act on: nothing before the first proof of its incarnation (design 11.6). From
/// then on it serves routes from the newest it ever held; only the right to grant shard keys needs
/// a fresh proof, and counts from when that was requested (design 11.5).
#[derive(Clone, Debug, Default)]
pub struct VerifiedState {
    /// The newest cluster state that was received.
    pub snapshot: Arc<StateSnapshot>,
    /// When the latest proof was requested, in microseconds; 0 before the first.
    pub verified_at: Microseconds,
}

/// The present verified state, for readers in other tasks.
pub type SharedVerifiedState = Arc<ArcSwap<VerifiedState>>;

/// A proof that was requested on the present connection.
struct PendingProof {
    request_id: u64,
    requested_at: Microseconds,
}

/// Follows the cluster state over one connection after the other.
#[derive(Default)]
pub struct StateFollower {
    received: Arc<StateSnapshot>,
    verified_at: Microseconds,
    pending_requests: VecDeque<PendingProof>,
    last_request: u64,
}

/// What came of a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpdateOutcome {
    /// Nothing changed.
    Ignored,
    /// A newer cluster state was received.
    Updated,
    /// A proof of what was received came.
    Verified,
    /// The frame does not fit what was received: the connection has to begin anew.
    Inconsistent,
}

impl StateFollower {
    /// Begins a connection: proofs requested on an earlier one do not count any more. Returns the
    /// position up to which the cluster state was received.
    pub fn begin_connection(&mut self) -> Position {
        self.pending_requests.clear();
        self.received.position
    }

    /// The frame that requests a proof on the present connection.
    pub fn request_proof(&mut self, now: Microseconds) -> Frame {
        self.last_request += 1;
        self.pending_requests.push_back(PendingProof {
            request_id: self.last_request,
            requested_at: now,
        });
        Frame::RequestProof {
            request_id: self.last_request,
        }
    }

    /// When the oldest proof that is still awaited was requested.
    pub fn oldest_pending_request(&self) -> Option<Microseconds> {
        let oldest = self.pending_requests.front();
        oldest.map(|request| request.requested_at)
    }

    /// Takes in a frame from the present connection.
    pub fn handle_frame(&mut self, frame: Frame) -> UpdateOutcome {
        match frame {
            Frame::ClusterStateUpdate {
                is_snapshot,
                from,
                to,
                deltas,
            } => self.on_update(is_snapshot, from, to, &deltas),
            Frame::Proof {
                request_id,
                position,
            } => self.on_proof(request_id, position),
            _ => UpdateOutcome::Ignored,
        }
    }

    /// The state only moves forward: what is older than what was received is dropped, whoever
    /// sends it, however late.
    fn on_update(
        &mut self,
        is_snapshot: bool,
        from: Position,
        to: Position,
        deltas: &[u8],
    ) -> UpdateOutcome {
        if to <= self.received.position {
            return UpdateOutcome::Ignored;
        }
        let fits = is_snapshot || from == self.received.position;
        let Some(deltas) = publisher::decode_deltas(deltas).filter(|_| fits) else {
            return UpdateOutcome::Inconsistent;
        };
        self.received = Arc::new(self.received.updated(is_snapshot, to, deltas));
        UpdateOutcome::Updated
    }

    /// Updates are sent before the proof that rests on them: if the proof's position was received,
    /// what is held here held at a majority.
    fn on_proof(&mut self, request_id: u64, position: Position) -> UpdateOutcome {
        let mut pending = self.pending_requests.iter();
        let request = pending.find(|request| request.request_id == request_id);
        let requested_at = request.map(|request| request.requested_at);
        self.pending_requests
            .retain(|request| request.request_id > request_id);
        match requested_at {
            Some(requested_at) if position <= self.received.position => {
                self.verified_at = self.verified_at.max(requested_at);
                UpdateOutcome::Verified
            }
            _ => UpdateOutcome::Ignored,
        }
    }

    /// What was received, verified or not.
    pub fn received(&self) -> &Arc<StateSnapshot> {
        &self.received
    }

    /// What this incarnation may act on; `None` before its first proof, as an earlier incarnation
    /// may have held a newer state than any one replica sends. A majority answered for the proof,
    /// and every change that any replica ever sent was chosen by one.
    pub fn verified(&self) -> Option<VerifiedState> {
        (self.verified_at > 0).then(|| VerifiedState {
            snapshot: self.received.clone(),
            verified_at: self.verified_at,
        })
    }
}
