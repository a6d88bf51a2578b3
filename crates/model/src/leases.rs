//! Key terms: a pure function of the log's state (design 7).

use crate::{Backend, BackendName, Incarnation, Microseconds, Position, ServiceName};
use std::collections::BTreeMap;

/// Slices of keys per service.
pub const KEY_SLOTS: u16 = 64;
pub type KeySlot = u16;
pub type LeaseHolder = (BackendName, Incarnation);

/// `owed`: earlier holders, with the position at which each lost the slice, that have not
/// yet said they are done with it.
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
    pub holder: Option<LeaseHolder>,
    /// The position that moved the slice here: the fence of every request on it.
    #[serde(rename = "fence")]
    pub fencing_token: Position,
    #[serde(rename = "owed")]
    pub pending_releases: Vec<(LeaseHolder, Position)>,
}

pub type LeaseTable = BTreeMap<ServiceName, Vec<Lease>>;

/// The longest run ever permitted on a service's keys, which a next holder must wait out.
pub type LongestRequests = BTreeMap<ServiceName, Microseconds>;

pub fn key_slot(key: &str) -> KeySlot {
    (stable_hash(key) % KEY_SLOTS as u64) as KeySlot
}

/// The same on every node and in every version: duties and keys are cut by it.
pub fn stable_hash(text: &str) -> u64 {
    let digest = <sha2::Sha256 as sha2::Digest>::digest(text.as_bytes());
    digest
        .iter()
        .take(8)
        .fold(0, |hash, byte| hash << 8 | *byte as u64)
}

/// Balanced by slots, moving as little as possible: everyone keeps what fits its quota,
/// and what is left goes to whoever is furthest below theirs.
pub fn assign(
    before: &[Lease],
    candidates: &[(LeaseHolder, u32)],
    position: Position,
) -> Vec<Lease> {
    let quotas = slot_quotas(candidates);
    let mut held: BTreeMap<&LeaseHolder, usize> = BTreeMap::new();
    let kept: Vec<Option<&LeaseHolder>> = (0..KEY_SLOTS as usize)
        .map(|at| {
            let holder = before.get(at).and_then(|term| term.holder.as_ref())?;
            let (holder, quota) = quotas.get_key_value(holder)?;
            let count = held.entry(holder).or_default();
            (*count < *quota).then(|| *count += 1).map(|()| holder)
        })
        .collect();
    let chosen: Vec<Option<&LeaseHolder>> = kept
        .into_iter()
        .map(|kept| {
            kept.or_else(|| {
                let next = quotas
                    .iter()
                    .map(|(holder, quota)| {
                        (
                            quota.saturating_sub(held.get(holder).copied().unwrap_or(0)),
                            holder,
                        )
                    })
                    .filter(|(room, _)| *room > 0)
                    .max_by(|(one, a), (two, b)| one.cmp(two).then_with(|| b.cmp(a)))
                    .map(|(_, holder)| holder)?;
                *held.entry(next).or_default() += 1;
                Some(next)
            })
        })
        .collect();
    chosen
        .into_iter()
        .enumerate()
        .map(|(at, holder)| {
            reassigned(
                before.get(at).cloned().unwrap_or_default(),
                holder,
                position,
            )
        })
        .collect()
}

fn reassigned(term: Lease, holder: Option<&LeaseHolder>, position: Position) -> Lease {
    if term.holder.as_ref() == holder {
        return term;
    }
    let lost = term.holder.into_iter().map(|holder| (holder, position));
    Lease {
        holder: holder.cloned(),
        fencing_token: position,
        pending_releases: term.pending_releases.into_iter().chain(lost).collect(),
    }
}

/// Whole slices in proportion to slots; the largest remainders get the odd ones.
fn slot_quotas(candidates: &[(LeaseHolder, u32)]) -> BTreeMap<LeaseHolder, usize> {
    let slots: u64 = candidates.iter().map(|(_, slots)| *slots as u64).sum();
    if slots == 0 {
        return BTreeMap::new();
    }
    let exact = |own: u32| {
        (
            own as u64 * KEY_SLOTS as u64 / slots,
            own as u64 * KEY_SLOTS as u64 % slots,
        )
    };
    let given: u64 = candidates.iter().map(|(_, own)| exact(*own).0).sum();
    let mut order: Vec<&(LeaseHolder, u32)> = candidates.iter().collect();
    order.sort_by(|(a, one), (b, two)| exact(*two).1.cmp(&exact(*one).1).then_with(|| a.cmp(b)));
    order
        .into_iter()
        .zip(0u64..)
        .map(|((holder, own), rank)| {
            (
                holder.clone(),
                (exact(*own).0 + (rank < KEY_SLOTS as u64 - given) as u64) as usize,
            )
        })
        .filter(|(_, quota)| *quota > 0)
        .collect()
}

/// `name` says it knows the log up to `through` and runs nothing on slices it does not hold there.
pub fn release(leases: &[Lease], holder: &LeaseHolder, through: Position) -> Vec<Lease> {
    leases
        .iter()
        .cloned()
        .map(|term| Lease {
            pending_releases: term
                .pending_releases
                .iter()
                .filter(|(owing, lost)| owing != holder || *lost > through)
                .cloned()
                .collect(),
            ..term
        })
        .collect()
}

pub fn candidates<'a>(
    back_ends: impl Iterator<Item = (&'a BackendName, &'a Backend)>,
) -> Vec<(LeaseHolder, u32)> {
    back_ends
        .filter(|(_, back_end)| back_end.accepts_work())
        .map(|(name, back_end)| ((name.clone(), back_end.incarnation), back_end.slots))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidates_of(sizes: &[(u8, u32)]) -> Vec<(LeaseHolder, u32)> {
        sizes
            .iter()
            .map(|(name, slots)| ((format!("b{name}"), 1), *slots))
            .collect()
    }

    #[test]
    fn placement_is_balanced_and_moves_only_what_it_must() {
        test_support::drawn::<(u8, u8)>(500, |(count, leaver)| {
            let count = count % 12 + 2;
            let full = candidates_of(&(0..count).map(|name| (name, 9)).collect::<Vec<_>>());
            let leaver = leaver % count;
            let fewer: Vec<_> = full
                .iter()
                .filter(|((name, _), _)| *name != format!("b{leaver}"))
                .cloned()
                .collect();
            let first = assign(&[], &full, 1);
            let second = assign(&first, &fewer, 2);
            let third = assign(&second, &full, 3);
            [
                (&first, count as usize),
                (&second, count as usize - 1),
                (&third, count as usize),
            ]
            .into_iter()
            .for_each(|(terms, live)| {
                let counts =
                    terms
                        .iter()
                        .fold(std::collections::BTreeMap::new(), |mut counts, term| {
                            *counts.entry(term.holder.clone()).or_insert(0usize) += 1;
                            counts
                        });
                assert_eq!(counts.len(), live);
                assert!(
                    counts.values().all(|held| (KEY_SLOTS as usize / live
                        ..=KEY_SLOTS as usize / live + 1)
                        .contains(held)),
                    "{counts:?}"
                );
            });
            let leaver = (format!("b{leaver}"), 1);
            first.iter().zip(&second).for_each(|(before, after)| {
                let must = before.holder.as_ref() == Some(&leaver);
                let moved = before.holder != after.holder;
                assert!(must || !moved || after.fencing_token == 2);
                if must {
                    assert!(moved && after.pending_releases == vec![(leaver.clone(), 2)]);
                }
            });
            let stray = first
                .iter()
                .zip(&second)
                .filter(|(a, b)| a.holder != b.holder && a.holder.as_ref() != Some(&leaver))
                .count();
            assert!(
                stray <= live_remainder(count as usize),
                "{stray} slices moved without need"
            );
        });
    }

    // Whole-slice quotas may shift an odd slice between two that stay.
    fn live_remainder(count: usize) -> usize {
        KEY_SLOTS as usize % count
    }

    #[test]
    fn a_release_counts_only_for_what_was_lost_before_it() {
        let (one, two) = (candidates_of(&[(1, 4)]), candidates_of(&[(2, 4)]));
        let moved = assign(&assign(&[], &one, 1), &two, 7);
        let holder = ("b1".to_string(), 1);
        assert!(
            release(&moved, &holder, 6)
                .iter()
                .all(|term| term.pending_releases.len() == 1)
        );
        assert!(
            release(&moved, &holder, 7)
                .iter()
                .all(|term| term.pending_releases.is_empty())
        );
    }
}
