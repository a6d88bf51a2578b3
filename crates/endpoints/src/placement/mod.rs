//! Placement of a service's keys on its backends (design section 11.4): the placement algorithm, the load reports that
//! it uses, the ejection of unhealthy backends, and the coordinator that submits placements to the log.

mod algorithm;
mod coordinator;
mod load;
mod outliers;
mod plan;
#[cfg(test)]
mod tests;

pub use algorithm::{
    BackendCapacity, Imbalance, RangeDemand, ShardPlacement, imbalance, initial_placement,
    rebalance,
};
pub(crate) use coordinator::PlacementCoordinator;
