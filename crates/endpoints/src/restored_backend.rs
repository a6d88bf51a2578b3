//! Restores the backend beside a restarted node from the log, so that the node forwards requests to the backend from
//! the first cluster state on instead of from the backend's next heartbeat (design section 11.2). Performs no I/O.

#[cfg(test)]
mod tests;

use inbound::{HeldKeys, LocalBackend};
use model::cluster_state::StateSnapshot;
use model::{BackendPhase, Microseconds};

/// Returns the backend that the log has beside `node`, with its `address`, for requests before `until` (in
/// microseconds of the node's clock).
///
/// `None` unless the log has exactly one backend there and that backend accepts new requests. The backend itself
/// rejects requests for another incarnation and for keys that it does not hold.
pub(crate) fn restored_backend(
    snapshot: &StateSnapshot,
    node: &str,
    address: &str,
    until: Microseconds,
) -> Option<LocalBackend> {
    let mut beside_node = snapshot
        .backends
        .iter()
        .filter(|(_, backend)| backend.node == node);
    let (name, backend) = beside_node
        .next()
        .filter(|(_, backend)| backend.phase == BackendPhase::Registered)?;
    if beside_node.next().is_some() {
        return None;
    }
    let keyed = snapshot
        .services
        .get(&backend.service)
        .is_some_and(|service| service.keyed);
    // A range that an earlier holder has not released may never have been granted to this backend.
    let ranges = snapshot
        .placements
        .get(&backend.service)
        .into_iter()
        .flat_map(|placement| &placement.1)
        .filter(|range| range.holder.as_ref() == Some(name) && range.pending_releases.is_empty())
        .map(|range| (range.first_key, range.last_key))
        .collect();
    let held_keys = keyed.then(|| HeldKeys {
        ranges,
        held_until: until,
        pending: Vec::new(),
    });
    Some(LocalBackend {
        name: name.clone(),
        address: address.into(),
        slots: backend.slots,
        drains_at: Some(until),
        held_keys,
    })
}
