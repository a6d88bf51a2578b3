//! Validation of a change: all of its faults, each with its path (design 2.2).
//!
//! Paths and texts reach operators and are part of the public interface.

use std::collections::BTreeSet;

use validator::{Validate, ValidationError, ValidationErrors, ValidationErrorsKind};

use crate::Labels;
use crate::desired_state::{DesiredState, Edit, Selector, StandingOrder};

/// Maximum number of edits in one change.
const MAX_EDITS: usize = 256;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Maximum number of labels of a selector or grouping.
const MAX_LABELS: usize = 16;
/// Maximum length of a label value, in bytes.
const MAX_LABEL_BYTES: usize = 63;
/// Maximum length of a route's prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 1_024;
/// Maximum length of a standing order's path prefix, in bytes.
const MAX_PATH_BYTES: usize = 256;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const NAME_RULE: &str = "is 1 to 63 of a-z, 0-9 and '-', not starting with '-'";

/// One fault of an input.
#[derive(
    Clone,
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
pub struct Fault {
    /// The path of the faulty value, such as `edits[1].order.wait_us`.
    pub path: String,
    /// The rule that the value must satisfy, or what is wrong with it.
    #[serde(rename = "fault")]
    pub message: String,
}

fn new_fault(path: impl Into<String>, message: impl Into<String>) -> Fault {
    Fault {
        path: path.into(),
        message: message.into(),
    }
}

pub(crate) fn default_path_prefix() -> String {
    "/".into()
}

pub(crate) fn default_importance() -> u8 {
    5
}

pub(crate) fn default_true() -> bool {
    true
}

fn check_rule(satisfied: bool, rule: &'static str) -> Result<(), ValidationError> {
    if satisfied {
        Ok(())
    } else {
        Err(ValidationError::new("bad").with_message(rule.into()))
    }
}

/// Returns whether a text is a valid name: 1 to 63 characters of `a-z`, `0-9` and `-`, not starting
/// with `-`.
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |character: char| {
        character.is_ascii_lowercase() || character.is_ascii_digit() || character == '-'
    };
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text.chars().all(allowed)
        && !text.starts_with('-')
}

pub(crate) fn validate_name(text: &str) -> Result<(), ValidationError> {
    check_rule(is_valid_name(text), NAME_RULE)
}

pub(crate) fn validate_labels(labels: &Labels) -> Result<(), ValidationError> {
    let mut pairs = labels.iter();
    let valid = labels.len() <= MAX_LABELS
        && pairs.all(|(name, value)| is_valid_name(name) && value.len() <= MAX_LABEL_BYTES);
    check_rule(
        valid,
        "holds at most 16 labels with plain names and values up to 63 bytes",
    )
}

pub(crate) fn validate_methods(methods: &[String]) -> Result<(), ValidationError> {
    let valid = methods
        .iter()
        .all(|method| METHODS.contains(&method.as_str()));
    check_rule(valid, "holds HTTP methods in capitals")
}

pub(crate) fn validate_prefix(prefix: &str) -> Result<(), ValidationError> {
    let valid = prefix.starts_with('/')
        && prefix.ends_with('/')
        && prefix.len() <= MAX_PREFIX_BYTES
        && !prefix.contains(['?', '#', ' ']);
    check_rule(
        valid,
        "begins and ends with '/' and has no '?', '#' or space",
    )
}

pub(crate) fn validate_shares(shares: &[(String, u32)]) -> Result<(), ValidationError> {
    let valid = shares.iter().all(|(service, _)| !service.is_empty())
        && shares.iter().any(|(_, weight)| *weight > 0);
    check_rule(valid, "names services, and not all with weight 0")
}

pub(crate) fn validate_path(path: &str) -> Result<(), ValidationError> {
    let valid =
        path.starts_with('/') && path.len() <= MAX_PATH_BYTES && !path.contains(['?', '#', ' ']);
    check_rule(valid, "starts with '/' and has no '?', '#' or space")
}

/// Converts the errors that `validator` found in a value to faults, with their paths below `path`.
pub fn faults_from_errors(path: &str, errors: &ValidationErrors) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (field, kind) in errors.errors() {
        let path = format!("{path}.{field}");
        match kind {
            ValidationErrorsKind::Field(errors) => {
                faults.extend(errors.iter().map(|error| {
                    new_fault(&path, error.message.as_deref().unwrap_or("is not allowed"))
                }));
            }
            ValidationErrorsKind::Struct(inner) => {
                faults.extend(faults_from_errors(&path, inner));
            }
            ValidationErrorsKind::List(inner) => {
                for (index, inner) in inner {
                    faults.extend(faults_from_errors(&format!("{path}[{index}]"), inner));
                }
            }
        }
    }
    faults
}

/// Returns the faults of a change that can be detected without the current state.
pub fn faults_of_edits(edits: &[Edit]) -> Vec<Fault> {
    let mut faults = faults_of_edit_count(edits.len());
    faults.extend(faults_of_names(edits));
    faults.extend(faults_of_fields(edits));
    faults.extend(faults_of_keyed_orders(edits));
    faults
}

fn faults_of_edit_count(count: usize) -> Vec<Fault> {
    match count {
        0 => vec![new_fault("edits", "holds at least one edit")],
        1..=MAX_EDITS => Vec::new(),
        _ => vec![new_fault("edits", "holds at most 256 edits")],
    }
}

/// Returns the faults of invalid names, then names that are edited twice.
fn faults_of_names(edits: &[Edit]) -> Vec<Fault> {
    let edited: Vec<(&str, &String)> = edits
        .iter()
        .map(|edit| match edit {
            Edit::PutGrouping { name, .. } | Edit::DropGrouping { name } => ("grouping", name),
            Edit::PutOrder { name, .. } | Edit::DropOrder { name } => ("order", name),
        })
        .collect();
    let path = |index: usize| format!("edits[{index}].name");
    let mut faults = Vec::new();
    for (index, (_, name)) in edited.iter().enumerate() {
        if !is_valid_name(name) {
            faults.push(new_fault(path(index), NAME_RULE));
        }
    }
    for (index, (kind, name)) in edited.iter().enumerate() {
        if edited[..index].contains(&(*kind, *name)) {
            let message = format!("the {kind} {name:?} is edited twice in one change");
            faults.push(new_fault(path(index), message));
        }
    }
    faults
}

fn faults_of_fields(edits: &[Edit]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, edit) in edits.iter().enumerate() {
        let (validated, field) = match edit {
            Edit::PutGrouping { grouping, .. } => (grouping.validate(), "grouping"),
            Edit::PutOrder { order, .. } => (order.validate(), "order"),
            Edit::DropGrouping { .. } | Edit::DropOrder { .. } => continue,
        };
        if let Err(errors) = validated {
            faults.extend(faults_from_errors(
                &format!("edits[{index}].{field}"),
                &errors,
            ));
        }
    }
    faults
}

/// Keys are placed over the whole service: a keyed order for only a part of it would have keys that
/// none of the selected backends holds.
fn faults_of_keyed_orders(edits: &[Edit]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, edit) in edits.iter().enumerate() {
        let Edit::PutOrder { order, .. } = edit else {
            continue;
        };
        if !order.keyed {
            continue;
        }
        if !order.selector.labels.is_empty() {
            faults.push(new_fault(
                format!("edits[{index}].order.selector.labels"),
                "a keyed order takes every back end of its service: \
                 make a service of those with these labels",
            ));
        }
        if !order.allow_other_zones {
            faults.push(new_fault(
                format!("edits[{index}].order.leave_zone"),
                "a keyed order follows its key into any zone",
            ));
        }
    }
    faults
}

/// Returns the faults of a change against a state, in a fixed order: every replica that applies the
/// entry gets the same result.
pub fn faults_against(state: &DesiredState, edits: &[Edit]) -> Vec<Fault> {
    let mut faults = BTreeSet::from_iter(faults_of_edits(edits));
    faults.extend(faults_of_absent_names(state, edits));
    faults.extend(faults_of_state(&state.with_edits(edits)));
    faults.into_iter().collect()
}

fn faults_of_absent_names(state: &DesiredState, edits: &[Edit]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, edit) in edits.iter().enumerate() {
        let message = match edit {
            Edit::DropGrouping { name } if !state.groupings.contains_key(name) => {
                format!("there is no grouping {name:?}")
            }
            Edit::DropOrder { name } if !state.orders.contains_key(name) => {
                format!("there is no order {name:?}")
            }
            _ => continue,
        };
        faults.push(new_fault(format!("edits[{index}].name"), message));
    }
    faults
}

fn faults_of_state(state: &DesiredState) -> Vec<Fault> {
    let mut faults = faults_of_unknown_services(state);
    faults.extend(faults_of_conflicting_orders(state));
    faults.extend(faults_of_duplicate_groupings(state));
    faults
}

fn faults_of_unknown_services(state: &DesiredState) -> Vec<Fault> {
    let services = state.services();
    let mut faults = Vec::new();
    for (name, order) in &state.orders {
        let target = &order.selector.service;
        if !services.contains(target.as_str()) {
            let message = format!("no grouping has the service {target:?}");
            faults.push(new_fault(
                format!("orders.{name}.selector.service"),
                message,
            ));
        }
        for (index, client) in order.selector.from.iter().enumerate() {
            if !services.contains(client.as_str()) {
                let message = format!("no grouping has the service {client:?}");
                faults.push(new_fault(
                    format!("orders.{name}.selector.from[{index}]"),
                    message,
                ));
            }
        }
    }
    faults
}

fn faults_of_conflicting_orders(state: &DesiredState) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, (first_name, first)) in state.orders.iter().enumerate() {
        for (second_name, second) in state.orders.iter().skip(index + 1) {
            if selectors_conflict(&first.selector, &second.selector) {
                faults.push(new_fault(
                    format!("orders.{second_name}.selector"),
                    format!(
                        "overlaps the order {first_name:?}: both fit the same requests equally well"
                    ),
                ));
            } else if keyed_settings_differ(first, second) {
                faults.push(new_fault(
                    format!("orders.{second_name}.keyed"),
                    format!(
                        "contradicts the order {first_name:?}: one service's key lanes must agree"
                    ),
                ));
            }
        }
    }
    faults
}

fn faults_of_duplicate_groupings(state: &DesiredState) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, (first_name, first)) in state.groupings.iter().enumerate() {
        for (second_name, second) in state.groupings.iter().skip(index + 1) {
            if first == second {
                let message = format!("says the same as the grouping {first_name:?}");
                faults.push(new_fault(format!("groupings.{second_name}"), message));
            }
        }
    }
    faults
}

/// Returns whether two selectors conflict: one request can match both, and neither is more
/// specific.
fn selectors_conflict(one: &Selector, other: &Selector) -> bool {
    let overlap = |own: &[String], theirs: &[String]| {
        own.is_empty() || theirs.is_empty() || own.iter().any(|item| theirs.contains(item))
    };
    one.service == other.service
        && one.path_prefix == other.path_prefix
        && one.methods.is_empty() == other.methods.is_empty()
        && overlap(&one.from, &other.from)
        && overlap(&one.methods, &other.methods)
}

/// Returns whether two orders have the same service and path but only one of them is keyed.
fn keyed_settings_differ(one: &StandingOrder, other: &StandingOrder) -> bool {
    one.selector.service == other.selector.service
        && one.selector.path_prefix == other.selector.path_prefix
        && one.keyed != other.keyed
}
