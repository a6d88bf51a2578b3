//! Which back end holds which keys: rows over all keys of a service, cut anywhere (design 11.4).

use crate::{BackEndName, Position};

pub type Key = u16;

/// `owed`: earlier holders, and where in the log each lost the row, that may still hold it.
/// `token`: what the last holder handed over.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Row {
    pub from: Key,
    pub to: Key,
    pub holder: Option<BackEndName>,
    /// The position that moved the row here.
    pub fence: Position,
    pub owed: Vec<(BackEndName, Position)>,
    pub token: String,
}

impl Row {
    fn alike(&self, other: &Row) -> bool {
        (&self.holder, self.fence, &self.owed, &self.token) == (&other.holder, other.fence, &other.owed, &other.token)
    }
}

/// Ordered, without gaps, over all keys.
pub type Rows = Vec<Row>;

pub fn empty() -> Rows {
    vec![Row { from: 0, to: Key::MAX, holder: None, fence: 0, owed: Vec::new(), token: String::new() }]
}

pub fn holder_of(rows: &Rows, key: Key) -> Option<&Row> {
    rows.get(rows.partition_point(|row| row.to < key))
}

/// The rows with cuts at the edges of the spans; the parts inside one are changed by it. One pass over both, as
/// spans are ordered and none overlaps another; those that do are taken one after the other.
fn within<T>(rows: Rows, spans: &[(Key, Key, T)], change: &dyn Fn(Row, &T) -> Row) -> Rows {
    if spans.windows(2).any(|pair| pair[0].1 >= pair[1].0) {
        return spans.chunks(1).fold(rows, |rows, span| within(rows, span, change));
    }
    let mut out = Rows::with_capacity(rows.len() + spans.len());
    let mut next = 0;
    rows.into_iter().for_each(|mut row| {
        while spans.get(next).is_some_and(|(_, to, _)| *to < row.from) {
            next += 1;
        }
        // A span may reach into the rows after this one: it is looked at again there.
        let mut at = next;
        while let Some((from, to, told)) = spans.get(at).filter(|(from, ..)| *from <= row.to) {
            if *from > row.from {
                out.push(Row { to: from - 1, ..row.clone() });
                row.from = *from;
            }
            if *to >= row.to {
                return out.push(change(row, told));
            }
            out.push(change(Row { to: *to, ..row.clone() }, told));
            row.from = to + 1;
            at += 1;
        }
        out.push(row);
    });
    out
}

/// Neighbours that differ in nothing but their keys become one.
fn joined(rows: Rows) -> Rows {
    rows.into_iter().fold(Vec::new(), |mut done: Rows, row| {
        match done.last_mut() {
            Some(last) if last.alike(&row) => last.to = row.to,
            _ => done.push(row),
        }
        done
    })
}

/// Hands rows to whom the placement names; who keeps a row keeps its fence. Whoever gets one back owes it to nobody: what
/// it lost earlier it holds now.
pub fn recast(rows: Rows, cast: &[(Key, Key, BackEndName)], position: Position) -> Rows {
    let moved = |row: Row, holder: &BackEndName| {
        if row.holder.as_ref() == Some(holder) {
            return row;
        }
        let lost = row.holder.into_iter().map(|old| (old, position));
        Row { holder: Some(holder.clone()), fence: position, owed: row.owed.into_iter().chain(lost).filter(|(owing, _)| owing != holder).collect(), ..row }
    };
    joined(within(rows, cast, &moved))
}

/// `name` has let these go, knowing the log up to `through`.
pub fn released(rows: Rows, name: &str, through: Position, let_go: &[(Key, Key, String)]) -> Rows {
    let mut let_go = let_go.to_vec();
    let_go.sort();
    joined(within(rows, &let_go, &|row: Row, token: &String| {
        let owes = row.owed.iter().any(|(owing, lost)| owing == name && *lost <= through);
        let owed = row.owed.into_iter().filter(|(owing, lost)| owing != name || *lost > through).collect();
        let token = if owes && !token.is_empty() { token.clone() } else { row.token };
        Row { owed, token, ..row }
    }))
}

/// All that was lost at or before the fence under which the row is now held is over.
pub fn settled(rows: Rows, done: &[(Key, Key, Position)]) -> Rows {
    let mut done = done.to_vec();
    done.sort();
    joined(within(rows, &done, &|row: Row, fence: &Position| if row.fence == *fence { Row { owed: Vec::new(), ..row } } else { row }))
}

/// A back end whose process is gone holds nothing and hands nothing over.
pub fn ended(rows: Rows, name: &str) -> Rows {
    joined(
        rows.into_iter()
            .map(|row| {
                let held = row.holder.as_deref() == Some(name);
                let owed: Vec<_> = row.owed.iter().filter(|(owing, _)| owing != name).cloned().collect();
                let token = if held || owed.len() != row.owed.len() { String::new() } else { row.token };
                Row { holder: row.holder.filter(|_| !held), owed, token, ..row }
            })
            .collect(),
    )
}

/// What of `new` is not in `old`, for followers that hold `old`.
pub fn changed(old: &Rows, new: &Rows) -> Rows {
    let held: std::collections::HashMap<Key, &Row> = old.iter().map(|row| (row.from, row)).collect();
    new.iter().filter(|row| held.get(&row.from) != Some(row)).cloned().collect()
}

/// The rows with these put in their place.
pub fn patched(rows: Rows, changes: Rows) -> Rows {
    let mut next = 0;
    let mut kept: Rows = rows
        .into_iter()
        .filter(|row| {
            while changes.get(next).is_some_and(|change| change.to < row.from) {
                next += 1;
            }
            changes.get(next).is_none_or(|change| change.from > row.to)
        })
        .collect();
    kept.extend(changes);
    // Two ordered runs: the sort joins them in one pass.
    kept.sort_by_key(|row| row.from);
    kept
}
