//! The effect of each report on the endpoint status. Repeated reports and late reports of an
//! earlier incarnation have no effect (design 2.4).

use crate::endpoint_status::{EndpointReport, Node};
use crate::registration::{may_register, required_observers};
use crate::{
    Backend, BackendName, BackendPhase, Incarnation, NodeName, Position, StateMachine, leases,
};

/// Number of positions for which ended backends are retained.
const ENDED_BACKEND_RETENTION_POSITIONS: Position = 10_000;

/// The reason why a report is rejected. The texts reach operators.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum Rejection {
    /// The backend matches no grouping.
    #[error("no grouping fits service {service:?} in zone {zone:?} with these labels")]
    NoGrouping { service: String, zone: String },
    /// The node beside the backend is not present.
    #[error("the node {node:?} is not present")]
    NodeAbsent { node: NodeName },
    /// Another node has a running backend of this name.
    #[error("the name {name:?} is live beside the node {node:?}")]
    NameTaken { name: BackendName, node: NodeName },
    /// The log has a later incarnation than the one that the sender reported.
    #[error("a later incarnation is registered")]
    Superseded,
}

/// Applies a report at position `next`.
pub(crate) fn apply(
    state: &mut StateMachine,
    report: EndpointReport,
    next: Position,
) -> Result<(), Rejection> {
    use EndpointReport::*;
    match report {
        NodeRegistered {
            node,
            zone,
            address,
            incarnation,
            replaces,
        } => {
            let registration = Node::present(zone, address, incarnation, next);
            return register_node(state, node, registration, replaces);
        }
        NodeLeft {
            node,
            incarnation,
            clean,
        } => node_left(state, &node, incarnation, clean, next),
        NodeObserved {
            observer,
            node,
            incarnation,
            suspected,
        } => {
            record_observation(state, observer, &node, incarnation, suspected, next);
        }
        BackendRegistered { name, backend } => return register_backend(state, name, backend, next),
        PhaseChanged {
            name,
            incarnation,
            phase,
        } => {
            if let Some(backend) = registered_backend(state, &name, incarnation) {
                advance_phase(backend, phase, next);
            }
        }
        SlotsChanged {
            name,
            incarnation,
            slots,
        } => {
            if let Some(backend) = registered_backend(state, &name, incarnation) {
                backend.slots = slots;
            }
        }
        LeasesReleased {
            service,
            name,
            incarnation,
            known_through,
        } => {
            if let Some(held) = state.leases.get_mut(&service) {
                *held = leases::release(held, &(name, incarnation), known_through);
            }
        }
    }
    Ok(())
}

fn register_node(
    state: &mut StateMachine,
    name: NodeName,
    registration: Node,
    replaces: Incarnation,
) -> Result<(), Rejection> {
    let current = state.endpoint_status.nodes.get(&name);
    let incarnation = registration.incarnation;
    if !may_register(current.map(|node| node.incarnation), incarnation, replaces) {
        return Err(Rejection::Superseded);
    }
    let known = current.filter(|node| node.incarnation == incarnation);
    if known.is_some_and(|node| node.present && node.address == registration.address) {
        return Ok(());
    }
    let (is_new, position) = (known.is_none(), registration.changed_at);
    state
        .endpoint_status
        .nodes
        .insert(name.clone(), registration);
    if is_new {
        presume_backends_gone(state, &name, position);
    }
    Ok(())
}

fn node_left(
    state: &mut StateMachine,
    name: &str,
    incarnation: Incarnation,
    clean: bool,
    next: Position,
) {
    let Some(node) = present_node(state, name, incarnation) else {
        return;
    };
    node.present = false;
    node.changed_at = next;
    presume_backends_gone(state, name, next);
    if clean {
        state.release_leases_of_node(name);
    }
}

/// Records an observation. A node is presumed gone once enough observers suspect it.
fn record_observation(
    state: &mut StateMachine,
    observer: NodeName,
    name: &str,
    incarnation: Incarnation,
    suspected: bool,
    next: Position,
) {
    let nodes = state.endpoint_status.nodes.iter();
    let others = nodes
        .filter(|(other, node)| *other != name && node.present)
        .count();
    let Some(node) = present_node(state, name, incarnation) else {
        return;
    };
    if suspected {
        node.suspected_by.insert(observer);
    } else {
        node.suspected_by.remove(&observer);
    }
    if node.suspected_by.len() >= required_observers(others) {
        node.present = false;
        node.suspected_by.clear();
        node.changed_at = next;
        presume_backends_gone(state, name, next);
    }
}

fn register_backend(
    state: &mut StateMachine,
    name: BackendName,
    backend: Backend,
    next: Position,
) -> Result<(), Rejection> {
    if !state.matches_grouping(&backend) {
        return Err(Rejection::NoGrouping {
            service: backend.service,
            zone: backend.zone,
        });
    }
    let status = &mut state.endpoint_status;
    if !status
        .nodes
        .get(&backend.node)
        .is_some_and(|node| node.present)
    {
        return Err(Rejection::NodeAbsent { node: backend.node });
    }
    if let Some(current) = status.backends.get(&name) {
        if current.incarnation == backend.incarnation {
            return Ok(());
        }
        if current.incarnation > backend.incarnation {
            return Err(Rejection::Superseded);
        }
        if current.node != backend.node && !has_ended(current) {
            return Err(Rejection::NameTaken {
                name,
                node: current.node.clone(),
            });
        }
    }
    let registered = Backend {
        phase: BackendPhase::Registered,
        changed_at: next,
        ..backend
    };
    status.backends.insert(name, registered);
    let oldest_retained = next.saturating_sub(ENDED_BACKEND_RETENTION_POSITIONS);
    status
        .backends
        .retain(|_, backend| !has_ended(backend) || backend.changed_at >= oldest_retained);
    Ok(())
}

/// Returns the node, if this incarnation is registered and present.
fn present_node<'a>(
    state: &'a mut StateMachine,
    name: &str,
    incarnation: Incarnation,
) -> Option<&'a mut Node> {
    let node = state.endpoint_status.nodes.get_mut(name);
    node.filter(|node| node.incarnation == incarnation && node.present)
}

/// Returns the backend, if this incarnation is registered.
fn registered_backend<'a>(
    state: &'a mut StateMachine,
    name: &str,
    incarnation: Incarnation,
) -> Option<&'a mut Backend> {
    let backend = state.endpoint_status.backends.get_mut(name);
    backend.filter(|backend| backend.incarnation == incarnation)
}

fn advance_phase(backend: &mut Backend, phase: BackendPhase, next: Position) {
    if phase_rank(phase) > phase_rank(backend.phase) {
        backend.phase = phase;
        backend.changed_at = next;
    }
}

/// Returns the rank of a phase: registered, draining, then one of the two final phases. A backend
/// never returns to a phase of lower rank.
fn phase_rank(phase: BackendPhase) -> u8 {
    match phase {
        BackendPhase::Registered => 0,
        BackendPhase::Draining => 1,
        BackendPhase::Deregistered | BackendPhase::PresumedGone => 2,
    }
}

fn has_ended(backend: &Backend) -> bool {
    matches!(
        backend.phase,
        BackendPhase::Deregistered | BackendPhase::PresumedGone
    )
}

fn presume_backends_gone(state: &mut StateMachine, node: &str, next: Position) {
    for backend in state.endpoint_status.backends.values_mut() {
        if backend.node == node && !has_ended(backend) {
            backend.phase = BackendPhase::PresumedGone;
            backend.changed_at = next;
        }
    }
}
