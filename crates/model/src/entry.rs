//! Log entries and the outcomes of applying them (design 2.3).

use crate::cluster_state::ItemKind;
use crate::cluster_state::items::{ItemName, ItemVersion};
use crate::validation::Fault;
use crate::{Change, DecodeError, Incarnation, Position};
use crate::{archive, cluster_state, compression, endpoint_status};

/// The operation of a log entry.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Operation {
    /// An operator's change of groupings and standing orders.
    Change(Change),
    /// A node's report about itself, its backends or another node.
    EndpointReport(endpoint_status::EndpointReport),
    /// Makes another disk a replica of the log.
    ReplaceReplica(ReplicaReplacement),
    /// An operation on the [`ClusterState`](crate::ClusterState) (design 11).
    ClusterState(cluster_state::ClusterOperation),
    /// Changes nothing; advances the log.
    Barrier,
}

/// Replaces the disk of a replica (design 4.4).
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ReplicaReplacement {
    /// The replica whose disk is replaced.
    #[serde(rename = "seat")]
    pub replica_id: u16,
    /// The identity of the replica's present disk. If two operators replace the same disk, this
    /// field makes one of the two requests fail.
    #[serde(rename = "from")]
    pub old_disk: u64,
    /// The identity of the new disk.
    #[serde(rename = "to")]
    pub new_disk: u64,
}

/// An entry of the log. `origin`, `incarnation` and `sequence` distinguish a repeat from a new
/// entry.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Entry {
    /// The name of the process that created the entry.
    pub origin: String,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
    /// The sequence number of the entry; it increases with each entry of the process.
    pub sequence: u64,
    /// The operation to apply.
    pub operation: Operation,
}

impl Entry {
    /// Serializes the entry for proposals and storage; entries of 1 KiB or more are compressed.
    pub fn to_bytes(&self) -> Vec<u8> {
        compression::compress(archive::to_bytes(self))
    }

    /// Deserializes the output of [`Entry::to_bytes`].
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are damaged or not an entry.
    pub fn from_bytes(bytes: &[u8]) -> Result<Entry, DecodeError> {
        archive::from_bytes(&compression::decompress(bytes)?)
    }
}

/// The outcome of applying an entry.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The entry changed the state.
    Accepted {
        /// The position of the entry.
        position: Position,
        /// The version of the desired state; 0 for operations on the cluster state.
        version: Position,
    },
    /// The state already was as requested.
    Unchanged {
        /// The position of the state.
        position: Position,
    },
    /// The change is based on another version of the desired state.
    Stale {
        /// The current version of the desired state.
        version: Position,
    },
    /// The change is invalid and none of it was applied.
    Invalid {
        /// All faults, each with its path.
        faults: Vec<Fault>,
    },
    /// The change id was used before with other edits.
    Reused {
        /// The current version of the desired state.
        version: Position,
    },
    /// The report contradicts the state.
    Refused {
        /// A description of the reason, for people.
        reason: String,
    },
    /// The log has registered another incarnation of the sender, or none yet that this one
    /// replaces. The sender has to register first.
    Superseded {
        /// The position of the state.
        position: Position,
    },
    /// An item was sent with different content under a version that was accepted before. Nothing of
    /// the call was applied.
    Conflict {
        /// All conflicting items.
        conflicts: Vec<VersionConflict>,
    },
}

/// An item that was already accepted with different content under the version that was sent.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct VersionConflict {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The name of the item.
    pub name: ItemName,
    /// The version that was sent and that had been accepted before.
    #[serde(rename = "sent")]
    pub sent_version: ItemVersion,
    /// The latest version of the item.
    #[serde(rename = "held")]
    pub current_version: ItemVersion,
}
