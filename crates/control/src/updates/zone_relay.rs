//! Selection of the node of a zone that subscribes at a replica and relays to the other nodes of
//! the zone (design 5.9).

use model::state_slice::ServiceSet;
use model::{BackendPhase, Incarnation, NodeName, StateSlice};

#[cfg(test)]
mod tests;

/// Selects the relay of a zone for a set of services, and returns its name and address. Among the
/// present nodes that have registered backends of all these services, it is the one with the
/// highest hash.
///
/// Nodes that hold the same slice select the same relay. Nodes with different slices may select
/// different ones, which is harmless because every relay forwards only proved state.
pub fn select_zone_relay(
    slice: &StateSlice,
    zone: &str,
    services: &ServiceSet,
) -> Option<(NodeName, String)> {
    if services.is_empty() {
        return None;
    }
    let has_backend = |node: &str, service: &str| {
        let mut backends = slice.backends.values();
        backends.any(|backend| {
            backend.node == node
                && backend.service == service
                && backend.phase == BackendPhase::Registered
        })
    };
    let in_zone = slice
        .nodes
        .iter()
        .filter(|(_, node)| node.present && node.zone == zone);
    let eligible =
        in_zone.filter(|(name, _)| services.iter().all(|service| has_backend(name, service)));
    let selected = eligible.max_by_key(|(name, node)| rank(name, node.incarnation, zone, services));
    selected.map(|(name, node)| (name.clone(), node.address.clone()))
}

/// Returns the rendezvous hash of a node. It does not depend on the other nodes, so the loss of a
/// node moves few relays.
fn rank(node: &str, incarnation: Incarnation, zone: &str, services: &ServiceSet) -> u64 {
    let mut text = format!("{zone}\n{node}\n{incarnation}");
    for service in services {
        text.push('\n');
        text.push_str(service);
    }
    model::leases::stable_hash(&text)
}
