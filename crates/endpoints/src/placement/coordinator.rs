//! Submits placements of a service's keys to the log. The coordinator is a node beside a backend of the service; if it
//! submits none, the next node in order does (design section 11.4). The log accepts a placement only if its base is the
//! current placement, so two concurrent coordinators do no harm.

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

/// Interval between two checks whether a placement is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a backend joining or leaving before the first placement, in microseconds.
const INITIAL_QUIET_PERIOD: Microseconds = 1_300_000;
/// Time for which joining backends are batched, in microseconds; a leaving backend is handled at once.
const QUIET_PERIOD: Microseconds = 300_000;
/// Additional delay of each following node in the coordinator order, in microseconds.
const RANK_DELAY: Microseconds = 700_000;
/// Interval between two load reports, in microseconds.
const LOAD_REPORT_INTERVAL: Microseconds = 1_000_000;
/// Interval between two load reports while requests wait or the backend is unhealthy, in microseconds.
const BUSY_LOAD_REPORT_INTERVAL: Microseconds = 200_000;
/// Maximum number of shard ranges in one load report.
const MAX_REPORTED_RANGES: usize = 24;
/// Timeout for an accepted placement to become visible in the local state of the coordinator.
const VISIBLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The placement coordinator of a node, with the parts that it uses.
pub(crate) struct PlacementCoordinator {
    /// Name of this node.
    pub(crate) node: NodeName,
    /// Service of the backend beside this node.
    pub(crate) service: ServiceName,
    pub(crate) follower: FollowerHandle,
    pub(crate) reporter: StatusReporter,
    /// Supplies the load of the backend beside this node.
    pub(crate) limiter: ConcurrencyLimiter,
    /// Connections for load reports to the coordinating node, if that is another node.
    pub(crate) peers: PeerConnections,
    /// Load reports from other nodes.
    pub(crate) load_receiver: mpsc::Receiver<LoadReport>,
    pub(crate) logger: Logger,
}

/// State that the coordinator keeps between two checks. Times are in microseconds.
#[derive(Default)]
struct CoordinatorState {
    load_reports: LoadReports,
    ejections: EjectionPolicy,
    /// The backends that accept requests, and the time of the last change of this set.
    available: Vec<BackendName>,
    available_since: Microseconds,
    load_reported_at: Microseconds,
    placed_at: Microseconds,
}

impl PlacementCoordinator {
    /// Runs until the runtime shuts down.
    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut state = CoordinatorState::default();
        loop {
            ticks.tick().await;
            let now = model::now();
            while let Ok(report) = self.load_receiver.try_recv() {
                state.load_reports.record(now, report);
            }
            let verified = self.follower.verified_state.load_full();
            let snapshot = &verified.snapshot;
            let service = snapshot.services.get(&self.service);
            if verified.verified_at == 0 || !service.is_some_and(|service| service.keyed) {
                continue;
            }
            self.report_load_if_due(now, snapshot, &mut state).await;
            state.load_reports.expire(now);
            if let Some(planned) = self.due_placement(now, snapshot, &mut state) {
                self.submit(planned, &mut state).await;
            }
        }
    }

    /// Returns the placement that is to be submitted now.
    fn due_placement(
        &self,
        now: Microseconds,
        snapshot: &StateSnapshot,
        state: &mut CoordinatorState,
    ) -> Option<PlannedPlacement> {
        state.observe_backends(now, snapshot, &self.service);
        let rank = coordinator_rank(snapshot, &self.service, &self.node);
        let ejected = state
            .ejections
            .ejected(now, &state.load_reports, state.available.len());
        let since_last = (rank == 0).then(|| now.saturating_sub(state.placed_at));
        let planned = plan_placement(
            snapshot,
            &self.service,
            &state.load_reports,
            &ejected,
            since_last,
        )?;
        let due = state.available_since + quiet_period(&planned) + RANK_DELAY * rank;
        (now >= due).then_some(planned)
    }

    async fn submit(&mut self, planned: PlannedPlacement, state: &mut CoordinatorState) {
        let PlannedPlacement {
            base_placement,
            placement,
            reason,
        } = planned;
        slog::info!(self.logger, "submitting a placement";
            "service" => &self.service, "base_placement" => base_placement,
            "ranges" => placement.len(), "reason" => ?reason);
        let report = ClusterReport::ShardsReassigned {
            service: self.service.clone(),
            base_placement,
            ranges: placement,
        };
        let outcome = self.reporter.report(vec![report]).await;
        state.placed_at = model::now();
        if let Some(Outcome::Accepted { position, .. }) = outcome {
            self.wait_until_visible(position).await;
        }
    }

    /// Waits until the verified state has reached this position, or until the timeout.
    async fn wait_until_visible(&mut self, position: Position) {
        let verified_state = self.follower.verified_state.clone();
        let changes = &mut self.follower.changes;
        let visible = async {
            while verified_state.load().snapshot.position < position
                && changes.changed().await.is_ok()
            {}
        };
        // After a timeout, the log rejects a second placement with the same base.
        drop(tokio::time::timeout(VISIBLE_TIMEOUT, visible).await);
    }

    async fn report_load_if_due(
        &self,
        now: Microseconds,
        snapshot: &StateSnapshot,
        state: &mut CoordinatorState,
    ) {
        if now < state.load_reported_at + BUSY_LOAD_REPORT_INTERVAL {
            return;
        }
        let (_, waiting, unhealthy) = self.limiter.load().await;
        if waiting > 0 || unhealthy || now >= state.load_reported_at + LOAD_REPORT_INTERVAL {
            state.load_reported_at = now;
            self.report_load(snapshot, &mut state.load_reports).await;
        }
    }

    /// Reports the load of the backend beside this node to the coordinating node.
    async fn report_load(&self, snapshot: &StateSnapshot, load_reports: &mut LoadReports) {
        let backends = snapshot.available_backends(&self.service);
        let coordinator = backends
            .iter()
            .max_by_key(|backend| coordinator_weight(&self.service, &backend.node));
        let Some(coordinator) = coordinator else {
            return;
        };
        let local_backend = snapshot
            .backends
            .iter()
            .find(|(_, backend)| backend.node == self.node && backend.service == self.service);
        let Some((name, _)) = local_backend else {
            return;
        };
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

impl CoordinatorState {
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

/// Returns the time for which the set of backends has to be unchanged before this placement, in microseconds.
fn quiet_period(planned: &PlannedPlacement) -> Microseconds {
    match planned.reason {
        _ if planned.base_placement == 0 => INITIAL_QUIET_PERIOD,
        RebalanceReason::WithoutKeys => QUIET_PERIOD,
        RebalanceReason::Orphaned | RebalanceReason::Imbalanced => 0,
    }
}

/// Returns the weight that orders the nodes as coordinators of a service's placement, the greatest first.
fn coordinator_weight(service: &str, node: &str) -> u64 {
    stable_hash(&format!("{service}\n{node}"))
}

/// Returns the number of nodes that precede this node in the coordinator order.
fn coordinator_rank(snapshot: &StateSnapshot, service: &str, node: &str) -> u64 {
    let own_weight = coordinator_weight(service, node);
    let backends = snapshot.available_backends(service);
    let precedes = |other: &str| other != node && coordinator_weight(service, other) > own_weight;
    backends
        .iter()
        .filter(|backend| precedes(&backend.node))
        .count() as u64
}
