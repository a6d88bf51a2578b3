//! Which back end holds which keys: rows over all keys of a service, cut anywhere (design 11.4).

use crate::{BackendName, Position};
use std::collections::HashMap;

pub type ShardKey = u16;

/// `owed`: earlier holders, and where in the log each lost the row, that may still hold it.
/// `token`: what the last holder handed over.
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
    #[serde(rename = "from")]
    pub first_key: ShardKey,
    #[serde(rename = "to")]
    pub last_key: ShardKey,
    pub holder: Option<BackendName>,
    /// The position that moved the row here.
    #[serde(rename = "fence")]
    pub fencing_token: Position,
    #[serde(rename = "owed")]
    pub pending_releases: Vec<(BackendName, Position)>,
    #[serde(rename = "token")]
    pub handover_token: String,
}

impl ShardRange {
    fn same_assignment(&self, other: &ShardRange) -> bool {
        (
            &self.holder,
            self.fencing_token,
            &self.pending_releases,
            &self.handover_token,
        ) == (
            &other.holder,
            other.fencing_token,
            &other.pending_releases,
            &other.handover_token,
        )
    }
}

/// Ordered, without gaps, over all keys.
pub type ShardMap = Vec<ShardRange>;

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

pub fn range_of(rows: &ShardMap, key: ShardKey) -> Option<&ShardRange> {
    rows.get(rows.partition_point(|row| row.last_key < key))
}

/// The rows with cuts at the edges of the spans; the parts inside one are changed by it. One pass over both, as
/// spans are ordered and none overlaps another; those that do are taken one after the other.
fn change_spans<T>(
    rows: ShardMap,
    spans: &[(ShardKey, ShardKey, T)],
    change: &dyn Fn(ShardRange, &T) -> ShardRange,
) -> ShardMap {
    if spans.windows(2).any(|pair| pair[0].1 >= pair[1].0) {
        return spans
            .chunks(1)
            .fold(rows, |rows, span| change_spans(rows, span, change));
    }
    let mut out = ShardMap::with_capacity(rows.len() + spans.len());
    let mut next = 0;
    rows.into_iter().for_each(|mut row| {
        while spans
            .get(next)
            .is_some_and(|(_, to, _)| *to < row.first_key)
        {
            next += 1;
        }
        // A span may reach into the rows after this one: it is looked at again there.
        let mut at = next;
        while let Some((from, to, told)) = spans.get(at).filter(|(from, ..)| *from <= row.last_key)
        {
            if *from > row.first_key {
                out.push(ShardRange {
                    last_key: from - 1,
                    ..row.clone()
                });
                row.first_key = *from;
            }
            if *to >= row.last_key {
                return out.push(change(row, told));
            }
            out.push(change(
                ShardRange {
                    last_key: *to,
                    ..row.clone()
                },
                told,
            ));
            row.first_key = to + 1;
            at += 1;
        }
        out.push(row);
    });
    out
}

/// Neighbours that differ in nothing but their keys become one.
fn merge_neighbours(rows: ShardMap) -> ShardMap {
    rows.into_iter()
        .fold(Vec::new(), |mut done: ShardMap, row| {
            match done.last_mut() {
                Some(last) if last.same_assignment(&row) => last.last_key = row.last_key,
                _ => done.push(row),
            }
            done
        })
}

/// Hands rows to whom the placement names; who keeps a row keeps its fence. Whoever gets one back owes it to nobody: what
/// it lost earlier it holds now.
pub fn reassign(
    rows: ShardMap,
    assignments: &[(ShardKey, ShardKey, BackendName)],
    position: Position,
) -> ShardMap {
    let moved = |row: ShardRange, holder: &BackendName| {
        if row.holder.as_ref() == Some(holder) {
            return row;
        }
        let lost = row.holder.into_iter().map(|old| (old, position));
        ShardRange {
            holder: Some(holder.clone()),
            fencing_token: position,
            pending_releases: row
                .pending_releases
                .into_iter()
                .chain(lost)
                .filter(|(owing, _)| owing != holder)
                .collect(),
            ..row
        }
    };
    merge_neighbours(change_spans(rows, assignments, &moved))
}

/// `name` has let these go, knowing the log up to `through`.
pub fn release(
    rows: ShardMap,
    name: &str,
    known_through: Position,
    released_spans: &[(ShardKey, ShardKey, String)],
) -> ShardMap {
    let mut let_go = released_spans.to_vec();
    let_go.sort();
    merge_neighbours(change_spans(
        rows,
        &let_go,
        &|row: ShardRange, token: &String| {
            let owes = row
                .pending_releases
                .iter()
                .any(|(owing, lost)| owing == name && *lost <= known_through);
            let owed = row
                .pending_releases
                .into_iter()
                .filter(|(owing, lost)| owing != name || *lost > known_through)
                .collect();
            let token = if owes && !token.is_empty() {
                token.clone()
            } else {
                row.handover_token
            };
            ShardRange {
                pending_releases: owed,
                handover_token: token,
                ..row
            }
        },
    ))
}

/// All that was lost at or before the fence under which the row is now held is over.
pub fn expire_releases(rows: ShardMap, expired: &[(ShardKey, ShardKey, Position)]) -> ShardMap {
    let mut done = expired.to_vec();
    done.sort();
    merge_neighbours(change_spans(
        rows,
        &done,
        &|row: ShardRange, fence: &Position| {
            if row.fencing_token == *fence {
                ShardRange {
                    pending_releases: Vec::new(),
                    ..row
                }
            } else {
                row
            }
        },
    ))
}

/// A back end whose process is gone holds nothing and hands nothing over.
pub fn remove_backend(rows: ShardMap, name: &str) -> ShardMap {
    merge_neighbours(
        rows.into_iter()
            .map(|row| {
                let held = row.holder.as_deref() == Some(name);
                let owed: Vec<_> = row
                    .pending_releases
                    .iter()
                    .filter(|(owing, _)| owing != name)
                    .cloned()
                    .collect();
                let token = if held || owed.len() != row.pending_releases.len() {
                    String::new()
                } else {
                    row.handover_token
                };
                ShardRange {
                    holder: row.holder.filter(|_| !held),
                    pending_releases: owed,
                    handover_token: token,
                    ..row
                }
            })
            .collect(),
    )
}

/// What of `new` is not in `old`, for followers that hold `old`.
pub fn diff(old: &ShardMap, new: &ShardMap) -> ShardMap {
    let held: HashMap<ShardKey, &ShardRange> = old.iter().map(|row| (row.first_key, row)).collect();
    new.iter()
        .filter(|row| held.get(&row.first_key) != Some(row))
        .cloned()
        .collect()
}

/// The rows with these put in their place.
pub fn apply_diff(rows: ShardMap, changes: ShardMap) -> ShardMap {
    let mut next = 0;
    let mut kept: ShardMap = rows
        .into_iter()
        .filter(|row| {
            while changes
                .get(next)
                .is_some_and(|change| change.last_key < row.first_key)
            {
                next += 1;
            }
            changes
                .get(next)
                .is_none_or(|change| change.first_key > row.last_key)
        })
        .collect();
    kept.extend(changes);
    // Two ordered runs: the sort joins them in one pass.
    kept.sort_by_key(|row| row.first_key);
    kept
}
