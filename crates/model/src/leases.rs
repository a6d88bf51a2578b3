//! Key leases of a service: a pure function of the replicated state (design 7).
//!
//! Keys are hashed to 64 slots per service. A slot that moves to another backend gets a new fencing
//! token, and its earlier holders stay on record until they have released the slot.

use std::collections::BTreeMap;

use sha2::{Digest as _, Sha256};

use crate::{Backend, BackendName, Incarnation, Microseconds, Position, ServiceName};

/// Number of key slots per service.
pub const KEY_SLOTS: u16 = 64;
/// A key slot, from 0 to [`KEY_SLOTS`] - 1.
pub type KeySlot = u16;
/// A backend that holds key slots: its name and the incarnation of its registration.
pub type LeaseHolder = (BackendName, Incarnation);

/// The lease on a key slot: its holder, and earlier holders that have not released it.
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
    /// The current holder; `None` if no backend accepts requests.
    pub holder: Option<LeaseHolder>,
    /// The position of the entry that moved the slot to this holder. Every request on the slot
    /// carries this token.
    #[serde(rename = "fence")]
    pub fencing_token: Position,
    /// Earlier holders that have not yet released the slot, each with the position at which it lost
    /// the slot.
    #[serde(rename = "owed")]
    pub pending_releases: Vec<(LeaseHolder, Position)>,
}

/// The leases of each service, indexed by key slot.
pub type LeaseTable = BTreeMap<ServiceName, Vec<Lease>>;

/// The longest request duration ever permitted on a service's keys, in microseconds. A new holder
/// waits this long for an earlier holder that cannot report its release.
pub type LongestRequests = BTreeMap<ServiceName, Microseconds>;

/// A backend that may hold key slots.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The backend.
    pub holder: LeaseHolder,
    /// The number of requests that the backend runs concurrently; key slots are assigned in
    /// proportion to it.
    pub slots: u32,
}

/// Returns the slot of a key.
pub fn key_slot(key: &str) -> KeySlot {
    (stable_hash(key) % u64::from(KEY_SLOTS)) as KeySlot
}

/// Returns the first eight bytes of the SHA-256 of a text.
///
/// The hash is the same on every node and in every version: it assigns keys to slots and selects
/// the placement coordinator.
pub fn stable_hash(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    digest
        .iter()
        .take(8)
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// Returns the backends that accept new requests, as candidates for [`assign`].
pub fn candidates<'a>(
    backends: impl Iterator<Item = (&'a BackendName, &'a Backend)>,
) -> Vec<Candidate> {
    let accepting = backends.filter(|(_, backend)| backend.accepts_work());
    let candidate = |(name, backend): (&BackendName, &Backend)| Candidate {
        holder: (name.clone(), backend.incarnation),
        slots: backend.slots,
    };
    accepting.map(candidate).collect()
}

/// Assigns the key slots in proportion to the candidates' slots and moves as few of them as
/// possible.
///
/// Each holder keeps its slots up to its quota; each remaining slot goes to the candidate that is
/// furthest below its quota. Slots that move get `position` as their fencing token.
pub fn assign(before: &[Lease], candidates: &[Candidate], position: Position) -> Vec<Lease> {
    let mut remaining_quotas = slot_quotas(candidates);
    let slots = 0..usize::from(KEY_SLOTS);
    let kept: Vec<Option<LeaseHolder>> = slots
        .map(|slot| keep_holder(before.get(slot)?, &mut remaining_quotas))
        .collect();
    let chosen = kept
        .into_iter()
        .map(|kept| kept.or_else(|| take_furthest_below_quota(&mut remaining_quotas)));
    let with_lease = chosen.enumerate().map(|(slot, holder)| {
        let lease = before.get(slot).cloned().unwrap_or_default();
        reassigned(lease, holder, position)
    });
    with_lease.collect()
}

/// Returns the current holder, if its quota still has room for the slot.
fn keep_holder(
    lease: &Lease,
    remaining_quotas: &mut BTreeMap<LeaseHolder, usize>,
) -> Option<LeaseHolder> {
    let holder = lease.holder.as_ref()?;
    let remaining = remaining_quotas
        .get_mut(holder)
        .filter(|remaining| **remaining > 0)?;
    *remaining -= 1;
    Some(holder.clone())
}

/// Returns the candidate that is furthest below its quota; ties go to the first by name.
fn take_furthest_below_quota(
    remaining_quotas: &mut BTreeMap<LeaseHolder, usize>,
) -> Option<LeaseHolder> {
    let (holder, remaining) = remaining_quotas
        .iter_mut()
        .filter(|(_, remaining)| **remaining > 0)
        .max_by(|(one, own), (other, theirs)| own.cmp(theirs).then_with(|| other.cmp(one)))?;
    *remaining -= 1;
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

/// Returns the number of key slots of each candidate, in proportion to the candidates' slots. The
/// slots left over by rounding down go to the largest remainders.
fn slot_quotas(candidates: &[Candidate]) -> BTreeMap<LeaseHolder, usize> {
    let total: u64 = candidates
        .iter()
        .map(|candidate| u64::from(candidate.slots))
        .sum();
    if total == 0 {
        return BTreeMap::new();
    }
    let whole_slots = |slots: u32| u64::from(slots) * u64::from(KEY_SLOTS) / total;
    let remainder = |slots: u32| u64::from(slots) * u64::from(KEY_SLOTS) % total;
    let assigned: u64 = candidates
        .iter()
        .map(|candidate| whole_slots(candidate.slots))
        .sum();
    let leftover = u64::from(KEY_SLOTS) - assigned;
    let mut by_remainder: Vec<&Candidate> = candidates.iter().collect();
    by_remainder.sort_by(|one, other| {
        let largest_first = remainder(other.slots).cmp(&remainder(one.slots));
        largest_first.then_with(|| one.holder.cmp(&other.holder))
    });
    let quotas = by_remainder
        .into_iter()
        .zip(0u64..)
        .map(|(candidate, rank)| {
            let quota = whole_slots(candidate.slots) + u64::from(rank < leftover);
            (candidate.holder.clone(), quota as usize)
        });
    quotas.filter(|(_, quota)| *quota > 0).collect()
}

/// Returns the leases after `holder` has reported that it knows the log up to `known_through` and
/// runs no request on slots that it no longer holds at that position.
pub fn release(leases: &[Lease], holder: &LeaseHolder, known_through: Position) -> Vec<Lease> {
    let mut leases = leases.to_vec();
    for lease in &mut leases {
        let pending = &mut lease.pending_releases;
        pending.retain(|(earlier, lost_at)| earlier != holder || *lost_at > known_through);
    }
    leases
}
