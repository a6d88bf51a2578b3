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

/// Ordered, without gaps, over all keys.
pub type Rows = Vec<Row>;

pub fn empty() -> Rows {
    vec![Row { from: 0, to: Key::MAX, holder: None, fence: 0, owed: Vec::new(), token: String::new() }]
}

pub fn holder_of(rows: &Rows, key: Key) -> Option<&Row> {
    rows.get(rows.partition_point(|row| row.to < key))
}

/// The rows with cuts at the edges of `from..=to`; the parts inside it changed.
fn within(rows: Rows, from: Key, to: Key, change: impl Fn(Row) -> Row) -> Rows {
    rows.into_iter()
        .flat_map(|row| {
            if row.to < from || row.from > to {
                return vec![row];
            }
            let before = (row.from < from).then(|| Row { to: from - 1, ..row.clone() });
            let after = (row.to > to).then(|| Row { from: to + 1, ..row.clone() });
            let inside = Row { from: row.from.max(from), to: row.to.min(to), ..row };
            before.into_iter().chain([change(inside)]).chain(after).collect()
        })
        .collect()
}

/// Neighbours that differ in nothing but their keys become one.
fn joined(rows: Rows) -> Rows {
    rows.into_iter().fold(Vec::new(), |mut done: Rows, row| {
        match done.last_mut() {
            Some(last) if Row { from: last.from, to: last.to, ..row.clone() } == *last => last.to = row.to,
            _ => done.push(row),
        }
        done
    })
}

/// Hands rows to whom the placement names; who keeps a row keeps its fence.
pub fn recast(rows: Rows, cast: &[(Key, Key, BackEndName)], position: Position) -> Rows {
    let moved = |row: Row, holder: &BackEndName| {
        if row.holder.as_ref() == Some(holder) {
            return row;
        }
        let lost = row.holder.into_iter().map(|old| (old, position));
        Row { holder: Some(holder.clone()), fence: position, owed: row.owed.into_iter().chain(lost).collect(), ..row }
    };
    joined(cast.iter().fold(rows, |rows, (from, to, holder)| within(rows, *from, *to, |row| moved(row, holder))))
}

/// `name` has let these go, knowing the log up to `through`.
pub fn released(rows: Rows, name: &str, through: Position, let_go: &[(Key, Key, String)]) -> Rows {
    joined(let_go.iter().fold(rows, |rows, (from, to, token)| {
        within(rows, *from, *to, |row| {
            let owes = row.owed.iter().any(|(owing, lost)| owing == name && *lost <= through);
            let owed = row.owed.into_iter().filter(|(owing, lost)| owing != name || *lost > through).collect();
            let token = if owes && !token.is_empty() { token.clone() } else { row.token };
            Row { owed, token, ..row }
        })
    }))
}

/// All that was lost at or before the fence under which the row is now held is over.
pub fn settled(rows: Rows, done: &[(Key, Key, Position)]) -> Rows {
    joined(done.iter().fold(rows, |rows, (from, to, fence)| {
        within(rows, *from, *to, |row| match row.fence == *fence {
            true => Row { owed: Vec::new(), ..row },
            false => row,
        })
    }))
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
    let covered = |row: &Row| changes.iter().any(|change| change.from <= row.to && row.from <= change.to);
    let mut kept: Rows = rows.into_iter().filter(|row| !covered(row)).collect();
    kept.extend(changes);
    kept.sort_by_key(|row| row.from);
    kept
}
