//! Which back end of a service holds which of its keys (design section 11.4): the placement algorithm, the load it
//! goes by, the back ends it spares, and the coordinator that puts placements in the log.

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
