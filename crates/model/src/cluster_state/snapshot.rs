//! An immutable snapshot of the cluster state, which a node builds from the deltas it receives and
//! uses for lookups (design 11.3).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::delta::Delta;
use super::endpoints::{BackendRecord, BackendRecords, NodeRecords};
use super::items::{ItemBody, ItemKind, ItemName, ItemVersion, Limits, Route, Service};
use super::placement::Placement;
use super::shard_map;
use crate::{BackendName, BackendPhase, NodeName, Position, ServiceName, ZoneName};

/// A route with the name and version of its item.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteItem {
    /// The name of the item.
    pub name: ItemName,
    /// The version of the item.
    pub version: ItemVersion,
    /// The content of the item.
    pub route: Route,
}

/// The routes of one host by prefix. Keys and routes are shared, so that a copy costs one pointer
/// each.
type RoutesByPrefix = HashMap<Arc<str>, Arc<RouteItem>>;

/// A node's copy of the cluster state. Unchanged parts are shared with the previous snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateSnapshot {
    /// The position of the copied cluster state.
    pub position: Position,
    routes_by_host: Arc<HashMap<Arc<str>, Arc<RoutesByPrefix>>>,
    routes_by_name: Arc<HashMap<Arc<str>, Arc<RouteItem>>>,
    /// Services by name.
    pub services: Arc<BTreeMap<ServiceName, Service>>,
    /// The limits of HTTP messages, if an operator has set them.
    pub limits: Option<Limits>,
    /// Backends by name.
    pub backends: Arc<BackendRecords>,
    /// Nodes by name.
    pub nodes: Arc<NodeRecords>,
    /// The placements of keyed services.
    pub placements: Arc<BTreeMap<ServiceName, Arc<Placement>>>,
    /// Backends that accept new requests, by service; derived from backends and nodes.
    available: Arc<HashMap<ServiceName, Arc<Vec<AvailableBackend>>>>,
}

/// A backend with the address of the node beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct AvailableBackend {
    /// The name of the backend.
    pub name: BackendName,
    /// The node beside the backend.
    pub node: NodeName,
    /// The zone of the backend.
    pub zone: ZoneName,
    /// The address at which other nodes reach the node.
    pub address: String,
    /// The number of requests that the backend runs concurrently.
    pub slots: u32,
}

/// The backends and nodes that a set of deltas changes.
struct ChangedEndpoints {
    backends: HashSet<BackendName>,
    nodes: HashSet<NodeName>,
}

impl ChangedEndpoints {
    fn of(deltas: &[Delta]) -> ChangedEndpoints {
        let mut changed = ChangedEndpoints {
            backends: HashSet::new(),
            nodes: HashSet::new(),
        };
        for delta in deltas {
            match delta {
                Delta::Backend(name, _) => drop(changed.backends.insert(name.clone())),
                Delta::Node(name, _) => drop(changed.nodes.insert(name.clone())),
                Delta::Item(..) | Delta::ShardRanges(..) => {}
            }
        }
        changed
    }

    fn is_empty(&self) -> bool {
        self.backends.is_empty() && self.nodes.is_empty()
    }

    /// Returns the services that the changed backends, and those beside the changed nodes, serve in
    /// a snapshot.
    fn services(&self, snapshot: &StateSnapshot) -> Vec<ServiceName> {
        let changed = snapshot.backends.iter().filter(|(name, backend)| {
            self.backends.contains(*name) || self.nodes.contains(&backend.node)
        });
        changed
            .map(|(_, backend)| backend.service.clone())
            .collect()
    }
}

impl StateSnapshot {
    /// Returns the route of this host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteItem>> {
        let routes = self.routes_by_host.get(host)?;
        // Prefixes end with a slash, so candidates are the path's parts up to each slash, longest
        // first.
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }

    /// Returns whether any route exists.
    pub fn has_routes(&self) -> bool {
        !self.routes_by_host.is_empty()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes_by_name.len()
    }

    /// Returns whether a backend accepts new requests: it is registered, and its node is present.
    pub fn accepts_work(&self, backend: &BackendRecord) -> bool {
        backend.phase == BackendPhase::Registered
            && self
                .nodes
                .get(&backend.node)
                .is_some_and(|node| node.present)
    }

    /// Returns the snapshot at `position` after applying deltas to this snapshot or, with
    /// `from_empty`, to an empty one.
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
        let changed = ChangedEndpoints::of(&deltas);
        // If a backend changed its service, both its old and its new service are affected.
        let mut services: HashSet<ServiceName> = HashSet::new();
        if !changed.backends.is_empty() {
            services.extend(changed.services(&base));
        }
        let mut next = deltas.into_iter().fold(base, StateSnapshot::with_delta);
        if !changed.is_empty() {
            services.extend(changed.services(&next));
            next.refresh_available(&services);
        }
        StateSnapshot { position, ..next }
    }

    /// Rebuilds the lists of available backends of these services only.
    fn refresh_available(&mut self, services: &HashSet<ServiceName>) {
        let refreshed = self.available_of(services);
        let available = Arc::make_mut(&mut self.available);
        available.retain(|service, _| !services.contains(service));
        available.extend(refreshed);
    }

    fn available_of(
        &self,
        services: &HashSet<ServiceName>,
    ) -> HashMap<ServiceName, Arc<Vec<AvailableBackend>>> {
        let mut by_service: HashMap<ServiceName, Vec<AvailableBackend>> = HashMap::new();
        for (name, backend) in self.backends.iter() {
            if services.contains(&backend.service)
                && self.accepts_work(backend)
                && let Some(with_node_address) = self.with_node_address(name, backend)
            {
                by_service
                    .entry(backend.service.clone())
                    .or_default()
                    .push(with_node_address);
            }
        }
        by_service
            .into_iter()
            .map(|(service, backends)| (service, Arc::new(backends)))
            .collect()
    }

    fn with_node_address(&self, name: &str, backend: &BackendRecord) -> Option<AvailableBackend> {
        let node = self.nodes.get(&backend.node)?;
        Some(AvailableBackend {
            name: name.into(),
            node: backend.node.clone(),
            zone: backend.zone.clone(),
            address: node.address.clone(),
            slots: backend.slots,
        })
    }

    /// Returns the backends of a service that accept new requests, ordered by name.
    pub fn available_backends(&self, service: &str) -> Arc<Vec<AvailableBackend>> {
        self.available.get(service).cloned().unwrap_or_default()
    }

    /// Returns the location of a backend, even if it accepts no new requests.
    pub fn find_backend(&self, name: &str) -> Option<AvailableBackend> {
        self.backends
            .get(name)
            .and_then(|backend| self.with_node_address(name, backend))
    }

    fn with_delta(mut self, delta: Delta) -> StateSnapshot {
        match delta {
            Delta::Item(ItemKind::Route, name, version, body) => {
                self.put_route(name, version, body);
            }
            Delta::Item(ItemKind::Service, name, _, Some(ItemBody::Service(service))) => {
                Arc::make_mut(&mut self.services).insert(name, service);
            }
            Delta::Item(ItemKind::Service, name, ..) => {
                Arc::make_mut(&mut self.services).remove(&name);
            }
            Delta::Item(ItemKind::Limits, _, _, Some(ItemBody::Limits(limits))) => {
                self.limits = Some(limits);
            }
            Delta::Item(ItemKind::Limits, ..) => self.limits = None,
            Delta::Backend(name, Some(backend)) => {
                Arc::make_mut(&mut self.backends).insert(name, backend);
            }
            Delta::Backend(name, None) => {
                Arc::make_mut(&mut self.backends).remove(&name);
            }
            Delta::Node(name, Some(node)) => {
                Arc::make_mut(&mut self.nodes).insert(name, node);
            }
            Delta::Node(name, None) => {
                Arc::make_mut(&mut self.nodes).remove(&name);
            }
            Delta::ShardRanges(service, placed_at, changes) => {
                let before = self
                    .placements
                    .get(&service)
                    .map(|placement| placement.1.clone());
                let ranges = shard_map::apply_diff(before.unwrap_or_default(), changes);
                let placement = Arc::new((placed_at, ranges));
                Arc::make_mut(&mut self.placements).insert(service, placement);
            }
        }
        self
    }

    fn put_route(&mut self, name: ItemName, version: ItemVersion, body: Option<ItemBody>) {
        self.remove_route(&name);
        let Some(ItemBody::Route(route)) = body else {
            return;
        };
        let item = Arc::new(RouteItem {
            name,
            version,
            route,
        });
        let by_name = Arc::make_mut(&mut self.routes_by_name);
        by_name.insert(item.name.as_str().into(), item.clone());
        let by_host = Arc::make_mut(&mut self.routes_by_host);
        let by_prefix = by_host.entry(item.route.host.as_str().into()).or_default();
        Arc::make_mut(by_prefix).insert(item.route.prefix.as_str().into(), item);
    }

    fn remove_route(&mut self, name: &str) {
        let Some(old) = Arc::make_mut(&mut self.routes_by_name).remove(name) else {
            return;
        };
        let by_host = Arc::make_mut(&mut self.routes_by_host);
        let Some(by_prefix) = by_host.get_mut(old.route.host.as_str()) else {
            return;
        };
        let prefix = old.route.prefix.as_str();
        // Another item may have taken over the prefix in the same call.
        if by_prefix.get(prefix).is_some_and(|item| item.name == name) {
            Arc::make_mut(by_prefix).remove(prefix);
        }
        if by_prefix.is_empty() {
            by_host.remove(old.route.host.as_str());
        }
    }
}
