//! The state of a replica and its entry points: one input at a time, effects collected
//! (design 3.2), writes and frames gathered into batches that are synced as one (design 3.3).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem::take;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::config::Config;
use crate::coordinator_log::CoordinatorLog;
use crate::messages::{
    Effect, Frame, Input, Instance, Message, Micros, PersistTicket, ReplicaId, Value, Write,
    first_instance_of,
};
use crate::state::{
    Batch, OutgoingFrame, OwnSuggestion, Peer, PersistingBatch, ReadIndexState, Revocation,
    Snapshot, Stall,
};

/// One replica of the replicated log.
///
/// It owns no clock, disk or socket: [`step`](Replica::step) takes one [`Input`] and the time,
/// [`take_effects`](Replica::take_effects) gives the [`Effect`]s to carry out.
pub struct Replica {
    pub(crate) replica_id: ReplicaId,
    pub(crate) replica_count: u64,
    /// The identity of this replica's disk; part of each of its proposal numbers.
    pub(crate) disk_id: u64,
    pub(crate) config: Config,
    /// The latest time handed in.
    pub(crate) now: Micros,
    /// Drawn from a fixed seed, so that the same inputs have the same effects.
    pub(crate) rng: StdRng,

    // The durable state; the writes that change it are in `Write`.
    /// The next own instance to suggest in: I_p (paper 4.3).
    pub(crate) index: Instance,
    /// The highest counter of a proposal number used or seen.
    pub(crate) proposal_counter: u64,
    /// What is known of the instances of each coordinator, by replica id.
    pub(crate) coordinator_logs: Vec<CoordinatorLog>,
    pub(crate) snapshot: Option<Snapshot>,
    /// Everything below is compacted away and only in the snapshot.
    pub(crate) compaction_point: Instance,
    /// The first instance that this disk may vote in (design 4.4).
    pub(crate) voting_range_start: Instance,

    // Delivery in order.
    /// All instances below were given out with `Effect::Apply` or are no-ops.
    pub(crate) applied: Instance,
    /// `applied` at the last `take_effects`.
    pub(crate) delivered: Instance,
    /// All instances below are carried out by the driver: a change of a replica's disk among them
    /// is in force.
    pub(crate) executed: Instance,
    /// The last instance that this disk may vote in, as far as the log says (design 4.4).
    pub(crate) voting_range_end: Instance,

    // Own suggestions.
    /// Those without a known outcome.
    pub(crate) own_suggestions: BTreeMap<Instance, OwnSuggestion>,
    /// Those that an acceptor rejected for a higher promise.
    pub(crate) rejected: BTreeSet<Instance>,
    /// Commands that came while the index was outside of the voting range.
    pub(crate) deferred: VecDeque<Value>,

    // Peers, suspicion and revocation.
    /// By replica id; the entry of this replica itself is not used.
    pub(crate) peers: Vec<Peer>,
    /// The revocations that this replica leads, by the coordinator revoked.
    pub(crate) revocations: BTreeMap<ReplicaId, Revocation>,
    /// By the coordinator: no revocation is begun before this time. 0 where none was delayed.
    pub(crate) revoke_not_before: Vec<Micros>,
    /// By the coordinator: revocations begun since the log last moved.
    pub(crate) revocation_attempts: Vec<u32>,
    pub(crate) stall: Stall,
    pub(crate) last_tick: Micros,

    pub(crate) reads: ReadIndexState,

    // Batching.
    pub(crate) batch: Batch,
    pub(crate) persisting: Option<PersistingBatch>,
    pub(crate) last_ticket: PersistTicket,
    /// Released and not yet taken by the driver.
    pub(crate) effects: Vec<Effect>,
}

impl Replica {
    /// Brings a replica back from what its disk kept.
    ///
    /// `replica_id` is below `replica_count`; `disk_id` is unique to this disk and not 0; `writes`
    /// are all that was persisted, oldest first, and empty on a new disk.
    pub fn restore(
        replica_id: ReplicaId,
        replica_count: u16,
        disk_id: u64,
        config: Config,
        now: Micros,
        writes: Vec<Write>,
    ) -> Self {
        let mut replica = Self::empty(replica_id, replica_count, disk_id, config, now);
        for write in writes {
            replica.replay(write);
        }
        replica.resume();
        replica
    }

    fn empty(
        replica_id: ReplicaId,
        replica_count: u16,
        disk_id: u64,
        config: Config,
        now: Micros,
    ) -> Self {
        let count = usize::from(replica_count);
        Replica {
            replica_id,
            replica_count: u64::from(replica_count),
            disk_id,
            config,
            now,
            rng: StdRng::seed_from_u64(disk_id),
            index: Instance::from(replica_id),
            proposal_counter: 0,
            coordinator_logs: vec![CoordinatorLog::default(); count],
            snapshot: None,
            compaction_point: 0,
            voting_range_start: 0,
            applied: 0,
            delivered: 0,
            executed: 0,
            voting_range_end: Instance::MAX,
            own_suggestions: BTreeMap::new(),
            rejected: BTreeSet::new(),
            deferred: VecDeque::new(),
            peers: vec![Peer::new(now, config.initial_suspicion_timeout); count],
            revocations: BTreeMap::new(),
            revoke_not_before: vec![0; count],
            revocation_attempts: vec![0; count],
            stall: Stall {
                instance: 0,
                since: now,
            },
            last_tick: now,
            reads: ReadIndexState::default(),
            batch: Batch::default(),
            persisting: None,
            last_ticket: 0,
            effects: Vec::new(),
        }
    }

    /// Takes in one input. `now` never goes back: an earlier time counts as the latest one.
    pub fn step(&mut self, now: Micros, input: Input) {
        self.now = self.now.max(now);
        match input {
            Input::ConnectionOpened(peer) => self.on_connection_opened(peer),
            Input::ConnectionClosed(peer) => self.on_connection_closed(peer),
            Input::Frame(peer, frame) => self.on_frame(peer, frame),
            Input::Persisted(ticket) => self.on_persisted(ticket),
            Input::Submit(value) => self.suggest(value),
            Input::ReadIndex(token) => self.request_read(token),
            Input::Snapshot {
                next_instance,
                state,
            } => self.compact_to_snapshot(next_instance, state),
            Input::StartVotingAfter(instance) => self.start_voting_after(instance),
            Input::StopVotingAfter(instance) => self.stop_voting_after(instance),
            Input::SkipThrough(instance) => self.skip_own_through(instance),
            Input::Tick => self.tick(),
        }
    }

    /// The effects since the last call, to be carried out in order before the next input.
    ///
    /// Closes the batch: one sync for all that gathered, and no frame of a batch leaves before its
    /// writes are synced, nor any later frame before an earlier one (design 3.3).
    pub fn take_effects(&mut self) -> Vec<Effect> {
        // Whoever asks for more has carried out what it was given before.
        self.executed = self.delivered;
        while self.persisting.is_none() && !self.batch.is_empty() {
            if self.batch.writes.is_empty() {
                let frames = take(&mut self.batch.frames);
                self.release(frames);
            } else {
                self.persist_batch();
            }
        }
        self.delivered = self.applied;
        take(&mut self.effects)
    }

    fn persist_batch(&mut self) {
        let Batch {
            mut writes,
            outcomes,
            frames,
            replace_journal,
        } = take(&mut self.batch);
        if replace_journal {
            writes = self.full_state_writes();
        } else {
            writes.extend(outcomes);
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.persisting = Some(PersistingBatch { ticket, frames });
        self.effects.push(Effect::Persist {
            ticket,
            writes,
            replace_journal,
        });
    }

    fn on_persisted(&mut self, ticket: PersistTicket) {
        if let Some(batch) = self.persisting.take_if(|batch| batch.ticket == ticket) {
            self.release(batch.frames);
        }
    }

    /// Lets frames go whose batch is synced; this replica's messages to itself are handled here.
    fn release(&mut self, frames: Vec<OutgoingFrame>) {
        let now = self.now;
        for OutgoingFrame { to, frame } in frames {
            if to == self.replica_id {
                self.handle_message(to, frame.message);
                continue;
            }
            let peer = self.peer_mut(to);
            if peer.connected {
                peer.last_sent = now;
                self.effects.push(Effect::Send(to, frame));
            }
        }
    }

    /// Puts a message into the batch. Its cursor is the index as it stands now: every suggestion
    /// below is in the batch already, or was sent before.
    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.send_with_cursor(to, self.index, message);
    }

    pub(crate) fn send_with_cursor(&mut self, to: ReplicaId, cursor: Instance, message: Message) {
        if to != self.replica_id && !self.peer(to).connected {
            return;
        }
        let peer = self.peer_mut(to);
        peer.announced_cursor = peer.announced_cursor.max(cursor);
        self.batch.frames.push(OutgoingFrame {
            to,
            frame: Frame { cursor, message },
        });
    }

    pub(crate) fn send_to_peers(&mut self, message: &Message) {
        for peer in self.peer_ids() {
            self.send(peer, message.clone());
        }
    }

    /// All replicas but this one.
    pub(crate) fn peer_ids(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        let own = self.replica_id;
        self.replica_ids()
            .filter(move |replica_id| *replica_id != own)
    }

    /// All replicas, this one among them.
    pub(crate) fn replica_ids(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        0..self.replica_count as ReplicaId
    }

    pub(crate) fn peer(&self, replica_id: ReplicaId) -> &Peer {
        &self.peers[usize::from(replica_id)]
    }

    pub(crate) fn peer_mut(&mut self, replica_id: ReplicaId) -> &mut Peer {
        &mut self.peers[usize::from(replica_id)]
    }

    /// The replica that coordinates an instance: instance cn + p belongs to p (paper 4.2).
    pub(crate) fn coordinator(&self, instance: Instance) -> ReplicaId {
        (instance % self.replica_count) as ReplicaId
    }

    pub(crate) fn log_of(&self, coordinator: ReplicaId) -> &CoordinatorLog {
        &self.coordinator_logs[usize::from(coordinator)]
    }

    pub(crate) fn log_of_mut(&mut self, coordinator: ReplicaId) -> &mut CoordinatorLog {
        &mut self.coordinator_logs[usize::from(coordinator)]
    }

    /// The log that an instance stands in: that of its coordinator.
    pub(crate) fn log_at(&self, instance: Instance) -> &CoordinatorLog {
        self.log_of(self.coordinator(instance))
    }

    pub(crate) fn log_at_mut(&mut self, instance: Instance) -> &mut CoordinatorLog {
        self.log_of_mut(self.coordinator(instance))
    }

    /// The smallest instance of `coordinator` that is not below `from`.
    pub(crate) fn first_coordinated_from(
        &self,
        coordinator: ReplicaId,
        from: Instance,
    ) -> Instance {
        first_instance_of(from, coordinator, self.replica_count as u16)
    }

    /// The first instance of `coordinator`, not below `from`, whose outcome is unknown here.
    pub(crate) fn first_unknown_of(&self, coordinator: ReplicaId, from: Instance) -> Instance {
        let first = self.first_coordinated_from(coordinator, from);
        self.log_of(coordinator)
            .first_unknown(first, self.replica_count)
    }

    /// How many replicas a quorum takes (paper 4.4: f + 1 of 2f + 1).
    pub(crate) fn majority(&self) -> usize {
        self.replica_count as usize / 2 + 1
    }

    /// All instances below are applied: given out with [`Effect::Apply`], in a snapshot, or no-ops.
    pub fn applied(&self) -> Instance {
        self.applied
    }

    /// Everything below is compacted away and only in the latest snapshot.
    pub fn compaction_point(&self) -> Instance {
        self.compaction_point
    }

    /// The next instance that this replica suggests in: I_p (paper 4.3).
    pub fn index(&self) -> Instance {
        self.index
    }

    /// The peers that are held for failed.
    pub fn suspected_peers(&self) -> Vec<ReplicaId> {
        self.peer_ids()
            .filter(|peer| self.peer(*peer).suspected)
            .collect()
    }

    /// The highest instance known to hold a command. Revoked blocks far ahead do not count.
    pub fn highest_command_instance(&self) -> Option<Instance> {
        let commands = self
            .coordinator_logs
            .iter()
            .filter_map(CoordinatorLog::highest_command);
        commands.max().max(self.compaction_point.checked_sub(1))
    }

    /// How many replicas are connected and not suspected, this one included.
    pub fn reachable_replica_count(&self) -> usize {
        let reachable = |peer: &Peer| peer.connected && !peer.suspected;
        1 + self
            .peer_ids()
            .filter(|peer| reachable(self.peer(*peer)))
            .count()
    }
}
