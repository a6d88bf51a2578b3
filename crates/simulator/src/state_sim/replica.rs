//! A core seat's desk over what its ordering machine has applied, as the daemon's owner keeps it (design 8.1, 11.3).

use control::updates::publisher::{EntryId, UpdatePublisher};
use model::Position;
use model::cluster_state::{ClusterOperation, StateSnapshot};
use std::collections::BTreeMap;

#[derive(Default)]
pub(super) struct PublishingReplica {
    pub publisher: UpdatePublisher,
    pub incarnation: u64,
    folded: usize,
    last: u64,
}

/// What followers may hold at each position.
pub(super) type StateHistory = BTreeMap<Position, StateSnapshot>;

fn operation(
    (instance, value): &(mencius::Instance, mencius::Value),
) -> Option<(u64, EntryId, ClusterOperation)> {
    let entry = model::Entry::from_bytes(value).ok()?;
    let asked = EntryId::of(&entry);
    if let model::Operation::ClusterState(act) = entry.operation {
        Some((*instance, asked, act))
    } else {
        None
    }
}

impl PublishingReplica {
    pub(super) fn begin(life: u64) -> PublishingReplica {
        PublishingReplica {
            incarnation: life,
            ..Default::default()
        }
    }

    /// All that was applied since the last time leaves as one piece; what was installed, as a whole.
    pub(super) fn fold(
        &mut self,
        history: &[(mencius::Instance, mencius::Value)],
        truth: &mut StateHistory,
    ) {
        let follows = self.folded == 0
            || history
                .get(self.folded - 1)
                .is_some_and(|(at, _)| *at == self.last);
        let mut learn = |bill: &model::ClusterState| {
            truth.entry(bill.position).or_insert_with(|| {
                StateSnapshot::default().updated(true, bill.position, bill.full_deltas())
            });
        };
        if follows {
            history[self.folded..]
                .iter()
                .filter_map(operation)
                .for_each(|(_, asked, act)| {
                    drop(self.publisher.apply(&asked, act));
                    learn(&self.publisher.cluster_state);
                });
        } else {
            let mut bill = model::ClusterState::default();
            history
                .iter()
                .filter_map(operation)
                .for_each(|(_, asked, act)| {
                    drop(bill.apply(&asked.origin, asked.incarnation, asked.sequence, act));
                    learn(&bill);
                });
            self.publisher.install(bill);
        }
        self.publisher.publish();
        (self.folded, self.last) = (
            history.len(),
            history.last().map(|(at, _)| *at).unwrap_or(0),
        );
    }
}
