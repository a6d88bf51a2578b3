//! The part of the book a node's selectors touch (design 5.1).

use crate::{
    Backend, Grouping, Microseconds, Position, ServiceName, StandingOrder, StateMachine,
    endpoint_status::Node, leases,
};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

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
    /// The local services it was cut for.
    pub services: ServiceSet,
    pub position: Position,
    pub version: Position,
    pub groupings: BTreeMap<String, Grouping>,
    pub orders: BTreeMap<String, StandingOrder>,
    #[serde(rename = "back_ends")]
    pub backends: BTreeMap<String, Backend>,
    pub nodes: BTreeMap<String, Node>,
    #[serde(rename = "terms")]
    pub leases: leases::LeaseTable,
    #[serde(rename = "longest")]
    pub longest_requests: BTreeMap<ServiceName, Microseconds>,
}

pub type ServiceSet = BTreeSet<ServiceName>;

impl StateSlice {
    /// What ushers need that have back ends of `services` beside them.
    pub fn for_services(book: &StateMachine, services: &ServiceSet) -> StateSlice {
        let whole = StateSlice {
            services: services.clone(),
            position: book.position,
            version: book.desired.version,
            groupings: book.desired.groupings.clone(),
            orders: book.desired.orders.clone(),
            backends: filtered(&book.endpoint_status.backends, |back_end| {
                book.matches_grouping(back_end)
            }),
            nodes: book.endpoint_status.nodes.clone(),
            leases: book.leases.clone(),
            longest_requests: book.longest_requests.clone(),
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
            backends: filtered(&self.backends, |back_end| {
                touched.contains(&back_end.service)
            }),
            nodes: self.nodes.clone(),
            leases: of_services(&self.leases, &touched),
            longest_requests: of_services(&self.longest_requests, &touched),
            orders,
        }
    }

    /// Alike but for the position it was cut at: then no news needs sending.
    pub fn same_content(&self, other: &StateSlice) -> bool {
        let level = |slice: &StateSlice| StateSlice {
            position: 0,
            version: 0,
            ..slice.clone()
        };
        level(self) == level(other)
    }

    /// The most particular order that lets `from` send this: longest path, then named methods.
    pub fn route(
        &self,
        from: &str,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<(&String, &StandingOrder)> {
        self.orders
            .iter()
            .filter(|(_, order)| {
                let selector = &order.selector;
                selector.service == service
                    && selector.from.iter().any(|name| name == from)
                    && (selector.methods.is_empty()
                        || selector.methods.iter().any(|name| name == method))
                    && path_has_prefix(path, &selector.path_prefix)
            })
            .max_by_key(|(_, order)| {
                (
                    order.selector.path_prefix.len(),
                    !order.selector.methods.is_empty(),
                )
            })
    }

    pub fn lease(&self, service: &str, key: &str) -> Option<&leases::Lease> {
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
    orders
        .values()
        .map(|order| order.selector.service.clone())
        .chain(services.iter().cloned())
        .collect()
}

fn of_services<V: Clone>(
    table: &BTreeMap<ServiceName, V>,
    services: &ServiceSet,
) -> BTreeMap<ServiceName, V> {
    table
        .iter()
        .filter(|(service, _)| services.contains(*service))
        .map(|(service, held)| (service.clone(), held.clone()))
        .collect()
}

fn filtered<V: Clone>(
    table: &BTreeMap<String, V>,
    wanted: impl Fn(&V) -> bool,
) -> BTreeMap<String, V> {
    table
        .iter()
        .filter(|(_, held)| wanted(held))
        .map(|(name, held)| (name.clone(), held.clone()))
        .collect()
}
