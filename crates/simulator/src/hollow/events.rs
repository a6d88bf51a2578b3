//! Events as the nodes report them to the log, and the processor time of the pure functions that handle them.

use super::counted::{LogModel, update_frame};
use model::cluster_state::{ClusterReport, StateSnapshot};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Returns the services whose backends run beside the given nodes.
fn services(log: &LogModel, lost: &[usize]) -> BTreeSet<usize> {
    lost.iter().map(|index| index % log.plan.services).collect()
}

/// Returns the reports with which a node's monitors suspect it, with the index of each monitor.
fn suspicions(log: &LogModel, index: usize) -> Vec<(usize, ClusterReport)> {
    let node = format!("n{index}");
    let incarnation = log
        .state
        .nodes
        .get(&node)
        .map(|node| node.incarnation)
        .unwrap_or(0);
    // The costs do not depend on which nodes are the monitors.
    let monitors = (1..=control::failure_detection::ring::MONITORS_PER_NODE
        .min(log.plan.nodes - 1))
        .map(|step| (index + step) % log.plan.nodes);
    monitors
        .map(|monitor| {
            (
                monitor,
                ClusterReport::NodeObserved {
                    observer: format!("n{monitor}"),
                    node: node.clone(),
                    incarnation,
                    suspected: true,
                },
            )
        })
        .collect()
}

/// A planned restart: the backend drains, its ranges are reassigned and released, and it ends. Then the node and a
/// new backend register under a new incarnation and receive ranges again.
pub(super) fn restart(log: &mut LogModel, index: usize) {
    let (service, name) = (
        index % log.plan.services,
        super::node::backend_name(index, 1),
    );
    log.report(
        index,
        vec![ClusterReport::BackendDraining { name: name.clone() }],
    );
    log.rebalance_service(service);
    log.release_ranges(service, &[]);
    log.report(
        index,
        vec![ClusterReport::BackendEnded {
            name: name.clone(),
            process_gone: false,
        }],
    );
    log.report(
        index,
        vec![ClusterReport::BackendEnded {
            name,
            process_gone: true,
        }],
    );
    let reports = vec![log.node_registered(index, 2), log.backend_joined(index, 2)];
    log.report(index, reports);
    log.rebalance_service(service);
    log.release_ranges(service, &[]);
}

/// The given nodes fail at the same time without notice.
pub(super) fn lose_nodes(log: &mut LogModel, lost: &[usize]) {
    let reports: Vec<_> = lost
        .iter()
        .flat_map(|index| suspicions(log, *index))
        .collect();
    reports
        .into_iter()
        .for_each(|(monitor, report)| log.report(monitor, vec![report]));
    let names: Vec<String> = log
        .state
        .backends
        .iter()
        .filter(|(_, backend)| lost.contains(&node_index(&backend.node)))
        .map(|(name, _)| name.clone())
        .collect();
    services(log, lost).into_iter().for_each(|service| {
        log.rebalance_service(service);
        log.release_ranges(service, &names);
    });
}

/// Returns the index in a node's name.
fn node_index(node: &str) -> usize {
    node[1..].parse().unwrap_or(usize::MAX)
}

/// The given nodes register again: as new processes, or as the same ones after a partition.
pub(super) fn return_nodes(log: &mut LogModel, returning: &[usize], same_process: bool) {
    returning.iter().for_each(|index| {
        let incarnation = log
            .state
            .nodes
            .get(&format!("n{index}"))
            .map(|node| node.incarnation)
            .unwrap_or(1)
            + !same_process as u64;
        let previous: Vec<String> = log
            .state
            .backends
            .iter()
            .filter(|(_, backend)| node_index(&backend.node) == *index)
            .map(|(name, _)| name.clone())
            .collect();
        let ended = previous.into_iter().filter(|_| !same_process).map(|name| {
            ClusterReport::BackendEnded {
                name,
                process_gone: true,
            }
        });
        let joined = (!same_process).then(|| log.backend_joined(*index, incarnation));
        let reports = std::iter::once(log.node_registered(*index, incarnation))
            .chain(joined)
            .chain(ended)
            .collect();
        log.report(*index, reports);
    });
    services(log, returning).into_iter().for_each(|service| {
        log.rebalance_service(service);
        log.release_ranges(service, &[]);
    });
}

type Nodes = BTreeMap<String, model::Node>;

/// Converts the followers' node records to those of the cluster state, which the ring functions take.
fn ring_nodes(records: &model::cluster_state::endpoints::NodeRecords) -> Nodes {
    let convert = |record: &model::cluster_state::NodeRecord| model::Node {
        zone: record.zone.clone(),
        address: record.address.clone(),
        incarnation: record.incarnation,
        present: record.present,
        suspected_by: Default::default(),
        changed_at: record.changed_at,
    };
    records
        .iter()
        .map(|(name, record)| (name.clone(), convert(record)))
        .collect()
}

/// Simulates the partition of a region. Returns the detection rounds until the nodes outside hold all of the region
/// as absent, and the number of nodes outside that at least two monitors inside suspect when the partition ends.
pub(super) fn partition_region(log: &LogModel, region: &[usize]) -> (usize, usize) {
    let mut nodes = ring_nodes(&log.state.nodes);
    let inside: BTreeSet<String> = region.iter().map(|index| format!("n{index}")).collect();
    let monitor_count = |nodes: &Nodes, name: &String, from_inside: bool| {
        control::failure_detection::ring::monitors_of(nodes, name)
            .iter()
            .filter(|monitor| inside.contains(*monitor) == from_inside)
            .count()
    };
    let falsely_suspected = nodes
        .keys()
        .filter(|name| !inside.contains(*name) && monitor_count(&nodes, name, true) >= 2)
        .count();
    let rounds = (1..=20).find(|_| {
        let suspected: Vec<String> = inside
            .iter()
            .filter(|name| nodes[*name].present && monitor_count(&nodes, name, false) >= 2)
            .cloned()
            .collect();
        suspected.iter().for_each(|name| {
            nodes
                .entry(name.clone())
                .or_insert_with(|| unreachable!())
                .present = false
        });
        inside.iter().all(|name| !nodes[name].present) || suspected.is_empty()
    });
    (rounds.unwrap_or(20), falsely_suspected)
}

/// Returns the mean processor time of `call` on this thread, in microseconds.
fn mean_cpu_us(times: u32, mut call: impl FnMut()) -> f64 {
    let cpu_us = || {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
    };
    let before = cpu_us();
    (0..times).for_each(|_| call());
    (cpu_us() - before) / times as f64
}

/// Measures the pure functions on the log's state. The names of the measurements stand in the output.
pub(super) fn measure_calls(log: &LogModel) -> BTreeMap<&'static str, f64> {
    let (state, plan) = (&log.state, log.plan);
    let snapshot = StateSnapshot::default().updated(true, state.position, state.full_deltas());
    let node_delta =
        state.nodes.iter().next().map(|(name, node)| {
            model::cluster_state::Delta::Node(name.clone(), Some(node.clone()))
        });
    let route_delta = model::cluster_state::Delta::Item(
        model::cluster_state::ItemKind::Route,
        "l0".into(),
        9,
        plan.route_change(0).puts.pop().map(|put| put.body),
    );
    let rows = state
        .placements
        .values()
        .next()
        .map(|placement| placement.1.clone())
        .unwrap_or_default();
    let capacities: Vec<endpoints::BackendCapacity> = rows
        .iter()
        .filter_map(|row| row.holder.clone())
        .map(|name| (name, 8.0))
        .collect();
    let absent = state.nodes.iter().map(|(name, node)| {
        (
            format!("{name}.old"),
            model::cluster_state::NodeRecord {
                present: false,
                ..node.clone()
            },
        )
    });
    let doubled = Arc::new(state.nodes.clone().into_iter().chain(absent).collect());
    let (nodes, mut ring) = (
        Arc::new(state.nodes.clone()),
        control::failure_detection::ring::RingNeighbours::default(),
    );
    let times = (20_000 / plan.nodes as u32).max(5);
    BTreeMap::from([
        // A node does this twice a second (crates/endpoints/src/monitor.rs).
        (
            "ring tick",
            mean_cpu_us(20_000, || ring.update(&nodes, "n0")),
        ),
        (
            "ring made",
            mean_cpu_us(times, || {
                control::failure_detection::ring::RingNeighbours::default().update(&nodes, "n0")
            }),
        ),
        (
            "ring made, twice the names",
            mean_cpu_us(times, || {
                control::failure_detection::ring::RingNeighbours::default().update(&doubled, "n0")
            }),
        ),
        (
            "told of a place",
            mean_cpu_us(times, || {
                drop(std::hint::black_box(snapshot.updated(
                    false,
                    9,
                    node_delta.iter().cloned().collect(),
                )))
            }),
        ),
        (
            "told of a lane",
            mean_cpu_us(times, || {
                drop(std::hint::black_box(snapshot.updated(
                    false,
                    9,
                    vec![route_delta.clone()],
                )))
            }),
        ),
        (
            "told the whole",
            mean_cpu_us(5, || {
                drop(std::hint::black_box(StateSnapshot::default().updated(
                    true,
                    9,
                    state.full_deltas(),
                )))
            }),
        ),
        (
            "whole as bytes",
            mean_cpu_us(5, || {
                drop(std::hint::black_box(update_frame(
                    true,
                    state.full_deltas(),
                )))
            }),
        ),
        (
            "snapshot",
            mean_cpu_us(5, || drop(std::hint::black_box(state.to_bytes()))),
        ),
        (
            "items judged",
            mean_cpu_us(5, || {
                drop(std::hint::black_box(model::cluster_state::items::faults(
                    &state.items,
                    &plan.route_change(0),
                )))
            }),
        ),
        (
            "cast of a service",
            mean_cpu_us(50, || {
                drop(std::hint::black_box(endpoints::rebalance(
                    &rows,
                    &[],
                    &capacities,
                    0.0,
                )))
            }),
        ),
    ])
}
