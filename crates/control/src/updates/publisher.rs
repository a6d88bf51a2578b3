//! The cluster state at a replica, and its distribution to followers: each follower is sent the
//! changes since the position it holds (design 11.3).

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

/// The maximum number of updates kept for followers that reconnect after a short time.
const MAX_HISTORY_UPDATES: usize = 512;
/// The maximum total size of these updates, in bytes.
const MAX_HISTORY_BYTES: usize = 1_048_576;

/// Updates of up to this total size, in bytes, are sent without comparing them with the size of a
/// snapshot.
const ALWAYS_INCREMENTAL_BYTES: usize = 16_384;

/// Minimum interval between two rounds of freshness proofs, in microseconds.
const PROOF_ROUND_INTERVAL: Microseconds = 50_000;

/// The size, in bytes, of the big-endian length that precedes the state machine in an encoded
/// state.
const LENGTH_BYTES: usize = 8;

/// Identifies an entry of the log; a retry of the entry has the same id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryId {
    /// The name of the process that submitted the entry.
    pub origin: String,
    /// Distinguishes processes with the same name.
    pub incarnation: Incarnation,
    /// The number of the entry among the entries of its process.
    pub sequence: u64,
}

impl EntryId {
    /// Returns the id of an entry.
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

/// A process that receives updates, and the position up to which updates were sent to it.
struct Follower {
    position: Position,
    sender: FrameSender,
}

/// Changes that are applied and not published yet, and the position before them.
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

/// The whole cluster state at a position, encoded.
struct EncodedSnapshot {
    position: Position,
    deltas: Vec<u8>,
}

/// A follower's request for a freshness proof, and the channel on which the proof is sent.
struct ProofRequest {
    request_id: u64,
    sender: FrameSender,
}

/// Applies operations to the cluster state and sends the updates to followers. It is owned by the
/// event loop of a replica (design 8.1).
#[derive(Default)]
pub struct UpdatePublisher {
    /// The cluster state with all operations applied so far.
    pub cluster_state: ClusterState,
    unpublished: Unpublished,
    history: VecDeque<EncodedUpdate>,
    followers: Vec<Follower>,
    /// The latest snapshot sent. Updates after its position are taken from the history.
    snapshot: Option<EncodedSnapshot>,
    /// The requests of each pending round, by the token of the read that proves the round.
    proof_rounds: BTreeMap<u64, Vec<ProofRequest>>,
    /// Requests for the next round.
    waiting_requests: Vec<ProofRequest>,
    last_round_at: Microseconds,
}

impl UpdatePublisher {
    /// Applies an operation. Its changes are sent to followers with the next [`Self::publish`].
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
    /// are kept.
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

    /// Returns all items that are not dropped.
    pub fn items(&self) -> Items {
        let items = self.cluster_state.items.iter();
        let present = items.filter(|(_, item)| item.body.is_some());
        present
            .map(|(key, item)| (key.clone(), item.clone()))
            .collect()
    }

    /// Adds a follower and sends it the updates after the position `held`.
    pub fn add_follower(&mut self, held: Position, sender: FrameSender) {
        self.followers.push(Follower {
            position: held,
            sender,
        });
        self.publish();
        self.send_updates();
    }

    /// Adds a follower's request for a freshness proof to the next round.
    pub fn request_proof(&mut self, request_id: u64, sender: FrameSender) {
        self.waiting_requests
            .push(ProofRequest { request_id, sender });
    }

    /// Begins a round with all waiting requests, unless there are none or the previous round began
    /// less than `PROOF_ROUND_INTERVAL` ago. Returns whether a round began; the caller must then
    /// perform the read with this token, which proves the round. Rounds keep the number of reads
    /// independent of the number of followers (design 11.7).
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

    /// Returns whether a round is pending because its read is not done.
    pub fn has_open_rounds(&self) -> bool {
        !self.proof_rounds.is_empty()
    }

    /// Sends the proofs of a round whose read is done. Each is sent on the channel that carries the
    /// updates of its follower, and so arrives after the updates that it covers.
    pub fn send_proofs(&mut self, token: u64) {
        let requests = self.proof_rounds.remove(&token);
        for request in requests.into_iter().flatten() {
            let proof = Frame::Proof {
                request_id: request.request_id,
                position: self.cluster_state.position,
            };
            // A full channel means that the follower does not keep up, which ends its connection.
            drop(request.sender.try_send(proof));
        }
    }

    /// Sends all changes applied since the last call to the followers, as one update.
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

    /// Sends a follower the changes since its position, and returns whether it is still connected.
    /// A replica that lags behind a follower sends nothing until it has caught up.
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

    /// Returns the frames that bring a follower from the position `held` to the current one: either
    /// the updates since `held`, or a snapshot with the updates since that, whichever is shorter.
    fn frames_since(&mut self, held: Position) -> Vec<Frame> {
        let since_held = self.history_index(held);
        let update_bytes = since_held.map(|first| self.history_bytes_from(first));
        if let Some((first, bytes)) = since_held.zip(update_bytes)
            && bytes <= ALWAYS_INCREMENTAL_BYTES
        {
            return self.incremental_frames(first);
        }
        let since_snapshot = self.refresh_snapshot();
        let snapshot_bytes = self.snapshot.as_ref().map(|snapshot| snapshot.deltas.len());
        let snapshot_bytes =
            snapshot_bytes.unwrap_or_default() + self.history_bytes_from(since_snapshot);
        match since_held.zip(update_bytes) {
            Some((first, bytes)) if bytes <= snapshot_bytes => self.incremental_frames(first),
            _ => self.snapshot_frames(since_snapshot),
        }
    }

    /// Returns the index in the history at which the updates after a position begin, or `None` if
    /// the history does not reach back to it. A follower that comes from another replica may be at
    /// a position within an update, because replicas group entries differently; it is sent that
    /// update whole.
    fn history_index(&self, position: Position) -> Option<usize> {
        let mut history = self.history.iter();
        let index = history.position(|update| update.from <= position && position < update.to);
        let is_current = position == self.cluster_state.position;
        index.or(is_current.then_some(self.history.len()))
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
            .map(|snapshot| (snapshot.position, snapshot.deltas.clone()))
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

    /// Makes a new snapshot unless the latest one is longer than the updates since. Returns the
    /// index in the history at which the updates after the snapshot begin.
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

/// Decodes the changes in an update or snapshot; `None` if the bytes are malformed.
pub(crate) fn decode_deltas(bytes: &[u8]) -> Option<Vec<Delta>> {
    let bytes = model::compression::decompress(bytes).ok()?;
    let mut aligned = AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    rkyv::from_bytes::<Vec<Delta>, rancor::Error>(&aligned).ok()
}

/// Encodes the state machine and the cluster state as one snapshot of the log.
pub(crate) fn encode_state(state_machine: &StateMachine, cluster_state: &ClusterState) -> Vec<u8> {
    let state_machine = state_machine.to_bytes();
    let cluster_state = cluster_state.to_bytes();
    let length = (state_machine.len() as u64).to_be_bytes();
    model::compression::compress([&length[..], &state_machine, &cluster_state].concat())
}

/// Decodes the parts of a snapshot of the log; `None` if the bytes are malformed.
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
