//! The cluster state at a replica, and the followers that are sent what changed since the position
//! each holds (design 11.3).

use std::collections::{BTreeMap, VecDeque};
use std::mem;

use model::cluster_state::items::Items;
use model::cluster_state::{ClusterOperation, Delta};
use model::{ClusterState, Entry, Incarnation, Microseconds, Outcome, Position, StateMachine};
use rkyv::rancor;
use rkyv::util::AlignedVec;
use transport::{Frame, FrameSender};

#[cfg(test)]
mod tests;

/// Updates that are kept for followers that were away for a moment, by number and by bytes.
const MAX_HISTORY_UPDATES: usize = 512;
const MAX_HISTORY_BYTES: usize = 1_048_576;

/// So much history is sent without asking whether a snapshot would be shorter.
const ALWAYS_INCREMENTAL_BYTES: usize = 16_384;

/// Between two rounds of proofs.
const PROOF_ROUND_INTERVAL: Microseconds = 50_000;

/// Bytes before the state machine in an encoded state: its length, big-endian.
const LENGTH_BYTES: usize = 8;

/// Identifies an entry of the log; a repeat carries the same id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryId {
    /// The process that submitted the entry, by name.
    pub origin: String,
    /// Tells processes of one name apart.
    pub incarnation: Incarnation,
    /// Counts the entries of one process.
    pub sequence: u64,
}

impl EntryId {
    /// The id of an entry.
    pub fn of(entry: &Entry) -> EntryId {
        EntryId {
            origin: entry.origin.clone(),
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        }
    }
}

impl From<Entry> for EntryId {
    fn from(entry: Entry) -> EntryId {
        EntryId {
            origin: entry.origin,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        }
    }
}

/// A process that is sent updates, and the position up to which it was.
struct Follower {
    position: Position,
    sender: FrameSender,
}

/// Changes that were applied and not published yet, and the position before them.
#[derive(Default)]
struct Unpublished {
    from: Position,
    deltas: Vec<Delta>,
}

/// The changes between two positions, encoded.
struct EncodedUpdate {
    from: Position,
    to: Position,
    deltas: Vec<u8>,
}

/// All that held at a position, encoded.
struct EncodedSnapshot {
    position: Position,
    deltas: Vec<u8>,
}

/// A follower's request, and where its proof is sent.
struct ProofRequest {
    request_id: u64,
    sender: FrameSender,
}

/// Applies operations to the cluster state and sends the updates to followers. Owned by the event
/// loop of a replica (design 8.1).
#[derive(Default)]
pub struct UpdatePublisher {
    /// The cluster state after everything applied so far.
    pub cluster_state: ClusterState,
    unpublished: Unpublished,
    history: VecDeque<EncodedUpdate>,
    followers: Vec<Follower>,
    /// The latest snapshot that was sent; what came since follows from the history.
    snapshot: Option<EncodedSnapshot>,
    /// Requests by the token of the read that proves them.
    proof_rounds: BTreeMap<u64, Vec<ProofRequest>>,
    /// Requests that wait for the next round.
    waiting_requests: Vec<ProofRequest>,
    last_round_at: Microseconds,
}

impl UpdatePublisher {
    /// Applies an operation. Followers hear of it with the next [`Self::publish`].
    pub fn apply(&mut self, entry_id: &EntryId, operation: ClusterOperation) -> Outcome {
        let EntryId {
            origin,
            incarnation,
            sequence,
        } = entry_id;
        let position_before = self.cluster_state.position;
        let (outcome, deltas) =
            self.cluster_state
                .apply(origin, *incarnation, *sequence, operation);
        if self.unpublished.deltas.is_empty() {
            self.unpublished.from = position_before;
        }
        self.unpublished.deltas.extend(deltas);
        outcome
    }

    /// Replaces the cluster state by one from a snapshot of the log. Followers and their requests
    /// stay.
    pub fn install(&mut self, cluster_state: ClusterState) {
        *self = UpdatePublisher {
            cluster_state,
            followers: mem::take(&mut self.followers),
            proof_rounds: mem::take(&mut self.proof_rounds),
            waiting_requests: mem::take(&mut self.waiting_requests),
            last_round_at: self.last_round_at,
            ..Default::default()
        };
        self.send_updates();
    }

    /// All items that were not dropped.
    pub fn items(&self) -> Items {
        let items = self.cluster_state.items.iter();
        let present = items.filter(|(_, item)| item.body.is_some());
        present
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect()
    }

    /// Sends updates from the position `held` on to a new follower.
    pub fn add_follower(&mut self, held: Position, sender: FrameSender) {
        self.followers.push(Follower {
            position: held,
            sender,
        });
        self.publish();
        self.send_updates();
    }

    /// Takes a follower's request for a proof into the next round.
    pub fn request_proof(&mut self, request_id: u64, sender: FrameSender) {
        self.waiting_requests
            .push(ProofRequest { request_id, sender });
    }

    /// Whether a round begins now, which the read with this token is to prove: at once after a
    /// pause, else for all requests that came meanwhile, so that reads do not grow with the number
    /// of followers (design 11.7).
    pub fn begin_proof_round(&mut self, now: Microseconds, token: u64) -> bool {
        if self.waiting_requests.is_empty() || now < self.last_round_at + PROOF_ROUND_INTERVAL {
            return false;
        }
        self.last_round_at = now;
        self.proof_rounds
            .retain(|_, requests| requests.iter().any(|request| !request.sender.is_closed()));
        let requests = mem::take(&mut self.waiting_requests);
        self.proof_rounds.insert(token, requests);
        true
    }

    /// Whether a round waits for its read.
    pub fn has_open_rounds(&self) -> bool {
        !self.proof_rounds.is_empty()
    }

    /// Sends the proofs of a round whose read is done, each on the channel that carried the updates
    /// before it.
    pub fn send_proofs(&mut self, token: u64) {
        let requests = self.proof_rounds.remove(&token);
        for request in requests.into_iter().flatten() {
            let proof = Frame::Proof {
                request_id: request.request_id,
                position: self.cluster_state.position,
            };
            // A channel that is full has lost its follower anyway.
            drop(request.sender.try_send(proof));
        }
    }

    /// Sends all that was applied since the last time, as one update.
    pub fn publish(&mut self) {
        let Unpublished { from, deltas } = mem::take(&mut self.unpublished);
        if deltas.is_empty() {
            return;
        }
        self.history.push_back(EncodedUpdate {
            from,
            to: self.cluster_state.position,
            deltas: encode_deltas(deltas),
        });
        while self.history.len() > MAX_HISTORY_UPDATES
            || self.history_bytes_from(0) > MAX_HISTORY_BYTES
        {
            self.history.pop_front();
        }
        self.send_updates();
    }

    fn send_updates(&mut self) {
        for mut follower in mem::take(&mut self.followers) {
            if self.send_update_to(&mut follower) {
                self.followers.push(follower);
            }
        }
    }

    /// Whether the follower is still there. A replica that lags behind a follower sends it nothing
    /// until it has caught up.
    fn send_update_to(&mut self, follower: &mut Follower) -> bool {
        let position = self.cluster_state.position;
        if follower.position >= position {
            return !follower.sender.is_closed();
        }
        let frames = self.frames_since(follower.position);
        follower.position = position;
        let mut frames = frames.into_iter();
        frames.all(|frame| follower.sender.try_send(frame).is_ok())
    }

    /// The shorter of what changed since `held`, and a snapshot with what changed since that.
    fn frames_since(&mut self, held: Position) -> Vec<Frame> {
        let since_held = self.history_index(held);
        let changed_bytes = since_held.map(|first| self.history_bytes_from(first));
        if let Some((first, bytes)) = since_held.zip(changed_bytes)
            && bytes <= ALWAYS_INCREMENTAL_BYTES
        {
            return self.incremental_frames(first);
        }
        let since_snapshot = self.refresh_snapshot();
        let snapshot_bytes = self.snapshot.as_ref().map(|held| held.deltas.len());
        let snapshot_bytes =
            snapshot_bytes.unwrap_or_default() + self.history_bytes_from(since_snapshot);
        match since_held.zip(changed_bytes) {
            Some((first, bytes)) if bytes <= snapshot_bytes => self.incremental_frames(first),
            _ => self.snapshot_frames(since_snapshot),
        }
    }

    /// Where in the history the updates after a position begin; `None` if it does not reach back
    /// so far. A follower that comes from another replica may stand within an update, as that
    /// replica grouped its entries differently: it is sent this one whole.
    fn history_index(&self, position: Position) -> Option<usize> {
        let mut history = self.history.iter();
        let begins = history.position(|update| update.from <= position && position < update.to);
        let is_present = position == self.cluster_state.position;
        begins.or(is_present.then_some(self.history.len()))
    }

    fn history_bytes_from(&self, first: usize) -> usize {
        let updates = self.history.iter().skip(first);
        updates.map(|update| update.deltas.len()).sum()
    }

    fn incremental_frames(&self, first: usize) -> Vec<Frame> {
        let updates = self.history.iter().skip(first);
        let frame = |update: &EncodedUpdate| Frame::ClusterStateUpdate {
            is_snapshot: false,
            from: update.from,
            to: update.to,
            deltas: update.deltas.clone(),
        };
        updates.map(frame).collect()
    }

    fn snapshot_frames(&self, since_snapshot: usize) -> Vec<Frame> {
        let snapshot = self.snapshot.as_ref();
        let (to, deltas) = snapshot
            .map(|held| (held.position, held.deltas.clone()))
            .unwrap_or_default();
        let mut frames = vec![Frame::ClusterStateUpdate {
            is_snapshot: true,
            from: 0,
            to,
            deltas,
        }];
        frames.extend(self.incremental_frames(since_snapshot));
        frames
    }

    /// Makes a snapshot unless the latest one is longer than what came since, and returns where in
    /// the history the updates after it begin.
    fn refresh_snapshot(&mut self) -> usize {
        if let Some(snapshot) = &self.snapshot
            && let Some(first) = self.history_index(snapshot.position)
            && self.history_bytes_from(first) < snapshot.deltas.len()
        {
            return first;
        }
        self.snapshot = Some(EncodedSnapshot {
            position: self.cluster_state.position,
            deltas: encode_deltas(self.cluster_state.full_deltas()),
        });
        self.history.len()
    }
}

fn encode_deltas(deltas: Vec<Delta>) -> Vec<u8> {
    let bytes = rkyv::to_bytes::<rancor::Error>(&deltas);
    let bytes = bytes.map(|bytes| bytes.to_vec()).unwrap_or_default();
    model::compression::compress(bytes)
}

/// The changes in an update or snapshot; `None` if the bytes are malformed.
pub(crate) fn decode_deltas(bytes: &[u8]) -> Option<Vec<Delta>> {
    let bytes = model::compression::decompress(bytes).ok()?;
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    rkyv::from_bytes::<Vec<Delta>, rancor::Error>(&aligned).ok()
}

/// State machine and cluster state as one snapshot of the log.
pub(crate) fn encode_state(state_machine: &StateMachine, cluster_state: &ClusterState) -> Vec<u8> {
    let state_machine = state_machine.to_bytes();
    let cluster_state = cluster_state.to_bytes();
    let length = (state_machine.len() as u64).to_be_bytes();
    model::compression::compress([&length[..], &state_machine, &cluster_state].concat())
}

/// The parts of a snapshot of the log; `None` if the bytes are malformed.
pub(crate) fn decode_state(state: &[u8]) -> Option<(StateMachine, ClusterState)> {
    let state = model::compression::decompress(state).ok()?;
    let (length, parts) = state.split_at_checked(LENGTH_BYTES)?;
    let length = u64::from_be_bytes(length.try_into().ok()?) as usize;
    let (state_machine, cluster_state) = parts.split_at_checked(length)?;
    Some((
        StateMachine::from_bytes(state_machine).ok()?,
        ClusterState::from_bytes(cluster_state).ok()?,
    ))
}
