//! Counts from the code alone, at any size: what the bill becomes, what followers are told of it and how long the
//! pure parts take, without conns (docs/CAPACITY.md).

use model::cluster_state::{ClusterOperation, ClusterReport, ClusterState, Delta};
use std::collections::BTreeMap;

/// Of one event: entries offered to the log, those that changed the bill, and what one follower hears of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Cost {
    pub offered: u64,
    pub entries: u64,
    pub entry_bytes: u64,
    pub told_frames: u64,
    pub told_bytes: u64,
    pub placements: u64,
    pub keys_moved: u64,
}

#[derive(Debug, Default, serde::Serialize)]
pub struct Counted {
    pub nodes: usize,
    pub services: usize,
    pub lanes: usize,
    pub bill_bytes: usize,
    pub whole_bytes: usize,
    pub costs: BTreeMap<&'static str, Cost>,
    /// Of a region cut off: how often silence is looked at until all are missed, and who is missed wrongly at the join.
    pub region_rounds: usize,
    pub region_wrongly: usize,
    /// Processor time of one call, in microseconds.
    pub took: BTreeMap<&'static str, f64>,
}

pub(super) struct Log<'a> {
    pub plan: &'a super::Plan,
    pub bill: ClusterState,
    sequence: u64,
    pub cost: Cost,
}

pub(super) fn length(frame: &transport::Frame) -> u64 {
    // The length and the version go before a frame.
    rkyv::to_bytes::<rkyv::rancor::Error>(frame)
        .map(|bytes| bytes.len() as u64 + 6)
        .unwrap_or(0)
}

pub(super) fn bulletin(afresh: bool, deltas: Vec<Delta>) -> transport::Frame {
    let deltas = rkyv::to_bytes::<rkyv::rancor::Error>(&deltas)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default();
    transport::Frame::ClusterStateUpdate {
        is_snapshot: afresh,
        from: 0,
        to: 1,
        deltas,
    }
}

impl Log<'_> {
    pub(super) fn put(&mut self, origin: &str, act: ClusterOperation) {
        self.sequence += 1;
        let entry = model::Entry {
            origin: origin.into(),
            incarnation: 1,
            sequence: self.sequence,
            operation: model::Operation::ClusterState(act.clone()),
        };
        let length_of_entry = length(&transport::Frame::ForwardEntry {
            request_id: self.sequence,
            entry: Box::new(entry),
        });
        let before = self.bill.placements.clone();
        let (_, deltas) = self.bill.apply(origin, 1, self.sequence, act);
        self.cost.offered += 1;
        self.cost.entry_bytes += length_of_entry;
        if deltas.is_empty() {
            return;
        }
        let empty = (0, model::cluster_state::shard_map::unassigned());
        let moves = self.bill.placements.iter().map(|(service, held)| {
            super::witness::moved(&before.get(service).unwrap_or(&empty).1, &held.1).1
        });
        self.cost.keys_moved += moves.sum::<u64>();
        self.cost.entries += 1;
        self.cost.told_frames += 1;
        self.cost.told_bytes += length(&bulletin(false, deltas));
    }

    pub(super) fn report(&mut self, at: usize, reports: Vec<ClusterReport>) {
        self.put(&format!("n{at}"), ClusterOperation::Reports(reports));
    }

    /// One place for the costs of what was done since.
    pub(super) fn taken(&mut self) -> Cost {
        std::mem::take(&mut self.cost)
    }

    pub(super) fn node(&self, at: usize, life: u64) -> ClusterReport {
        let replaces = self
            .bill
            .nodes
            .get(&format!("n{at}"))
            .map_or(0, |place| place.incarnation);
        ClusterReport::NodeRegistered {
            node: format!("n{at}"),
            zone: self.plan.zone(at),
            address: format!("127.64.{}.{}:40123", at / 250 + 1, at % 250 + 1),
            incarnation: life,
            replaces,
        }
    }

    pub(super) fn joined(&self, at: usize, life: u64) -> ClusterReport {
        let phase = model::BackendPhase::Registered;
        let player = model::cluster_state::BackendRecord {
            service: self.plan.service(at),
            zone: self.plan.zone(at),
            node: format!("n{at}"),
            slots: 8,
            phase,
            changed_at: 0,
        };
        ClusterReport::BackendJoined {
            name: super::node::back_end(at, life),
            backend: player,
        }
    }

    /// As the duty does it: among back ends that take new work.
    pub(super) fn place(&mut self, service: usize) {
        if !self.plan.keyed(service) {
            return;
        }
        let name = format!("s{service}");
        let working = |player: &model::cluster_state::BackendRecord| {
            player.phase == model::BackendPhase::Registered
                && self
                    .bill
                    .nodes
                    .get(&player.node)
                    .is_some_and(|place| place.present)
        };
        let cast = self
            .bill
            .backends
            .iter()
            .filter(|(_, player)| player.service == name && working(player));
        let parts: Vec<endpoints::BackendCapacity> = cast
            .map(|(name, player)| (name.clone(), player.slots as f64))
            .collect();
        let (base, rows) = self
            .bill
            .placements
            .get(&name)
            .cloned()
            .unwrap_or((0, model::cluster_state::shard_map::unassigned()));
        if !parts.is_empty() {
            let rows = endpoints::rebalance(&rows, &[], &parts, 0.0);
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

    /// Whoever lost rows lets them go; those that nobody can let go are waited out and settled by the new holders.
    pub(super) fn let_go(&mut self, service: usize, gone: &[String]) {
        let (name, through) = (format!("s{service}"), self.bill.position);
        let Some((_, rows)) = self.bill.placements.get(&name).cloned() else {
            return;
        };
        let owed = rows.iter().flat_map(|row| {
            row.pending_releases
                .iter()
                .map(move |(owing, _)| (owing.clone(), row.first_key, row.last_key))
        });
        let by_owing = owed.fold(
            BTreeMap::<String, Vec<(u16, u16, String)>>::new(),
            |mut held, (owing, from, to)| {
                held.entry(owing).or_default().push((from, to, "t".into()));
                held
            },
        );
        by_owing
            .into_iter()
            .filter(|(owing, _)| !gone.contains(owing))
            .for_each(|(owing, rows)| {
                self.report(
                    service,
                    vec![ClusterReport::ShardsReleased {
                        service: name.clone(),
                        name: owing,
                        known_through: through,
                        ranges: rows,
                    }],
                );
            });
        let rows = self
            .bill
            .placements
            .get(&name)
            .map(|held| held.1.clone())
            .unwrap_or_default();
        let settled = rows
            .iter()
            .filter(|row| !row.pending_releases.is_empty())
            .filter_map(|row| {
                row.holder
                    .clone()
                    .map(|holder| (holder, (row.first_key, row.last_key, row.fencing_token)))
            });
        let by_holder = settled.fold(
            BTreeMap::<String, Vec<_>>::new(),
            |mut held, (holder, row)| {
                held.entry(holder).or_default().push(row);
                held
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

/// The whole site as the log holds it once all is placed.
pub(super) fn gathered(plan: &super::Plan) -> Log<'_> {
    let mut log = Log {
        plan,
        bill: ClusterState::default(),
        sequence: 0,
        cost: Cost::default(),
    };
    log.put("operator", ClusterOperation::Items(plan.first_call()));
    (0..plan.nodes).for_each(|at| {
        let reports = vec![log.node(at, 1), log.joined(at, 1)];
        log.report(at, reports);
    });
    (0..plan.services).for_each(|service| log.place(service));
    log
}

pub fn count(plan: &super::Plan) -> Counted {
    let mut log = gathered(plan);
    let mut counted = Counted {
        nodes: plan.nodes,
        services: plan.services,
        lanes: plan.lanes,
        ..Default::default()
    };
    counted.bill_bytes = log.bill.to_bytes().len();
    counted.whole_bytes = length(&bulletin(true, log.bill.full_deltas())) as usize;
    counted.costs.insert("gather", log.taken());
    log.put("operator", ClusterOperation::Items(plan.change(0)));
    counted.costs.insert("change", log.taken());
    super::events::restart(&mut log, 0);
    counted.costs.insert("restart", log.taken());
    let zone: Vec<usize> = (0..plan.nodes).filter(|at| at % plan.zones == 0).collect();
    let region: Vec<usize> = (0..plan.nodes)
        .filter(|at| plan.region(*at) == plan.regions - 1)
        .collect();
    let rack: Vec<usize> = zone.iter().copied().take(16).collect();
    [
        ("machine", "machine back", vec![0]),
        ("rack", "rack back", rack),
        ("zone", "zone back", zone),
        ("region", "region back", region.clone()),
    ]
    .into_iter()
    .filter(|(.., gone)| gone.len() < plan.nodes)
    .for_each(|(lost, back, gone)| {
        super::events::lost(&mut log, &gone);
        counted.costs.insert(lost, log.taken());
        super::events::back(&mut log, &gone, lost == "region");
        counted.costs.insert(back, log.taken());
    });
    if plan.regions > 1 {
        (counted.region_rounds, counted.region_wrongly) = super::events::rounds(&log, &region);
    }
    counted.took = super::events::took(&log);
    counted
}
