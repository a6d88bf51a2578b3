//! The identity of a disk, the replica assigned to it, and the disks pinned for the other replicas
//! (design 4.1, 4.4).

use std::collections::BTreeMap;

use mencius::ReplicaId;

/// The identity of a disk, generated at random when its store is created; never 0.
///
/// A replica whose disk was emptied gets a new identity: it has lost its promises, so it must not
/// act as the same member of the group.
pub type DiskId = u64;

/// The disk pinned for each other replica: the first one seen, or the one that replaced it through
/// the log. A replica does not communicate with any other disk under that replica's number.
pub type PinnedDisks = BTreeMap<ReplicaId, DiskId>;

/// The replica assigned to a disk, if the settings do not specify one (design 12.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRecord {
    /// The number of the replica.
    pub replica_id: ReplicaId,
    /// The number of replicas in the group.
    pub replica_count: u16,
    /// Whether the disk was a member when the group was founded, so that there is no earlier log to
    /// catch up with. Otherwise the disk took over from another one.
    pub founded: bool,
}

pub(crate) fn generate_disk_id() -> DiskId {
    // Zero is reserved for the initial proposal numbers of coordinators.
    rand::random::<u64>().max(1)
}
