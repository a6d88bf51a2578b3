//! Changes of the bill as followers hear them, and what a node makes of them (design 11.3).

use super::{Body, Casting, Kind, Lane, Limits, Place, Player, Rows, Service, cast, items::ItemName, items::ItemVersion};
use crate::{BackEndName, NodeName, Position, ServiceName};

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Delta {
    Item(Kind, ItemName, ItemVersion, Option<Body>),
    Player(BackEndName, Option<Player>),
    Place(NodeName, Option<Place>),
    /// The rows that changed, and where the service's latest placement stands.
    Rows(ServiceName, Position, Rows),
}

type Shared<T> = std::sync::Arc<T>;
/// A lane with the name and version of its item.
pub type LaneItem = (ItemName, ItemVersion, Lane);
/// By prefix. Keys and lanes are shared, so that a copy costs a pointer for each.
type Lanes = std::collections::HashMap<Shared<str>, Shared<LaneItem>>;

/// What a node holds of the bill. Parts that did not change are shared with the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Programme {
    pub position: Position,
    lanes: Shared<std::collections::HashMap<Shared<str>, Shared<Lanes>>>,
    named: Shared<std::collections::HashMap<Shared<str>, Shared<LaneItem>>>,
    pub services: Shared<std::collections::BTreeMap<ServiceName, Service>>,
    pub limits: Option<Limits>,
    pub players: Shared<cast::Players>,
    pub places: Shared<cast::Places>,
    pub castings: Shared<std::collections::BTreeMap<ServiceName, Shared<Casting>>>,
    /// Back ends that take new work, by service; follows from players and places.
    cast: Shared<std::collections::HashMap<ServiceName, Shared<Vec<Onstage>>>>,
}

/// A back end that takes new work, with the place of the node beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct Onstage {
    pub name: BackEndName,
    pub node: NodeName,
    pub zone: crate::ZoneName,
    pub address: String,
    pub slots: u32,
}

impl Programme {
    /// The longest prefix of this host that begins the path.
    pub fn lane(&self, host: &str, path: &str) -> Option<&Shared<LaneItem>> {
        let lanes = self.lanes.get(host)?;
        // A prefix ends with a slash: the longest that is known, from the whole path down.
        path.rmatch_indices('/').find_map(|(at, _)| lanes.get(&path[..=at]))
    }

    pub fn has_lanes(&self) -> bool {
        !self.lanes.is_empty()
    }

    pub fn lane_count(&self) -> usize {
        self.named.len()
    }

    /// A back end that takes new work: registered, beside a node that is there.
    pub fn takes_work(&self, player: &Player) -> bool {
        player.phase == crate::Phase::Registered && self.places.get(&player.node).is_some_and(|place| place.present)
    }

    /// The whole of what a follower was told, or what changed since what it holds.
    pub fn told(&self, afresh: bool, position: Position, deltas: Vec<Delta>) -> Programme {
        let base = if afresh { Programme::default() } else { self.clone() };
        let names = |delta: &Delta| if let Delta::Player(name, _) = delta { Some(name.clone()) } else { None };
        let nodes = |delta: &Delta| if let Delta::Place(node, _) = delta { Some(node.clone()) } else { None };
        let names: std::collections::HashSet<BackEndName> = deltas.iter().filter_map(names).collect();
        let nodes: std::collections::HashSet<NodeName> = deltas.iter().filter_map(nodes).collect();
        // Of a back end that was told of, both the service it left and the one it came to.
        let touched = |programme: &Programme| -> Vec<ServiceName> {
            let told = programme.players.iter().filter(|(name, player)| names.contains(*name) || nodes.contains(&player.node));
            told.map(|(_, player)| player.service.clone()).collect()
        };
        let before = if afresh || names.is_empty() { Vec::new() } else { touched(&base) };
        let mut next = deltas.into_iter().fold(base, Programme::with);
        if !names.is_empty() || !nodes.is_empty() {
            let touched: std::collections::HashSet<ServiceName> = before.into_iter().chain(touched(&next)).collect();
            let casts = next.onstage(&touched);
            let cast = Shared::make_mut(&mut next.cast);
            cast.retain(|service, _| !touched.contains(service));
            cast.extend(casts);
        }
        Programme { position, ..next }
    }

    fn onstage(&self, services: &std::collections::HashSet<ServiceName>) -> std::collections::HashMap<ServiceName, Shared<Vec<Onstage>>> {
        let working = self.players.iter().filter(|(_, player)| services.contains(&player.service) && self.takes_work(player));
        let placed = working.filter_map(|(name, player)| self.placed(name, player).map(|placed| (player.service.clone(), placed)));
        let by_service = placed.fold(std::collections::HashMap::<ServiceName, Vec<Onstage>>::new(), |mut cast, (service, placed)| {
            cast.entry(service).or_default().push(placed);
            cast
        });
        by_service.into_iter().map(|(service, cast)| (service, Shared::new(cast))).collect()
    }

    fn placed(&self, name: &str, player: &Player) -> Option<Onstage> {
        let place = self.places.get(&player.node)?;
        Some(Onstage { name: name.into(), node: player.node.clone(), zone: player.zone.clone(), address: place.address.clone(), slots: player.slots })
    }

    pub fn cast(&self, service: &str) -> Shared<Vec<Onstage>> {
        self.cast.get(service).cloned().unwrap_or_default()
    }

    /// Where a back end is found, though it may take no new work.
    pub fn find(&self, name: &str) -> Option<Onstage> {
        self.players.get(name).and_then(|player| self.placed(name, player))
    }

    fn with(mut self, delta: Delta) -> Programme {
        match delta {
            Delta::Item(Kind::Lane, name, version, body) => self.put_lane(name, version, body),
            Delta::Item(Kind::Service, name, _, Some(Body::Service(service))) => drop(Shared::make_mut(&mut self.services).insert(name, service)),
            Delta::Item(Kind::Service, name, ..) => drop(Shared::make_mut(&mut self.services).remove(&name)),
            Delta::Item(Kind::Limits, _, _, Some(Body::Limits(limits))) => self.limits = Some(limits),
            Delta::Item(Kind::Limits, ..) => self.limits = None,
            Delta::Player(name, Some(player)) => drop(Shared::make_mut(&mut self.players).insert(name, player)),
            Delta::Player(name, None) => drop(Shared::make_mut(&mut self.players).remove(&name)),
            Delta::Place(name, Some(place)) => drop(Shared::make_mut(&mut self.places).insert(name, place)),
            Delta::Place(name, None) => drop(Shared::make_mut(&mut self.places).remove(&name)),
            Delta::Rows(service, at, rows) => {
                let held = self.castings.get(&service).map(|held| held.1.clone()).unwrap_or_default();
                let next = (at, super::rows::patched(held, rows));
                Shared::make_mut(&mut self.castings).insert(service, Shared::new(next));
            }
        }
        self
    }

    fn put_lane(&mut self, name: ItemName, version: ItemVersion, body: Option<Body>) {
        let (named, lanes) = (Shared::make_mut(&mut self.named), Shared::make_mut(&mut self.lanes));
        if let Some(old) = named.remove(name.as_str()) {
            let (host, prefix) = (old.2.host.as_str(), old.2.prefix.as_str());
            let emptied = lanes.get_mut(host).is_some_and(|held| {
                // Another item may have taken the place within the same call.
                if held.get(prefix).is_some_and(|held| held.0 == name) {
                    Shared::make_mut(held).remove(prefix);
                }
                held.is_empty()
            });
            if emptied {
                lanes.remove(host);
            }
        }
        if let Some(Body::Lane(lane)) = body {
            let item = Shared::new((name, version, lane));
            named.insert(item.0.as_str().into(), item.clone());
            let held = lanes.entry(item.2.host.as_str().into()).or_default();
            Shared::make_mut(held).insert(item.2.prefix.as_str().into(), item);
        }
    }
}
