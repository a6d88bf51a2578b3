//! The cluster state: items, back ends and nodes, shard maps, and what followers hold of it (design 11).

mod call_order;
mod conflicts;
mod endpoints;
mod fixtures;
mod items;
mod shard_map;
mod snapshot;
