//! How each report changes the standing. Repeats and late reports of an earlier life do nothing (design 2.4).

use crate::{
    Backend, BackendPhase, Position, StateMachine, endpoint_status::EndpointReport,
    endpoint_status::Node, leases,
};

/// Signed-off and gone back ends are remembered this long, counted in positions, then forgotten.
const ENDED_KEPT_POSITIONS: Position = 10_000;

/// Why a report does not hold.
#[derive(Debug, PartialEq)]
pub(crate) enum Rejection {
    Refused(String),
    /// The log has a later incarnation than the sender knew.
    Superseded,
}

impl From<String> for Rejection {
    fn from(reason: String) -> Rejection {
        Rejection::Refused(reason)
    }
}

pub(crate) fn apply(
    state: &mut StateMachine,
    report: EndpointReport,
    next: Position,
) -> Result<(), Rejection> {
    match report {
        EndpointReport::NodeRegistered {
            node,
            zone,
            address,
            incarnation,
            replaces,
        } => {
            let held = state.endpoint_status.nodes.get(&node);
            if held
                .is_some_and(|held| held.incarnation != incarnation && held.incarnation != replaces)
            {
                return Err(Rejection::Superseded);
            }
            let same = held.is_some_and(|held| {
                held.incarnation == incarnation && held.present && held.address == address
            });
            if same {
                return Ok(());
            }
            let new_life = held.is_none_or(|held| held.incarnation != incarnation);
            let reporters = Default::default();
            state.endpoint_status.nodes.insert(
                node.clone(),
                Node {
                    zone,
                    address,
                    incarnation,
                    present: true,
                    missed_by: reporters,
                    changed_at: next,
                },
            );
            if new_life {
                presume_backends_gone(state, &node, next);
            }
            Ok(())
        }
        EndpointReport::NodeLeft {
            node,
            incarnation,
            clean,
        } => {
            let current = state
                .endpoint_status
                .nodes
                .get_mut(&node)
                .filter(|held| held.incarnation == incarnation && held.present);
            if let Some(held) = current {
                held.present = false;
                held.changed_at = next;
                presume_backends_gone(state, &node, next);
                if clean {
                    state.release_leases_of_node(&node);
                }
            }
            Ok(())
        }
        EndpointReport::NodeObserved {
            observer: watcher,
            node,
            incarnation,
            missed,
        } => record_observation(state, watcher, node, incarnation, missed, next),
        EndpointReport::BackendRegistered {
            name,
            backend: back_end,
        } => register_backend(state, name, back_end, next),
        EndpointReport::PhaseChanged {
            name,
            incarnation,
            phase,
        } => {
            let current = state
                .endpoint_status
                .backends
                .get_mut(&name)
                .filter(|held| held.incarnation == incarnation);
            let Some(held) = current else { return Ok(()) };
            if phase_rank(phase) > phase_rank(held.phase) {
                held.phase = phase;
                held.changed_at = next;
            }
            Ok(())
        }
        EndpointReport::SlotsChanged {
            name,
            incarnation,
            slots,
        } => {
            let current = state
                .endpoint_status
                .backends
                .get_mut(&name)
                .filter(|held| held.incarnation == incarnation);
            current.into_iter().for_each(|held| held.slots = slots);
            Ok(())
        }
        EndpointReport::LeasesReleased {
            service,
            name,
            incarnation,
            known_through: through,
        } => {
            if let Some(held) = state.leases.get_mut(&service) {
                *held = leases::release(held, &(name, incarnation), through);
            }
            Ok(())
        }
    }
}

/// A life only ever moves on: registered, draining, then one of the two ends.
fn phase_rank(phase: BackendPhase) -> u8 {
    match phase {
        BackendPhase::Registered => 0,
        BackendPhase::Draining => 1,
        BackendPhase::Deregistered | BackendPhase::PresumedGone => 2,
    }
}

fn register_backend(
    state: &mut StateMachine,
    name: String,
    back_end: Backend,
    next: Position,
) -> Result<(), Rejection> {
    if !state.matches_grouping(&back_end) {
        return Err(format!(
            "no grouping fits service {:?} in zone {:?} with these labels",
            back_end.service, back_end.zone
        )
        .into());
    }
    let present = state
        .endpoint_status
        .nodes
        .get(&back_end.node)
        .is_some_and(|node| node.present);
    if !present {
        return Err(format!("the node {:?} is not present", back_end.node).into());
    }
    if let Some(held) = state.endpoint_status.backends.get(&name) {
        if held.incarnation >= back_end.incarnation {
            return if held.incarnation == back_end.incarnation {
                Ok(())
            } else {
                Err(Rejection::Superseded)
            };
        }
        let elsewhere = held.node != back_end.node && phase_rank(held.phase) < 2;
        if elsewhere {
            return Err(
                format!("the name {name:?} is live beside the node {:?}", held.node).into(),
            );
        }
    }
    state.endpoint_status.backends.insert(
        name,
        Backend {
            phase: BackendPhase::Registered,
            changed_at: next,
            ..back_end
        },
    );
    let forgotten = next.saturating_sub(ENDED_KEPT_POSITIONS);
    state
        .endpoint_status
        .backends
        .retain(|_, held| phase_rank(held.phase) < 2 || held.changed_at >= forgotten);
    Ok(())
}

/// A node is presumed gone once two of its watchers miss it, or the only one there is.
fn record_observation(
    state: &mut StateMachine,
    watcher: String,
    node: String,
    incarnation: u64,
    missed: bool,
    next: Position,
) -> Result<(), Rejection> {
    let others = state
        .endpoint_status
        .nodes
        .iter()
        .filter(|(name, held)| **name != node && held.present)
        .count();
    let Some(held) = state
        .endpoint_status
        .nodes
        .get_mut(&node)
        .filter(|held| held.incarnation == incarnation && held.present)
    else {
        return Ok(());
    };
    match missed {
        true => held.missed_by.insert(watcher),
        false => held.missed_by.remove(&watcher),
    };
    if held.missed_by.len() >= others.clamp(1, 2) {
        held.present = false;
        held.missed_by.clear();
        held.changed_at = next;
        presume_backends_gone(state, &node, next);
    }
    Ok(())
}

fn presume_backends_gone(state: &mut StateMachine, node: &str, next: Position) {
    state
        .endpoint_status
        .backends
        .values_mut()
        .filter(|held| held.node == node && phase_rank(held.phase) < 2)
        .for_each(|held| {
            held.phase = BackendPhase::PresumedGone;
            held.changed_at = next;
        });
}
