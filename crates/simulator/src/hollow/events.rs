//! Events as the nodes put them in the log, and how long the pure parts of it take a processor.

use super::counted::{Log, bulletin};
use model::cluster_state::{ClusterReport, StateSnapshot};
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

fn services(log: &Log, gone: &[usize]) -> BTreeSet<usize> {
    gone.iter().map(|at| at % log.plan.services).collect()
}

fn watched(log: &Log, at: usize) -> Vec<(usize, ClusterReport)> {
    let node = format!("n{at}");
    let life = log
        .bill
        .nodes
        .get(&node)
        .map(|place| place.incarnation)
        .unwrap_or(0);
    // Who they are does not matter to the count.
    let watchers = (1..=control::failure_detection::ring::MONITORS_PER_NODE
        .min(log.plan.nodes - 1))
        .map(|step| (at + step) % log.plan.nodes);
    watchers
        .map(|watcher| {
            (
                watcher,
                ClusterReport::NodeObserved {
                    observer: format!("n{watcher}"),
                    node: node.clone(),
                    incarnation: life,
                    suspected: true,
                },
            )
        })
        .collect()
}

/// Drains, its keys go and are let go, it signs off; then it comes back under a new life and gets keys again.
pub(super) fn restart(log: &mut Log, at: usize) {
    let (service, name) = (at % log.plan.services, super::node::back_end(at, 1));
    log.report(
        at,
        vec![ClusterReport::BackendDraining { name: name.clone() }],
    );
    log.place(service);
    log.let_go(service, &[]);
    log.report(
        at,
        vec![ClusterReport::BackendEnded {
            name: name.clone(),
            process_gone: false,
        }],
    );
    log.report(
        at,
        vec![ClusterReport::BackendEnded {
            name,
            process_gone: true,
        }],
    );
    let reports = vec![log.node(at, 2), log.joined(at, 2)];
    log.report(at, reports);
    log.place(service);
    log.let_go(service, &[]);
}

pub(super) fn lost(log: &mut Log, gone: &[usize]) {
    let watched: Vec<_> = gone.iter().flat_map(|at| watched(log, *at)).collect();
    watched
        .into_iter()
        .for_each(|(watcher, report)| log.report(watcher, vec![report]));
    let names: Vec<String> = log
        .bill
        .backends
        .iter()
        .filter(|(_, player)| gone.contains(&number(&player.node)))
        .map(|(name, _)| name.clone())
        .collect();
    services(log, gone).into_iter().for_each(|service| {
        log.place(service);
        log.let_go(service, &names);
    });
}

fn number(node: &str) -> usize {
    node[1..].parse().unwrap_or(usize::MAX)
}

/// As new machines, or as the same that were only cut off.
pub(super) fn back(log: &mut Log, gone: &[usize], same: bool) {
    gone.iter().for_each(|at| {
        let life = log
            .bill
            .nodes
            .get(&format!("n{at}"))
            .map(|place| place.incarnation)
            .unwrap_or(1)
            + !same as u64;
        let old: Vec<String> = log
            .bill
            .backends
            .iter()
            .filter(|(_, player)| number(&player.node) == *at)
            .map(|(name, _)| name.clone())
            .collect();
        let ended = old
            .into_iter()
            .filter(|_| !same)
            .map(|name| ClusterReport::BackendEnded {
                name,
                process_gone: true,
            });
        let joined = (!same).then(|| log.joined(*at, life));
        let reports = std::iter::once(log.node(*at, life))
            .chain(joined)
            .chain(ended)
            .collect();
        log.report(*at, reports);
    });
    services(log, gone).into_iter().for_each(|service| {
        log.place(service);
        log.let_go(service, &[]);
    });
}

type Nodes = BTreeMap<String, model::Node>;

fn ring(places: &model::cluster_state::endpoints::NodeRecords) -> Nodes {
    let node = |place: &model::cluster_state::NodeRecord| model::Node {
        zone: place.zone.clone(),
        address: place.address.clone(),
        incarnation: place.incarnation,
        present: place.present,
        suspected_by: Default::default(),
        changed_at: place.changed_at,
    };
    places
        .iter()
        .map(|(name, place)| (name.clone(), node(place)))
        .collect()
}

/// A region that is cut off: looks at the silence until the other side misses all of it, and how many of the other
/// side two watchers inside will have missed by the time they are heard again.
pub(super) fn rounds(log: &Log, region: &[usize]) -> (usize, usize) {
    let mut nodes = ring(&log.bill.nodes);
    let inside: BTreeSet<String> = region.iter().map(|at| format!("n{at}")).collect();
    let by = |nodes: &Nodes, name: &String, of: bool| {
        control::failure_detection::ring::monitors_of(nodes, name)
            .iter()
            .filter(|watcher| inside.contains(*watcher) == of)
            .count()
    };
    let wrongly = nodes
        .keys()
        .filter(|name| !inside.contains(*name) && by(&nodes, name, true) >= 2)
        .count();
    let rounds = (1..=20).find(|_| {
        let suspected: Vec<String> = inside
            .iter()
            .filter(|name| nodes[*name].present && by(&nodes, name, false) >= 2)
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
    (rounds.unwrap_or(20), wrongly)
}

/// Mean processor time of this thread, in microseconds.
fn timed(times: u32, mut work: impl FnMut()) -> f64 {
    let ran = || {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
    };
    let before = ran();
    (0..times).for_each(|_| work());
    (ran() - before) / times as f64
}

pub(super) fn took(log: &Log) -> BTreeMap<&'static str, f64> {
    let (bill, plan) = (&log.bill, log.plan);
    let whole = StateSnapshot::default().updated(true, bill.position, bill.full_deltas());
    let place =
        bill.nodes.iter().next().map(|(name, place)| {
            model::cluster_state::Delta::Node(name.clone(), Some(place.clone()))
        });
    let lane = model::cluster_state::Delta::Item(
        model::cluster_state::ItemKind::Route,
        "l0".into(),
        9,
        plan.change(0).puts.pop().map(|put| put.body),
    );
    let rows = bill
        .placements
        .values()
        .next()
        .map(|held| held.1.clone())
        .unwrap_or_default();
    let parts: Vec<endpoints::BackendCapacity> = rows
        .iter()
        .filter_map(|row| row.holder.clone())
        .map(|name| (name, 8.0))
        .collect();
    let away = bill.nodes.iter().map(|(name, place)| {
        (
            format!("{name}.old"),
            model::cluster_state::NodeRecord {
                present: false,
                ..place.clone()
            },
        )
    });
    let twice = Arc::new(bill.nodes.clone().into_iter().chain(away).collect());
    let (places, mut stand) = (
        Arc::new(bill.nodes.clone()),
        control::failure_detection::ring::RingNeighbours::default(),
    );
    let times = (20_000 / plan.nodes as u32).max(5);
    BTreeMap::from([
        // What a node does twice a second (crates/troupe/src/watch.rs).
        ("ring tick", timed(20_000, || stand.update(&places, "n0"))),
        (
            "ring made",
            timed(times, || {
                control::failure_detection::ring::RingNeighbours::default().update(&places, "n0")
            }),
        ),
        (
            "ring made, twice the names",
            timed(times, || {
                control::failure_detection::ring::RingNeighbours::default().update(&twice, "n0")
            }),
        ),
        (
            "told of a place",
            timed(times, || {
                drop(std::hint::black_box(whole.updated(
                    false,
                    9,
                    place.iter().cloned().collect(),
                )))
            }),
        ),
        (
            "told of a lane",
            timed(times, || {
                drop(std::hint::black_box(whole.updated(
                    false,
                    9,
                    vec![lane.clone()],
                )))
            }),
        ),
        (
            "told the whole",
            timed(5, || {
                drop(std::hint::black_box(StateSnapshot::default().updated(
                    true,
                    9,
                    bill.full_deltas(),
                )))
            }),
        ),
        (
            "whole as bytes",
            timed(5, || {
                drop(std::hint::black_box(bulletin(true, bill.full_deltas())))
            }),
        ),
        (
            "snapshot",
            timed(5, || drop(std::hint::black_box(bill.to_bytes()))),
        ),
        (
            "items judged",
            timed(5, || {
                drop(std::hint::black_box(model::cluster_state::items::faults(
                    &bill.items,
                    &plan.change(0),
                )))
            }),
        ),
        (
            "cast of a service",
            timed(50, || {
                drop(std::hint::black_box(endpoints::rebalance(
                    &rows,
                    &[],
                    &parts,
                    0.0,
                )))
            }),
        ),
    ])
}
