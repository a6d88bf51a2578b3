//! Which node of a zone subscribes at a replica and relays to the others of its zone (design 5.9).

use model::state_slice::ServiceSet;
use model::{BackendPhase, Incarnation, NodeName, StateSlice};

#[cfg(test)]
mod tests;

/// The relay of a zone for a set of services, by name and address: of the present nodes beside
/// registered backends of all these services the one with the highest hash.
///
/// Every node that holds the same slice selects the same one. Two nodes with different slices may
/// differ, and nothing depends on it: both relays tell only what is proved.
pub fn select_zone_relay(
    slice: &StateSlice,
    zone: &str,
    services: &ServiceSet,
) -> Option<(NodeName, String)> {
    if services.is_empty() {
        return None;
    }
    let is_beside = |node: &str, service: &str| {
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
        in_zone.filter(|(name, _)| services.iter().all(|service| is_beside(name, service)));
    let selected = eligible.max_by_key(|(name, node)| rank(name, node.incarnation, zone, services));
    selected.map(|(name, node)| (name.clone(), node.address.clone()))
}

/// A rendezvous hash: it does not depend on the other nodes, so few relays move when one goes.
fn rank(node: &str, incarnation: Incarnation, zone: &str, services: &ServiceSet) -> u64 {
    let mut text = format!("{zone}\n{node}\n{incarnation}");
    for service in services {
        text.push('\n');
        text.push_str(service);
    }
    model::leases::stable_hash(&text)
}
