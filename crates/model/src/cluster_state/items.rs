//! What operators write item by item, each under a version of its own; the highest holds
//! (design 11.1).
//!
//! Where a type or field has another name outside, `serde` keeps it. Paths and texts of faults are
//! part of the public interface.

use std::collections::BTreeMap;

// `nested` and the derive need the trait in scope.
use validator::Validate as _;

use crate::validation::{self, Fault};
use crate::{Microseconds, ServiceName};

/// The operator's version of an item. It only grows.
pub type ItemVersion = u64;
/// The operator's name for an item; empty for the limits.
pub type ItemName = String;
/// What tells items apart.
pub type ItemKey = (ItemKind, ItemName);

/// What an item is.
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
    /// The [`Limits`]; there is one of them.
    Limits,
}

impl ItemKind {
    /// The name the operators' interface gives this kind, in fault paths and in JSON.
    pub fn public_name(self) -> &'static str {
        match self {
            ItemKind::Route => "lane",
            ItemKind::Service => "service",
            ItemKind::Limits => "limits",
        }
    }
}

/// Where requests of a host and a path prefix go, how long they may wait and how much they matter.
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
    /// What their paths begin with; ends with a slash.
    #[validate(custom(function = "crate::validation::prefix"))]
    pub prefix: String,
    /// May run more than once without harm.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    /// The longest a request may take, in microseconds.
    #[validate(range(
        min = 1,
        max = 600_000_000,
        message = "is from 1 microsecond to ten minutes"
    ))]
    pub wait_us: Microseconds,
    /// An answer within so many microseconds is worth its full value; 0 if not said.
    #[serde(default, rename = "aim_us")]
    pub latency_target_us: Microseconds,
    /// 0 matters most.
    #[serde(default)]
    pub rank: u8,
    /// The most back ends that one attempt may go to.
    #[validate(range(min = 1, max = 16, message = "is from 1 to 16"))]
    pub dispatches: u8,
    /// The services that take the requests, by weight.
    #[validate(
        length(min = 1, max = 32, message = "names 1 to 32 services"),
        custom(function = "crate::validation::shares")
    )]
    pub shares: Vec<(ServiceName, u32)>,
}

/// What holds for all back ends of a service.
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
    /// Connections that one of its back ends takes, over all that call it; 0 if not said.
    #[serde(default, rename = "conns")]
    pub max_connections: u32,
    /// Divided by key: one back end at a time holds each key.
    #[serde(default)]
    pub keyed: bool,
    /// How long the slow start of a new back end lasts, in microseconds.
    #[serde(default, rename = "warm_us")]
    pub slow_start_us: Microseconds,
}

/// Limits of HTTP messages, over all routes.
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
    /// The most bytes of a message's head.
    #[validate(range(min = 256, max = 1_048_576, message = "is from 256 bytes to 1 MiB"))]
    pub header_bytes: u64,
    /// The most bytes of a message's body.
    #[validate(range(max = 1_073_741_824, message = "is at most 1 GiB"))]
    pub body_bytes: u64,
    /// How long the head of a request may take to arrive, in microseconds.
    #[validate(range(
        min = 1,
        max = 600_000_000,
        message = "is from 1 microsecond to ten minutes"
    ))]
    pub header_wait_us: Microseconds,
    /// How long a connection may lie idle, in microseconds.
    #[validate(range(
        min = 1,
        max = 86_400_000_000_u64,
        message = "is from 1 microsecond to a day"
    ))]
    pub idle_us: Microseconds,
}

/// What an item says.
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
    /// Where requests go.
    #[serde(rename = "lane")]
    Route(Route),
    /// What holds for a service.
    Service(Service),
    /// What holds for all messages.
    Limits(Limits),
}

impl ItemBody {
    /// The kind of its item.
    pub fn kind(&self) -> ItemKind {
        match self {
            ItemBody::Route(_) => ItemKind::Route,
            ItemBody::Service(_) => ItemKind::Service,
            ItemBody::Limits(_) => ItemKind::Limits,
        }
    }

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

/// An item as it is stored.
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
    /// Its version.
    pub version: ItemVersion,
    /// What it says; `None` if it was dropped.
    pub body: Option<ItemBody>,
    /// What the operator wrote, kept to be read back as it was sent.
    pub text: String,
}

/// Items by kind and name; dropped ones stay, as their version must be known.
pub type Items = BTreeMap<ItemKey, Item>;

/// One call of an operator. It is accepted whole or not at all, though each of its items has a
/// version of its own.
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
    /// Items to drop, with the version that drops them.
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
    /// Its name.
    pub name: ItemName,
    /// Its new version.
    pub version: ItemVersion,
    /// What it is to say.
    pub body: ItemBody,
    /// What the operator wrote.
    #[serde(default)]
    pub text: String,
}

/// All items of a call, in its order.
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

/// The items of the call that are newer than the present ones.
pub fn newer_items(items: &Items, call: &ItemCall) -> Items {
    let mut newer = Items::new();
    for (key, item) in items_of_call(call) {
        // One name twice in a call: the higher version, like everywhere else.
        let present = newer.get(&key).or_else(|| items.get(&key));
        if present.is_none_or(|present| present.version < item.version) {
            newer.insert(key, item);
        }
    }
    newer
}

/// Every fault of the call, judged by what would stand after it.
pub fn faults(items: &Items, call: &ItemCall) -> Vec<Fault> {
    let after = ItemsAfter {
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
    faults.extend(after.faults_of_equal_routes());
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
    let nameless = kinds.filter(|kind| *kind != ItemKind::Limits);
    nameless
        .map(|kind| new_fault(kind.public_name().into(), "has no name".into()))
        .collect()
}

/// What would stand after a call, and which of it is new.
struct ItemsAfter<'a> {
    items: &'a Items,
    newer: Items,
}

impl ItemsAfter<'_> {
    fn has_service(&self, name: &str) -> bool {
        let key = (ItemKind::Service, name.to_string());
        let item = self.newer.get(&key).or_else(|| self.items.get(&key));
        item.is_some_and(|item| item.body.is_some())
    }

    fn drops_a_service(&self) -> bool {
        let mut newer = self.newer.iter();
        newer.any(|((kind, _), item)| *kind == ItemKind::Service && item.body.is_none())
    }

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

    /// Routes that do not change were valid before; unless a service is dropped they still are.
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

    fn faults_of_equal_routes(&self) -> Vec<Fault> {
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
