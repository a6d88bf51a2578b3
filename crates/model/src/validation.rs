//! Every fault of a change, each with its path (design 2.2).

use crate::desired_state::{DesiredState, Edit, Selector, StandingOrder};
use std::collections::BTreeSet;

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
    pub path: String,
    #[serde(rename = "fault")]
    pub message: String,
}

fn new_fault(path: impl Into<String>, fault: impl Into<String>) -> Fault {
    Fault {
        path: path.into(),
        message: fault.into(),
    }
}

pub(crate) fn any_path() -> String {
    "/".into()
}

pub(crate) fn middle_importance() -> u8 {
    5
}

pub(crate) fn yes() -> bool {
    true
}

fn validation_error(message: &'static str) -> validator::ValidationError {
    validator::ValidationError::new("bad").with_message(message.into())
}

pub fn is_valid_name(text: &str) -> bool {
    let letters =
        |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '-';
    !text.is_empty() && text.len() <= 63 && text.chars().all(letters) && !text.starts_with('-')
}

pub(crate) fn name(text: &str) -> Result<(), validator::ValidationError> {
    is_valid_name(text)
        .then_some(())
        .ok_or_else(|| validation_error("is 1 to 63 of a-z, 0-9 and '-', not starting with '-'"))
}

pub(crate) fn labels(labels: &crate::Labels) -> Result<(), validator::ValidationError> {
    let fine = labels.len() <= 16
        && labels
            .iter()
            .all(|(name, value)| is_valid_name(name) && value.len() <= 63);
    fine.then_some(()).ok_or_else(|| {
        validation_error("holds at most 16 labels with plain names and values up to 63 bytes")
    })
}

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

pub(crate) fn methods(methods: &[String]) -> Result<(), validator::ValidationError> {
    let fine = methods
        .iter()
        .all(|method| METHODS.contains(&method.as_str()));
    fine.then_some(())
        .ok_or_else(|| validation_error("holds HTTP methods in capitals"))
}

pub(crate) fn prefix(prefix: &str) -> Result<(), validator::ValidationError> {
    let fine = prefix.starts_with('/')
        && prefix.ends_with('/')
        && prefix.len() <= 1_024
        && !prefix.contains(['?', '#', ' ']);
    fine.then_some(())
        .ok_or_else(|| validation_error("begins and ends with '/' and has no '?', '#' or space"))
}

pub(crate) fn shares(shares: &[(String, u32)]) -> Result<(), validator::ValidationError> {
    let fine = shares.iter().all(|(service, _)| !service.is_empty())
        && shares.iter().any(|(_, weight)| *weight > 0);
    fine.then_some(())
        .ok_or_else(|| validation_error("names services, and not all with weight 0"))
}

pub(crate) fn path(path: &str) -> Result<(), validator::ValidationError> {
    let fine = path.starts_with('/') && path.len() <= 256 && !path.contains(['?', '#', ' ']);
    fine.then_some(())
        .ok_or_else(|| validation_error("starts with '/' and has no '?', '#' or space"))
}

pub(crate) fn faults_from_errors(path: &str, errors: &validator::ValidationErrors) -> Vec<Fault> {
    errors
        .errors()
        .iter()
        .flat_map(|(field, kind)| {
            let path = format!("{path}.{field}");
            match kind {
                validator::ValidationErrorsKind::Field(errors) => errors
                    .iter()
                    .map(|error| {
                        new_fault(&path, error.message.as_deref().unwrap_or("is not allowed"))
                    })
                    .collect(),
                validator::ValidationErrorsKind::Struct(inner) => faults_from_errors(&path, inner),
                validator::ValidationErrorsKind::List(inner) => inner
                    .iter()
                    .flat_map(|(at, inner)| faults_from_errors(&format!("{path}[{at}]"), inner))
                    .collect(),
            }
        })
        .collect()
}

/// Faults that can be seen without the current state.
pub fn faults_of_edits(edits: &[Edit]) -> Vec<Fault> {
    let count = match edits.len() {
        0 => vec![new_fault("edits", "holds at least one edit")],
        1..=256 => Vec::new(),
        _ => vec![new_fault("edits", "holds at most 256 edits")],
    };
    let names = edits.iter().enumerate().map(|(at, edit)| match edit {
        Edit::PutGrouping { name, .. } | Edit::DropGrouping { name } => (at, ("grouping", name)),
        Edit::PutOrder { name, .. } | Edit::DropOrder { name } => (at, ("order", name)),
    });
    let bad_names = names
        .clone()
        .filter(|(_, (_, name))| !is_valid_name(name))
        .map(|(at, _)| {
            new_fault(
                format!("edits[{at}].name"),
                "is 1 to 63 of a-z, 0-9 and '-', not starting with '-'",
            )
        });
    let twice = names
        .clone()
        .filter(|(at, what)| {
            names
                .clone()
                .any(|(other, that)| other < *at && that == *what)
        })
        .map(|(at, (kind, name))| {
            new_fault(
                format!("edits[{at}].name"),
                format!("the {kind} {name:?} is edited twice in one change"),
            )
        });
    let fields = edits.iter().enumerate().flat_map(|(at, edit)| {
        let path = format!("edits[{at}]");
        match edit {
            Edit::PutGrouping { grouping, .. } => validator::Validate::validate(grouping)
                .err()
                .map(|errors| faults_from_errors(&format!("{path}.grouping"), &errors)),
            Edit::PutOrder { order, .. } => validator::Validate::validate(order)
                .err()
                .map(|errors| faults_from_errors(&format!("{path}.order"), &errors)),
            _ => None,
        }
        .unwrap_or_default()
    });
    let keyed = edits.iter().enumerate().flat_map(|(at, edit)| match edit {
        Edit::PutOrder { order, .. } if order.keyed => {
            keyed_order_faults(&format!("edits[{at}].order"), order)
        }
        _ => Vec::new(),
    });
    count
        .into_iter()
        .chain(bad_names)
        .chain(twice)
        .chain(fields)
        .chain(keyed)
        .collect()
}

/// Keys are placed over the whole service: an order for a part of it would have keys that nobody it names holds.
fn keyed_order_faults(path: &str, order: &StandingOrder) -> Vec<Fault> {
    let labels = (!order.selector.labels.is_empty())
        .then(|| new_fault(format!("{path}.selector.labels"), "a keyed order takes every back end of its service: make a service of those with these labels"));
    let zone = (!order.allow_other_zones).then(|| {
        new_fault(
            format!("{path}.leave_zone"),
            "a keyed order follows its key into any zone",
        )
    });
    labels.into_iter().chain(zone).collect()
}

/// Faults of the edits against a state: decided alike wherever the entry is applied.
pub fn faults_against(state: &DesiredState, edits: &[Edit]) -> Vec<Fault> {
    let own = faults_of_edits(edits);
    let missing = edits
        .iter()
        .enumerate()
        .filter_map(|(at, edit)| match edit {
            Edit::DropGrouping { name } if !state.groupings.contains_key(name) => Some(new_fault(
                format!("edits[{at}].name"),
                format!("there is no grouping {name:?}"),
            )),
            Edit::DropOrder { name } if !state.orders.contains_key(name) => Some(new_fault(
                format!("edits[{at}].name"),
                format!("there is no order {name:?}"),
            )),
            _ => None,
        });
    let after = state.with_edits(edits);
    own.into_iter()
        .chain(missing)
        .chain(faults_of_state(&after))
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect()
}

fn faults_of_state(state: &DesiredState) -> Vec<Fault> {
    let services = state.services();
    let known = |service: &str| services.contains(service);
    let unknown = state.orders.iter().flat_map(|(name, order)| {
        let target = (!known(&order.selector.service)).then(|| {
            new_fault(
                format!("orders.{name}.selector.service"),
                format!("no grouping has the service {:?}", order.selector.service),
            )
        });
        let senders = order
            .selector
            .from
            .iter()
            .enumerate()
            .filter(|(_, from)| !known(from))
            .map(move |(at, from)| {
                new_fault(
                    format!("orders.{name}.selector.from[{at}]"),
                    format!("no grouping has the service {from:?}"),
                )
            });
        target.into_iter().chain(senders).collect::<Vec<_>>()
    });
    let pairs = state
        .orders
        .iter()
        .enumerate()
        .flat_map(|(at, one)| state.orders.iter().skip(at + 1).map(move |two| (one, two)));
    let clashes = pairs.filter_map(|((one_name, one), (two_name, two))| {
        let path = format!("orders.{two_name}.selector");
        if same_route(&one.selector, &two.selector) {
            Some(new_fault(
                path,
                format!("overlaps the order {one_name:?}: both fit the same requests equally well"),
            ))
        } else if keyed_disagree(one, two) {
            Some(new_fault(
                format!("orders.{two_name}.keyed"),
                format!("contradicts the order {one_name:?}: one service's key lanes must agree"),
            ))
        } else {
            None
        }
    });
    let groupings = state.groupings.iter().enumerate().flat_map(|(at, one)| {
        state
            .groupings
            .iter()
            .skip(at + 1)
            .map(move |two| (one, two))
    });
    let doubles =
        groupings
            .filter(|((_, one), (_, two))| one == two)
            .map(|((one, _), (two, _))| {
                new_fault(
                    format!("groupings.{two}"),
                    format!("says the same as the grouping {one:?}"),
                )
            });
    unknown.chain(clashes).chain(doubles).collect()
}

/// Two orders clash when one request can fit both and neither is the more particular.
fn same_route(one: &Selector, two: &Selector) -> bool {
    let meets = |a: &[String], b: &[String]| {
        a.is_empty() || b.is_empty() || a.iter().any(|item| b.contains(item))
    };
    one.service == two.service
        && one.path_prefix == two.path_prefix
        && one.methods.is_empty() == two.methods.is_empty()
        && meets(&one.from, &two.from)
        && meets(&one.methods, &two.methods)
}

fn keyed_disagree(one: &StandingOrder, two: &StandingOrder) -> bool {
    let same = one.selector.service == two.selector.service
        && one.selector.path_prefix == two.selector.path_prefix;
    same && one.keyed != two.keyed
}
