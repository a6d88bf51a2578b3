//! A node's connection to one incarnation of a replica, with the frames in flight on it.

use std::collections::VecDeque;

use model::Microseconds;
use tokio::sync::mpsc;
use transport::{Frame, FrameSender};

/// Capacity of a replica's channel to a follower, in frames.
const CHANNEL_CAPACITY: usize = 1_024;

/// Frames with the times at which they arrive.
type FramesInFlight = VecDeque<(Microseconds, Frame)>;

/// A connection, or an attempt to open one.
pub(super) struct UpdateConnection {
    pub replica: usize,
    /// The incarnation of the replica's process, or `None` until the connection is open.
    pub incarnation: Option<u64>,
    /// The time at which the attempt reaches the replica.
    pub arrives_at: Microseconds,
    /// The time at which the attempt times out.
    pub times_out_at: Microseconds,
    /// The sending end of the replica's channel to the node.
    pub sender: FrameSender,
    outgoing: mpsc::Receiver<Frame>,
    to_replica: FramesInFlight,
    to_node: FramesInFlight,
}

impl UpdateConnection {
    pub(super) fn new(
        replica: usize,
        arrives_at: Microseconds,
        times_out_at: Microseconds,
    ) -> UpdateConnection {
        let (sender, outgoing) = mpsc::channel(CHANNEL_CAPACITY);
        UpdateConnection {
            replica,
            incarnation: None,
            arrives_at,
            times_out_at,
            sender,
            outgoing,
            to_replica: FramesInFlight::default(),
            to_node: FramesInFlight::default(),
        }
    }

    /// Sends a frame from the node, which arrives at `arrives_at` but never before an earlier frame.
    pub(super) fn send_to_replica(&mut self, arrives_at: Microseconds, frame: Frame) {
        push_in_order(&mut self.to_replica, arrives_at, frame);
    }

    /// Schedules the frames that the replica has sent, which arrive at `arrives_at` but never before an earlier frame.
    pub(super) fn send_to_node(&mut self, arrives_at: Microseconds) {
        while let Ok(frame) = self.outgoing.try_recv() {
            push_in_order(&mut self.to_node, arrives_at, frame);
        }
    }

    /// Takes the next frame that has arrived at the replica.
    pub(super) fn arrived_at_replica(&mut self, now: Microseconds) -> Option<Frame> {
        pop_due(&mut self.to_replica, now)
    }

    /// Takes the next frame that has arrived at the node.
    pub(super) fn arrived_at_node(&mut self, now: Microseconds) -> Option<Frame> {
        pop_due(&mut self.to_node, now)
    }
}

fn push_in_order(frames: &mut FramesInFlight, arrives_at: Microseconds, frame: Frame) {
    let previous = frames.back().map_or(0, |(arrives_at, _)| *arrives_at);
    frames.push_back((arrives_at.max(previous), frame));
}

fn pop_due(frames: &mut FramesInFlight, now: Microseconds) -> Option<Frame> {
    let due = frames.pop_front_if(|(arrives_at, _)| *arrives_at <= now);
    due.map(|(_, frame)| frame)
}
