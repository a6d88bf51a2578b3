use super::*;

fn nodes(count: u64) -> Nodes {
    let node = |at| Node {
        zone: "z".into(),
        address: String::new(),
        incarnation: at,
        present: true,
        missed_by: Default::default(),
        changed_at: 0,
    };
    (0..count).map(|at| (format!("n{at}"), node(at))).collect()
}

#[test]
fn every_node_has_monitors_and_no_node_monitors_many() {
    let nodes = nodes(64);
    nodes.keys().for_each(|name| {
        assert_eq!(monitors_of(&nodes, name).len(), MONITORS_PER_NODE);
        let peers = monitored_by(&nodes, name);
        assert_eq!(peers.len(), MONITORS_PER_NODE);
        assert!(
            peers
                .iter()
                .all(|peer| monitors_of(&nodes, &peer.node).contains(name)),
            "both sides name each other"
        );
    });
}

#[test]
fn the_ring_is_computed_only_for_changed_nodes_and_agrees_in_both_directions() {
    let place = |at: u64| NodeRecord {
        zone: "z".into(),
        address: format!("a{at}"),
        incarnation: at,
        present: at % 7 != 3,
        missed_by: Default::default(),
        changed_at: 0,
    };
    [1, 2, 3, 5, 64].into_iter().for_each(|count| {
        let places: NodeRecords = (0..count).map(|at| (format!("n{at}"), place(at))).collect();
        let nodes: Nodes = nodes(count)
            .into_iter()
            .map(|(name, node)| {
                (
                    name,
                    Node {
                        present: node.incarnation % 7 != 3,
                        ..node
                    },
                )
            })
            .collect();
        let places = Arc::new(places);
        places.keys().for_each(|name| {
            let mut stand = RingPosition::default();
            (0..100).for_each(|_| stand.update(&places, name));
            assert_eq!(stand.rebuild_count, 1, "a hundred looks at the same places");
            assert_eq!(
                stand.monitor_addresses,
                monitors_of(&nodes, name)
                    .into_iter()
                    .map(|watcher| places[&watcher].address.clone())
                    .collect()
            );
            assert_eq!(
                stand.monitored_peers,
                monitored_by(&nodes, name).into_iter().collect()
            );
        });
        let mut stand = RingPosition::default();
        let other = Arc::new(NodeRecords::clone(&places));
        [&places, &other, &places]
            .into_iter()
            .for_each(|places| stand.update(places, "n0"));
        assert_eq!(stand.rebuild_count, 3);
    });
}

#[test]
fn silence_is_reported_once_and_withdrawn_but_an_own_pause_blames_nobody() {
    let nodes = nodes(2);
    let mut watch = FailureDetector::default();
    let ticks = |watch: &mut FailureDetector, from: u64, to: u64| -> Vec<EndpointReport> {
        (from..to)
            .step_by(100)
            .flat_map(|now| watch.check_nodes(now, &nodes, "n0", 1_000))
            .collect()
    };
    assert_eq!(ticks(&mut watch, 0, 1_000), vec![]);
    assert_eq!(ticks(&mut watch, 1_000, 3_000).len(), 1);
    watch.heartbeat_received(3_000, "n1", 1);
    let back = ticks(&mut watch, 3_000, 3_500);
    assert!(
        matches!(
            back.as_slice(),
            [EndpointReport::NodeObserved { missed: false, .. }]
        ),
        "{back:?}"
    );
    watch.heartbeat_received(3_500, "n1", 1);
    assert_eq!(watch.check_nodes(9_000, &nodes, "n0", 1_000), vec![]);
}

/// The next nodes on the ring, found by walking it in one direction.
fn walk<'a>(
    ring: impl DoubleEndedIterator<Item = &'a NodeName> + ExactSizeIterator + Clone,
    name: &str,
) -> Vec<NodeName> {
    let others = ring.len().saturating_sub(1);
    let Some(place) = ring.clone().position(|held| held == name) else {
        return Vec::new();
    };
    let next = ring.cycle().skip(place + 1);
    next.take(MONITORS_PER_NODE.min(others)).cloned().collect()
}

#[test]
fn monitors_are_the_next_present_nodes_and_monitored_nodes_the_previous_ones() {
    for count in [0, 1, 2, 3, 4, 5, 64] {
        let mut nodes = nodes(count);
        for node in nodes.values_mut() {
            node.present = node.incarnation % 7 != 3;
        }
        let present = nodes.iter().filter(|(_, node)| node.present);
        let mut ring: Vec<&NodeName> = present.map(|(name, _)| name).collect();
        ring.sort_by_key(|name| (model::leases::stable_hash(name), *name));
        for name in nodes.keys() {
            assert_eq!(monitors_of(&nodes, name), walk(ring.iter().copied(), name));
            let monitored = monitored_by(&nodes, name);
            let monitored: Vec<NodeName> = monitored.into_iter().map(|peer| peer.node).collect();
            assert_eq!(monitored, walk(ring.iter().copied().rev(), name));
        }
    }
}
