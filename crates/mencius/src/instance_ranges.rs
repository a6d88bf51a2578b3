//! Ranges of instances that share one value, kept as ranges (design 3.3).

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRanges<V> {
    ranges: BTreeMap<u64, (u64, V)>,
}

impl<V> Default for InstanceRanges<V> {
    fn default() -> Self {
        InstanceRanges {
            ranges: BTreeMap::new(),
        }
    }
}

impl<V: Copy + PartialEq> InstanceRanges<V> {
    pub fn range_at(&self, at: u64) -> Option<(u64, u64, V)> {
        self.ranges
            .range(..=at)
            .next_back()
            .filter(|(_, (to, _))| at < *to)
            .map(|(from, (to, value))| (*from, *to, *value))
    }

    pub fn get(&self, at: u64) -> Option<V> {
        self.range_at(at).map(|(_, _, value)| value)
    }

    /// The parts of `from..to` that have a value, clipped to it.
    pub fn overlapping(&self, from: u64, to: u64) -> Vec<(u64, u64, V)> {
        let head = self
            .range_at(from)
            .map(|(start, _, _)| start)
            .unwrap_or(from);
        self.ranges
            .range(head..to.max(head))
            .map(|(start, (end, value))| ((*start).max(from), (*end).min(to), *value))
            .filter(|(start, end, _)| start < end)
            .collect()
    }

    pub fn set(&mut self, from: u64, to: u64, value: V) {
        if from >= to {
            return;
        }
        self.clear(from, to);
        let before = self
            .ranges
            .range(..from)
            .next_back()
            .map(|(start, span)| (*start, *span));
        let from = match before {
            Some((start, (end, held))) if end == from && held == value => start,
            _ => from,
        };
        let to = match self.ranges.get(&to).copied() {
            Some((end, held)) if held == value => {
                self.ranges.remove(&to);
                end
            }
            _ => to,
        };
        self.ranges.insert(from, (to, value));
    }

    pub fn clear(&mut self, from: u64, to: u64) {
        let touched: Vec<(u64, u64, V)> = {
            let head = self
                .range_at(from)
                .map(|(start, _, _)| start)
                .unwrap_or(from);
            self.ranges
                .range(head..to.max(head))
                .map(|(start, (end, value))| (*start, *end, *value))
                .collect()
        };
        touched.into_iter().for_each(|(start, end, value)| {
            self.ranges.remove(&start);
            if start < from {
                self.ranges.insert(start, (from, value));
            }
            if end > to {
                self.ranges.insert(to, (end, value));
            }
        });
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, u64, V)> + '_ {
        self.ranges
            .iter()
            .map(|(from, (to, value))| (*from, *to, *value))
    }

    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn spans_agree_with_a_plain_table() {
        test_support::drawn::<Vec<(u8, u8, u8)>>(2_000, |steps| {
            let mut spans = super::InstanceRanges::default();
            let mut table = [None; 256];
            steps.iter().for_each(|(from, length, value)| {
                let to = (*from as u64 + *length as u64).min(255);
                if value % 5 == 0 {
                    spans.clear(*from as u64, to);
                    (*from as u64..to).for_each(|at| table[at as usize] = None);
                } else {
                    spans.set(*from as u64, to, value % 3);
                    (*from as u64..to).for_each(|at| table[at as usize] = Some(value % 3));
                }
            });
            (0..256u64).for_each(|at| assert_eq!(spans.get(at), table[at as usize], "at {at}"));
            let covered: u64 = spans
                .overlapping(0, 256)
                .iter()
                .map(|(from, to, _)| to - from)
                .sum();
            assert_eq!(covered, table.iter().flatten().count() as u64);
        });
    }
}
