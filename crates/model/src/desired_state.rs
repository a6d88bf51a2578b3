//! The desired state that operators write: groupings and standing orders (design 2.1).
//!
//! Where a type or field has a different public name, a `serde` attribute states it.

use std::collections::{BTreeMap, BTreeSet};

// `nested` needs the trait in scope.
use validator::Validate as _;

use crate::{Labels, Microseconds, Position, ServiceName, ZoneName};

/// A group of backends: those that announce this service and zone and carry these labels.
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
    /// The service that the backends of the grouping serve.
    #[validate(custom(function = "crate::validation::validate_name"))]
    pub service: ServiceName,
    /// The zone of the backends of the grouping.
    #[validate(custom(function = "crate::validation::validate_name"))]
    pub zone: ZoneName,
    /// Labels that the backends of the grouping carry; they may carry others too.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::validate_labels"))]
    pub labels: Labels,
}

/// The requests that an order covers. An empty list or map matches anything, except `from`: only
/// the services that an order names may call a service.
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
    /// The services whose backends may send the requests.
    #[validate(length(min = 1, max = 64, message = "names 1 to 64 services"))]
    pub from: Vec<ServiceName>,
    /// The service that is called.
    #[validate(custom(function = "crate::validation::validate_name"))]
    pub service: ServiceName,
    /// HTTP methods in capitals.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::validate_methods"))]
    pub methods: Vec<String>,
    /// The path segments that the path begins with.
    #[serde(default = "crate::validation::default_path_prefix")]
    #[validate(custom(function = "crate::validation::validate_path"))]
    pub path_prefix: String,
    /// Only backends with these labels serve the requests.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::validate_labels"))]
    pub labels: Labels,
}

/// The handling of the requests that a selector covers.
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
    /// The requests that the order covers.
    #[validate(nested)]
    pub selector: Selector,
    /// The request timeout, including both waiting and running, in microseconds.
    #[validate(range(
        min = 1_000,
        max = 60_000_000,
        message = "is from 1000 to 60000000 microseconds"
    ))]
    pub wait_us: Microseconds,
    /// The importance of the requests when a backend is overloaded: 0 is rejected first, 9 last.
    #[serde(default = "crate::validation::default_importance")]
    #[validate(range(max = 9, message = "is from 0 to 9"))]
    pub importance: u8,
    /// Whether the requests may safely run twice: only then is an attempt that may have run
    /// retried.
    #[serde(default, rename = "repeatable")]
    pub idempotent: bool,
    /// Whether requests name a key, which one backend at a time holds.
    #[serde(default)]
    pub keyed: bool,
    /// Whether requests may be sent to another zone if their own zone has no backend.
    #[serde(default = "crate::validation::default_true", rename = "leave_zone")]
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
    /// The number of changes that took effect.
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
        /// The new value.
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
        /// The new value.
        order: StandingOrder,
    },
    /// Removes a standing order.
    DropOrder {
        /// The name of the order.
        name: String,
    },
}

/// An atomic change: all of its edits or none are applied, on top of its base version.
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
    /// The operator's id for the change. Sending the same change again has no further effect.
    pub id: String,
    /// The version of the desired state on which the operator based the change.
    #[serde(rename = "base")]
    pub base_version: Position,
    /// The edits, in the order in which they are applied.
    pub edits: Vec<Edit>,
}

impl DesiredState {
    /// Returns the state after the edits, with the same version and not yet validated.
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

    /// Returns the services of all groupings.
    pub fn services(&self) -> BTreeSet<&str> {
        self.groupings
            .values()
            .map(|grouping| grouping.service.as_str())
            .collect()
    }
}
