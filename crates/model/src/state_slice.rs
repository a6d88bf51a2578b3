//! The part of the state machine that a node needs, selected by the orders of its services (design
//! 5.1).

use std::collections::{BTreeMap, BTreeSet};

use crate::endpoint_status::Node;
use crate::leases::{self, Lease, LeaseTable, LongestRequests};
use crate::{Backend, BackendName, Grouping, NodeName, Position};
use crate::{ServiceName, StandingOrder, StateMachine};

/// The state that a node with backends of some services needs to forward and accept their requests.
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
    /// The local services that the slice was made for.
    pub services: ServiceSet,
    /// The position of the state that the slice was made from.
    pub position: Position,
    /// The version of the desired state that the slice was made from.
    pub version: Position,
    /// Groupings of the called services, by name.
    pub groupings: BTreeMap<String, Grouping>,
    /// Orders under which the services send or serve requests, by name.
    pub orders: BTreeMap<String, StandingOrder>,
    /// Backends of the called services, by name.
    #[serde(rename = "back_ends")]
    pub backends: BTreeMap<BackendName, Backend>,
    /// All nodes, by name.
    pub nodes: BTreeMap<NodeName, Node>,
    /// The key leases of the called services.
    #[serde(rename = "terms")]
    pub leases: LeaseTable,
    /// The longest request duration ever permitted on the keys of each of these services, in
    /// microseconds.
    #[serde(rename = "longest")]
    pub longest_requests: LongestRequests,
}

/// A set of services.
pub type ServiceSet = BTreeSet<ServiceName>;

impl StateSlice {
    /// Returns the slice for a node that has backends of `services`.
    pub fn for_services(state: &StateMachine, services: &ServiceSet) -> StateSlice {
        let backends = &state.endpoint_status.backends;
        let full_slice = StateSlice {
            services: services.clone(),
            position: state.position,
            version: state.desired.version,
            groupings: state.desired.groupings.clone(),
            orders: state.desired.orders.clone(),
            backends: filter_table(backends, |backend| state.matches_grouping(backend)),
            nodes: state.endpoint_status.nodes.clone(),
            leases: state.leases.clone(),
            longest_requests: state.longest_requests.clone(),
        };
        full_slice.narrowed_to(services)
    }

    /// Returns the part of this slice for a node that has backends of `services` only.
    pub fn narrowed_to(&self, services: &ServiceSet) -> StateSlice {
        let orders = filter_table(&self.orders, |order| selects_any(order, services));
        let relevant = relevant_services(&orders, services);
        StateSlice {
            services: services.clone(),
            position: self.position,
            version: self.version,
            groupings: filter_table(&self.groupings, |grouping| {
                relevant.contains(&grouping.service)
            }),
            backends: filter_table(&self.backends, |backend| {
                relevant.contains(&backend.service)
            }),
            nodes: self.nodes.clone(),
            leases: filter_by_service(&self.leases, &relevant),
            longest_requests: filter_by_service(&self.longest_requests, &relevant),
            orders,
        }
    }

    /// Returns whether two slices differ only in the position and version that they were made from.
    /// If so, no update needs to be sent.
    pub fn same_content(&self, other: &StateSlice) -> bool {
        let content = |slice: &StateSlice| StateSlice {
            position: 0,
            version: 0,
            ..slice.clone()
        };
        content(self) == content(other)
    }

    /// Returns the most specific order that allows `from` to send this request: the one with the
    /// longest path prefix, then one that names methods.
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

    /// Returns the lease on the slot of a key; `None` if the service has no keys.
    pub fn lease(&self, service: &str, key: &str) -> Option<&Lease> {
        self.leases
            .get(service)?
            .get(leases::key_slot(key) as usize)
    }
}

/// Returns whether the path has this prefix. A prefix ends at a path segment: `/seats` does not
/// match `/seatsold`.
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

fn relevant_services(
    orders: &BTreeMap<String, StandingOrder>,
    services: &ServiceSet,
) -> ServiceSet {
    let called = orders.values().map(|order| order.selector.service.clone());
    called.chain(services.iter().cloned()).collect()
}

fn filter_by_service<V: Clone>(
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

fn filter_table<V: Clone>(
    table: &BTreeMap<String, V>,
    wanted: impl Fn(&V) -> bool,
) -> BTreeMap<String, V> {
    let wanted = table.iter().filter(|(_, value)| wanted(value));
    wanted
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
