//! An additional follower that counts what the log changes, as its updates arrive.

use model::cluster_state::{ShardMap, StateSnapshot};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Counts since the start of the run. A stage reports the difference of two readings.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct LogCounts {
    /// Entries that changed the cluster state.
    pub entries: u64,
    pub placements: u64,
    pub keys_moved: u64,
    pub rows_moved: u64,
    /// Nodes that the log currently holds as absent, by region.
    #[serde(skip)]
    pub absent: Vec<usize>,
    /// Highest value of `absent` since the last call of `take_max_absent`, by region.
    #[serde(skip)]
    pub max_absent: Vec<usize>,
}

pub(super) struct CountingFollower {
    pub follower: control::FollowerHandle,
    log_counts: Arc<Mutex<LogCounts>>,
}

impl CountingFollower {
    pub(super) fn start(plan: Arc<super::Plan>, known: control::KnownReplicas) -> CountingFollower {
        let (name, zone) = ("witness".to_string(), plan.zone(0));
        let handshake = transport::Handshake {
            purpose: transport::Purpose::Subscribe,
            node_name: name.clone(),
            zone: zone.clone(),
            address: "127.0.0.1:1".into(),
            incarnation: 1,
            replica: None,
            has_empty_disk: false,
            expected_disk: None,
            known_replicas: Vec::new(),
        };
        let config = control::FollowerConfig {
            node: name,
            zone,
            proof_interval: 1_000_000,
            proof_timeout: 2_000_000,
        };
        let follower = control::updates::follower::start(
            config,
            known,
            move || handshake.clone(),
            model::logging::discard_logger(),
        );
        let log_counts = Arc::new(Mutex::new(LogCounts::default()));
        let (counts, source) = (log_counts.clone(), follower.clone());
        tokio::spawn(async move {
            let mut changes = source.changes.clone();
            let mut previous_snapshot = Arc::new(StateSnapshot::default());
            while changes.changed().await.is_ok() {
                let snapshot = source.verified_state.load().snapshot.clone();
                if snapshot.position != previous_snapshot.position {
                    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
                    counts.add(&plan, &previous_snapshot, &snapshot);
                    previous_snapshot = snapshot;
                }
            }
        });
        CountingFollower {
            follower,
            log_counts,
        }
    }

    pub(super) fn snapshot(&self) -> Arc<StateSnapshot> {
        self.follower.verified_state.load().snapshot.clone()
    }

    pub(super) fn log_counts(&self) -> LogCounts {
        self.log_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the highest number of absent nodes since the previous call, by region, and starts a new period.
    pub(super) fn take_max_absent(&self) -> Vec<usize> {
        let mut log_counts = self
            .log_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = log_counts.absent.clone();
        std::mem::replace(&mut log_counts.max_absent, current)
    }
}

impl LogCounts {
    /// Adds the difference between two consecutive snapshots.
    fn add(
        &mut self,
        plan: &super::Plan,
        previous_snapshot: &StateSnapshot,
        snapshot: &StateSnapshot,
    ) {
        self.entries += snapshot.position - previous_snapshot.position;
        let empty = Arc::new((0, model::cluster_state::shard_map::unassigned()));
        snapshot.placements.iter().for_each(|(service, placement)| {
            let previous = previous_snapshot.placements.get(service).unwrap_or(&empty);
            if !Arc::ptr_eq(previous, placement) {
                self.placements += (previous.0 != placement.0) as u64;
                let (rows, keys) = count_moved(&previous.1, &placement.1);
                (self.rows_moved, self.keys_moved) =
                    (self.rows_moved + rows, self.keys_moved + keys);
            }
        });
        if !Arc::ptr_eq(&previous_snapshot.nodes, &snapshot.nodes) {
            let absent_nodes = snapshot
                .nodes
                .iter()
                .filter(|(_, node)| !node.present)
                .filter_map(|(name, _)| name[1..].parse::<usize>().ok());
            self.absent = absent_nodes.fold(vec![0; plan.regions], |mut absent, index| {
                absent[plan.region(index)] += 1;
                absent
            });
            self.max_absent.resize(plan.regions, 0);
            self.max_absent
                .iter_mut()
                .zip(&self.absent)
                .for_each(|(max, current)| *max = (*max).max(*current));
        }
    }
}

/// Counts the ranges and keys of `new` whose holder differs from the one in `old`.
pub(super) fn count_moved(old: &ShardMap, new: &ShardMap) -> (u64, u64) {
    let moved_sizes = new
        .iter()
        .filter(|row| row.holder.is_some())
        .flat_map(|row| {
            let overlapping = old.iter().filter(|old_row| {
                old_row.first_key <= row.last_key
                    && row.first_key <= old_row.last_key
                    && old_row.holder != row.holder
            });
            overlapping.map(|old_row| {
                (old_row.last_key.min(row.last_key) - old_row.first_key.max(row.first_key)) as u64
                    + 1
            })
        });
    moved_sizes.fold((0, 0), |(rows, keys), size| (rows + 1, keys + size))
}

#[cfg(test)]
mod tests {
    use model::cluster_state::shard_map;

    #[test]
    fn moved_counts_each_key_with_a_new_holder_once() {
        let owned = |parts: &[(u16, u16, &str)]| -> Vec<(u16, u16, String)> {
            parts
                .iter()
                .map(|(from, to, name)| (*from, *to, name.to_string()))
                .collect()
        };
        let first = shard_map::reassign(
            shard_map::unassigned(),
            &owned(&[(0, 9_999, "a"), (10_000, u16::MAX, "b")]),
            1,
        );
        let second = shard_map::reassign(first.clone(), &owned(&[(5_000, 14_999, "c")]), 2);
        assert_eq!(
            super::count_moved(&shard_map::unassigned(), &first),
            (2, 65_536)
        );
        assert_eq!(super::count_moved(&first, &second), (2, 10_000));
        assert_eq!(super::count_moved(&second, &second), (0, 0));
    }
}
