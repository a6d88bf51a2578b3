//! The back end beside a node that has just started, as the log has it: the node gives it requests from the first
//! cluster state on and not only from the back end's next heartbeat (design section 11.2). Without input or output.

#[cfg(test)]
mod tests;

use inbound::{HeldKeys, LocalBackend};
use model::cluster_state::StateSnapshot;
use model::{BackendPhase, Microseconds};

/// The back end that the log has beside `node`, found at `address`, to be given requests before `until` (in
/// microseconds of the node's clock).
///
/// `None` if the log does not have exactly one there, or if that one takes no new requests. The back end itself
/// rejects a request that was meant for another incarnation and a key that it does not hold.
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
    // A range that an earlier holder has not released was perhaps never granted to this one.
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
