//! What the log holds, and what applying an entry answered (design 2.3).

use crate::cluster_state::ItemKind;
use crate::cluster_state::items::{ItemName, ItemVersion};
use crate::validation::Fault;
use crate::{Change, DecodeError, Incarnation, Position};
use crate::{archive, cluster_state, compression, endpoint_status};

/// What an entry is to do.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Operation {
    /// An operator's change of groupings and standing orders.
    Change(Change),
    /// What a node saw of itself, its back ends or another node.
    EndpointReport(endpoint_status::EndpointReport),
    /// Another disk becomes a replica of the log.
    ReplaceReplica(ReplicaReplacement),
    /// An operation on the [`ClusterState`](crate::ClusterState) (design 11).
    ClusterState(cluster_state::ClusterOperation),
    /// Changes nothing; moves the log on.
    Barrier,
}

/// Another disk takes a replica over (design 4.4).
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
    /// The replica that is taken over.
    #[serde(rename = "seat")]
    pub replica_id: u16,
    /// The identity of the disk that is to lose it, so that of two operators one is refused.
    #[serde(rename = "from")]
    pub old_disk: u64,
    /// The identity of the disk that is to become it.
    #[serde(rename = "to")]
    pub new_disk: u64,
}

/// One entry of the log. `origin`, `incarnation` and `sequence` tell a repeat from a second entry.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Entry {
    /// The name of the process that made the entry.
    pub origin: String,
    /// Which process of that name.
    pub incarnation: Incarnation,
    /// Grows with each entry of the process.
    pub sequence: u64,
    /// What is to be done.
    pub operation: Operation,
}

impl Entry {
    /// The bytes that are proposed and stored, compressed from 1 KiB on.
    pub fn to_bytes(&self) -> Vec<u8> {
        compression::compress(archive::to_bytes(self))
    }

    /// Reads what [`Entry::to_bytes`] wrote.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the bytes are damaged or no entry.
    pub fn from_bytes(bytes: &[u8]) -> Result<Entry, DecodeError> {
        archive::from_bytes(&compression::decompress(bytes)?)
    }
}

/// What applying an entry came to.
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
    /// Nothing to do: the state already was as asked.
    Unchanged {
        /// The position of the state.
        position: Position,
    },
    /// The change was made on top of another version of the desired state.
    Stale {
        /// The present version.
        version: Position,
    },
    /// The change has faults. None of it took effect.
    Invalid {
        /// Every fault, each with its path.
        faults: Vec<Fault>,
    },
    /// The same change id was used before with other edits.
    Reused {
        /// The present version of the desired state.
        version: Position,
    },
    /// The report contradicts the state.
    Refused {
        /// Why, for people who read it.
        reason: String,
    },
    /// The log has another incarnation of the sender, or none yet that this one replaces: it has to
    /// register first.
    Superseded {
        /// The position of the state.
        position: Position,
    },
    /// An item was sent with other content under a version that was accepted before. Nothing of
    /// the call took effect.
    Conflict {
        /// Every item in conflict.
        conflicts: Vec<VersionConflict>,
    },
}

/// An item that was accepted with other content under the very version that was sent.
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
    /// The version that was sent and had been accepted before.
    #[serde(rename = "sent")]
    pub sent_version: ItemVersion,
    /// The newest version of the item.
    #[serde(rename = "held")]
    pub current_version: ItemVersion,
}
