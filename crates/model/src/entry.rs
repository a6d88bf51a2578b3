//! What the log holds, and what applying it answered (design 2.3).

use crate::{Change, Incarnation, Position, endpoint_status, validation::Fault};

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Operation {
    Change(Change),
    EndpointReport(endpoint_status::EndpointReport),
    ReplaceReplica(ReplicaReplacement),
    /// Items, back ends, nodes and rows of keys (design 11).
    ClusterState(crate::cluster_state::ClusterOperation),
    /// Changes nothing; moves the log on.
    Barrier,
}

/// Another disk takes a core seat over (design 4.4).
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
    #[serde(rename = "seat")]
    pub replica_id: u16,
    /// The disk that is to lose it, so that of two operators one is refused.
    #[serde(rename = "from")]
    pub old_disk: u64,
    #[serde(rename = "to")]
    pub new_disk: u64,
}

/// `origin`, `life` and `sequence` tell a repeat from a second entry.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Entry {
    pub origin: String,
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub operation: Operation,
}

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
    /// In the log at this position; for a change also the new version of the desired state.
    Accepted {
        position: Position,
        version: Position,
    },
    /// Nothing to do: it already stood so.
    Unchanged {
        position: Position,
    },
    Stale {
        version: Position,
    },
    Invalid {
        faults: Vec<Fault>,
    },
    /// The same change id was used before with other edits.
    Reused {
        version: Position,
    },
    Refused {
        reason: String,
    },
    /// The log has another incarnation of the sender, or none yet that this one replaces: it registers first.
    Superseded {
        position: Position,
    },
    /// An item was sent with other content under a version that was taken before. Nothing of the call holds.
    Conflict {
        conflicts: Vec<VersionConflict>,
    },
}

/// An item that was taken with other content under the very version that was sent.
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
    pub kind: crate::cluster_state::ItemKind,
    pub name: crate::cluster_state::items::ItemName,
    /// The version that was sent and had been taken.
    #[serde(rename = "sent")]
    pub sent_version: crate::cluster_state::items::ItemVersion,
    /// The newest version that stands.
    #[serde(rename = "held")]
    pub current_version: crate::cluster_state::items::ItemVersion,
}

pub fn to_bytes(entry: &Entry) -> Vec<u8> {
    crate::compression::compress(
        rkyv::to_bytes::<rkyv::rancor::Error>(entry)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default(),
    )
}

pub fn from_bytes(bytes: &[u8]) -> Option<Entry> {
    let bytes = crate::compression::decompress(bytes)?;
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(&bytes);
    rkyv::from_bytes::<Entry, rkyv::rancor::Error>(&aligned).ok()
}
