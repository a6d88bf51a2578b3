//! What operators write: groupings and standing orders (design 2.1).
//!
//! Where a type or field has another name outside, `serde` keeps it.

use std::collections::{BTreeMap, BTreeSet};

// `nested` needs the trait in scope.
use validator::Validate as _;

use crate::{Labels, Microseconds, Position, ServiceName, ZoneName};

/// Back ends that announce this service and zone and carry these labels belong to it.
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
pub struct Grouping {
    /// The service its back ends serve.
    #[validate(custom(function = "crate::validation::name"))]
    pub service: ServiceName,
    /// The zone its back ends stand in.
    #[validate(custom(function = "crate::validation::name"))]
    pub zone: ZoneName,
    /// Labels that its back ends carry, among others.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::labels"))]
    pub labels: Labels,
}

/// Which requests an order covers. An empty list or map leaves that side open, except `from`:
/// nobody may call a service that no order lets them call.
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
pub struct Selector {
    /// The services whose back ends may send the requests.
    #[validate(length(min = 1, max = 64, message = "names 1 to 64 services"))]
    pub from: Vec<ServiceName>,
    /// The service that is called.
    #[validate(custom(function = "crate::validation::name"))]
    pub service: ServiceName,
    /// HTTP methods in capitals.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::methods"))]
    pub methods: Vec<String>,
    /// Path segments that the path begins with.
    #[serde(default = "crate::validation::any_path")]
    #[validate(custom(function = "crate::validation::path"))]
    pub path_prefix: String,
    /// Only back ends with these labels serve the requests.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::labels"))]
    pub labels: Labels,
}

/// How requests of a selector are handled.
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
#[serde(deny_unknown_fields, expecting = "struct Order")]
pub struct StandingOrder {
    /// The requests it covers.
    #[validate(nested)]
    pub selector: Selector,
    /// The longest a request may take, waiting and running together, in microseconds.
    #[validate(range(
        min = 1_000,
        max = 60_000_000,
        message = "is from 1000 to 60000000 microseconds"
    ))]
    pub wait_us: Microseconds,
    /// 0 gives way first when a back end is overloaded, 9 last.
    #[serde(default = "crate::validation::middle_importance")]
    #[validate(range(max = 9, message = "is from 0 to 9"))]
    pub importance: u8,
    /// May run twice without harm: only then is an attempt repeated that may have run.
    #[serde(default, rename = "repeatable")]
    pub idempotent: bool,
    /// Requests name a key, and one back end at a time holds it.
    #[serde(default)]
    pub keyed: bool,
    /// Requests may go to another zone when their own has no back end.
    #[serde(default = "crate::validation::yes", rename = "leave_zone")]
    pub allow_other_zones: bool,
}

/// All groupings and standing orders, under one version.
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
pub struct DesiredState {
    /// Counts the changes that took effect.
    pub version: Position,
    /// Groupings by name.
    pub groupings: BTreeMap<String, Grouping>,
    /// Standing orders by name.
    pub orders: BTreeMap<String, StandingOrder>,
}

/// One edit of a change.
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
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Edit {
    /// Adds a grouping or replaces the one of this name.
    PutGrouping {
        /// The name of the grouping.
        name: String,
        /// What it is to be.
        grouping: Grouping,
    },
    /// Removes a grouping.
    DropGrouping {
        /// The name of the grouping.
        name: String,
    },
    /// Adds a standing order or replaces the one of this name.
    PutOrder {
        /// The name of the order.
        name: String,
        /// What it is to be.
        order: StandingOrder,
    },
    /// Removes a standing order.
    DropOrder {
        /// The name of the order.
        name: String,
    },
}

/// One atomic change: all of its edits or none, against the version it names.
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
pub struct Change {
    /// The operator's own name for the change; sending it again is harmless.
    pub id: String,
    /// The version of the desired state that the operator saw.
    #[serde(rename = "base")]
    pub base_version: Position,
    /// What is to be changed, in this order.
    pub edits: Vec<Edit>,
}

impl DesiredState {
    /// The state after the edits, of the same version and not yet validated.
    pub fn with_edits(&self, edits: &[Edit]) -> DesiredState {
        let mut state = self.clone();
        for edit in edits.iter().cloned() {
            match edit {
                Edit::PutGrouping { name, grouping } => {
                    state.groupings.insert(name, grouping);
                }
                Edit::DropGrouping { name } => {
                    state.groupings.remove(&name);
                }
                Edit::PutOrder { name, order } => {
                    state.orders.insert(name, order);
                }
                Edit::DropOrder { name } => {
                    state.orders.remove(&name);
                }
            }
        }
        state
    }

    /// The services that some grouping has.
    pub fn services(&self) -> BTreeSet<&str> {
        self.groupings
            .values()
            .map(|grouping| grouping.service.as_str())
            .collect()
    }
}
