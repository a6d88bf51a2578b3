//! Who this disk is, and which disks it has met in the other seats (design 4.1).

use std::collections::BTreeMap;

/// A new disk draws a number; the same seat on another disk is another identity.
pub type DiskId = u64;
/// The seat a disk was given; `founded`: with the core itself, so that it has no past to learn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipRecord {
    pub replica_id: u16,
    pub replica_count: u16,
    pub founded: bool,
}
pub type PinnedDisks = BTreeMap<u16, DiskId>;

pub(crate) fn generate() -> DiskId {
    // Zero is the coordinators' own round and never an identity.
    rand::random::<u64>().max(1)
}
