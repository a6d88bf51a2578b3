//! Which node of a zone hears the core for the others (design 5.9).

use model::NodeName;

/// Nodes of the zone beside back ends of all these services, the one with the highest hash first.
/// Everyone who holds the same slice names the same home; its position is the fence.
pub fn home(slice: &model::Slice, zone: &str, services: &model::slice::Services) -> Option<(NodeName, String)> {
    let beside =
        |node: &str, service: &str| slice.back_ends.values().any(|held| held.node == node && held.service == service && held.phase == model::Phase::Registered);
    slice
        .nodes
        .iter()
        .filter(|(name, node)| node.present && node.zone == zone && services.iter().all(|service| beside(name, service)))
        .max_by_key(|(name, node)| weight(name, node.incarnation, zone, services))
        .map(|(name, node)| (name.clone(), node.address.clone()))
        .filter(|_| !services.is_empty())
}

fn weight(name: &str, life: u64, zone: &str, services: &model::slice::Services) -> u64 {
    let text = services.iter().fold(format!("{zone}\n{name}\n{life}"), |text, service| text + "\n" + service);
    model::terms::hash(&text)
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_zone_has_one_home_for_a_service_and_it_is_a_live_one() {
        let mut slice = model::Slice::default();
        (0..4u64).for_each(|at| {
            let node =
                model::Node { zone: "z0".into(), address: format!("127.0.0.1:{at}"), incarnation: at, present: true, reporters: Default::default(), since: 0 };
            slice.nodes.insert(format!("n{at}"), node);
            let back_end = model::BackEnd {
                service: "seat".into(),
                zone: "z0".into(),
                labels: Default::default(),
                slots: 1,
                node: format!("n{at}"),
                incarnation: 1,
                phase: model::Phase::Registered,
                since: 0,
            };
            slice.back_ends.insert(format!("b{at}"), back_end);
        });
        let services = ["seat".to_string()].into_iter().collect();
        let (first, _) = super::home(&slice, "z0", &services).expect("a home");
        assert_eq!(super::home(&slice, "z1", &services), None);
        if let Some(node) = slice.nodes.get_mut(&first) {
            node.present = false;
        }
        let (second, _) = super::home(&slice, "z0", &services).expect("another home");
        assert_ne!(first, second);
    }
}
