//! Changes of the cluster state as followers receive them (design 11.3).

use super::endpoints::{BackendRecord, NodeRecord};
use super::items::{ItemBody, ItemKind, ItemName, ItemVersion};
use super::shard_map::ShardMap;
use crate::{BackendName, NodeName, Position, ServiceName};

/// One change of the cluster state. `None` in the place of a value: it was removed.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Delta {
    /// An item has a new version.
    Item(ItemKind, ItemName, ItemVersion, Option<ItemBody>),
    /// A back end is another.
    Backend(BackendName, Option<BackendRecord>),
    /// A node is another; without the observers that miss it.
    Node(NodeName, Option<NodeRecord>),
    /// The ranges of a service that changed, and the position of its latest placement.
    ShardRanges(ServiceName, Position, ShardMap),
}
