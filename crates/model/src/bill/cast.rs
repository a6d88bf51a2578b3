//! Back ends and nodes as the log knows them, and what changes them (design 11.2).

use crate::{BackEndName, Incarnation, NodeName, Phase, Position, ServiceName, ZoneName};

/// A back end's name is one life: a new start has a new name.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Player {
    pub service: ServiceName,
    pub zone: ZoneName,
    pub node: NodeName,
    pub slots: u32,
    pub phase: Phase,
    pub since: Position,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Place {
    pub zone: ZoneName,
    pub address: String,
    pub life: Incarnation,
    pub present: bool,
    pub missed_by: std::collections::BTreeSet<NodeName>,
    pub since: Position,
}

/// What may stand in the log beside changes of items.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Report {
    Node {
        node: NodeName,
        zone: ZoneName,
        address: String,
        life: Incarnation,
        /// The incarnation that the sender found registered, 0 if none: counts only while that one still is.
        replaces: Incarnation,
    },
    /// For good: nothing lives beside it any more.
    NodeLeft {
        node: NodeName,
        life: Incarnation,
    },
    Watch {
        watcher: NodeName,
        node: NodeName,
        life: Incarnation,
        missed: bool,
    },
    Joined {
        name: BackEndName,
        player: Player,
    },
    Draining {
        name: BackEndName,
    },
    /// Not heard though its process may live, or heard again: it takes no new work meanwhile.
    Silent {
        name: BackEndName,
        silent: bool,
    },
    /// `surely`: its process is gone, so it holds nothing; else it was only not heard.
    Ended {
        name: BackEndName,
        surely: bool,
    },
    /// Who is to hold which keys; counts only on top of the placement it names (design 11.4).
    Recast {
        service: ServiceName,
        base: Position,
        rows: Vec<(u16, u16, BackEndName)>,
    },
    /// An earlier holder has let go, as far as it knew the log, and what it handed over.
    Released {
        service: ServiceName,
        name: BackEndName,
        through: Position,
        rows: Vec<(u16, u16, String)>,
    },
    /// Whoever held these before this fence can hold them no more: the bound is over.
    Settled {
        service: ServiceName,
        rows: Vec<(u16, u16, Position)>,
    },
}

pub type Players = std::collections::BTreeMap<BackEndName, Player>;
pub type Places = std::collections::BTreeMap<NodeName, Place>;

/// Compare-and-set: a registration counts only on top of the incarnation that its sender found in the log.
pub(crate) fn may_register(places: &Places, node: &str, life: Incarnation, replaces: Incarnation) -> bool {
    places.get(node).is_none_or(|held| held.life == life || held.life == replaces)
}

/// A node is missed once two of its watchers say so, or the only other node there is.
pub(crate) fn watch(places: &mut Places, watcher: NodeName, node: &str, life: Incarnation, missed: bool, next: Position) -> bool {
    let others = places.iter().filter(|(name, held)| *name != node && held.present).count();
    let Some(held) = places.get_mut(node).filter(|held| held.life == life) else { return false };
    let changed = if missed { held.missed_by.insert(watcher) } else { held.missed_by.remove(&watcher) };
    let present = held.missed_by.len() < others.clamp(1, 2);
    if present != held.present {
        held.present = present;
        held.since = next;
    }
    changed
}

/// An absent node is kept for so many positions.
const AWAY_KEPT: Position = 4_096;

type Names = std::collections::BTreeSet<String>;

/// Who was away for long: back ends beside nodes that are, unless a row of keys names them, and such nodes with no
/// back end left (design 11.7).
pub(crate) fn away(players: &Players, places: &Places, named: &std::collections::HashSet<&BackEndName>, next: Position) -> (Names, Names) {
    let long = |since: Position| since + AWAY_KEPT < next;
    let gone = |node: &str| places.get(node).is_none_or(|held| !held.present && long(held.since));
    let (leave, stay): (Vec<_>, Vec<_>) = players.iter().partition(|(name, player)| long(player.since) && gone(&player.node) && !named.contains(name));
    let beside: std::collections::HashSet<&NodeName> = stay.into_iter().map(|(_, player)| &player.node).collect();
    let nodes = places.keys().filter(|node| gone(node) && !beside.contains(node)).cloned().collect();
    (leave.into_iter().map(|(name, _)| name.clone()).collect(), nodes)
}
