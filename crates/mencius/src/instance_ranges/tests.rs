use super::InstanceRanges;

#[test]
fn instance_ranges_match_a_table_of_single_instances() {
    test_support::check_generated::<Vec<(u8, u8, u8)>>(2_000, |steps| {
        let mut ranges = InstanceRanges::default();
        let mut table = [None; 256];
        for (start, length, value) in steps {
            let start = u64::from(*start);
            let end = (start + u64::from(*length)).min(255);
            let value = (value % 5 != 0).then_some(value % 3);
            match value {
                Some(value) => ranges.set(start, end, value),
                None => ranges.clear(start, end),
            }
            for instance in start..end {
                table[instance as usize] = value;
            }
        }
        for instance in 0..256u64 {
            let value = ranges.range_at(instance).map(|range| range.value);
            assert_eq!(value, table[instance as usize], "at {instance}");
        }
        let covered: u64 = ranges
            .overlapping(0, 256)
            .iter()
            .map(|range| range.end - range.start)
            .sum();
        assert_eq!(covered, table.iter().flatten().count() as u64);
    });
}
