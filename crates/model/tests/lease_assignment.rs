//! Lease assignment as a pure function of the candidates: balanced, with few moves, and released up
//! to a known position (design 7).

use std::collections::BTreeMap;

use model::leases::{Candidate, KEY_SLOTS, assign, release};

fn candidates_of(slot_counts: &[(u8, u32)]) -> Vec<Candidate> {
    let candidate = |(name, slots): &(u8, u32)| Candidate {
        holder: (format!("b{name}"), 1),
        slots: *slots,
    };
    slot_counts.iter().map(candidate).collect()
}

#[test]
fn assignment_is_balanced_and_moves_only_necessary_slots() {
    test_support::check_generated::<(u8, u8)>(500, |(count, leaving)| {
        let count = count % 12 + 2;
        let full = candidates_of(&(0..count).map(|name| (name, 9)).collect::<Vec<_>>());
        let leaving = (format!("b{}", leaving % count), 1);
        let mut fewer = full.clone();
        fewer.retain(|candidate| candidate.holder != leaving);
        let first = assign(&[], &full, 1);
        let second = assign(&first, &fewer, 2);
        let third = assign(&second, &full, 3);
        let live = count as usize;
        for (leases, live) in [(&first, live), (&second, live - 1), (&third, live)] {
            let mut counts = BTreeMap::new();
            for lease in leases {
                *counts.entry(lease.holder.clone()).or_insert(0usize) += 1;
            }
            assert_eq!(counts.len(), live);
            let fair = KEY_SLOTS as usize / live..=KEY_SLOTS as usize / live + 1;
            assert!(
                counts.values().all(|held| fair.contains(held)),
                "{counts:?}"
            );
        }
        for (before, after) in first.iter().zip(&second) {
            let must_move = before.holder.as_ref() == Some(&leaving);
            let moved = before.holder != after.holder;
            assert!(must_move || !moved || after.fencing_token == 2);
            if must_move {
                assert!(moved && after.pending_releases == vec![(leaving.clone(), 2)]);
            }
        }
        let pairs = first.iter().zip(&second);
        let moved = pairs.filter(|(before, after)| before.holder != after.holder);
        let unnecessary = moved
            .filter(|(before, _)| before.holder.as_ref() != Some(&leaving))
            .count();
        assert!(
            unnecessary <= leftover_slots(live),
            "{unnecessary} slots moved unnecessarily"
        );
    });
}

// Rounding quotas to whole slots may move a leftover slot between two remaining backends.
fn leftover_slots(count: usize) -> usize {
    KEY_SLOTS as usize % count
}

#[test]
fn a_release_covers_only_slots_lost_up_to_its_position() {
    let (one, two) = (candidates_of(&[(1, 4)]), candidates_of(&[(2, 4)]));
    let moved = assign(&assign(&[], &one, 1), &two, 7);
    let holder = ("b1".to_string(), 1);
    let early = release(&moved, &holder, 6);
    assert!(early.iter().all(|lease| lease.pending_releases.len() == 1));
    let late = release(&moved, &holder, 7);
    assert!(late.iter().all(|lease| lease.pending_releases.is_empty()));
}
