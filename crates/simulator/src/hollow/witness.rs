//! One more follower, which counts what the log says as it hears it.

use model::cluster_state::{ShardMap, StateSnapshot};
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Sums from the beginning; a stage is the difference of two.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Tally {
    /// Entries that changed the bill.
    pub entries: u64,
    pub placements: u64,
    pub keys_moved: u64,
    pub rows_moved: u64,
    /// Nodes that the log takes for absent: now, and at most since it was last asked, by region.
    #[serde(skip)]
    pub absent: Vec<usize>,
    #[serde(skip)]
    pub absent_most: Vec<usize>,
}

pub(super) struct Witness {
    pub following: control::FollowerHandle,
    tally: Arc<Mutex<Tally>>,
}

impl Witness {
    pub(super) fn start(plan: Arc<super::Plan>, known: control::KnownReplicas) -> Witness {
        let (name, zone) = ("witness".to_string(), plan.zone(0));
        let own = transport::Handshake {
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
        let env = control::FollowerConfig {
            node: name,
            zone,
            proof_interval: 1_000_000,
            proof_timeout: 2_000_000,
        };
        let following = control::updates::follower::start(
            env,
            known,
            move || own.clone(),
            model::logging::discard_logger(),
        );
        let tally = Arc::new(Mutex::new(Tally::default()));
        let (counts, line) = (tally.clone(), following.clone());
        tokio::spawn(async move {
            let mut moved = line.changes.clone();
            let mut last = Arc::new(StateSnapshot::default());
            while moved.changed().await.is_ok() {
                let next = line.verified_state.load().snapshot.clone();
                if next.position != last.position {
                    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
                    counts.add(&plan, &last, &next);
                    last = next;
                }
            }
        });
        Witness { following, tally }
    }

    pub(super) fn programme(&self) -> Arc<StateSnapshot> {
        self.following.verified_state.load().snapshot.clone()
    }

    pub(super) fn tally(&self) -> Tally {
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The most that were absent since the last time.
    pub(super) fn absent_most(&self) -> Vec<usize> {
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        let now = tally.absent.clone();
        std::mem::replace(&mut tally.absent_most, now)
    }
}

impl Tally {
    fn add(&mut self, plan: &super::Plan, last: &StateSnapshot, next: &StateSnapshot) {
        self.entries += next.position - last.position;
        let empty = Arc::new((0, model::cluster_state::shard_map::unassigned()));
        next.placements.iter().for_each(|(service, held)| {
            let before = last.placements.get(service).unwrap_or(&empty);
            if !Arc::ptr_eq(before, held) {
                self.placements += (before.0 != held.0) as u64;
                let (rows, keys) = moved(&before.1, &held.1);
                (self.rows_moved, self.keys_moved) =
                    (self.rows_moved + rows, self.keys_moved + keys);
            }
        });
        if !Arc::ptr_eq(&last.nodes, &next.nodes) {
            let gone = next
                .nodes
                .iter()
                .filter(|(_, place)| !place.present)
                .filter_map(|(name, _)| name[1..].parse::<usize>().ok());
            self.absent = gone.fold(vec![0; plan.regions], |mut absent, at| {
                absent[plan.region(at)] += 1;
                absent
            });
            self.absent_most.resize(plan.regions, 0);
            self.absent_most
                .iter_mut()
                .zip(&self.absent)
                .for_each(|(most, now)| *most = (*most).max(*now));
        }
    }
}

/// Rows and keys of `new` that another holder has than in `old`.
pub(super) fn moved(old: &ShardMap, new: &ShardMap) -> (u64, u64) {
    let pieces = new
        .iter()
        .filter(|row| row.holder.is_some())
        .flat_map(|row| {
            let others = old.iter().filter(|held| {
                held.first_key <= row.last_key
                    && row.first_key <= held.last_key
                    && held.holder != row.holder
            });
            others.map(|held| {
                (held.last_key.min(row.last_key) - held.first_key.max(row.first_key)) as u64 + 1
            })
        });
    pieces.fold((0, 0), |(rows, keys), size| (rows + 1, keys + size))
}

#[cfg(test)]
mod tests {
    use model::cluster_state::shard_map;

    #[test]
    fn keys_that_change_hands_are_counted_once() {
        let cast = |parts: &[(u16, u16, &str)]| -> Vec<(u16, u16, String)> {
            parts
                .iter()
                .map(|(from, to, name)| (*from, *to, name.to_string()))
                .collect()
        };
        let first = shard_map::reassign(
            shard_map::unassigned(),
            &cast(&[(0, 9_999, "a"), (10_000, u16::MAX, "b")]),
            1,
        );
        let second = shard_map::reassign(first.clone(), &cast(&[(5_000, 14_999, "c")]), 2);
        assert_eq!(super::moved(&shard_map::unassigned(), &first), (2, 65_536));
        assert_eq!(super::moved(&first, &second), (2, 10_000));
        assert_eq!(super::moved(&second, &second), (0, 0));
    }
}
