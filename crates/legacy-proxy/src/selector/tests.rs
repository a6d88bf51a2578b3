//! The order in which the selector prefers backends.

use super::*;

fn candidate(name: &str, slots: u32, same_zone: bool) -> Candidate {
    Candidate {
        name: name.into(),
        slots,
        same_zone,
    }
}

#[test]
fn selector_prefers_its_zone_then_low_load_and_avoids_failed_backends() {
    let mut selector = Selector::default();
    let candidates = [
        candidate("remote", 100, false),
        candidate("small", 2, true),
        candidate("large", 4, true),
    ];
    let selected: Vec<String> = (0..6)
        .filter_map(|rotation| selector.select(0, &candidates, rotation))
        .collect();
    let count = |name: &str| {
        selected
            .iter()
            .filter(|selected_name| *selected_name == name)
            .count()
    };
    assert_eq!((count("remote"), count("small"), count("large")), (0, 2, 4));
    selector.attempt_finished(0, "large", true);
    selector.attempt_finished(0, "small", true);
    assert_eq!(
        selector.select(1, &candidates, 0).as_deref(),
        Some("remote"),
        "both backends in the zone are in cooldown"
    );
    assert!(
        selector
            .select(FAILURE_COOLDOWN + 1, &candidates, 0)
            .is_some_and(|name| name != "remote")
    );
}
