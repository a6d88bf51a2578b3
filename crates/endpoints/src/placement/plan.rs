//! Decides whether and why keys of a service have to move, and plans the new placement (design section 11.4). Performs
//! no I/O.

use std::collections::HashSet;

use model::cluster_state::{AvailableBackend, ShardMap, StateSnapshot, shard_map};
use model::{BackendName, Microseconds, Position};

use super::algorithm::{
    BackendCapacity, RangeDemand, ShardPlacement, imbalance, initial_placement, rebalance,
};
use super::load::{LoadReports, backend_capacities};

/// Minimum time between a placement and one that only balances the load, in microseconds.
const REBALANCE_INTERVAL: Microseconds = 1_000_000;
/// Like [`REBALANCE_INTERVAL`], while the excess of the busiest backend is above [`URGENT_IMBALANCE`].
const URGENT_REBALANCE_INTERVAL: Microseconds = 800_000;
/// Excess of the busiest backend over its share above which rebalancing is urgent, as a fraction of the share.
const URGENT_IMBALANCE: f64 = 1.0;
/// Excess of the busiest backend over its share that is tolerated at a busy backend, as a fraction of the share.
const MAX_BUSY_IMBALANCE: f64 = 0.18;
/// Like [`MAX_BUSY_IMBALANCE`], for a backend that is not busy.
const MAX_IDLE_IMBALANCE: f64 = 1.0;
/// Utilization above which a backend counts as busy, as a fraction of its capacity.
const BUSY_UTILIZATION: f64 = 0.6;
/// Load that may still be in transit when keys move for the load again, as a fraction of one backend's share. Load in
/// transit is not visible in the load reports yet.
const MAX_IN_TRANSIT_SHARE: f64 = 0.02;
/// Excess over its share that a backend may keep when keys move, as a fraction of the share.
const REBALANCE_TOLERANCE: f64 = 0.05;
/// Number of observed requests over all backends that is needed to balance by load.
const MIN_OBSERVED_REQUESTS: f64 = 40.0;
/// Sampling error of the demand with one request; it decreases with the square root of the number of requests.
const SAMPLING_ERROR: f64 = 0.8;
/// Number of stripes of the first placement.
const INITIAL_STRIPES: u32 = 8;

/// The reason for which keys have to move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RebalanceReason {
    /// Keys are held by a backend that is gone or shutting down, or by no backend.
    Orphaned,
    /// A backend that joined holds no keys.
    WithoutKeys,
    /// The load is unbalanced.
    Imbalanced,
}

/// A placement that replaces the current one.
pub(super) struct PlannedPlacement {
    /// Log position of the placement that is replaced; 0 if there was none.
    pub(super) base_placement: Position,
    pub(super) placement: ShardPlacement,
    pub(super) reason: RebalanceReason,
}

/// Returns the placement that should replace the service's current one, `None` if the current one may stay.
///
/// `since_last` is the time since this node last submitted a placement, in microseconds; `None` if this node is not the
/// one that moves keys to balance the load.
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
    let unassigned = (0, shard_map::unassigned());
    let (base_placement, shard_map) = snapshot
        .placements
        .get(service)
        .map_or(&unassigned, |placement| &**placement);
    let missing = missing_coverage(shard_map, &backends);
    if missing.is_none() && since_last.is_none_or(|since| since < URGENT_REBALANCE_INTERVAL) {
        return None;
    }
    let demand = load_reports.demand();
    let capacities = backend_capacities(&backends, load_reports, ejected);
    let observed_requests = load_reports.observed_requests();
    let sampling_error = SAMPLING_ERROR / (observed_requests / capacities.len() as f64).sqrt();
    let imbalanced = |since| is_imbalanced(shard_map, &demand, &capacities, sampling_error, since);
    let (reason, tolerance) = match missing {
        Some(RebalanceReason::Orphaned) => (RebalanceReason::Orphaned, 1.0),
        Some(reason) => (reason, REBALANCE_TOLERANCE / 2.0),
        None if observed_requests > MIN_OBSERVED_REQUESTS && since_last.is_some_and(imbalanced) => {
            (
                RebalanceReason::Imbalanced,
                REBALANCE_TOLERANCE + sampling_error,
            )
        }
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

/// Returns whether keys have no holder that accepts requests, or a backend has no keys.
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
    let some_without_keys = names.iter().any(|name| !holders.contains(&Some(name)));
    some_without_keys.then_some(RebalanceReason::WithoutKeys)
}

/// Returns whether the busiest backend exceeds its share so far that keys have to move, `since_last` microseconds after
/// the last placement. An excess up to `sampling_error` may be a random effect of the observed requests.
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
    // While slots are free, balancing is not worth the pause in which no backend holds the moved keys.
    let allowed = if utilization > BUSY_UTILIZATION {
        MAX_BUSY_IMBALANCE
    } else {
        MAX_IDLE_IMBALANCE
    };
    balance.in_transit * capacities.len() as f64 <= MAX_IN_TRANSIT_SHARE
        && since_last >= interval
        && excess > allowed
}
