//! The age of requests by marks.

use super::*;

#[test]
fn a_request_that_lay_in_a_suspended_process_has_no_time_left() {
    let mut marks = AgeWatermarks::new(0);
    let mark = marks.issue(100_000);
    assert_eq!(
        marks.time_left(200_000, mark, 3_000_000),
        3_000_000,
        "an honest one loses nothing"
    );
    assert_eq!(marks.time_left(2_400_000, mark, 3_000_000), 1_000_000);
    assert_eq!(marks.time_left(60_000_000, mark, 3_000_000), 0);
    for turn in 0..100u64 {
        assert!(marks.issue(200_000 + turn) > mark);
    }
    assert_eq!(
        marks.time_left(300_000, mark, 3_000_000),
        0,
        "a mark long forgotten"
    );
}
