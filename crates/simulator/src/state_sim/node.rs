//! A follower: a node's promptbook, and the conn it is told on (design 11.3).

use control::updates::verification::{ProofRequests, StateFollower, UpdateOutcome};
use model::cluster_state::StateSnapshot;
use model::{Microseconds, Position};
use std::collections::VecDeque;
use std::sync::Arc;

type FramesInFlight = VecDeque<(Microseconds, transport::Frame)>;

/// A conn to one life of a seat, with what is on its way on it.
pub(super) struct UpdateConnection {
    pub replica: usize,
    pub incarnation: u64,
    pub sender: transport::FrameSender,
    pub frames: tokio::sync::mpsc::Receiver<transport::Frame>,
    pub to_replica: FramesInFlight,
    pub to_node: FramesInFlight,
    pub proved: bool,
}

#[derive(Default)]
pub(super) struct FollowerNode {
    pub follower: StateFollower,
    /// The proofs requested on the present connection.
    pub requests: ProofRequests,
    pub connection: Option<UpdateConnection>,
    /// The process does not run until then; the path to the core is cut, what comes is late until then.
    pub down_until: Microseconds,
    pub cut_until: Microseconds,
    pub stalled_until: Microseconds,
    /// It is rolled then.
    restarts_at: Option<Microseconds>,
    pub dials_at: Microseconds,
    pub asks_at: Microseconds,
    pub next_replica: usize,
    /// The newest it served from, and the newest it was told, in any life.
    pub highest_served: Position,
    pub highest_received: Position,
    /// In this life something was proved.
    has_verified: bool,
    pub older_received: usize,
}

impl FollowerNode {
    pub(super) fn crash(&mut self, until: Microseconds) {
        (self.follower, self.connection, self.has_verified) =
            (StateFollower::default(), None, false);
        self.down_until = self.down_until.max(until);
    }

    pub(super) fn restart_at(&mut self, at: Microseconds) {
        self.restarts_at = Some(at);
    }

    pub(super) fn restart_is_due(&mut self, now: Microseconds) -> bool {
        self.restarts_at.take_if(|at| now >= *at).is_some()
    }

    /// A new conn, and what is said first on it.
    pub(super) fn begin_connection(&mut self, without: &super::DisabledGuards) -> transport::Frame {
        if without.forward {
            self.follower = StateFollower::default();
        }
        self.requests = ProofRequests::default();
        transport::Frame::FollowClusterState {
            held_position: self.follower.held_position(),
        }
    }

    /// False when the conn is of no use any more.
    pub(super) fn receive(&mut self, frame: transport::Frame) -> bool {
        if let transport::Frame::ClusterStateUpdate { to, .. } = &frame
            && !self.has_verified
            && *to < self.highest_received
        {
            self.older_received += 1;
        }
        let heard = self.follower.handle_frame(frame, &mut self.requests);
        if heard == UpdateOutcome::Verified {
            self.has_verified = true;
            self.connection
                .iter_mut()
                .for_each(|line| line.proved = true);
        }
        self.highest_received = self.highest_received.max(self.follower.received().position);
        heard != UpdateOutcome::Inconsistent
    }

    /// What its lanes are served from.
    pub(super) fn served_state(
        &self,
        without: &super::DisabledGuards,
    ) -> Option<Arc<StateSnapshot>> {
        let told = || Some(self.follower.received().clone()).filter(|told| told.position > 0);
        if without.proof || without.forward && self.has_verified {
            told()
        } else {
            self.follower.verified().map(|outlook| outlook.snapshot)
        }
    }
}
