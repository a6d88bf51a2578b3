//! What operators write: groupings and standing orders (design 2.1).

use crate::{Labels, Position, ServiceName, ZoneName};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
// `nested` needs the trait in scope.
use validator::Validate as _;

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
    #[validate(custom(function = "crate::validation::name"))]
    pub service: ServiceName,
    #[validate(custom(function = "crate::validation::name"))]
    pub zone: ZoneName,
    #[serde(default)]
    #[validate(custom(function = "crate::validation::labels"))]
    pub labels: Labels,
}

/// Which requests an order speaks of. An empty list or map leaves that side open,
/// except `from`: nobody may call a service that no order lets them call.
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
    #[validate(length(min = 1, max = 64, message = "names 1 to 64 services"))]
    pub from: Vec<ServiceName>,
    #[validate(custom(function = "crate::validation::name"))]
    pub service: ServiceName,
    #[serde(default)]
    #[validate(custom(function = "crate::validation::methods"))]
    pub methods: Vec<String>,
    #[serde(default = "crate::validation::any_path")]
    #[validate(custom(function = "crate::validation::path"))]
    pub path_prefix: String,
    /// Only back ends with these labels serve it.
    #[serde(default)]
    #[validate(custom(function = "crate::validation::labels"))]
    pub labels: Labels,
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
pub struct StandingOrder {
    #[validate(nested)]
    pub selector: Selector,
    /// The longest a request may take, waiting and running together.
    #[validate(range(
        min = 1_000,
        max = 60_000_000,
        message = "is from 1000 to 60000000 microseconds"
    ))]
    pub wait_us: crate::Microseconds,
    /// 0 gives way first, 9 last.
    #[serde(default = "crate::validation::middle_importance")]
    #[validate(range(max = 9, message = "is from 0 to 9"))]
    pub importance: u8,
    /// May run twice without harm: only then is a try repeated that may have run.
    #[serde(default)]
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    /// Requests name a key, and one back end at a time holds it.
    #[serde(default)]
    pub keyed: bool,
    /// `true` lets requests leave their zone when it has no back end.
    #[serde(default = "crate::validation::yes")]
    #[serde(rename = "leave_zone")]
    pub allow_other_zones: bool,
}

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
    pub version: Position,
    pub groupings: BTreeMap<String, Grouping>,
    pub orders: BTreeMap<String, StandingOrder>,
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
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Edit {
    PutGrouping { name: String, grouping: Grouping },
    DropGrouping { name: String },
    PutOrder { name: String, order: StandingOrder },
    DropOrder { name: String },
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
    #[serde(rename = "base")]
    pub base_version: Position,
    pub edits: Vec<Edit>,
}

impl DesiredState {
    /// The state after the edits, not yet checked.
    pub fn with_edits(&self, edits: &[Edit]) -> DesiredState {
        edits.iter().cloned().fold(self.clone(), |mut state, edit| {
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
            state
        })
    }

    pub fn services(&self) -> BTreeSet<&str> {
        self.groupings
            .values()
            .map(|grouping| grouping.service.as_str())
            .collect()
    }
}
