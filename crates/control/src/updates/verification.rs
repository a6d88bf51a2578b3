//! The cluster state that one incarnation of a node has received, and the part of it that is
//! verified by a majority (design 11.6). The module does no I/O and reads no clock; the caller
//! passes the time.

use std::collections::VecDeque;
use std::sync::Arc;

use arc_swap::ArcSwap;
use model::cluster_state::StateSnapshot;
use model::{Microseconds, Position};
use transport::Frame;

use super::publisher;

#[cfg(test)]
mod tests;

/// The cluster state that a node may act on. A node may not act on any state before the first
/// freshness proof of its incarnation (design 11.6). After that it serves routes from the newest
/// state it received; only the right to grant shard keys needs a recent proof, whose age counts
/// from its request (design 11.5).
#[derive(Clone, Debug, Default)]
pub struct VerifiedState {
    /// The newest cluster state received.
    pub snapshot: Arc<StateSnapshot>,
    /// Time at which the latest proof was requested, in microseconds; 0 before the first proof.
    pub verified_at: Microseconds,
}

/// The current verified state, for readers in other tasks.
pub type SharedVerifiedState = Arc<ArcSwap<VerifiedState>>;

/// A freshness proof that was requested and has not arrived.
struct PendingProof {
    request_id: u64,
    requested_at: Microseconds,
}

/// The freshness proofs requested on one connection. They are dropped with the connection, because
/// a proof covers only the updates sent before it on the same connection.
#[derive(Default)]
pub struct ProofRequests {
    pending: VecDeque<PendingProof>,
    last_request: u64,
}

impl ProofRequests {
    /// Records a new request and returns the frame that sends it.
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

    /// Returns the time at which the oldest pending proof was requested.
    pub fn oldest_pending(&self) -> Option<Microseconds> {
        let oldest = self.pending.front();
        oldest.map(|request| request.requested_at)
    }

    /// Removes an answered request and all earlier ones, which the same proof answers. Returns when
    /// the answered one was requested, or `None` if it was not pending.
    fn take_answered(&mut self, request_id: u64) -> Option<Microseconds> {
        let mut pending = self.pending.iter();
        let request = pending.find(|request| request.request_id == request_id);
        let requested_at = request.map(|request| request.requested_at);
        self.pending
            .retain(|request| request.request_id > request_id);
        requested_at
    }
}

/// Follows the cluster state over successive or concurrent connections. Equal positions mean equal
/// states, whichever replica sends them.
#[derive(Default)]
pub struct StateFollower {
    received: Arc<StateSnapshot>,
    verified_at: Microseconds,
}

/// The result of handling a frame.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpdateOutcome {
    /// The frame changed nothing.
    Ignored,
    /// The frame contained a newer cluster state.
    Updated,
    /// The frame proved that the received state is current.
    Verified,
    /// The frame does not match the received state; the connection must be closed.
    Inconsistent,
}

impl StateFollower {
    /// Returns the position of the received cluster state, for the first frame on a connection.
    pub fn held_position(&self) -> Position {
        self.received.position
    }

    /// Handles a frame from a connection; `requests` are the proofs requested on that connection.
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
            } => self.on_proof(requests.take_answered(request_id), position),
            _ => UpdateOutcome::Ignored,
        }
    }

    /// Applies an update. The position never decreases: an update that ends at or below the
    /// received position is dropped. An update that begins below that position and ends above it is
    /// applied, because replicas group entries into updates differently, and applying a delta again
    /// changes nothing, as it states the value after the change.
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
        let is_applicable = is_snapshot || from <= self.received.position;
        let Some(deltas) = publisher::decode_deltas(deltas).filter(|_| is_applicable) else {
            return UpdateOutcome::Inconsistent;
        };
        self.received = Arc::new(self.received.updated(is_snapshot, to, deltas));
        UpdateOutcome::Updated
    }

    /// Applies a proof. A replica sends updates before the proof that covers them, so if the
    /// position of the proof was received, the received state is verified. Otherwise the replica no
    /// longer sends updates on this connection, and waiting for them would be useless.
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

    /// Returns the received cluster state, whether verified or not.
    pub fn received(&self) -> &Arc<StateSnapshot> {
        &self.received
    }

    /// Returns the state that this incarnation may act on, or `None` before its first proof. An
    /// earlier incarnation of the node may have received a newer state than a single replica sends.
    /// A proof excludes that: a majority confirmed its position, and a replica sends only changes
    /// that a majority has chosen.
    pub fn verified(&self) -> Option<VerifiedState> {
        (self.verified_at > 0).then(|| VerifiedState {
            snapshot: self.received.clone(),
            verified_at: self.verified_at,
        })
    }
}
