//! A map from instances to values that stores ranges instead of single instances (design 3.3): a
//! revoked block of hundreds of thousands of no-ops takes one entry.

use std::collections::BTreeMap;

use crate::messages::Instance;

/// The instances from `start` to below `end`, and their value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ValuedRange<V> {
    pub start: Instance,
    pub end: Instance,
    pub value: V,
}

/// A map from instances to values, stored by ranges. Adjacent ranges with equal values are merged.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct InstanceRanges<V> {
    /// The ranges by their start. No two ranges overlap and none is empty.
    by_start: BTreeMap<Instance, RangeEnd<V>>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct RangeEnd<V> {
    end: Instance,
    value: V,
}

impl<V> Default for InstanceRanges<V> {
    fn default() -> Self {
        InstanceRanges {
            by_start: BTreeMap::new(),
        }
    }
}

impl<V: Copy + PartialEq> InstanceRanges<V> {
    /// Returns the whole range that contains `instance`.
    pub(crate) fn range_at(&self, instance: Instance) -> Option<ValuedRange<V>> {
        let (&start, &RangeEnd { end, value }) = self.by_start.range(..=instance).next_back()?;
        (instance < end).then_some(ValuedRange { start, end, value })
    }

    pub(crate) fn contains(&self, instance: Instance) -> bool {
        self.range_at(instance).is_some()
    }

    /// Returns the ranges that have a value between `start` and below `end`, clipped to these
    /// bounds, in order.
    pub(crate) fn overlapping(&self, start: Instance, end: Instance) -> Vec<ValuedRange<V>> {
        self.touching(start, end)
            .map(|range| ValuedRange {
                start: range.start.max(start),
                end: range.end.min(end),
                value: range.value,
            })
            .filter(|range| range.start < range.end)
            .collect()
    }

    /// Sets the value of the instances from `start` to below `end`, replacing any previous values.
    pub(crate) fn set(&mut self, start: Instance, end: Instance, value: V) {
        if start >= end {
            return;
        }
        self.clear(start, end);
        let start = self
            .start_of_equal_neighbour_before(start, value)
            .unwrap_or(start);
        let end = self.take_equal_neighbour_after(end, value).unwrap_or(end);
        self.by_start.insert(start, RangeEnd { end, value });
    }

    /// Removes the values of the instances from `start` to below `end`.
    pub(crate) fn clear(&mut self, start: Instance, end: Instance) {
        let touched: Vec<ValuedRange<V>> = self.touching(start, end).collect();
        for range in touched {
            self.by_start.remove(&range.start);
            if range.start < start {
                self.by_start.insert(
                    range.start,
                    RangeEnd {
                        end: start,
                        value: range.value,
                    },
                );
            }
            if range.end > end {
                self.by_start.insert(
                    end,
                    RangeEnd {
                        end: range.end,
                        value: range.value,
                    },
                );
            }
        }
    }

    /// Returns all ranges, in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ValuedRange<V>> + '_ {
        self.by_start
            .iter()
            .map(|(&start, &RangeEnd { end, value })| ValuedRange { start, end, value })
    }

    /// Returns the whole ranges that contain an instance from `start` to below `end`.
    fn touching(
        &self,
        start: Instance,
        end: Instance,
    ) -> impl Iterator<Item = ValuedRange<V>> + '_ {
        let first = self.range_at(start).map_or(start, |range| range.start);
        self.by_start
            .range(first..end.max(first))
            .map(|(&start, &RangeEnd { end, value })| ValuedRange { start, end, value })
    }

    fn start_of_equal_neighbour_before(&self, start: Instance, value: V) -> Option<Instance> {
        let (&before, neighbour) = self.by_start.range(..start).next_back()?;
        (neighbour.end == start && neighbour.value == value).then_some(before)
    }

    fn take_equal_neighbour_after(&mut self, end: Instance, value: V) -> Option<Instance> {
        let neighbour = *self.by_start.get(&end)?;
        if neighbour.value != value {
            return None;
        }
        self.by_start.remove(&end);
        Some(neighbour.end)
    }
}

#[cfg(test)]
mod tests;
