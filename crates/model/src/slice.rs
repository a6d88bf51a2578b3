//! The part of the book a node's selectors touch (design 5.1).

use crate::{BackEnd, Book, Grouping, Micros, Order, Position, ServiceName, standing::Node, terms};

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Slice {
    /// The local services it was cut for.
    pub services: Services,
    pub position: Position,
    pub version: Position,
    pub groupings: std::collections::BTreeMap<String, Grouping>,
    pub orders: std::collections::BTreeMap<String, Order>,
    pub back_ends: std::collections::BTreeMap<String, BackEnd>,
    pub nodes: std::collections::BTreeMap<String, Node>,
    pub terms: terms::Terms,
    pub longest: std::collections::BTreeMap<ServiceName, Micros>,
}

pub type Services = std::collections::BTreeSet<ServiceName>;

impl Slice {
    /// What ushers need that have back ends of `services` beside them.
    pub fn cut(book: &Book, services: &Services) -> Slice {
        let whole = Slice {
            services: services.clone(),
            position: book.position,
            version: book.desired.version,
            groupings: book.desired.groupings.clone(),
            orders: book.desired.orders.clone(),
            back_ends: keep(&book.standing.back_ends, |back_end| book.fits(back_end)),
            nodes: book.standing.nodes.clone(),
            terms: book.terms.clone(),
            longest: book.longest.clone(),
        };
        whole.narrowed(services)
    }

    /// What a node with only these services beside it needs of this slice.
    pub fn narrowed(&self, services: &Services) -> Slice {
        let orders = keep(&self.orders, |order| touches(order, services));
        let touched = touched(&orders, services);
        Slice {
            services: services.clone(),
            position: self.position,
            version: self.version,
            groupings: keep(&self.groupings, |grouping| touched.contains(&grouping.service)),
            back_ends: keep(&self.back_ends, |back_end| touched.contains(&back_end.service)),
            nodes: self.nodes.clone(),
            terms: within_services(&self.terms, &touched),
            longest: within_services(&self.longest, &touched),
            orders,
        }
    }

    /// Alike but for the position it was cut at: then no news needs sending.
    pub fn says_the_same(&self, other: &Slice) -> bool {
        let level = |slice: &Slice| Slice { position: 0, version: 0, ..slice.clone() };
        level(self) == level(other)
    }

    /// The most particular order that lets `from` send this: longest path, then named methods.
    pub fn lane(&self, from: &str, service: &str, method: &str, path: &str) -> Option<(&String, &Order)> {
        self.orders
            .iter()
            .filter(|(_, order)| {
                let selector = &order.selector;
                selector.service == service
                    && selector.from.iter().any(|name| name == from)
                    && (selector.methods.is_empty() || selector.methods.iter().any(|name| name == method))
                    && within(path, &selector.path_prefix)
            })
            .max_by_key(|(_, order)| (order.selector.path_prefix.len(), !order.selector.methods.is_empty()))
    }

    pub fn term(&self, service: &str, key: &str) -> Option<&terms::Term> {
        self.terms.get(service)?.get(terms::slice_of(key) as usize)
    }
}

/// A prefix ends at a path segment: `/seats` does not cover `/seatsold`.
fn within(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn touches(order: &Order, services: &Services) -> bool {
    services.contains(&order.selector.service) || order.selector.from.iter().any(|from| services.contains(from))
}

fn touched(orders: &std::collections::BTreeMap<String, Order>, services: &Services) -> Services {
    orders.values().map(|order| order.selector.service.clone()).chain(services.iter().cloned()).collect()
}

fn within_services<V: Clone>(table: &std::collections::BTreeMap<ServiceName, V>, services: &Services) -> std::collections::BTreeMap<ServiceName, V> {
    table.iter().filter(|(service, _)| services.contains(*service)).map(|(service, held)| (service.clone(), held.clone())).collect()
}

fn keep<V: Clone>(table: &std::collections::BTreeMap<String, V>, wanted: impl Fn(&V) -> bool) -> std::collections::BTreeMap<String, V> {
    table.iter().filter(|(_, held)| wanted(held)).map(|(name, held)| (name.clone(), held.clone())).collect()
}
