//! Contents of the reports on shard key demand.

use super::*;

#[test]
fn busy_keys_get_small_ranges_and_the_parts_cover_all_ranges() {
    let mut demand = KeyDemand::default();
    for request in 0..1_000u32 {
        let busy = request % 2 == 0;
        let key = if busy {
            500 + request % 100
        } else {
            request * 61 % 8_000
        };
        demand.record(0, key as ShardKey);
    }
    let (parts, requests) = demand.report(1_000_000, &[(0, 4_095), (6_000, 7_999)], 16);
    assert_eq!(requests, 1_000.0);
    let keys: u32 = parts
        .iter()
        .map(|(first, last, _)| (last - first) as u32 + 1)
        .sum();
    assert_eq!(keys, 4_096 + 2_000);
    assert!(
        parts.windows(2).all(|pair| pair[0].1 < pair[1].0),
        "{parts:?}"
    );
    let fine = parts
        .iter()
        .filter(|(first, last, _)| *first >= 499 && *last <= 600)
        .count();
    assert!(
        fine >= 5 && parts.len() <= 40,
        "{} parts, {fine} among the busy keys",
        parts.len()
    );
    let heaviest = parts.iter().map(|(.., rate)| *rate).fold(0.0, f32::max);
    assert!(heaviest <= 2.0 * 1_000.0 / 16.0, "{heaviest}");
}

#[test]
fn reported_rates_do_not_depend_on_the_report_interval() {
    let mut demand = KeyDemand::default();
    let mut rates: Vec<f32> = Vec::new();
    for step in 1..60u64 {
        for key in 0..10 {
            demand.record((step - 1) * 100_000, key * 100);
        }
        let (parts, _) = demand.report(step * 100_000, &[(0, 65_535)], 4);
        rates.push(parts.iter().map(|(.., rate)| rate).sum());
    }
    assert!(
        rates.iter().all(|rate| (95.0..105.0).contains(rate)),
        "{rates:?}"
    );
}
