use super::select_zone_relay;

#[test]
fn the_relay_of_a_zone_is_a_present_node_of_that_zone() {
    let mut slice = model::StateSlice::default();
    (0..4u64).for_each(|index| {
        let node = model::Node {
            zone: "z0".into(),
            address: format!("127.0.0.1:{index}"),
            incarnation: index,
            present: true,
            suspected_by: Default::default(),
            changed_at: 0,
        };
        slice.nodes.insert(format!("n{index}"), node);
        let backend = model::Backend {
            service: "seat".into(),
            zone: "z0".into(),
            labels: Default::default(),
            slots: 1,
            node: format!("n{index}"),
            incarnation: 1,
            phase: model::BackendPhase::Registered,
            changed_at: 0,
        };
        slice.backends.insert(format!("b{index}"), backend);
    });
    let services = ["seat".to_string()].into_iter().collect();
    let (first, _) = select_zone_relay(&slice, "z0", &services).expect("a relay");
    assert_eq!(select_zone_relay(&slice, "z1", &services), None);
    if let Some(node) = slice.nodes.get_mut(&first) {
        node.present = false;
    }
    let (second, _) = select_zone_relay(&slice, "z0", &services).expect("another relay");
    assert_ne!(first, second);
}
