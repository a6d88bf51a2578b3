//! Whether keys of a service have to move, why, and where to (design section 11.4). Without input or output.

use std::collections::HashSet;

use model::cluster_state::{AvailableBackend, ShardMap, StateSnapshot, shard_map};
use model::{BackendName, Microseconds, Position};

use super::algorithm::{
    BackendCapacity, RangeDemand, ShardPlacement, imbalance, initial_placement, rebalance,
};
use super::load::{LoadReports, backend_capacities};

/// A placement for the load alone waits so long after the one before, in microseconds.
const REBALANCE_INTERVAL: Microseconds = 1_000_000;
/// The same where the load is far from even.
const URGENT_REBALANCE_INTERVAL: Microseconds = 800_000;
/// How far above its share the busiest back end has to be for the load to be far from even.
const URGENT_IMBALANCE: f64 = 1.0;
/// How far above its share the busiest back end may be before keys move for it, if it is busy.
const MAX_BUSY_IMBALANCE: f64 = 0.18;
/// The same if slots stand free there.
const MAX_IDLE_IMBALANCE: f64 = 1.0;
/// The part of its capacity that is in use at a busy back end.
const BUSY_UTILIZATION: f64 = 0.6;
/// So much of one back end's share may still be in transit when keys move for the load again: what is in transit does
/// not show in the load reports yet.
const MAX_IN_TRANSIT_SHARE: f64 = 0.02;
/// How far above its share a back end may stay once keys move.
const REBALANCE_TOLERANCE: f64 = 0.05;
/// Requests, over all back ends, that are enough to go by the load.
const MIN_OBSERVED_REQUESTS: f64 = 40.0;
/// What may be chance in a mean of one request; of more of them it falls with the square root of their count.
const SAMPLING_ERROR: f64 = 0.8;
/// Stripes of the first placement.
const INITIAL_STRIPES: u32 = 8;

/// Why keys have to move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RebalanceReason {
    /// A back end that is gone or shutting down holds keys, or nobody does.
    Orphaned,
    /// A back end that has joined holds no keys.
    WithoutKeys,
    /// The load is not even.
    Imbalanced,
}

/// A placement that is to replace another one.
pub(super) struct PlannedPlacement {
    /// The position of the placement that it was made on top of; 0 if there was none.
    pub(super) base_placement: Position,
    pub(super) placement: ShardPlacement,
    pub(super) reason: RebalanceReason,
}

/// The placement that the service should have in place of the one that it has, `None` if that one may stay.
///
/// `since_last` is how long ago this node last made a placement, in microseconds; `None` if this node is not the one
/// that moves keys for the load.
pub(super) fn plan_placement(
    snapshot: &StateSnapshot,
    service: &str,
    load_reports: &LoadReports,
    ejected: &[BackendName],
    since_last: Option<Microseconds>,
) -> Option<PlannedPlacement> {
    let backends = snapshot.available_backends(service);
    if backends.is_empty() {
        return None;
    }
    let nothing = (0, shard_map::unassigned());
    let (base_placement, shard_map) = snapshot
        .placements
        .get(service)
        .map_or(&nothing, |placement| &**placement);
    let missing = missing_coverage(shard_map, &backends);
    if missing.is_none() && since_last.is_none_or(|since| since < URGENT_REBALANCE_INTERVAL) {
        return None;
    }
    let demand = load_reports.demand();
    let capacities = backend_capacities(&backends, load_reports, ejected);
    let observed = load_reports.observed_requests();
    let sampling_error = SAMPLING_ERROR / (observed / capacities.len() as f64).sqrt();
    let is_uneven = |since| is_imbalanced(shard_map, &demand, &capacities, sampling_error, since);
    let (reason, tolerance) = match missing {
        Some(RebalanceReason::Orphaned) => (RebalanceReason::Orphaned, 1.0),
        Some(reason) => (reason, REBALANCE_TOLERANCE / 2.0),
        None if observed > MIN_OBSERVED_REQUESTS && since_last.is_some_and(is_uneven) => (
            RebalanceReason::Imbalanced,
            REBALANCE_TOLERANCE + sampling_error,
        ),
        None => return None,
    };
    let placement = match *base_placement {
        0 => initial_placement(&capacities, INITIAL_STRIPES),
        _ => rebalance(shard_map, &demand, &capacities, tolerance),
    };
    Some(PlannedPlacement {
        base_placement: *base_placement,
        placement,
        reason,
    })
}

/// Whether keys have no holder that takes requests, or a back end has no keys.
fn missing_coverage(
    shard_map: &ShardMap,
    backends: &[AvailableBackend],
) -> Option<RebalanceReason> {
    let names: HashSet<&str> = backends
        .iter()
        .map(|backend| backend.name.as_str())
        .collect();
    let holders: HashSet<Option<&str>> = shard_map
        .iter()
        .map(|range| range.holder.as_deref())
        .collect();
    let is_gone = |holder: &Option<&str>| holder.is_none_or(|holder| !names.contains(holder));
    if holders.iter().any(is_gone) {
        return Some(RebalanceReason::Orphaned);
    }
    let has_none = names.iter().any(|name| !holders.contains(&Some(name)));
    has_none.then_some(RebalanceReason::WithoutKeys)
}

/// Whether the busiest back end is so far above its share that keys have to move, `since_last` microseconds after the
/// last placement. What the few observed requests show may be chance, up to `sampling_error`.
fn is_imbalanced(
    shard_map: &ShardMap,
    demand: &[RangeDemand],
    capacities: &[BackendCapacity],
    sampling_error: f64,
    since_last: Microseconds,
) -> bool {
    let balance = imbalance(shard_map, demand, capacities);
    let utilization = balance
        .loads
        .iter()
        .zip(capacities)
        .map(|(load, (_, capacity))| load / capacity)
        .fold(0.0, f64::max);
    let excess = balance.excess - sampling_error;
    let interval = if excess > URGENT_IMBALANCE {
        URGENT_REBALANCE_INTERVAL
    } else {
        REBALANCE_INTERVAL
    };
    // Where slots stand free, moving keys is not worth the pause in which nobody holds them.
    let allowed = if utilization > BUSY_UTILIZATION {
        MAX_BUSY_IMBALANCE
    } else {
        MAX_IDLE_IMBALANCE
    };
    balance.in_transit * capacities.len() as f64 <= MAX_IN_TRANSIT_SHARE
        && since_last >= interval
        && excess > allowed
}
