//! A replica's publisher of updates, fed with the applied entries as in the product's event loop.

use std::collections::BTreeMap;

use control::updates::publisher::{EntryId, UpdatePublisher};
use mencius::{Instance, Value};
use model::cluster_state::{ClusterOperation, StateSnapshot};
use model::{ClusterState, Entry, Microseconds, Operation, Position};

/// The cluster state at a position, and the time at which a replica first applied it.
pub(super) struct AppliedState {
    pub snapshot: StateSnapshot,
    pub applied_at: Microseconds,
}

/// Maps each position to the state that followers may hold at it.
pub(super) type StateHistory = BTreeMap<Position, AppliedState>;

/// One incarnation of a replica.
#[derive(Default)]
pub(super) struct PublishingReplica {
    pub publisher: UpdatePublisher,
    pub incarnation: u64,
    applied_count: usize,
    last_instance: Instance,
}

/// An operation on the cluster state, with the id of its log entry.
struct ClusterEntry {
    id: EntryId,
    operation: ClusterOperation,
}

impl ClusterEntry {
    /// Decodes a log entry. Returns `None` for entries of the other state machine.
    fn decode((_, value): &(Instance, Value)) -> Option<ClusterEntry> {
        let entry = Entry::from_bytes(value).ok()?;
        let id = EntryId::of(&entry);
        match entry.operation {
            Operation::ClusterState(operation) => Some(ClusterEntry { id, operation }),
            _ => None,
        }
    }
}

fn record(history: &mut StateHistory, state: &ClusterState, now: Microseconds) {
    let entry = history.entry(state.position);
    entry.or_insert_with(|| AppliedState {
        snapshot: StateSnapshot::default().updated(true, state.position, state.full_deltas()),
        applied_at: now,
    });
}

impl PublishingReplica {
    pub(super) fn begin(incarnation: u64) -> PublishingReplica {
        PublishingReplica {
            incarnation,
            ..Default::default()
        }
    }

    /// Publishes all entries applied since the last call as one update, or the full state if a snapshot was installed.
    pub(super) fn publish_applied(
        &mut self,
        applied: &[(Instance, Value)],
        history: &mut StateHistory,
        now: Microseconds,
    ) {
        if self.continues(applied) {
            for entry in applied[self.applied_count..]
                .iter()
                .filter_map(ClusterEntry::decode)
            {
                drop(self.publisher.apply(&entry.id, entry.operation));
                record(history, &self.publisher.cluster_state, now);
            }
        } else {
            self.install(applied, history, now);
        }
        self.publisher.publish();
        self.applied_count = applied.len();
        self.last_instance = applied.last().map_or(0, |(instance, _)| *instance);
    }

    /// Returns whether `applied` begins with the entries that were published before.
    fn continues(&self, applied: &[(Instance, Value)]) -> bool {
        let last = self.applied_count.checked_sub(1);
        last.is_none_or(|last| {
            let entry = applied.get(last);
            entry.is_some_and(|(instance, _)| *instance == self.last_instance)
        })
    }

    fn install(
        &mut self,
        applied: &[(Instance, Value)],
        history: &mut StateHistory,
        now: Microseconds,
    ) {
        let mut state = ClusterState::default();
        for entry in applied.iter().filter_map(ClusterEntry::decode) {
            let ClusterEntry { id, operation } = entry;
            drop(state.apply(&id.origin, id.incarnation, id.sequence, operation));
            record(history, &state, now);
        }
        self.publisher.install(state);
    }
}
