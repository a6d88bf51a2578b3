//! Changes of the cluster state as sent to followers (design 11.3).

use super::endpoints::{BackendRecord, NodeRecord};
use super::items::{ItemBody, ItemKind, ItemName, ItemVersion};
use super::shard_map::ShardMap;
use crate::{BackendName, NodeName, Position, ServiceName};

/// One change of the cluster state. `None` instead of a value means that it was removed.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Delta {
    /// An item has a new version.
    Item(ItemKind, ItemName, ItemVersion, Option<ItemBody>),
    /// A backend was added, changed or removed.
    Backend(BackendName, Option<BackendRecord>),
    /// A node was added, changed or removed. The record omits the observers that suspect the node.
    Node(NodeName, Option<NodeRecord>),
    /// The changed ranges of a service, and the position of its latest placement.
    ShardRanges(ServiceName, Position, ShardMap),
}
