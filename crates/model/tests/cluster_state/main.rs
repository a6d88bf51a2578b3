//! The cluster state: items, backends, nodes, shard maps, and the snapshots of followers (design
//! 11).

mod call_order;
mod conflicts;
mod endpoints;
mod fixtures;
mod items;
mod shard_map;
mod snapshot;
