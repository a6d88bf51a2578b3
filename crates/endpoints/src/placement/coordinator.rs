//! Puts placements of a service's keys in the log: one node beside a back end of the service does so, the next in
//! order when that one does not (design section 11.4). A placement counts only on top of the one that it was made on,
//! so two coordinators at a time do no harm.

use std::time::Duration;

use control::{FollowerHandle, StatusReporter};
use inbound::ConcurrencyLimiter;
use model::cluster_state::{ClusterReport, StateSnapshot};
use model::leases::stable_hash;
use model::{BackendName, Microseconds, NodeName, Outcome, Position, ServiceName};
use outbound::PeerConnections;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use transport::{Frame, LoadReport};

use super::load::LoadReports;
use super::outliers::EjectionPolicy;
use super::plan::{PlannedPlacement, RebalanceReason, plan_placement};

/// Between two looks at whether a placement is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The first placement waits until no back end has joined or left for so long, in microseconds.
const INITIAL_QUIET_PERIOD: Microseconds = 1_300_000;
/// Back ends that join are gathered for so long, in microseconds; one that leaves is acted on at once.
const QUIET_PERIOD: Microseconds = 300_000;
/// Each next node in order waits so much longer, in microseconds.
const RANK_DELAY: Microseconds = 700_000;
/// Between two load reports, in microseconds.
const LOAD_REPORT_INTERVAL: Microseconds = 1_000_000;
/// The same while requests wait or the back end is unhealthy.
const BUSY_LOAD_REPORT_INTERVAL: Microseconds = 200_000;
/// Ranges of keys in one load report.
const MAX_REPORTED_RANGES: usize = 24;
/// How long the coordinator waits for a placement that it made to be visible here.
const VISIBLE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the coordinator works with.
pub(crate) struct PlacementCoordinator {
    /// The name of this node.
    pub(crate) node: NodeName,
    /// The service of the back end beside this node.
    pub(crate) service: ServiceName,
    pub(crate) follower: FollowerHandle,
    pub(crate) reporter: StatusReporter,
    /// Knows the load of the back end beside this node.
    pub(crate) limiter: ConcurrencyLimiter,
    /// To the node that coordinates, if it is another one.
    pub(crate) peers: PeerConnections,
    /// Load reports from other nodes.
    pub(crate) load_receiver: mpsc::Receiver<LoadReport>,
    pub(crate) logger: Logger,
}

/// What the coordinator remembers between two checks. Times are in microseconds.
#[derive(Default)]
struct Memory {
    load_reports: LoadReports,
    ejections: EjectionPolicy,
    /// The back ends that take requests, and since when they are the same.
    available: Vec<BackendName>,
    available_since: Microseconds,
    load_reported_at: Microseconds,
    placed_at: Microseconds,
}

impl PlacementCoordinator {
    /// Runs until the runtime ends.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut memory = Memory::default();
        loop {
            ticks.tick().await;
            let now = model::now();
            while let Ok(report) = self.load_receiver.try_recv() {
                memory.load_reports.record(now, report);
            }
            let verified = self.follower.verified_state.load_full();
            let snapshot = &verified.snapshot;
            let service = snapshot.services.get(&self.service);
            if verified.verified_at == 0 || !service.is_some_and(|service| service.keyed) {
                continue;
            }
            self.report_load_if_due(now, snapshot, &mut memory).await;
            memory.load_reports.expire(now);
            if let Some(planned) = self.due_placement(now, snapshot, &mut memory) {
                self.submit(planned, &mut memory).await;
            }
        }
    }

    /// The placement that is to be made now.
    fn due_placement(
        &self,
        now: Microseconds,
        snapshot: &StateSnapshot,
        memory: &mut Memory,
    ) -> Option<PlannedPlacement> {
        memory.observe_backends(now, snapshot, &self.service);
        let rank = coordinator_rank(snapshot, &self.service, &self.node);
        let ejected = memory
            .ejections
            .ejected(now, &memory.load_reports, memory.available.len());
        let since_last = (rank == 0).then(|| now.saturating_sub(memory.placed_at));
        let planned = plan_placement(
            snapshot,
            &self.service,
            &memory.load_reports,
            &ejected,
            since_last,
        )?;
        let due = memory.available_since + quiet_period(&planned) + RANK_DELAY * rank;
        (now >= due).then_some(planned)
    }

    async fn submit(&mut self, planned: PlannedPlacement, memory: &mut Memory) {
        let PlannedPlacement {
            base_placement,
            placement,
            reason,
        } = planned;
        slog::info!(self.logger, "submits a placement";
            "service" => &self.service, "base_placement" => base_placement,
            "ranges" => placement.len(), "reason" => ?reason);
        let report = ClusterReport::ShardsReassigned {
            service: self.service.clone(),
            base_placement,
            ranges: placement,
        };
        let outcome = self.reporter.report(vec![report]).await;
        memory.placed_at = model::now();
        if let Some(Outcome::Accepted { position, .. }) = outcome {
            self.wait_until_visible(position).await;
        }
    }

    /// Waits until the state that is verified here has come to this position, or until it is late.
    async fn wait_until_visible(&mut self, position: Position) {
        let verified_state = self.follower.verified_state.clone();
        let changes = &mut self.follower.changes;
        let visible = async {
            while verified_state.load().snapshot.position < position
                && changes.changed().await.is_ok()
            {}
        };
        // If it is late, a second placement on top of the same one is not taken.
        drop(tokio::time::timeout(VISIBLE_TIMEOUT, visible).await);
    }

    async fn report_load_if_due(
        &self,
        now: Microseconds,
        snapshot: &StateSnapshot,
        memory: &mut Memory,
    ) {
        if now < memory.load_reported_at + BUSY_LOAD_REPORT_INTERVAL {
            return;
        }
        let (_, waiting, unhealthy) = self.limiter.load().await;
        if waiting > 0 || unhealthy || now >= memory.load_reported_at + LOAD_REPORT_INTERVAL {
            memory.load_reported_at = now;
            self.report_load(snapshot, &mut memory.load_reports).await;
        }
    }

    /// Reports what the back end beside this node is asked for to the node that coordinates.
    async fn report_load(&self, snapshot: &StateSnapshot, load_reports: &mut LoadReports) {
        let backends = snapshot.available_backends(&self.service);
        let coordinator = backends
            .iter()
            .max_by_key(|backend| coordinator_weight(&self.service, &backend.node));
        let Some(coordinator) = coordinator else {
            return;
        };
        let own = snapshot
            .backends
            .iter()
            .find(|(_, backend)| backend.node == self.node && backend.service == self.service);
        let Some((name, _)) = own else { return };
        let demand = self.limiter.demand(MAX_REPORTED_RANGES).await;
        let Some((slots, (mean_run_time, run_count), demand, demand_samples, unhealthy)) = demand
        else {
            return;
        };
        let report = LoadReport {
            service: self.service.clone(),
            backend: name.clone(),
            slots,
            mean_run_time,
            run_count,
            demand,
            demand_samples,
            unhealthy,
        };
        if coordinator.node == self.node {
            load_reports.record(model::now(), report);
        } else {
            self.peers
                .notify(&coordinator.address, Frame::LoadReport(Box::new(report)));
        }
    }
}

impl Memory {
    fn observe_backends(&mut self, now: Microseconds, snapshot: &StateSnapshot, service: &str) {
        let backends = snapshot.available_backends(service);
        let available: Vec<BackendName> = backends
            .iter()
            .map(|backend| backend.name.clone())
            .collect();
        if self.available != available {
            (self.available, self.available_since) = (available, now);
        }
    }
}

/// How long the set of back ends has to be the same before this placement, in microseconds.
fn quiet_period(planned: &PlannedPlacement) -> Microseconds {
    match planned.reason {
        _ if planned.base_placement == 0 => INITIAL_QUIET_PERIOD,
        RebalanceReason::WithoutKeys => QUIET_PERIOD,
        RebalanceReason::Orphaned | RebalanceReason::Imbalanced => 0,
    }
}

/// Nodes coordinate a service's placement in the order of this number, the greatest first.
fn coordinator_weight(service: &str, node: &str) -> u64 {
    stable_hash(&format!("{service}\n{node}"))
}

/// How many other nodes come before this one in the order of those that may coordinate.
fn coordinator_rank(snapshot: &StateSnapshot, service: &str, node: &str) -> u64 {
    let own = coordinator_weight(service, node);
    let backends = snapshot.available_backends(service);
    let is_before = |other: &str| other != node && coordinator_weight(service, other) > own;
    backends
        .iter()
        .filter(|backend| is_before(&backend.node))
        .count() as u64
}
