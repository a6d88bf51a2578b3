//! Who holds which keys of a service: a pure function of the state that the log leads to
//! (design 7).
//!
//! Keys are hashed to 64 slots per service. A slot that moves to another back end gets a new
//! fencing token, and its earlier holders stay on record until they said that they are done.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

use crate::{Backend, BackendName, Incarnation, Microseconds, Position, ServiceName};

/// Key slots per service.
pub const KEY_SLOTS: u16 = 64;
/// A key slot, from 0 to [`KEY_SLOTS`] - 1.
pub type KeySlot = u16;
/// A back end that holds key slots: its name and which registration of it.
pub type LeaseHolder = (BackendName, Incarnation);

/// Who holds a key slot, and who held it before.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct Lease {
    /// The present holder; `None` while no back end takes work.
    pub holder: Option<LeaseHolder>,
    /// The position that moved the slot here. Every request on the slot carries it.
    #[serde(rename = "fence")]
    pub fencing_token: Position,
    /// Earlier holders that have not yet said they are done with the slot, with the position at
    /// which each lost it.
    #[serde(rename = "owed")]
    pub pending_releases: Vec<(LeaseHolder, Position)>,
}

/// The leases of each service, by key slot.
pub type LeaseTable = BTreeMap<ServiceName, Vec<Lease>>;

/// The longest run that was ever permitted on a service's keys, in microseconds: a next holder
/// waits as long for an earlier one that cannot be asked.
pub type LongestRequests = BTreeMap<ServiceName, Microseconds>;

/// A back end that may hold key slots.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The back end.
    pub holder: LeaseHolder,
    /// How many requests it runs at once; key slots are shared out in proportion.
    pub slots: u32,
}

/// The slot of a key.
pub fn key_slot(key: &str) -> KeySlot {
    (stable_hash(key) % u64::from(KEY_SLOTS)) as KeySlot
}

/// The first eight bytes of the SHA-256 of a text.
///
/// It is the same on every node and in every version: keys and the singleton role of the placement
/// coordinator are divided by it.
pub fn stable_hash(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    digest
        .iter()
        .take(8)
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// The back ends that take work, as candidates for [`assign`].
pub fn candidates<'a>(
    backends: impl Iterator<Item = (&'a BackendName, &'a Backend)>,
) -> Vec<Candidate> {
    let working = backends.filter(|(_, backend)| backend.accepts_work());
    let candidate = |(name, backend): (&BackendName, &Backend)| Candidate {
        holder: (name.clone(), backend.incarnation),
        slots: backend.slots,
    };
    working.map(candidate).collect()
}

/// Assigns the key slots in proportion to the candidates' slots, moving as few as possible.
///
/// Everyone keeps what fits its quota, and what is left goes to whoever is furthest below its own.
/// Slots that move get `position` as their fencing token.
pub fn assign(before: &[Lease], candidates: &[Candidate], position: Position) -> Vec<Lease> {
    let mut room = slot_quotas(candidates);
    let slots = 0..usize::from(KEY_SLOTS);
    let kept: Vec<Option<LeaseHolder>> = slots
        .map(|slot| keep_holder(before.get(slot)?, &mut room))
        .collect();
    let chosen = kept
        .into_iter()
        .map(|kept| kept.or_else(|| take_most_room(&mut room)));
    let with_lease = chosen.enumerate().map(|(slot, holder)| {
        let lease = before.get(slot).cloned().unwrap_or_default();
        reassigned(lease, holder, position)
    });
    with_lease.collect()
}

/// The present holder, if its quota has room for the slot.
fn keep_holder(lease: &Lease, room: &mut BTreeMap<LeaseHolder, usize>) -> Option<LeaseHolder> {
    let holder = lease.holder.as_ref()?;
    let left = room.get_mut(holder).filter(|left| **left > 0)?;
    *left -= 1;
    Some(holder.clone())
}

/// Whoever is furthest below its quota; of equals the first by name.
fn take_most_room(room: &mut BTreeMap<LeaseHolder, usize>) -> Option<LeaseHolder> {
    let (holder, left) = room
        .iter_mut()
        .filter(|(_, left)| **left > 0)
        .max_by(|(one, own), (other, theirs)| own.cmp(theirs).then_with(|| other.cmp(one)))?;
    *left -= 1;
    Some(holder.clone())
}

fn reassigned(lease: Lease, holder: Option<LeaseHolder>, position: Position) -> Lease {
    if lease.holder == holder {
        return lease;
    }
    let mut pending_releases = lease.pending_releases;
    pending_releases.extend(lease.holder.map(|lost_by| (lost_by, position)));
    Lease {
        holder,
        fencing_token: position,
        pending_releases,
    }
}

/// Whole key slots in proportion to the candidates' slots; the largest remainders get the odd ones.
fn slot_quotas(candidates: &[Candidate]) -> BTreeMap<LeaseHolder, usize> {
    let total: u64 = candidates
        .iter()
        .map(|candidate| u64::from(candidate.slots))
        .sum();
    if total == 0 {
        return BTreeMap::new();
    }
    let whole = |slots: u32| u64::from(slots) * u64::from(KEY_SLOTS) / total;
    let remainder = |slots: u32| u64::from(slots) * u64::from(KEY_SLOTS) % total;
    let given: u64 = candidates
        .iter()
        .map(|candidate| whole(candidate.slots))
        .sum();
    let odd = u64::from(KEY_SLOTS) - given;
    let mut by_remainder: Vec<&Candidate> = candidates.iter().collect();
    by_remainder.sort_by(|one, other| {
        let largest_first = remainder(other.slots).cmp(&remainder(one.slots));
        largest_first.then_with(|| one.holder.cmp(&other.holder))
    });
    let quotas = by_remainder
        .into_iter()
        .zip(0u64..)
        .map(|(candidate, rank)| {
            let quota = whole(candidate.slots) + u64::from(rank < odd);
            (candidate.holder.clone(), quota as usize)
        });
    quotas.filter(|(_, quota)| *quota > 0).collect()
}

/// The leases after `holder` said that it knows the log up to `known_through` and runs nothing on
/// slots that it does not hold there.
pub fn release(leases: &[Lease], holder: &LeaseHolder, known_through: Position) -> Vec<Lease> {
    let mut leases = leases.to_vec();
    for lease in &mut leases {
        let pending = &mut lease.pending_releases;
        pending.retain(|(earlier, lost_at)| earlier != holder || *lost_at > known_through);
    }
    leases
}
