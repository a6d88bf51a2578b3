//! Who is to hold which keys: as few moves as the shares allow (design 11.4). Pure.

use playbill::BackEndName;
use playbill::bill::{Key, Rows};

/// A back end and its share, in any unit.
pub type Part = (BackEndName, f64);

const KEYS: f64 = 65_536.0;

/// Rows for all keys. Everyone keeps what fits the share, from the lowest key on; the rest goes to those
/// furthest below theirs.
pub fn cast(rows: &Rows, parts: &[Part]) -> Vec<(Key, Key, BackEndName)> {
    let whole: f64 = parts.iter().map(|(_, share)| share).sum();
    if whole <= 0.0 {
        return Vec::new();
    }
    let mut room: std::collections::BTreeMap<&str, u32> = quotas(parts, whole);
    let (mut kept, mut free) = (Vec::new(), Vec::new());
    rows.iter().for_each(|row| {
        let size = (row.to - row.from) as u32 + 1;
        let name = row.holder.as_deref().unwrap_or_default();
        let left = room.get(name).copied().unwrap_or(0).min(size);
        if left > 0 {
            kept.push((row.from, row.from + (left - 1) as Key, name.to_string()));
            room.entry(parts.iter().find(|(part, _)| part == name).map(|(part, _)| part.as_str()).unwrap_or_default()).and_modify(|room| *room -= left);
        }
        if left < size {
            free.push((row.from as u32 + left, row.to as u32));
        }
    });
    let given = free.into_iter().flat_map(|(mut from, to)| {
        let mut out = Vec::new();
        while from <= to {
            let Some((name, left)) = room.iter_mut().filter(|(_, room)| **room > 0).max_by_key(|(_, room)| **room) else { break };
            let size = (*left).min(to - from + 1);
            *left -= size;
            out.push((from as Key, (from + size - 1) as Key, name.to_string()));
            from += size;
        }
        out
    });
    let mut all: Vec<_> = kept.into_iter().chain(given.collect::<Vec<_>>()).collect();
    all.sort();
    all
}

/// Whole keys in proportion to shares, all of them given.
fn quotas(parts: &[Part], whole: f64) -> std::collections::BTreeMap<&str, u32> {
    let mut sum = 0.0;
    parts
        .iter()
        .map(|(name, share)| {
            let before = (sum / whole * KEYS).round() as u32;
            sum += share;
            (name.as_str(), (sum / whole * KEYS).round() as u32 - before)
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use playbill::bill::rows;

    #[test]
    fn everyone_gets_a_share_and_only_what_must_moves() {
        let part = |name: &str, share: f64| (name.to_string(), share);
        let one = rows::recast(rows::empty(), &super::cast(&rows::empty(), &[part("a", 2.0), part("b", 1.0), part("c", 1.0)]), 5);
        let count = |held: &rows::Row| (held.to - held.from) as u32 + 1;
        let of = |rows: &rows::Rows, name: &str| rows.iter().filter(|row| row.holder.as_deref() == Some(name)).map(count).sum::<u32>();
        assert_eq!((of(&one, "a"), of(&one, "b"), of(&one, "c")), (32_768, 16_384, 16_384));
        let two = rows::recast(one.clone(), &super::cast(&one, &[part("a", 2.0), part("c", 1.0)]), 9);
        assert_eq!(of(&two, "a") + of(&two, "c"), 65_536);
        let moved: u32 = two.iter().filter(|row| row.fence == 9).map(count).sum();
        assert!(moved <= 16_386, "{moved} keys moved, b held 16384");
        let three = super::cast(&two, &[part("a", 2.0), part("c", 1.0)]);
        assert_eq!(rows::recast(two.clone(), &three, 11), two, "nothing moves without a reason");
    }
}
