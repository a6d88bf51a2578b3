use super::*;

/// Present nodes `n0`, `n1` and so on. The incarnation of each is its index.
fn nodes(count: u64) -> Nodes {
    let node = |index| Node {
        zone: "z".into(),
        address: String::new(),
        incarnation: index,
        present: true,
        suspected_by: Default::default(),
        changed_at: 0,
    };
    (0..count)
        .map(|index| (format!("n{index}"), node(index)))
        .collect()
}

#[test]
fn each_node_has_as_many_monitors_as_monitored_peers() {
    let nodes = nodes(64);
    nodes.keys().for_each(|name| {
        assert_eq!(monitors_of(&nodes, name).len(), MONITORS_PER_NODE);
        let peers = monitored_by(&nodes, name);
        assert_eq!(peers.len(), MONITORS_PER_NODE);
        assert!(
            peers
                .iter()
                .all(|peer| monitors_of(&nodes, &peer.node).contains(name)),
            "monitors_of and monitored_by disagree"
        );
    });
}

/// `RingNeighbours` recomputes the neighbours only for other node records, and finds the same ones
/// as `monitors_of` and `monitored_by`.
#[test]
fn neighbours_are_recomputed_only_for_changed_node_records() {
    let record = |index: u64| NodeRecord {
        zone: "z".into(),
        address: format!("a{index}"),
        incarnation: index,
        present: index % 7 != 3,
        suspected_by: Default::default(),
        changed_at: 0,
    };
    [1, 2, 3, 5, 64].into_iter().for_each(|count| {
        let records: NodeRecords = (0..count)
            .map(|index| (format!("n{index}"), record(index)))
            .collect();
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
        let records = Arc::new(records);
        records.keys().for_each(|name| {
            let mut neighbours = RingNeighbours::default();
            (0..100).for_each(|_| neighbours.update(&records, name));
            assert_eq!(
                neighbours.rebuild_count, 1,
                "the neighbours were recomputed for unchanged records"
            );
            assert_eq!(
                neighbours.monitor_addresses,
                monitors_of(&nodes, name)
                    .into_iter()
                    .map(|monitor| records[&monitor].address.clone())
                    .collect()
            );
            assert_eq!(
                neighbours.monitored_peers,
                monitored_by(&nodes, name).into_iter().collect()
            );
        });
        let mut neighbours = RingNeighbours::default();
        // Equal records in another allocation count as changed, because only pointers are compared.
        let copy = Arc::new(NodeRecords::clone(&records));
        [&records, &copy, &records]
            .into_iter()
            .for_each(|records| neighbours.update(records, "n0"));
        assert_eq!(neighbours.rebuild_count, 3);
    });
}

/// A silent node is reported as suspected once, and as not suspected when its heartbeats resume. A
/// monitor that was itself suspended for longer than the timeout reports nothing.
#[test]
fn suspicions_are_reported_once_and_withdrawn_and_a_suspended_monitor_suspects_nobody() {
    let nodes = nodes(2);
    let mut detector = FailureDetector::default();
    let check = |detector: &mut FailureDetector, from: u64, to: u64| -> Vec<EndpointReport> {
        (from..to)
            .step_by(100)
            .flat_map(|now| detector.check_nodes(now, &nodes, "n0", 1_000))
            .collect()
    };
    assert_eq!(check(&mut detector, 0, 1_000), vec![]);
    assert_eq!(check(&mut detector, 1_000, 3_000).len(), 1);
    detector.heartbeat_received(3_000, "n1", 1);
    let reports = check(&mut detector, 3_000, 3_500);
    assert!(
        matches!(
            reports.as_slice(),
            [EndpointReport::NodeObserved {
                suspected: false,
                ..
            }]
        ),
        "{reports:?}"
    );
    detector.heartbeat_received(3_500, "n1", 1);
    // The monitor makes no check between 3,400 and 9,000.
    assert_eq!(detector.check_nodes(9_000, &nodes, "n0", 1_000), vec![]);
}

/// The nodes after `name` in the order of `ring`, found by walking the ring node by node.
fn walk_ring<'a>(
    ring: impl DoubleEndedIterator<Item = &'a NodeName> + ExactSizeIterator + Clone,
    name: &str,
) -> Vec<NodeName> {
    let others = ring.len().saturating_sub(1);
    let Some(index) = ring.clone().position(|other| other == name) else {
        return Vec::new();
    };
    let next = ring.cycle().skip(index + 1);
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
            assert_eq!(
                monitors_of(&nodes, name),
                walk_ring(ring.iter().copied(), name)
            );
            let monitored = monitored_by(&nodes, name);
            let monitored: Vec<NodeName> = monitored.into_iter().map(|peer| peer.node).collect();
            assert_eq!(monitored, walk_ring(ring.iter().copied().rev(), name));
        }
    }
}
