//! The age of requests by the watermarks that they name.

use super::*;

#[test]
fn request_held_by_a_suspended_process_has_no_time_left() {
    let mut watermarks = AgeWatermarks::new(0);
    let watermark = watermarks.issue(100_000);
    assert_eq!(
        watermarks.time_left(200_000, watermark, 3_000_000),
        3_000_000,
        "an undelayed request loses no time"
    );
    assert_eq!(
        watermarks.time_left(2_400_000, watermark, 3_000_000),
        1_000_000
    );
    assert_eq!(watermarks.time_left(60_000_000, watermark, 3_000_000), 0);
    for offset in 0..100u64 {
        assert!(watermarks.issue(200_000 + offset) > watermark);
    }
    assert_eq!(
        watermarks.time_left(300_000, watermark, 3_000_000),
        0,
        "the watermark is no longer stored"
    );
}
