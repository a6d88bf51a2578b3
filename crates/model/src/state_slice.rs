//! The part of the state machine that a node needs: what the orders of its services select
//! (design 5.1).

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint_status::Node;
use crate::leases::{self, Lease, LeaseTable, LongestRequests};
use crate::{Backend, BackendName, Grouping, NodeName, Position};
use crate::{ServiceName, StandingOrder, StateMachine};

/// What a node with back ends of some services needs to forward and take their requests.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct StateSlice {
    /// The local services it was made for.
    pub services: ServiceSet,
    /// The position of the state it was made of.
    pub position: Position,
    /// The version of the desired state it was made of.
    pub version: Position,
    /// Groupings of the services that are called, by name.
    pub groupings: BTreeMap<String, Grouping>,
    /// Orders that the services send or serve by, by name.
    pub orders: BTreeMap<String, StandingOrder>,
    /// Back ends of the services that are called, by name.
    #[serde(rename = "back_ends")]
    pub backends: BTreeMap<BackendName, Backend>,
    /// All nodes, by name.
    pub nodes: BTreeMap<NodeName, Node>,
    /// Who holds which keys of the services that are called.
    #[serde(rename = "terms")]
    pub leases: LeaseTable,
    /// The longest run that was ever permitted on the keys of each of these services.
    #[serde(rename = "longest")]
    pub longest_requests: LongestRequests,
}

/// A set of services.
pub type ServiceSet = BTreeSet<ServiceName>;

impl StateSlice {
    /// What a node needs that has back ends of `services` beside it.
    pub fn for_services(state: &StateMachine, services: &ServiceSet) -> StateSlice {
        let backends = &state.endpoint_status.backends;
        let whole = StateSlice {
            services: services.clone(),
            position: state.position,
            version: state.desired.version,
            groupings: state.desired.groupings.clone(),
            orders: state.desired.orders.clone(),
            backends: filtered(backends, |backend| state.matches_grouping(backend)),
            nodes: state.endpoint_status.nodes.clone(),
            leases: state.leases.clone(),
            longest_requests: state.longest_requests.clone(),
        };
        whole.narrowed_to(services)
    }

    /// What a node with only these services beside it needs of this slice.
    pub fn narrowed_to(&self, services: &ServiceSet) -> StateSlice {
        let orders = filtered(&self.orders, |order| selects_any(order, services));
        let touched = touched_services(&orders, services);
        StateSlice {
            services: services.clone(),
            position: self.position,
            version: self.version,
            groupings: filtered(&self.groupings, |grouping| {
                touched.contains(&grouping.service)
            }),
            backends: filtered(&self.backends, |backend| touched.contains(&backend.service)),
            nodes: self.nodes.clone(),
            leases: of_services(&self.leases, &touched),
            longest_requests: of_services(&self.longest_requests, &touched),
            orders,
        }
    }

    /// Whether two slices differ in nothing but what they were made of: then no update needs to be
    /// sent.
    pub fn same_content(&self, other: &StateSlice) -> bool {
        let content = |slice: &StateSlice| StateSlice {
            position: 0,
            version: 0,
            ..slice.clone()
        };
        content(self) == content(other)
    }

    /// The most particular order that lets `from` send this request: the one of the longest path,
    /// then one that names methods.
    pub fn route(
        &self,
        from: &str,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<(&String, &StandingOrder)> {
        let covers = |order: &StandingOrder| {
            let selector = &order.selector;
            selector.service == service
                && selector.from.iter().any(|name| name == from)
                && (selector.methods.is_empty()
                    || selector.methods.iter().any(|name| name == method))
                && path_has_prefix(path, &selector.path_prefix)
        };
        self.orders
            .iter()
            .filter(|(_, order)| covers(order))
            .max_by_key(|(_, order)| {
                (
                    order.selector.path_prefix.len(),
                    !order.selector.methods.is_empty(),
                )
            })
    }

    /// The lease on the slot of a key; `None` if the service has no keys.
    pub fn lease(&self, service: &str, key: &str) -> Option<&Lease> {
        self.leases
            .get(service)?
            .get(leases::key_slot(key) as usize)
    }
}

/// A prefix ends at a path segment: `/seats` does not cover `/seatsold`.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn selects_any(order: &StandingOrder, services: &ServiceSet) -> bool {
    services.contains(&order.selector.service)
        || order
            .selector
            .from
            .iter()
            .any(|from| services.contains(from))
}

fn touched_services(orders: &BTreeMap<String, StandingOrder>, services: &ServiceSet) -> ServiceSet {
    let called = orders.values().map(|order| order.selector.service.clone());
    called.chain(services.iter().cloned()).collect()
}

fn of_services<V: Clone>(
    table: &BTreeMap<ServiceName, V>,
    services: &ServiceSet,
) -> BTreeMap<ServiceName, V> {
    let wanted = table
        .iter()
        .filter(|(service, _)| services.contains(*service));
    wanted
        .map(|(service, value)| (service.clone(), value.clone()))
        .collect()
}

fn filtered<V: Clone>(
    table: &BTreeMap<String, V>,
    wanted: impl Fn(&V) -> bool,
) -> BTreeMap<String, V> {
    let wanted = table.iter().filter(|(_, value)| wanted(value));
    wanted
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
