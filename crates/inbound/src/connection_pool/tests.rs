//! Adaptation of the idle limit to stale connections.

use super::*;

#[test]
fn the_idle_limit_is_half_the_idle_time_of_a_stale_connection_and_doubles_back() {
    let mut limit = IdleLimit::default();
    assert_eq!(limit.current(0), DEFAULT_IDLE_TIMEOUT);
    limit.record_stale(1_000_000, 300_000);
    assert_eq!(limit.current(1_000_001), 150_000);
    limit.record_stale(1_100_000, 900_000);
    assert_eq!(
        limit.current(1_100_001),
        150_000,
        "a stale connection with a longer idle time does not change the limit"
    );
    let steps: Vec<u64> = (1..8)
        .map(|step| limit.current(1_100_001 + step * (IDLE_LIMIT_DOUBLING_INTERVAL + 1)))
        .collect();
    assert_eq!(
        steps,
        [
            300_000, 600_000, 1_200_000, 2_400_000, 4_000_000, 4_000_000, 4_000_000
        ]
    );
}
