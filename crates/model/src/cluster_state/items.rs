//! What operators write item by item, each under a version of its own; the highest holds (design 11.1).

use crate::{Microseconds, ServiceName};
use std::collections::BTreeMap;
// `nested` and the derive need the trait in scope.
use validator::Validate as _;

pub type ItemVersion = u64;
pub type ItemName = String;

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
    #[serde(rename = "lane")]
    Route,
    Service,
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
#[serde(deny_unknown_fields)]
pub struct Route {
    #[validate(length(min = 1, max = 253, message = "names a host of 1 to 253 bytes"))]
    pub host: String,
    #[validate(custom(function = "crate::validation::prefix"))]
    pub prefix: String,
    /// May run more than once without harm.
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    #[validate(range(
        min = 1,
        max = 600_000_000,
        message = "is from 1 microsecond to ten minutes"
    ))]
    pub wait_us: Microseconds,
    /// An answer within it is worth its full value; 0 is not said.
    #[serde(default)]
    #[serde(rename = "aim_us")]
    pub latency_target_us: Microseconds,
    /// 0 matters most.
    #[serde(default)]
    pub rank: u8,
    /// The most back ends one try may go to.
    #[validate(range(min = 1, max = 16, message = "is from 1 to 16"))]
    pub dispatches: u8,
    #[validate(
        length(min = 1, max = 32, message = "names 1 to 32 services"),
        custom(function = "crate::validation::shares")
    )]
    pub shares: Vec<(ServiceName, u32)>,
}

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
    #[serde(default)]
    pub health_path: String,
    /// Conns one of its back ends takes, over all that call it; 0 is not said.
    #[serde(default)]
    #[serde(rename = "conns")]
    pub max_connections: u32,
    /// Divided by key: one back end at a time holds each key.
    #[serde(default)]
    pub keyed: bool,
    #[serde(default)]
    #[serde(rename = "warm_us")]
    pub slow_start_us: Microseconds,
}

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
    #[validate(range(min = 256, max = 1_048_576, message = "is from 256 bytes to 1 MiB"))]
    pub header_bytes: u64,
    #[validate(range(max = 1_073_741_824, message = "is at most 1 GiB"))]
    pub body_bytes: u64,
    #[validate(range(
        min = 1,
        max = 600_000_000,
        message = "is from 1 microsecond to ten minutes"
    ))]
    pub header_wait_us: Microseconds,
    #[validate(range(
        min = 1,
        max = 86_400_000_000_u64,
        message = "is from 1 microsecond to a day"
    ))]
    pub idle_us: Microseconds,
}

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
    #[serde(rename = "lane")]
    Route(Route),
    Service(Service),
    Limits(Limits),
}

impl ItemBody {
    pub fn kind(&self) -> ItemKind {
        match self {
            ItemBody::Route(_) => ItemKind::Route,
            ItemBody::Service(_) => ItemKind::Service,
            ItemBody::Limits(_) => ItemKind::Limits,
        }
    }

    pub(crate) fn faults(&self, path: &str) -> Vec<crate::validation::Fault> {
        let checked = match self {
            ItemBody::Route(lane) => lane.validate(),
            ItemBody::Service(service) => service.validate(),
            ItemBody::Limits(limits) => limits.validate(),
        };
        checked
            .err()
            .map(|errors| crate::validation::faults_from_errors(path, &errors))
            .unwrap_or_default()
    }
}

/// `text` is what the operator wrote, kept to be read back as it was sent; `None` was dropped.
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
    pub version: ItemVersion,
    pub body: Option<ItemBody>,
    pub text: String,
}

pub type Items = BTreeMap<(ItemKind, ItemName), Item>;

/// One call of an operator: whole or not at all, though its items hold each for itself.
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
    #[serde(default)]
    pub puts: Vec<ItemPut>,
    #[serde(default)]
    pub drops: Vec<(ItemKind, ItemName, ItemVersion)>,
}

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
    pub name: ItemName,
    pub version: ItemVersion,
    pub body: ItemBody,
    #[serde(default)]
    pub text: String,
}

/// All items of a call, in its order.
pub(crate) fn items_of_call(call: &ItemCall) -> impl Iterator<Item = ((ItemKind, ItemName), Item)> {
    let puts = call.puts.iter().map(|put| {
        let item = Item {
            version: put.version,
            body: Some(put.body.clone()),
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

/// What of the call is newer than what stands, by key.
pub fn newer_items(items: &Items, call: &ItemCall) -> Items {
    items_of_call(call)
        .filter(|(key, item)| {
            items
                .get(key)
                .is_none_or(|held| held.version < item.version)
        })
        .fold(Items::new(), |mut newer, (key, item)| {
            // One name twice in a call: the higher version, like everywhere else.
            if newer
                .get(&key)
                .is_none_or(|held| held.version < item.version)
            {
                newer.insert(key, item);
            }
            newer
        })
}

/// Every fault of the call, judged by what would stand after it.
pub fn faults(items: &Items, call: &ItemCall) -> Vec<crate::validation::Fault> {
    let fault = |path: String, fault: String| crate::validation::Fault {
        path,
        message: fault,
    };
    let named = call
        .puts
        .iter()
        .filter(|put| put.name.is_empty() && put.body.kind() != ItemKind::Limits);
    let nameless = named.map(|put| {
        fault(
            put.body.kind().public_name().to_string(),
            "has no name".into(),
        )
    });
    let alone = call.puts.iter().flat_map(|put| {
        put.body.faults(&format!(
            "{}.{}",
            put.body.kind().public_name(),
            put.name.to_lowercase()
        ))
    });
    let newer = newer_items(items, call);
    let after = |kind: ItemKind, name: &str| {
        let key = (kind, name.to_string());
        newer
            .get(&key)
            .or_else(|| items.get(&key))
            .is_some_and(|item| item.body.is_some())
    };
    // Lanes that do not change were fine before; without a drop of a service they still are.
    let services_go = newer
        .iter()
        .any(|((kind, _), item)| *kind == ItemKind::Service && item.body.is_none());
    let standing = || {
        items
            .iter()
            .filter(|(key, _)| !newer.contains_key(*key))
            .chain(newer.iter())
    };
    let lanes = |all: bool| {
        let of = standing().filter_map(|((kind, name), item)| match (kind, &item.body) {
            (ItemKind::Route, Some(ItemBody::Route(lane))) => Some((name, lane)),
            _ => None,
        });
        of.filter(|(name, _)| all || newer.contains_key(&(ItemKind::Route, name.to_string())))
            .collect::<Vec<_>>()
    };
    let unknown = lanes(services_go).into_iter().flat_map(|(name, lane)| {
        let missing = lane
            .shares
            .iter()
            .filter(|(service, _)| !after(ItemKind::Service, service));
        missing
            .map(|(service, _)| {
                fault(
                    format!("lane.{name}.shares"),
                    format!("no service {service:?}"),
                )
            })
            .collect::<Vec<_>>()
    });
    let changed: BTreeMap<(&str, &str), &String> = lanes(false)
        .into_iter()
        .map(|(name, lane)| ((lane.host.as_str(), lane.prefix.as_str()), name))
        .collect();
    let twice = lanes(true).into_iter().filter_map(|(name, lane)| {
        let other = changed
            .get(&(lane.host.as_str(), lane.prefix.as_str()))
            .filter(|other| **other != name)?;
        Some(fault(
            format!("lane.{name}"),
            format!("shares host and prefix with {other:?}"),
        ))
    });
    nameless.chain(alone).chain(unknown).chain(twice).collect()
}
