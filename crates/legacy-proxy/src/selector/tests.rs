//! The order in which backends are selected.

use super::*;

fn candidate(name: &str, slots: u32, same_zone: bool) -> Candidate {
    Candidate {
        name: name.into(),
        slots,
        same_zone,
    }
}

#[test]
fn the_own_zone_goes_first_then_load_by_slots_and_who_refused_waits() {
    let mut selector = Selector::default();
    let all = [
        candidate("far", 100, false),
        candidate("small", 2, true),
        candidate("large", 4, true),
    ];
    let selected: Vec<String> = (0..6)
        .filter_map(|turn| selector.select(0, &all, turn))
        .collect();
    let count = |name: &str| selected.iter().filter(|held| *held == name).count();
    assert_eq!((count("far"), count("small"), count("large")), (0, 2, 4));
    selector.attempt_finished(0, "large", true);
    selector.attempt_finished(0, "small", true);
    assert_eq!(
        selector.select(1, &all, 0).as_deref(),
        Some("far"),
        "both near ones are avoided"
    );
    assert!(
        selector
            .select(FAILURE_COOLDOWN + 1, &all, 0)
            .is_some_and(|name| name != "far")
    );
}
