//! Changes of the bill as followers hear them, and what a node makes of them (design 11.3).

use super::{
    BackendRecord, ItemBody, ItemKind, Limits, NodeRecord, Placement, Route, Service, ShardMap,
    endpoints, items::ItemName, items::ItemVersion,
};
use crate::{BackendName, NodeName, Position, ServiceName};
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Delta {
    Item(ItemKind, ItemName, ItemVersion, Option<ItemBody>),
    Backend(BackendName, Option<BackendRecord>),
    Node(NodeName, Option<NodeRecord>),
    /// The rows that changed, and where the service's latest placement stands.
    ShardRanges(ServiceName, Position, ShardMap),
}

type Shared<T> = Arc<T>;
/// A lane with the name and version of its item.
pub type RouteItem = (ItemName, ItemVersion, Route);
/// By prefix. Keys and lanes are shared, so that a copy costs a pointer for each.
type RoutesByPrefix = HashMap<Shared<str>, Shared<RouteItem>>;

/// What a node holds of the bill. Parts that did not change are shared with the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateSnapshot {
    pub position: Position,
    routes_by_host: Shared<HashMap<Shared<str>, Shared<RoutesByPrefix>>>,
    routes_by_name: Shared<HashMap<Shared<str>, Shared<RouteItem>>>,
    pub services: Shared<BTreeMap<ServiceName, Service>>,
    pub limits: Option<Limits>,
    pub backends: Shared<endpoints::BackendRecords>,
    pub nodes: Shared<endpoints::NodeRecords>,
    pub placements: Shared<BTreeMap<ServiceName, Shared<Placement>>>,
    /// Back ends that take new work, by service; follows from players and places.
    available: Shared<HashMap<ServiceName, Shared<Vec<AvailableBackend>>>>,
}

/// A back end that takes new work, with the place of the node beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct AvailableBackend {
    pub name: BackendName,
    pub node: NodeName,
    pub zone: crate::ZoneName,
    pub address: String,
    pub slots: u32,
}

impl StateSnapshot {
    /// The longest prefix of this host that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Shared<RouteItem>> {
        let lanes = self.routes_by_host.get(host)?;
        // A prefix ends with a slash: the longest that is known, from the whole path down.
        path.rmatch_indices('/')
            .find_map(|(at, _)| lanes.get(&path[..=at]))
    }

    pub fn has_routes(&self) -> bool {
        !self.routes_by_host.is_empty()
    }

    pub fn route_count(&self) -> usize {
        self.routes_by_name.len()
    }

    /// A back end that takes new work: registered, beside a node that is there.
    pub fn accepts_work(&self, backend: &BackendRecord) -> bool {
        backend.phase == crate::BackendPhase::Registered
            && self
                .nodes
                .get(&backend.node)
                .is_some_and(|place| place.present)
    }

    /// The whole of what a follower was told, or what changed since what it holds.
    pub fn updated(
        &self,
        from_empty: bool,
        position: Position,
        deltas: Vec<Delta>,
    ) -> StateSnapshot {
        let base = if from_empty {
            StateSnapshot::default()
        } else {
            self.clone()
        };
        let names = |delta: &Delta| {
            if let Delta::Backend(name, _) = delta {
                Some(name.clone())
            } else {
                None
            }
        };
        let nodes = |delta: &Delta| {
            if let Delta::Node(node, _) = delta {
                Some(node.clone())
            } else {
                None
            }
        };
        let names: HashSet<BackendName> = deltas.iter().filter_map(names).collect();
        let nodes: HashSet<NodeName> = deltas.iter().filter_map(nodes).collect();
        // Of a back end that was told of, both the service it left and the one it came to.
        let touched = |programme: &StateSnapshot| -> Vec<ServiceName> {
            let told = programme
                .backends
                .iter()
                .filter(|(name, player)| names.contains(*name) || nodes.contains(&player.node));
            told.map(|(_, player)| player.service.clone()).collect()
        };
        let before = if from_empty || names.is_empty() {
            Vec::new()
        } else {
            touched(&base)
        };
        let mut next = deltas.into_iter().fold(base, StateSnapshot::with_delta);
        if !names.is_empty() || !nodes.is_empty() {
            let touched: HashSet<ServiceName> = before.into_iter().chain(touched(&next)).collect();
            let casts = next.available_of(&touched);
            let cast = Shared::make_mut(&mut next.available);
            cast.retain(|service, _| !touched.contains(service));
            cast.extend(casts);
        }
        StateSnapshot { position, ..next }
    }

    fn available_of(
        &self,
        services: &HashSet<ServiceName>,
    ) -> HashMap<ServiceName, Shared<Vec<AvailableBackend>>> {
        let working = self
            .backends
            .iter()
            .filter(|(_, player)| services.contains(&player.service) && self.accepts_work(player));
        let placed = working.filter_map(|(name, player)| {
            self.located(name, player)
                .map(|placed| (player.service.clone(), placed))
        });
        let by_service = placed.fold(
            HashMap::<ServiceName, Vec<AvailableBackend>>::new(),
            |mut cast, (service, placed)| {
                cast.entry(service).or_default().push(placed);
                cast
            },
        );
        by_service
            .into_iter()
            .map(|(service, cast)| (service, Shared::new(cast)))
            .collect()
    }

    fn located(&self, name: &str, backend: &BackendRecord) -> Option<AvailableBackend> {
        let place = self.nodes.get(&backend.node)?;
        Some(AvailableBackend {
            name: name.into(),
            node: backend.node.clone(),
            zone: backend.zone.clone(),
            address: place.address.clone(),
            slots: backend.slots,
        })
    }

    pub fn available_backends(&self, service: &str) -> Shared<Vec<AvailableBackend>> {
        self.available.get(service).cloned().unwrap_or_default()
    }

    /// Where a back end is found, though it may take no new work.
    pub fn find_backend(&self, name: &str) -> Option<AvailableBackend> {
        self.backends
            .get(name)
            .and_then(|player| self.located(name, player))
    }

    fn with_delta(mut self, delta: Delta) -> StateSnapshot {
        match delta {
            Delta::Item(ItemKind::Route, name, version, body) => {
                self.put_route(name, version, body)
            }
            Delta::Item(ItemKind::Service, name, _, Some(ItemBody::Service(service))) => {
                drop(Shared::make_mut(&mut self.services).insert(name, service))
            }
            Delta::Item(ItemKind::Service, name, ..) => {
                drop(Shared::make_mut(&mut self.services).remove(&name))
            }
            Delta::Item(ItemKind::Limits, _, _, Some(ItemBody::Limits(limits))) => {
                self.limits = Some(limits)
            }
            Delta::Item(ItemKind::Limits, ..) => self.limits = None,
            Delta::Backend(name, Some(player)) => {
                drop(Shared::make_mut(&mut self.backends).insert(name, player))
            }
            Delta::Backend(name, None) => drop(Shared::make_mut(&mut self.backends).remove(&name)),
            Delta::Node(name, Some(place)) => {
                drop(Shared::make_mut(&mut self.nodes).insert(name, place))
            }
            Delta::Node(name, None) => drop(Shared::make_mut(&mut self.nodes).remove(&name)),
            Delta::ShardRanges(service, at, rows) => {
                let held = self
                    .placements
                    .get(&service)
                    .map(|held| held.1.clone())
                    .unwrap_or_default();
                let next = (at, super::shard_map::apply_diff(held, rows));
                Shared::make_mut(&mut self.placements).insert(service, Shared::new(next));
            }
        }
        self
    }

    fn put_route(&mut self, name: ItemName, version: ItemVersion, body: Option<ItemBody>) {
        let (named, lanes) = (
            Shared::make_mut(&mut self.routes_by_name),
            Shared::make_mut(&mut self.routes_by_host),
        );
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
        if let Some(ItemBody::Route(lane)) = body {
            let item = Shared::new((name, version, lane));
            named.insert(item.0.as_str().into(), item.clone());
            let held = lanes.entry(item.2.host.as_str().into()).or_default();
            Shared::make_mut(held).insert(item.2.prefix.as_str().into(), item);
        }
    }
}
