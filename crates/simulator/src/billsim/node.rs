//! A follower: a node's promptbook, and the conn it is told on (design 11.3).

use control::updates::verification::{StateFollower, UpdateOutcome};
use model::cluster_state::StateSnapshot;
use model::{Microseconds, Position};
use std::collections::VecDeque;
use std::sync::Arc;

type Way = VecDeque<(Microseconds, transport::Frame)>;

/// A conn to one life of a seat, with what is on its way on it.
pub(super) struct Line {
    pub seat: usize,
    pub life: u64,
    pub sender: transport::FrameSender,
    pub told: tokio::sync::mpsc::Receiver<transport::Frame>,
    pub up: Way,
    pub down: Way,
    pub proved: bool,
}

#[derive(Default)]
pub(super) struct Node {
    pub book: StateFollower,
    pub line: Option<Line>,
    /// The process does not run until then; the path to the core is cut, what comes is late until then.
    pub down_until: Microseconds,
    pub cut_until: Microseconds,
    pub stalled_until: Microseconds,
    /// It is rolled then.
    rolls_at: Option<Microseconds>,
    pub dials_at: Microseconds,
    pub asks_at: Microseconds,
    pub turn: usize,
    /// The newest it served from, and the newest it was told, in any life.
    pub had: Position,
    pub knew: Position,
    /// In this life something was proved.
    once: bool,
    pub older_told: usize,
}

impl Node {
    pub fn dies(&mut self, until: Microseconds) {
        (self.book, self.line, self.once) = (StateFollower::default(), None, false);
        self.down_until = self.down_until.max(until);
    }

    pub fn rolls(&mut self, at: Microseconds) {
        self.rolls_at = Some(at);
    }

    pub fn dies_at(&mut self, now: Microseconds) -> bool {
        self.rolls_at.take_if(|at| now >= *at).is_some()
    }

    /// A new conn, and what is said first on it.
    pub fn begins(&mut self, without: &super::Without) -> transport::Frame {
        if without.forward {
            self.book = StateFollower::default();
        }
        transport::Frame::FollowClusterState {
            held_position: self.book.begin_connection(),
        }
    }

    /// False when the conn is of no use any more.
    pub fn take(&mut self, frame: transport::Frame) -> bool {
        if let transport::Frame::ClusterStateUpdate { to, .. } = &frame
            && !self.once
            && *to < self.knew
        {
            self.older_told += 1;
        }
        let heard = self.book.handle_frame(frame);
        if heard == UpdateOutcome::Verified {
            self.once = true;
            self.line.iter_mut().for_each(|line| line.proved = true);
        }
        self.knew = self.knew.max(self.book.received().position);
        heard != UpdateOutcome::Inconsistent
    }

    /// What its lanes are served from.
    pub fn serves(&self, without: &super::Without) -> Option<Arc<StateSnapshot>> {
        let told = || Some(self.book.received().clone()).filter(|told| told.position > 0);
        if without.proof || without.forward && self.once {
            told()
        } else {
            self.book.verified().map(|outlook| outlook.snapshot)
        }
    }
}
