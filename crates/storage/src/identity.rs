//! Which disk this is, which replica it was given, and which disks it has met for the others
//! (design 4.1, 4.4).

use std::collections::BTreeMap;

use mencius::ReplicaId;

/// The identity of a disk, drawn when its store is made and never 0.
///
/// A replica whose disk was emptied comes back with another identity: it is not its old self, as it
/// has forgotten its promises.
pub type DiskId = u64;

/// The first disk met for each other replica, or the one that replaced it through the log. A
/// replica speaks with no other disk under that replica's number.
pub type PinnedDisks = BTreeMap<ReplicaId, DiskId>;

/// Which replica a disk was given, where the settings do not say (design 12.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRecord {
    /// The replica's number.
    pub replica_id: ReplicaId,
    /// How many replicas the group has.
    pub replica_count: u16,
    /// The disk was there when the group was founded, so that it has no past to learn. Otherwise
    /// it took over from another disk.
    pub founded: bool,
}

pub(crate) fn generate() -> DiskId {
    // Zero is in the proposal numbers of coordinators and never an identity.
    rand::random::<u64>().max(1)
}
