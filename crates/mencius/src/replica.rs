//! The machine's state and its door: one input at a time, effects collected (design 3.2).

use crate::messages::*;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// A revocation this seat leads for one owner's block (design 3.6).
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub proposal_number: ProposalNumber,
    pub block: Block,
    pub promises: BTreeMap<ReplicaId, PromiseReport>,
    pub proposal: Option<Commands>,
    pub accepted_by: BTreeSet<ReplicaId>,
    pub started_at: Micros,
}

pub(crate) type PromiseReport = (
    Vec<(Instance, ProposalNumber, Value)>,
    Vec<(Instance, Instance, ProposalNumber)>,
);

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub connected: bool,
    pub last_heard: Micros,
    pub suspicion_timeout: Micros,
    pub suspected: bool,
    pub announced_cursor: Instance,
    pub announced_at: Micros,
    pub last_sent: Micros,
    pub applied: Instance,
    /// From where a run was sent, and until when it is not sent again.
    pub sent_outcomes: (Instance, Micros),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ReadIndexRound {
    pub token: ReadToken,
    pub requested_by: Vec<ReadToken>,
    pub responses: BTreeMap<ReplicaId, Option<Instance>>,
    pub started_at: Micros,
}

pub struct Replica {
    pub(crate) replica_id: ReplicaId,
    pub(crate) replica_count: u64,
    pub(crate) disk_id: u64,
    pub(crate) config: Config,
    pub(crate) now: Micros,
    pub(crate) index: Instance,
    pub(crate) proposal_counter: u64,
    pub(crate) compaction_point: Instance,
    /// Applied and, by now, carried out by the driver: a change of holders among it is in force.
    pub(crate) executed: Instance,
    pub(crate) delivered: Instance,
    pub(crate) voting_range_start: Instance,
    pub(crate) voting_range_end: Instance,
    pub(crate) deferred: VecDeque<Value>,
    pub(crate) applied: Instance,
    pub(crate) coordinator_logs: Vec<crate::CoordinatorLog>,
    pub(crate) peers: Vec<Peer>,
    /// Own suggestions without an outcome, with the seats that accepted them.
    pub(crate) own_suggestions: BTreeMap<Instance, (Value, BTreeSet<ReplicaId>)>,
    pub(crate) rejected: BTreeSet<Instance>,
    pub(crate) revocations: BTreeMap<ReplicaId, Revocation>,
    pub(crate) revoke_not_before: Vec<Micros>,
    /// Revocations of each owner begun since the log last moved.
    pub(crate) revocation_attempts: Vec<u32>,
    pub(crate) stalled: (Instance, Micros, Micros),
    pub(crate) reads: crate::read_index::ReadIndexState,
    pub(crate) snapshot: Option<(Instance, Vec<u8>)>,
    pub(crate) batch_writes: Vec<Write>,
    /// Outcomes can be asked for again, so they wait for the next sync instead of causing one.
    pub(crate) batch_outcomes: Vec<Write>,
    pub(crate) batch_frames: Vec<(ReplicaId, Frame)>,
    pub(crate) replace_journal: bool,
    pub(crate) persisting: Option<(PersistTicket, Vec<(ReplicaId, Frame)>)>,
    pub(crate) last_ticket: PersistTicket,
    pub(crate) effects: Vec<Effect>,
    pub(crate) rng: rand::rngs::StdRng,
}

impl Replica {
    /// `writes` is what the disk kept, oldest first; empty on a new disk.
    pub fn restore(
        seat: ReplicaId,
        seats: u16,
        identity: u64,
        tuning: Config,
        now: Micros,
        writes: Vec<Write>,
    ) -> Self {
        let mate = Peer {
            connected: false,
            last_heard: now,
            suspicion_timeout: tuning.initial_suspicion_timeout,
            suspected: false,
            announced_cursor: 0,
            announced_at: now,
            last_sent: now,
            applied: 0,
            sent_outcomes: (0, 0),
        };
        let mut machine = Replica {
            replica_id: seat,
            replica_count: seats as u64,
            disk_id: identity,
            config: tuning,
            now,
            index: seat as Instance,
            proposal_counter: 0,
            compaction_point: 0,
            executed: 0,
            delivered: 0,
            voting_range_start: 0,
            voting_range_end: Instance::MAX,
            deferred: Default::default(),
            applied: 0,
            coordinator_logs: vec![crate::CoordinatorLog::default(); seats as usize],
            peers: vec![mate; seats as usize],
            own_suggestions: Default::default(),
            rejected: Default::default(),
            revocations: Default::default(),
            revoke_not_before: vec![0; seats as usize],
            revocation_attempts: vec![0; seats as usize],
            stalled: (0, now, now),
            reads: Default::default(),
            snapshot: None,
            batch_writes: Vec::new(),
            batch_outcomes: Vec::new(),
            batch_frames: Vec::new(),
            replace_journal: false,
            persisting: None,
            last_ticket: 0,
            effects: Vec::new(),
            rng: rand::SeedableRng::seed_from_u64(identity),
        };
        writes.into_iter().for_each(|write| machine.replay(write));
        machine.resume();
        machine
    }

    pub fn step(&mut self, now: Micros, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::ConnectionOpened(mate) => self.on_connection_opened(mate),
            Input::ConnectionClosed(mate) => self.on_connection_closed(mate),
            Input::Frame(mate, frame) => self.on_frame(mate, frame),
            Input::Persisted(ticket) => self.on_persisted(ticket),
            Input::Submit(value) => self.suggest(value),
            Input::ReadIndex(token) => self.request_read(token),
            Input::Snapshot {
                next_instance: through,
                state,
            } => self.compact_to_snapshot(through, state),
            Input::StartVotingAfter(upto) => self.start_voting_after(upto),
            Input::StopVotingAfter(upto) => self.stop_voting_after(upto),
            Input::SkipThrough(past) => self.skip_own_through(past),
            Input::Tick => self.tick(),
        }
    }

    /// Closes the draft: one sync for all that gathered, nothing leaves before it (design 3.3).
    pub fn take_effects(&mut self) -> Vec<Effect> {
        // Whoever asks for more has carried out what it was given before.
        self.executed = self.delivered;
        while self.persisting.is_none()
            && !(self.batch_writes.is_empty() && self.batch_frames.is_empty())
        {
            let frames = std::mem::take(&mut self.batch_frames);
            if self.batch_writes.is_empty() {
                self.release(frames);
                continue;
            }
            self.last_ticket += 1;
            let writes = match std::mem::take(&mut self.replace_journal) {
                true => (self.full_state_writes(), true),
                false => (std::mem::take(&mut self.batch_writes), false),
            };
            self.batch_writes.clear();
            let outcomes = std::mem::take(&mut self.batch_outcomes);
            let writes = (
                writes
                    .0
                    .into_iter()
                    .chain(outcomes.into_iter().filter(|_| !writes.1))
                    .collect(),
                writes.1,
            );
            self.persisting = Some((self.last_ticket, frames));
            self.effects.push(Effect::Persist {
                ticket: self.last_ticket,
                writes: writes.0,
                replace_journal: writes.1,
            });
        }
        self.delivered = self.applied;
        std::mem::take(&mut self.effects)
    }

    fn on_persisted(&mut self, ticket: PersistTicket) {
        match self.persisting.take() {
            Some((awaited, frames)) if awaited == ticket => self.release(frames),
            other => self.persisting = other,
        }
    }

    fn release(&mut self, frames: Vec<(ReplicaId, Frame)>) {
        frames
            .into_iter()
            .for_each(|(to, frame)| match to == self.replica_id {
                true => self.handle_message(to, frame.message),
                false => {
                    let mate = &mut self.peers[to as usize];
                    if mate.connected {
                        mate.last_sent = self.now;
                        self.effects.push(Effect::Send(to, frame));
                    }
                }
            });
    }

    /// The cursor is taken when the frame is drafted: every suggestion below it is drafted already.
    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        let cursor = self.index;
        self.send_with_cursor(to, cursor, message);
    }

    pub(crate) fn send_with_cursor(&mut self, to: ReplicaId, cursor: Instance, message: Message) {
        if to != self.replica_id && !self.peers[to as usize].connected {
            return;
        }
        let mate = &mut self.peers[to as usize];
        mate.announced_cursor = mate.announced_cursor.max(cursor);
        self.batch_frames.push((to, Frame { cursor, message }));
    }

    pub(crate) fn peer_ids(&self) -> Vec<ReplicaId> {
        (0..self.replica_count as ReplicaId)
            .filter(|seat| *seat != self.replica_id)
            .collect()
    }

    pub(crate) fn replica_ids(&self) -> Vec<ReplicaId> {
        (0..self.replica_count as ReplicaId).collect()
    }

    pub(crate) fn coordinator(&self, instance: Instance) -> ReplicaId {
        (instance % self.replica_count) as ReplicaId
    }

    pub(crate) fn coordinator_log_mut(&mut self, instance: Instance) -> &mut crate::CoordinatorLog {
        let owner = self.coordinator(instance);
        &mut self.coordinator_logs[owner as usize]
    }

    /// Smallest instance of `owner` that is not below `from`.
    pub(crate) fn first_coordinated_from(&self, owner: ReplicaId, from: Instance) -> Instance {
        first_instance_of(from, owner, self.replica_count as u16)
    }

    pub(crate) fn majority(&self) -> usize {
        self.replica_count as usize / 2 + 1
    }

    pub fn applied(&self) -> Instance {
        self.applied
    }

    pub fn compaction_point(&self) -> Instance {
        self.compaction_point
    }

    pub fn index(&self) -> Instance {
        self.index
    }

    pub fn suspected_peers(&self) -> Vec<ReplicaId> {
        self.peer_ids()
            .into_iter()
            .filter(|seat| self.peers[*seat as usize].suspected)
            .collect()
    }

    /// How far this seat knows the log to reach, for status pages.
    pub fn highest_instance(&self) -> Option<Instance> {
        self.coordinator_logs
            .iter()
            .filter_map(crate::CoordinatorLog::highest_command)
            .max()
            .max(self.compaction_point.checked_sub(1))
    }

    pub fn reachable_replicas(&self) -> usize {
        1 + self
            .peer_ids()
            .iter()
            .filter(|seat| {
                self.peers[**seat as usize].connected && !self.peers[**seat as usize].suspected
            })
            .count()
    }
}
