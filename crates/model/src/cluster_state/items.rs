//! Items that operators write: routes, services and limits. Each item has its own version, and the
//! highest version wins (design 11.1).
//!
//! Where a type or field has a different public name, a `serde` attribute states it. An item that
//! breaks a rule is rejected with a [`Fault`], whose path and message are part of the public
//! interface.

use std::collections::BTreeMap;

// The calls of `validate` need the trait in scope.
use validator::Validate as _;

use crate::validation::{self, Fault};
use crate::{Microseconds, ServiceName};

/// The version that the operator gives an item. An item is changed only by a higher version.
pub type ItemVersion = u64;
/// The name that the operator gives an item. The limits, of which there is one item, have an empty
/// name.
pub type ItemName = String;
/// The kind and the name of an item, which identify it.
pub type ItemKey = (ItemKind, ItemName);

/// The kind of an item.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
#[serde(rename_all = "snake_case")]
pub enum ItemKind {
    /// A [`Route`].
    #[serde(rename = "lane")]
    Route,
    /// A [`Service`].
    Service,
    /// The [`Limits`], of which there is one item.
    Limits,
}

impl ItemKind {
    /// The name of this kind in the operator API: in fault paths and in JSON.
    pub fn public_name(self) -> &'static str {
        match self {
            ItemKind::Route => "lane",
            ItemKind::Service => "service",
            ItemKind::Limits => "limits",
        }
    }
}

/// A route: where requests with a host and a path prefix are sent, and how.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    validator::Validate,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields, expecting = "struct Lane")]
pub struct Route {
    /// The host of the requests.
    #[validate(length(min = 1, max = 253, message = "names a host of 1 to 253 bytes"))]
    pub host: String,
    /// The path prefix of the requests; ends with a slash.
    #[validate(custom(function = "crate::validation::validate_prefix"))]
    pub prefix: String,
    /// Whether the requests may safely run more than once.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    /// The request timeout, in microseconds.
    #[validate(range(
        min = 1,
        max = 600_000_000,
        message = "is from 1 microsecond to ten minutes"
    ))]
    pub wait_us: Microseconds,
    /// The latency target, in microseconds: requests that can still be answered within it are served
    /// before the others. 0 selects the default target.
    #[serde(default, rename = "aim_us")]
    pub latency_target_us: Microseconds,
    /// The priority of the requests; 0 is the highest.
    #[serde(default)]
    pub rank: u8,
    /// The maximum number of attempts of one request that may reach a backend.
    #[validate(range(min = 1, max = 16, message = "is from 1 to 16"))]
    pub dispatches: u8,
    /// The services that receive the requests, with their relative weights.
    #[validate(
        length(min = 1, max = 32, message = "names 1 to 32 services"),
        custom(function = "crate::validation::validate_shares")
    )]
    pub shares: Vec<(ServiceName, u32)>,
}

/// Settings of all backends of a service.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    validator::Validate,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The path of the health check; empty if there is none.
    #[serde(default)]
    pub health_path: String,
    /// The maximum number of connections to each backend, over all clients; 0 if not set.
    #[serde(default, rename = "conns")]
    pub max_connections: u32,
    /// Whether the service is sharded by key: at any time at most one backend holds a shard key.
    #[serde(default)]
    pub keyed: bool,
    /// The duration of a new backend's slow start, in microseconds.
    #[serde(default, rename = "warm_us")]
    pub slow_start_us: Microseconds,
}

/// Limits of HTTP messages on all routes.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    validator::Validate,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// The maximum size of a message's header section, in bytes.
    #[validate(range(min = 256, max = 1_048_576, message = "is from 256 bytes to 1 MiB"))]
    pub header_bytes: u64,
    /// The maximum size of a message's body, in bytes.
    #[validate(range(max = 1_073_741_824, message = "is at most 1 GiB"))]
    pub body_bytes: u64,
    /// The timeout for receiving the header section of a request, in microseconds.
    #[validate(range(
        min = 1,
        max = 600_000_000,
        message = "is from 1 microsecond to ten minutes"
    ))]
    pub header_wait_us: Microseconds,
    /// The idle timeout of a connection, in microseconds.
    #[validate(range(
        min = 1,
        max = 86_400_000_000_u64,
        message = "is from 1 microsecond to a day"
    ))]
    pub idle_us: Microseconds,
}

/// The content of an item.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ItemBody {
    /// A route.
    #[serde(rename = "lane")]
    Route(Route),
    /// Settings of a service.
    Service(Service),
    /// Limits of all HTTP messages.
    Limits(Limits),
}

impl ItemBody {
    /// The kind of the item with this content.
    pub fn kind(&self) -> ItemKind {
        match self {
            ItemBody::Route(_) => ItemKind::Route,
            ItemBody::Service(_) => ItemKind::Service,
            ItemBody::Limits(_) => ItemKind::Limits,
        }
    }

    /// The faults of the content itself, with their paths below `path`.
    fn faults(&self, path: &str) -> Vec<Fault> {
        let validated = match self {
            ItemBody::Route(route) => route.validate(),
            ItemBody::Service(service) => service.validate(),
            ItemBody::Limits(limits) => limits.validate(),
        };
        match validated {
            Ok(()) => Vec::new(),
            Err(errors) => validation::faults_from_errors(path, &errors),
        }
    }
}

/// An item as stored in the cluster state.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct Item {
    /// The version that wrote or dropped the item.
    pub version: ItemVersion,
    /// The content; `None` if the item was dropped.
    pub body: Option<ItemBody>,
    /// The operator's original text, which queries return unchanged.
    pub text: String,
}

/// Items by kind and name. Dropped items remain without content, so that a late call with a lower
/// version cannot restore them.
pub type Items = BTreeMap<ItemKey, Item>;

/// An operator's request to add, replace and drop items. It is accepted as a whole or not at all,
/// although each item has its own version.
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
#[serde(deny_unknown_fields)]
pub struct ItemCall {
    /// Items to add or to replace.
    #[serde(default)]
    pub puts: Vec<ItemPut>,
    /// Items to drop, each with the version that drops it.
    #[serde(default)]
    pub drops: Vec<(ItemKind, ItemName, ItemVersion)>,
}

/// An item to add or to replace.
#[derive(
    Clone,
    Debug,
    PartialEq,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ItemPut {
    /// The name of the item.
    pub name: ItemName,
    /// The new version.
    pub version: ItemVersion,
    /// The new content.
    pub body: ItemBody,
    /// The operator's original text.
    #[serde(default)]
    pub text: String,
}

/// All items of a call: those to put, then those to drop, each as it would be stored.
pub(crate) fn items_of_call(call: &ItemCall) -> impl Iterator<Item = (ItemKey, Item)> {
    let puts = call.puts.iter().map(|put| {
        let body = Some(put.body.clone());
        let item = Item {
            version: put.version,
            body,
            text: put.text.clone(),
        };
        ((put.body.kind(), put.name.clone()), item)
    });
    let drops = call.drops.iter().map(|(kind, name, version)| {
        (
            (*kind, name.clone()),
            Item {
                version: *version,
                body: None,
                text: String::new(),
            },
        )
    });
    puts.chain(drops)
}

/// The items of the call whose versions are higher than the stored ones.
pub fn newer_items(items: &Items, call: &ItemCall) -> Items {
    let mut newer = Items::new();
    for (key, item) in items_of_call(call) {
        // If the call contains an item twice, the higher version wins here too.
        let current = newer.get(&key).or_else(|| items.get(&key));
        if current.is_none_or(|current| current.version < item.version) {
            newer.insert(key, item);
        }
    }
    newer
}

/// All faults of the call. References between items are checked among the items that would exist
/// after the call.
pub fn faults(items: &Items, call: &ItemCall) -> Vec<Fault> {
    let after = ItemsAfterCall {
        items,
        newer: newer_items(items, call),
    };
    let mut faults = faults_of_missing_names(call);
    for put in &call.puts {
        let path = format!(
            "{}.{}",
            put.body.kind().public_name(),
            put.name.to_lowercase()
        );
        faults.extend(put.body.faults(&path));
    }
    faults.extend(after.faults_of_unknown_services());
    faults.extend(after.faults_of_duplicate_routes());
    faults
}

fn new_fault(path: String, message: String) -> Fault {
    Fault { path, message }
}

fn faults_of_missing_names(call: &ItemCall) -> Vec<Fault> {
    let kinds = call
        .puts
        .iter()
        .filter(|put| put.name.is_empty())
        .map(|put| put.body.kind());
    let without_name = kinds.filter(|kind| *kind != ItemKind::Limits);
    without_name
        .map(|kind| new_fault(kind.public_name().into(), "has no name".into()))
        .collect()
}

/// The items that would exist after a call.
struct ItemsAfterCall<'a> {
    /// The stored items.
    items: &'a Items,
    /// The items of the call that would replace stored ones or be added.
    newer: Items,
}

impl ItemsAfterCall<'_> {
    fn has_service(&self, name: &str) -> bool {
        let key = (ItemKind::Service, name.to_string());
        let item = self.newer.get(&key).or_else(|| self.items.get(&key));
        item.is_some_and(|item| item.body.is_some())
    }

    fn drops_a_service(&self) -> bool {
        let mut newer = self.newer.iter();
        newer.any(|((kind, _), item)| *kind == ItemKind::Service && item.body.is_none())
    }

    /// All routes that would exist after the call.
    fn routes(&self) -> impl Iterator<Item = (&ItemName, &Route)> {
        let unchanged = self
            .items
            .iter()
            .filter(|(key, _)| !self.newer.contains_key(*key));
        unchanged.chain(&self.newer).filter_map(route_of_item)
    }

    fn new_routes(&self) -> impl Iterator<Item = (&ItemName, &Route)> {
        self.newer.iter().filter_map(route_of_item)
    }

    /// The faults of routes to services that would not exist. Unchanged routes are checked only if
    /// the call drops a service; otherwise they are as valid as before.
    fn faults_of_unknown_services(&self) -> Vec<Fault> {
        if self.drops_a_service() {
            self.unknown_services_of(self.routes())
        } else {
            self.unknown_services_of(self.new_routes())
        }
    }

    fn unknown_services_of<'a>(
        &self,
        routes: impl Iterator<Item = (&'a ItemName, &'a Route)>,
    ) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, route) in routes {
            for (service, _) in &route.shares {
                if !self.has_service(service) {
                    let path = format!("lane.{name}.shares");
                    faults.push(new_fault(path, format!("no service {service:?}")));
                }
            }
        }
        faults
    }

    /// The faults of routes that have the same host and prefix as a new route.
    fn faults_of_duplicate_routes(&self) -> Vec<Fault> {
        let new_routes: BTreeMap<(&str, &str), &ItemName> = self
            .new_routes()
            .map(|(name, route)| ((route.host.as_str(), route.prefix.as_str()), name))
            .collect();
        let mut faults = Vec::new();
        for (name, route) in self.routes() {
            let other = new_routes.get(&(route.host.as_str(), route.prefix.as_str()));
            if let Some(other) = other.filter(|other| **other != name) {
                let message = format!("shares host and prefix with {other:?}");
                faults.push(new_fault(format!("lane.{name}"), message));
            }
        }
        faults
    }
}

fn route_of_item<'a>((key, item): (&'a ItemKey, &'a Item)) -> Option<(&'a ItemName, &'a Route)> {
    match (key.0, &item.body) {
        (ItemKind::Route, Some(ItemBody::Route(route))) => Some((&key.1, route)),
        _ => None,
    }
}
