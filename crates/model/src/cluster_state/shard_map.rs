//! Shard maps: which backend holds which keys, as ranges that cover all keys of a service and may
//! begin and end at any key (design 11.4).

use std::collections::HashMap;

use crate::{BackendName, Position};

/// A key of a keyed service.
pub type ShardKey = u16;

/// A range of adjacent keys with the same holder and history.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct ShardRange {
    /// The first key of the range.
    #[serde(rename = "from")]
    pub first_key: ShardKey,
    /// The last key of the range.
    #[serde(rename = "to")]
    pub last_key: ShardKey,
    /// The backend that the keys are assigned to.
    pub holder: Option<BackendName>,
    /// The position of the entry that moved the range to this holder. The position never decreases.
    #[serde(rename = "fence")]
    pub fencing_token: Position,
    /// Earlier holders that may still hold the range, each with the position at which it lost the
    /// range.
    #[serde(rename = "owed")]
    pub pending_releases: Vec<(BackendName, Position)>,
    /// The opaque token that the previous holder handed over.
    #[serde(rename = "token")]
    pub handover_token: String,
}

impl ShardRange {
    fn same_assignment(&self, other: &ShardRange) -> bool {
        self.holder == other.holder
            && self.fencing_token == other.fencing_token
            && self.pending_releases == other.pending_releases
            && self.handover_token == other.handover_token
    }

    fn is_pending_from(&self, backend: &str) -> bool {
        self.pending_releases
            .iter()
            .any(|(earlier, _)| earlier == backend)
    }
}

/// The ranges of a service, ordered and without gaps over all keys.
pub type ShardMap = Vec<ShardRange>;

/// Returns the shard map of a service whose keys are all unassigned.
pub fn unassigned() -> ShardMap {
    vec![ShardRange {
        first_key: 0,
        last_key: ShardKey::MAX,
        holder: None,
        fencing_token: 0,
        pending_releases: Vec::new(),
        handover_token: String::new(),
    }]
}

/// Returns the range that contains a key; `None` only if the map is empty.
pub fn range_of(ranges: &ShardMap, key: ShardKey) -> Option<&ShardRange> {
    ranges.get(ranges.partition_point(|range| range.last_key < key))
}

/// Assigns key spans (first key, last key, holder) to the holders that a placement names.
///
/// A holder that keeps a range keeps its fencing token. A backend that gets a range back has no
/// release of the range pending, because it holds the range again.
pub fn reassign(
    ranges: ShardMap,
    assignments: &[(ShardKey, ShardKey, BackendName)],
    position: Position,
) -> ShardMap {
    let assigned = |range: ShardRange, holder: &BackendName| {
        if range.holder.as_ref() == Some(holder) {
            return range;
        }
        let mut pending_releases = range.pending_releases;
        pending_releases.extend(range.holder.map(|earlier| (earlier, position)));
        pending_releases.retain(|(earlier, _)| earlier != holder);
        let (holder, fencing_token) = (Some(holder.clone()), position);
        ShardRange {
            holder,
            fencing_token,
            pending_releases,
            ..range
        }
    };
    merge_neighbours(change_spans(ranges, assignments, &assigned))
}

/// Applies `backend`'s release of key spans (first key, last key, handover token). `known_through`
/// is the position up to which the backend's node knew the log: releases of ranges lost later stay
/// pending.
pub fn release(
    ranges: ShardMap,
    backend: &str,
    known_through: Position,
    released_spans: &[(ShardKey, ShardKey, String)],
) -> ShardMap {
    let mut released_spans = released_spans.to_vec();
    released_spans.sort();
    let released = |mut range: ShardRange, token: &String| {
        let pending_before = range.pending_releases.len();
        range
            .pending_releases
            .retain(|(earlier, lost_at)| earlier != backend || *lost_at > known_through);
        if range.pending_releases.len() < pending_before && !token.is_empty() {
            range.handover_token.clone_from(token);
        }
        range
    };
    merge_neighbours(change_spans(ranges, &released_spans, &released))
}

/// Removes the pending releases of key spans (first key, last key, fencing token) that still have
/// this fencing token: the time that their earlier holders may have held them has passed.
pub fn expire_releases(ranges: ShardMap, expired: &[(ShardKey, ShardKey, Position)]) -> ShardMap {
    let mut expired = expired.to_vec();
    expired.sort();
    let expire = |mut range: ShardRange, fencing_token: &Position| {
        if range.fencing_token == *fencing_token {
            range.pending_releases.clear();
        }
        range
    };
    merge_neighbours(change_spans(ranges, &expired, &expire))
}

/// Removes a backend whose process has ended: it holds no keys and hands over no token.
pub fn remove_backend(mut ranges: ShardMap, backend: &str) -> ShardMap {
    for range in &mut ranges {
        let is_holder = range.holder.as_deref() == Some(backend);
        if is_holder || range.is_pending_from(backend) {
            range.handover_token.clear();
        }
        if is_holder {
            range.holder = None;
        }
        range
            .pending_releases
            .retain(|(earlier, _)| earlier != backend);
    }
    merge_neighbours(ranges)
}

/// Returns the ranges of `new` that are not in `old`, for followers that have `old`.
pub fn diff(old: &ShardMap, new: &ShardMap) -> ShardMap {
    let old: HashMap<ShardKey, &ShardRange> =
        old.iter().map(|range| (range.first_key, range)).collect();
    new.iter()
        .filter(|range| old.get(&range.first_key) != Some(range))
        .cloned()
        .collect()
}

/// Applies the ranges of a [`diff`] to a shard map.
pub fn apply_diff(ranges: ShardMap, changes: ShardMap) -> ShardMap {
    let mut next = 0;
    let mut result = ShardMap::with_capacity(ranges.len() + changes.len());
    for range in ranges {
        while changes
            .get(next)
            .is_some_and(|change| change.last_key < range.first_key)
        {
            next += 1;
        }
        if changes
            .get(next)
            .is_none_or(|change| change.first_key > range.last_key)
        {
            result.push(range);
        }
    }
    result.extend(changes);
    // The vector consists of two ordered runs, which the stable sort merges in one pass.
    result.sort_by_key(|range| range.first_key);
    result
}

/// A change of one range by the value of a key span.
type RangeChange<'a, T> = &'a dyn Fn(ShardRange, &T) -> ShardRange;

/// Splits the map at the edges of the key spans and changes the ranges inside each span.
///
/// Spans that are ordered and do not overlap are applied in one pass; others are applied one after
/// another.
fn change_spans<T>(
    ranges: ShardMap,
    spans: &[(ShardKey, ShardKey, T)],
    change: RangeChange<T>,
) -> ShardMap {
    if spans.windows(2).any(|pair| pair[0].1 >= pair[1].0) {
        let one_by_one = spans.chunks(1);
        return one_by_one.fold(ranges, |ranges, span| change_spans(ranges, span, change));
    }
    let mut result = ShardMap::with_capacity(ranges.len() + spans.len());
    let mut next = 0;
    for range in ranges {
        while spans
            .get(next)
            .is_some_and(|(_, last_key, _)| *last_key < range.first_key)
        {
            next += 1;
        }
        // A span may extend into the following ranges, so `next` still points to it there.
        change_range(range, &spans[next..], change, &mut result);
    }
    result
}

/// Splits one range at the edges of the key spans that begin in or before it, and changes the parts
/// inside the spans.
fn change_range<T>(
    mut range: ShardRange,
    spans: &[(ShardKey, ShardKey, T)],
    change: RangeChange<T>,
    result: &mut ShardMap,
) {
    for (first_key, last_key, value) in spans {
        if *first_key > range.last_key {
            break;
        }
        if *first_key > range.first_key {
            result.push(ShardRange {
                last_key: first_key - 1,
                ..range.clone()
            });
            range.first_key = *first_key;
        }
        if *last_key >= range.last_key {
            result.push(change(range, value));
            return;
        }
        result.push(change(
            ShardRange {
                last_key: *last_key,
                ..range.clone()
            },
            value,
        ));
        range.first_key = last_key + 1;
    }
    result.push(range);
}

/// Merges adjacent ranges that differ only in their keys.
fn merge_neighbours(ranges: ShardMap) -> ShardMap {
    let mut merged: ShardMap = Vec::new();
    for range in ranges {
        match merged.last_mut() {
            Some(last) if last.same_assignment(&range) => last.last_key = range.last_key,
            _ => merged.push(range),
        }
    }
    merged
}
