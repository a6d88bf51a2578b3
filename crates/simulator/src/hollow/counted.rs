//! Costs computed without connections, for fleets of any size: the size of the cluster state, the updates that
//! followers receive, and the processor time of the pure functions (docs/CAPACITY.md).

use model::cluster_state::{ClusterOperation, ClusterReport, ClusterState, Delta};
use std::collections::BTreeMap;

/// Costs of one event.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Cost {
    /// Entries submitted to the log.
    pub offered: u64,
    /// Entries that changed the cluster state.
    pub entries: u64,
    pub entry_bytes: u64,
    /// Update frames that one follower receives.
    #[serde(rename = "told_frames")]
    pub update_frames: u64,
    #[serde(rename = "told_bytes")]
    pub update_bytes: u64,
    pub placements: u64,
    pub keys_moved: u64,
}

/// Costs of a fleet of one size.
#[derive(Debug, Default, serde::Serialize)]
pub struct CountedCosts {
    pub nodes: usize,
    pub services: usize,
    #[serde(rename = "lanes")]
    pub routes: usize,
    /// Size of the encoded cluster state, in bytes.
    #[serde(rename = "bill_bytes")]
    pub state_bytes: usize,
    /// Size of the frame that sends a follower the whole cluster state, in bytes.
    #[serde(rename = "whole_bytes")]
    pub snapshot_bytes: usize,
    /// Costs by event.
    pub costs: BTreeMap<&'static str, Cost>,
    /// Detection rounds until the log holds all nodes of a partitioned region as absent.
    #[serde(rename = "region_rounds")]
    pub region_detection_rounds: usize,
    /// Nodes outside a partitioned region that its monitors would wrongly report once it is connected again.
    #[serde(rename = "region_wrongly")]
    pub region_false_suspicions: usize,
    /// Mean processor time of one call, in microseconds.
    #[serde(rename = "took")]
    pub call_us: BTreeMap<&'static str, f64>,
}

/// The log's state machine without replicas, with the costs of what was submitted to it.
pub(super) struct LogModel<'a> {
    pub plan: &'a super::Plan,
    pub state: ClusterState,
    sequence: u64,
    pub cost: Cost,
}

/// Returns the size of a frame on a connection, in bytes.
pub(super) fn encoded_length(frame: &transport::Frame) -> u64 {
    // Six bytes precede a frame: its length and the protocol version.
    rkyv::to_bytes::<rkyv::rancor::Error>(frame)
        .map(|bytes| bytes.len() as u64 + 6)
        .unwrap_or(0)
}

/// Returns the frame that sends deltas, or the whole cluster state, to a follower.
pub(super) fn update_frame(is_snapshot: bool, deltas: Vec<Delta>) -> transport::Frame {
    let deltas = rkyv::to_bytes::<rkyv::rancor::Error>(&deltas)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default();
    transport::Frame::ClusterStateUpdate {
        is_snapshot,
        from: 0,
        to: 1,
        deltas,
    }
}

impl LogModel<'_> {
    /// Applies an operation and counts its costs.
    pub(super) fn submit(&mut self, origin: &str, operation: ClusterOperation) {
        self.sequence += 1;
        let entry = model::Entry {
            origin: origin.into(),
            incarnation: 1,
            sequence: self.sequence,
            operation: model::Operation::ClusterState(operation.clone()),
        };
        let entry_bytes = encoded_length(&transport::Frame::ForwardEntry {
            request_id: self.sequence,
            entry: Box::new(entry),
        });
        let before = self.state.placements.clone();
        let (_, deltas) = self.state.apply(origin, 1, self.sequence, operation);
        self.cost.offered += 1;
        self.cost.entry_bytes += entry_bytes;
        if deltas.is_empty() {
            return;
        }
        let empty = (0, model::cluster_state::shard_map::unassigned());
        let moves = self.state.placements.iter().map(|(service, placement)| {
            super::witness::count_moved(&before.get(service).unwrap_or(&empty).1, &placement.1).1
        });
        self.cost.keys_moved += moves.sum::<u64>();
        self.cost.entries += 1;
        self.cost.update_frames += 1;
        self.cost.update_bytes += encoded_length(&update_frame(false, deltas));
    }

    /// Submits reports of a node.
    pub(super) fn report(&mut self, index: usize, reports: Vec<ClusterReport>) {
        self.submit(&format!("n{index}"), ClusterOperation::Reports(reports));
    }

    /// Returns the costs since the previous call and resets them.
    pub(super) fn take_cost(&mut self) -> Cost {
        std::mem::take(&mut self.cost)
    }

    /// Returns the report with which a node registers.
    pub(super) fn node_registered(&self, index: usize, incarnation: u64) -> ClusterReport {
        let replaces = self
            .state
            .nodes
            .get(&format!("n{index}"))
            .map_or(0, |node| node.incarnation);
        ClusterReport::NodeRegistered {
            node: format!("n{index}"),
            zone: self.plan.zone(index),
            address: format!("127.64.{}.{}:40123", index / 250 + 1, index % 250 + 1),
            incarnation,
            replaces,
        }
    }

    /// Returns the report with which a node's backend joins.
    pub(super) fn backend_joined(&self, index: usize, incarnation: u64) -> ClusterReport {
        let phase = model::BackendPhase::Registered;
        let record = model::cluster_state::BackendRecord {
            service: self.plan.service(index),
            zone: self.plan.zone(index),
            node: format!("n{index}"),
            slots: 8,
            phase,
            changed_at: 0,
        };
        ClusterReport::BackendJoined {
            name: super::node::backend_name(index, incarnation),
            backend: record,
        }
    }

    /// Assigns a service's keys to the backends that accept new work, as the rebalancer does.
    pub(super) fn rebalance_service(&mut self, service: usize) {
        if !self.plan.keyed(service) {
            return;
        }
        let name = format!("s{service}");
        let accepts_work = |backend: &model::cluster_state::BackendRecord| {
            backend.phase == model::BackendPhase::Registered
                && self
                    .state
                    .nodes
                    .get(&backend.node)
                    .is_some_and(|node| node.present)
        };
        let available = self
            .state
            .backends
            .iter()
            .filter(|(_, backend)| backend.service == name && accepts_work(backend));
        let capacities: Vec<endpoints::BackendCapacity> = available
            .map(|(name, backend)| (name.clone(), backend.slots as f64))
            .collect();
        let (base, rows) = self
            .state
            .placements
            .get(&name)
            .cloned()
            .unwrap_or((0, model::cluster_state::shard_map::unassigned()));
        if !capacities.is_empty() {
            let rows = endpoints::rebalance(&rows, &[], &capacities, 0.0);
            self.cost.placements += 1;
            self.report(
                service,
                vec![ClusterReport::ShardsReassigned {
                    service: name,
                    base_placement: base,
                    ranges: rows,
                }],
            );
        }
    }

    /// Releases the ranges that their previous holders still owe. Ranges owed by a backend in `lost` cannot be
    /// released; their new holders report that the wait for the release has expired.
    pub(super) fn release_ranges(&mut self, service: usize, lost: &[String]) {
        let (name, through) = (format!("s{service}"), self.state.position);
        let Some((_, rows)) = self.state.placements.get(&name).cloned() else {
            return;
        };
        let pending = rows.iter().flat_map(|row| {
            row.pending_releases
                .iter()
                .map(move |(previous_holder, _)| {
                    (previous_holder.clone(), row.first_key, row.last_key)
                })
        });
        let by_previous_holder = pending.fold(
            BTreeMap::<String, Vec<(u16, u16, String)>>::new(),
            |mut ranges, (previous_holder, from, to)| {
                ranges
                    .entry(previous_holder)
                    .or_default()
                    .push((from, to, "t".into()));
                ranges
            },
        );
        by_previous_holder
            .into_iter()
            .filter(|(previous_holder, _)| !lost.contains(previous_holder))
            .for_each(|(previous_holder, rows)| {
                self.report(
                    service,
                    vec![ClusterReport::ShardsReleased {
                        service: name.clone(),
                        name: previous_holder,
                        known_through: through,
                        ranges: rows,
                    }],
                );
            });
        let rows = self
            .state
            .placements
            .get(&name)
            .map(|placement| placement.1.clone())
            .unwrap_or_default();
        let unreleased = rows
            .iter()
            .filter(|row| !row.pending_releases.is_empty())
            .filter_map(|row| {
                row.holder
                    .clone()
                    .map(|holder| (holder, (row.first_key, row.last_key, row.fencing_token)))
            });
        let by_holder = unreleased.fold(
            BTreeMap::<String, Vec<_>>::new(),
            |mut ranges, (holder, row)| {
                ranges.entry(holder).or_default().push(row);
                ranges
            },
        );
        by_holder.into_values().for_each(|rows| {
            self.report(
                service,
                vec![ClusterReport::ReleasesExpired {
                    service: name.clone(),
                    ranges: rows,
                }],
            )
        });
    }
}

/// Returns the log once all services, routes, nodes and backends are registered and all keys are placed.
pub(super) fn initial_log(plan: &super::Plan) -> LogModel<'_> {
    let mut log = LogModel {
        plan,
        state: ClusterState::default(),
        sequence: 0,
        cost: Cost::default(),
    };
    log.submit("operator", ClusterOperation::Items(plan.initial_items()));
    (0..plan.nodes).for_each(|index| {
        let reports = vec![log.node_registered(index, 1), log.backend_joined(index, 1)];
        log.report(index, reports);
    });
    (0..plan.services).for_each(|service| log.rebalance_service(service));
    log
}

/// Computes the costs of a fleet of the plan's size.
pub fn count(plan: &super::Plan) -> CountedCosts {
    let mut log = initial_log(plan);
    let mut counted = CountedCosts {
        nodes: plan.nodes,
        services: plan.services,
        routes: plan.routes,
        ..Default::default()
    };
    counted.state_bytes = log.state.to_bytes().len();
    counted.snapshot_bytes = encoded_length(&update_frame(true, log.state.full_deltas())) as usize;
    counted.costs.insert("gather", log.take_cost());
    log.submit("operator", ClusterOperation::Items(plan.route_change(0)));
    counted.costs.insert("change", log.take_cost());
    super::events::restart(&mut log, 0);
    counted.costs.insert("restart", log.take_cost());
    let zone: Vec<usize> = (0..plan.nodes)
        .filter(|index| index % plan.zones == 0)
        .collect();
    let region: Vec<usize> = (0..plan.nodes)
        .filter(|index| plan.region(*index) == plan.regions - 1)
        .collect();
    let rack: Vec<usize> = zone.iter().copied().take(16).collect();
    [
        ("machine", "machine back", vec![0]),
        ("rack", "rack back", rack),
        ("zone", "zone back", zone),
        ("region", "region back", region.clone()),
    ]
    .into_iter()
    .filter(|(.., nodes)| nodes.len() < plan.nodes)
    .for_each(|(lost, back, nodes)| {
        super::events::lose_nodes(&mut log, &nodes);
        counted.costs.insert(lost, log.take_cost());
        super::events::return_nodes(&mut log, &nodes, lost == "region");
        counted.costs.insert(back, log.take_cost());
    });
    if plan.regions > 1 {
        (
            counted.region_detection_rounds,
            counted.region_false_suspicions,
        ) = super::events::partition_region(&log, &region);
    }
    counted.call_us = super::events::measure_calls(&log);
    counted
}
