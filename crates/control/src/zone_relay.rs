//! Which node of a zone hears the core for the others (design 5.9).

use model::NodeName;

/// Nodes of the zone beside back ends of all these services, the one with the highest hash first.
/// Everyone who holds the same slice names the same home; its position is the fence.
pub fn select_zone_relay(
    slice: &model::StateSlice,
    zone: &str,
    services: &model::state_slice::ServiceSet,
) -> Option<(NodeName, String)> {
    let beside = |node: &str, service: &str| {
        slice.backends.values().any(|held| {
            held.node == node
                && held.service == service
                && held.phase == model::BackendPhase::Registered
        })
    };
    slice
        .nodes
        .iter()
        .filter(|(name, node)| {
            node.present
                && node.zone == zone
                && services.iter().all(|service| beside(name, service))
        })
        .max_by_key(|(name, node)| rank(name, node.incarnation, zone, services))
        .map(|(name, node)| (name.clone(), node.address.clone()))
        .filter(|_| !services.is_empty())
}

fn rank(name: &str, life: u64, zone: &str, services: &model::state_slice::ServiceSet) -> u64 {
    let text = services
        .iter()
        .fold(format!("{zone}\n{name}\n{life}"), |text, service| {
            text + "\n" + service
        });
    model::leases::stable_hash(&text)
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_zone_has_one_home_for_a_service_and_it_is_a_live_one() {
        let mut slice = model::StateSlice::default();
        (0..4u64).for_each(|at| {
            let node = model::Node {
                zone: "z0".into(),
                address: format!("127.0.0.1:{at}"),
                incarnation: at,
                present: true,
                missed_by: Default::default(),
                changed_at: 0,
            };
            slice.nodes.insert(format!("n{at}"), node);
            let back_end = model::Backend {
                service: "seat".into(),
                zone: "z0".into(),
                labels: Default::default(),
                slots: 1,
                node: format!("n{at}"),
                incarnation: 1,
                phase: model::BackendPhase::Registered,
                changed_at: 0,
            };
            slice.backends.insert(format!("b{at}"), back_end);
        });
        let services = ["seat".to_string()].into_iter().collect();
        let (first, _) = super::select_zone_relay(&slice, "z0", &services).expect("a home");
        assert_eq!(
            crate::zone_relay::select_zone_relay(&slice, "z1", &services),
            None
        );
        if let Some(node) = slice.nodes.get_mut(&first) {
            node.present = false;
        }
        let (second, _) = super::select_zone_relay(&slice, "z0", &services).expect("another home");
        assert_ne!(first, second);
    }
}
