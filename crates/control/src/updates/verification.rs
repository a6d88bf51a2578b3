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

/// A proof that was requested and has not come.
struct PendingProof {
    request_id: u64,
    requested_at: Microseconds,
}

/// The proofs that were requested on one connection. They end with it: a proof speaks for the
/// updates before it on its own connection only.
#[derive(Default)]
pub struct ProofRequests {
    pending: VecDeque<PendingProof>,
    last_request: u64,
}

impl ProofRequests {
    /// The frame that requests a proof.
    pub fn request(&mut self, now: Microseconds) -> Frame {
        self.last_request += 1;
        self.pending.push_back(PendingProof {
            request_id: self.last_request,
            requested_at: now,
        });
        Frame::RequestProof {
            request_id: self.last_request,
        }
    }

    /// When the oldest proof that is still awaited was requested.
    pub fn oldest_pending(&self) -> Option<Microseconds> {
        let oldest = self.pending.front();
        oldest.map(|request| request.requested_at)
    }

    /// When the proof that came was requested, unless nobody waits for it. Earlier requests are
    /// answered by it, too.
    fn answered(&mut self, request_id: u64) -> Option<Microseconds> {
        let mut pending = self.pending.iter();
        let request = pending.find(|request| request.request_id == request_id);
        let requested_at = request.map(|request| request.requested_at);
        self.pending
            .retain(|request| request.request_id > request_id);
        requested_at
    }
}

/// Follows the cluster state over one connection after the other, or over several at once: a
/// position is the same state, whichever replica sends it.
#[derive(Default)]
pub struct StateFollower {
    received: Arc<StateSnapshot>,
    verified_at: Microseconds,
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
    /// The position up to which the cluster state was received, for the first frame on a connection.
    pub fn held_position(&self) -> Position {
        self.received.position
    }

    /// Takes in a frame from a connection with the proofs that were requested on it.
    pub fn handle_frame(&mut self, frame: Frame, requests: &mut ProofRequests) -> UpdateOutcome {
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
            } => self.on_proof(requests.answered(request_id), position),
            _ => UpdateOutcome::Ignored,
        }
    }

    /// The state only moves forward: what is older than what was received is dropped, whoever
    /// sends it, however late. An update that begins below what was received and ends above it
    /// fits: replicas group their entries differently, and a delta says what holds after it, so
    /// applying some of them again changes nothing.
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
        let fits = is_snapshot || from <= self.received.position;
        let Some(deltas) = publisher::decode_deltas(deltas).filter(|_| fits) else {
            return UpdateOutcome::Inconsistent;
        };
        self.received = Arc::new(self.received.updated(is_snapshot, to, deltas));
        UpdateOutcome::Updated
    }

    /// Updates are sent before the proof that rests on them: if the proof's position was received,
    /// what is held here held at a majority. If it was not, the replica no longer sends updates on
    /// this connection, and waiting would not bring them.
    fn on_proof(
        &mut self,
        requested_at: Option<Microseconds>,
        position: Position,
    ) -> UpdateOutcome {
        let Some(requested_at) = requested_at else {
            return UpdateOutcome::Ignored;
        };
        if position > self.received.position {
            return UpdateOutcome::Inconsistent;
        }
        self.verified_at = self.verified_at.max(requested_at);
        UpdateOutcome::Verified
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
