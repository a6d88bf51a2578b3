//! The state of a replica and its entry points. A replica processes one input at a time and
//! collects effects (design 3.2); writes and frames are batched and synced together (design 3.3).

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
/// A replica owns no clock, disk or socket: [`step`](Replica::step) takes one [`Input`] and the
/// time, [`take_effects`](Replica::take_effects) returns the [`Effect`]s to carry out.
pub struct Replica {
    pub(crate) replica_id: ReplicaId,
    pub(crate) replica_count: u64,
    /// The identity of this replica's disk; part of each of its proposal numbers.
    pub(crate) disk_id: u64,
    pub(crate) config: Config,
    /// The latest time passed to `step`.
    pub(crate) now: Micros,
    /// Seeded from the disk identity, so that the same inputs produce the same effects.
    pub(crate) rng: StdRng,

    // Durable state, changed by the writes in `Write`.
    /// The next own instance to suggest in: I_p (paper 4.3).
    pub(crate) index: Instance,
    /// The highest counter of a proposal number used or received.
    pub(crate) proposal_counter: u64,
    /// The log of each coordinator's instances, indexed by replica id.
    pub(crate) coordinator_logs: Vec<CoordinatorLog>,
    pub(crate) snapshot: Option<Snapshot>,
    /// All instances below this one are compacted away and contained in the snapshot only.
    pub(crate) compaction_point: Instance,
    /// The first instance in which this disk may vote (design 4.4).
    pub(crate) voting_range_start: Instance,

    // In-order delivery.
    /// All instances below this one were emitted as `Effect::Apply` or are no-ops.
    pub(crate) applied: Instance,
    /// The value of `applied` at the last call of `take_effects`.
    pub(crate) delivered: Instance,
    /// The driver has carried out all instances below this one, so any replacement of a replica's
    /// disk among them is in force.
    pub(crate) executed: Instance,
    /// The last instance in which this disk may vote, as far as known from the log (design 4.4).
    pub(crate) voting_range_end: Instance,
    /// The instances after which the disk of some replica is replaced; only those that are not
    /// applied are kept.
    pub(crate) member_changes: BTreeSet<Instance>,

    // Own suggestions.
    /// Own suggestions without a known outcome.
    pub(crate) own_suggestions: BTreeMap<Instance, OwnSuggestion>,
    /// Own suggestions that an acceptor rejected because of a higher promise.
    pub(crate) rejected: BTreeSet<Instance>,
    /// Commands that were submitted while the index was outside of the voting range.
    pub(crate) deferred: VecDeque<Value>,

    // Peers, suspicion and revocation.
    /// Peers, indexed by replica id; the entry of this replica itself is not used.
    pub(crate) peers: Vec<Peer>,
    /// The revocations that this replica leads, by revoked coordinator.
    pub(crate) revocations: BTreeMap<ReplicaId, Revocation>,
    /// The time before which no revocation is started, indexed by coordinator; 0 if none was
    /// delayed.
    pub(crate) revoke_not_before: Vec<Micros>,
    /// The number of revocations started since the log last advanced, indexed by coordinator.
    pub(crate) revocation_attempts: Vec<u32>,
    pub(crate) stall: Stall,
    pub(crate) last_tick: Micros,

    pub(crate) reads: ReadIndexState,

    // Batching.
    pub(crate) batch: Batch,
    pub(crate) persisting: Option<PersistingBatch>,
    pub(crate) last_ticket: PersistTicket,
    /// Effects not yet taken by the driver.
    pub(crate) effects: Vec<Effect>,
}

impl Replica {
    /// Restores a replica from the writes on its disk.
    ///
    /// `replica_id` must be below `replica_count`; `disk_id` must be unique to this disk and not 0;
    /// `writes` holds all persisted writes, oldest first, and is empty for a new disk.
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
            member_changes: BTreeSet::new(),
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

    /// Processes one input. Time is monotonic: if `now` is earlier than in a previous call, the
    /// latest time seen is used.
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
            Input::MembersChangeAfter(instance) => self.members_change_after(instance),
            Input::SkipThrough(instance) => self.skip_own_through(instance),
            Input::Tick => self.tick(),
        }
    }

    /// Returns the effects since the last call, to be carried out in order before the next input.
    ///
    /// Closes the current batch, which takes one sync. The frames of a batch are sent only after
    /// its writes are synced, and frames are never reordered (design 3.3).
    pub fn take_effects(&mut self) -> Vec<Effect> {
        // A driver calls this only after it has carried out the effects of the previous call.
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

    /// Sends the frames of a batch whose writes, if any, are synced. Messages of this replica to
    /// itself are handled directly.
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

    /// Adds a message to the batch. Its cursor is the current index: every suggestion below the
    /// index is already in the batch or was sent before.
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

    /// Returns all replicas except this one.
    pub(crate) fn peer_ids(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        let own = self.replica_id;
        self.replica_ids()
            .filter(move |replica_id| *replica_id != own)
    }

    /// Returns all replicas, including this one.
    pub(crate) fn replica_ids(&self) -> impl Iterator<Item = ReplicaId> + use<> {
        0..self.replica_count as ReplicaId
    }

    pub(crate) fn peer(&self, replica_id: ReplicaId) -> &Peer {
        &self.peers[usize::from(replica_id)]
    }

    pub(crate) fn peer_mut(&mut self, replica_id: ReplicaId) -> &mut Peer {
        &mut self.peers[usize::from(replica_id)]
    }

    /// Returns the replica that coordinates an instance: instance cn + p belongs to p (paper 4.2).
    pub(crate) fn coordinator(&self, instance: Instance) -> ReplicaId {
        (instance % self.replica_count) as ReplicaId
    }

    pub(crate) fn log_of(&self, coordinator: ReplicaId) -> &CoordinatorLog {
        &self.coordinator_logs[usize::from(coordinator)]
    }

    pub(crate) fn log_of_mut(&mut self, coordinator: ReplicaId) -> &mut CoordinatorLog {
        &mut self.coordinator_logs[usize::from(coordinator)]
    }

    /// Returns the log that contains an instance: that of its coordinator.
    pub(crate) fn log_at(&self, instance: Instance) -> &CoordinatorLog {
        self.log_of(self.coordinator(instance))
    }

    pub(crate) fn log_at_mut(&mut self, instance: Instance) -> &mut CoordinatorLog {
        self.log_of_mut(self.coordinator(instance))
    }

    /// Returns the smallest instance of `coordinator` that is not below `from`.
    pub(crate) fn first_coordinated_from(
        &self,
        coordinator: ReplicaId,
        from: Instance,
    ) -> Instance {
        first_instance_of(from, coordinator, self.replica_count as u16)
    }

    /// Returns the first instance of `coordinator`, not below `from`, whose outcome is unknown
    /// here.
    pub(crate) fn first_unknown_of(&self, coordinator: ReplicaId, from: Instance) -> Instance {
        let first = self.first_coordinated_from(coordinator, from);
        self.log_of(coordinator)
            .first_unknown(first, self.replica_count)
    }

    /// Returns the number of replicas in a quorum (paper 4.4: f + 1 of 2f + 1).
    pub(crate) fn majority(&self) -> usize {
        self.replica_count as usize / 2 + 1
    }

    /// Returns the first instance that is not applied. All instances below were emitted as
    /// [`Effect::Apply`], are contained in a snapshot, or are no-ops.
    pub fn applied(&self) -> Instance {
        self.applied
    }

    /// Returns the first instance that is not compacted away. All instances below are contained in
    /// the latest snapshot only.
    pub fn compaction_point(&self) -> Instance {
        self.compaction_point
    }

    /// Returns the next instance in which this replica suggests a command: I_p (paper 4.3).
    pub fn index(&self) -> Instance {
        self.index
    }

    /// Returns the peers that are suspected to have failed.
    pub fn suspected_peers(&self) -> Vec<ReplicaId> {
        self.peer_ids()
            .filter(|peer| self.peer(*peer).suspected)
            .collect()
    }

    /// Returns the highest instance known to hold a command. Revoked blocks far ahead of it, which
    /// hold no-ops, do not count.
    pub fn highest_command_instance(&self) -> Option<Instance> {
        let commands = self
            .coordinator_logs
            .iter()
            .filter_map(CoordinatorLog::highest_command_instance);
        commands.max().max(self.compaction_point.checked_sub(1))
    }

    /// Returns the number of replicas that are connected and not suspected, including this one.
    pub fn reachable_replica_count(&self) -> usize {
        let reachable = |peer: &Peer| peer.connected && !peer.suspected;
        1 + self
            .peer_ids()
            .filter(|peer| reachable(self.peer(*peer)))
            .count()
    }
}
