//! Placements: the assignment of keys to holders for each keyed service, and the shard map that
//! results from it (design 11.4).

use std::collections::BTreeMap;

use super::delta::Delta;
use super::endpoints::BackendRecords;
use super::shard_map::{self, ShardKey, ShardMap};
use crate::{BackendName, Position, ServiceName};

/// The position of a service's latest placement, 0 if there was none, and its shard map.
pub type Placement = (Position, ShardMap);

/// The placements of all keyed services.
pub type Placements = BTreeMap<ServiceName, Placement>;

/// A new assignment of a service's keys to holders.
pub(crate) struct Reassignment {
    /// The service of the keys.
    pub(crate) service: ServiceName,
    /// The position of the placement that this one is based on.
    pub(crate) base_placement: Position,
    /// First key, last key and holder of each key span.
    pub(crate) ranges: Vec<(ShardKey, ShardKey, BackendName)>,
}

impl Reassignment {
    /// Returns whether a reassignment is valid: it must be based on the latest placement and name
    /// only known backends of the service. Of two concurrent reassignments one is therefore
    /// ignored.
    fn is_valid(&self, placements: &Placements, backends: &BackendRecords) -> bool {
        let latest = placements
            .get(&self.service)
            .map_or(0, |(placed_at, _)| *placed_at);
        let serves = |name: &BackendName| {
            backends
                .get(name)
                .is_some_and(|backend| backend.service == self.service)
        };
        let ordered = self.ranges.windows(2).all(|pair| pair[0].1 < pair[1].0);
        let mut ranges = self.ranges.iter();
        latest == self.base_placement
            && ordered
            && ranges.all(|(first_key, last_key, holder)| first_key <= last_key && serves(holder))
    }

    /// Makes this the service's latest placement, at position `next`.
    pub(crate) fn apply(
        self,
        placements: &mut Placements,
        backends: &BackendRecords,
        next: Position,
    ) -> Option<Delta> {
        if !self.is_valid(placements, backends) {
            return None;
        }
        let before = placements
            .get(&self.service)
            .map(|(_, ranges)| ranges.clone());
        let before = before.unwrap_or_else(shard_map::unassigned);
        let after = shard_map::reassign(before.clone(), &self.ranges, next);
        let changes = shard_map::diff(&before, &after);
        // A reassignment that moves nothing is ignored: followers receive only changes and would
        // keep the position of the previous placement.
        if changes.is_empty() {
            return None;
        }
        placements.insert(self.service.clone(), (next, after));
        Some(Delta::ShardRanges(self.service, next, changes))
    }
}

/// Changes the shard map of a service within its latest placement.
pub(crate) fn change_shard_map(
    placements: &mut Placements,
    service: &str,
    change: impl FnOnce(ShardMap) -> ShardMap,
) -> Option<Delta> {
    let (placed_at, ranges) = placements.get_mut(service)?;
    let after = change(ranges.clone());
    let changes = shard_map::diff(ranges, &after);
    *ranges = after;
    if changes.is_empty() {
        return None;
    }
    Some(Delta::ShardRanges(service.to_string(), *placed_at, changes))
}
