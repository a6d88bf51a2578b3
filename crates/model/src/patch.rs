//! What changed between two slices, so that news costs what changed and not what there is (design 5.12).

use crate::{BackEnd, Grouping, Micros, Order, Position, Slice, slice::Services, standing::Node, terms};

type Table<V> = std::collections::BTreeMap<String, V>;
/// What to put and what to drop.
pub type Part<V> = (Table<V>, std::collections::BTreeSet<String>);

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Patch {
    pub services: Services,
    pub position: Position,
    pub version: Position,
    pub groupings: Part<Grouping>,
    pub orders: Part<Order>,
    pub back_ends: Part<BackEnd>,
    pub nodes: Part<Node>,
    pub terms: Part<Vec<terms::Term>>,
    pub longest: Part<Micros>,
}

fn part<V: Clone + PartialEq>(old: &Table<V>, new: &Table<V>) -> Part<V> {
    let put = new.iter().filter(|(name, held)| old.get(*name) != Some(*held)).map(|(name, held)| (name.clone(), held.clone())).collect();
    let gone = old.keys().filter(|name| !new.contains_key(*name)).cloned().collect();
    (put, gone)
}

fn mended<V: Clone>(old: &Table<V>, (put, gone): Part<V>) -> Table<V> {
    let kept = old.iter().filter(|(name, _)| !gone.contains(*name)).map(|(name, held)| (name.clone(), held.clone()));
    kept.chain(put).collect()
}

impl Slice {
    pub fn patch_to(&self, next: &Slice) -> Patch {
        Patch {
            services: next.services.clone(),
            position: next.position,
            version: next.version,
            groupings: part(&self.groupings, &next.groupings),
            orders: part(&self.orders, &next.orders),
            back_ends: part(&self.back_ends, &next.back_ends),
            nodes: part(&self.nodes, &next.nodes),
            terms: part(&self.terms, &next.terms),
            longest: part(&self.longest, &next.longest),
        }
    }

    pub fn patched(&self, patch: Patch) -> Slice {
        Slice {
            services: patch.services,
            position: patch.position,
            version: patch.version,
            groupings: mended(&self.groupings, patch.groupings),
            orders: mended(&self.orders, patch.orders),
            back_ends: mended(&self.back_ends, patch.back_ends),
            nodes: mended(&self.nodes, patch.nodes),
            terms: mended(&self.terms, patch.terms),
            longest: mended(&self.longest, patch.longest),
        }
    }
}
