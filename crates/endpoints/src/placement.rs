//! The duty of placing a service's keys: one node beside it does it, the next in order when that one does not
//! (design 11.4). What it puts in the log counts only on top of the placement it saw, so two do no harm.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

#[cfg(test)]
mod outlier_simulation;
mod outliers;

use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{BackendName, Microseconds};
use outliers::OutlierDetector;

/// The first placement waits until the cast has been still for so long.
const INITIAL_QUIET_PERIOD: Microseconds = 1_300_000;
/// Back ends that come are gathered for so long; whoever leaves is followed at once.
const QUIET_PERIOD: Microseconds = 300_000;
/// The next in order waits so much longer.
const RANK_DELAY: Microseconds = 700_000;
/// Between two tellings of what is asked for: at rest, and while requests wait; and how long one is believed.
const LOAD_REPORT_INTERVAL: Microseconds = 1_000_000;
const BUSY_LOAD_REPORT_INTERVAL: Microseconds = 200_000;
const LOAD_REPORT_LIFETIME: Microseconds = 3_500_000;
/// A placement for the load alone waits so long after the one before; less where the load is far from even.
const REBALANCE_INTERVAL: Microseconds = 1_000_000;
const URGENT_REBALANCE_INTERVAL: Microseconds = 800_000;
/// How far above its share the busiest may be before keys move for it, if it is busy, and if slots stand free there.
const MAX_BUSY_IMBALANCE: f64 = 0.18;
const MAX_IDLE_IMBALANCE: f64 = 1.0;
const BUSY_UTILIZATION: f64 = 0.6;
/// Of one back end's share so much may still be on its way when keys move for the load again: what is under way is not
/// yet seen in what is told.
const MAX_IN_TRANSIT_SHARE: f64 = 0.02;
/// What is left alone once keys move.
const REBALANCE_TOLERANCE: f64 = 0.05;
/// Requests, over all back ends, that speak of the load.
const MIN_OBSERVED_REQUESTS: f64 = 40.0;
/// What the mean of all counts beside a back end's own runs.
const MEAN_RUN_TIME_WEIGHT: f64 = 12.0;
/// What an ill one is given of what it could do.
const EJECTED_CAPACITY_SHARE: f64 = 0.1;
/// Stripes of the first placement.
const INITIAL_STRIPES: u32 = 8;
/// Ranges in one telling.
const MAX_REPORTED_RANGES: usize = 24;

pub struct PlacementCoordinator {
    pub node: String,
    pub service: String,
    pub follower: control::FollowerHandle,
    pub reports: control::StatusReporter,
    pub limiter: inbound::ConcurrencyLimiter,
    pub peers: outbound::PeerConnections,
    pub load_receiver: tokio::sync::mpsc::Receiver<transport::LoadReport>,
    pub logger: slog::Logger,
}

/// Latest word of each back end.
type LoadReports = BTreeMap<BackendName, (Microseconds, transport::LoadReport)>;

impl PlacementCoordinator {
    pub async fn run(mut self) {
        let mut every = tokio::time::interval(Duration::from_millis(100));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut since: (Vec<BackendName>, Microseconds) = Default::default();
        let mut told = LoadReports::new();
        let (mut told_at, mut placed, mut ills) = (0, 0, OutlierDetector::default());
        loop {
            every.tick().await;
            let now = model::now();
            while let Ok(load) = self.load_receiver.try_recv() {
                told.insert(load.backend.clone(), (now, load));
            }
            let outlook = self.follower.verified_state.load_full();
            let programme = &outlook.snapshot;
            let keyed = programme
                .services
                .get(&self.service)
                .is_some_and(|service| service.keyed);
            if outlook.verified_at == 0 || !keyed {
                continue;
            }
            let (_, waiting, ill) = if now >= told_at + BUSY_LOAD_REPORT_INTERVAL {
                self.limiter.load().await
            } else {
                Default::default()
            };
            let waits = waiting > 0 || ill;
            if waits || now >= told_at + LOAD_REPORT_INTERVAL {
                told_at = now;
                self.report_load(programme, &mut told).await;
            }
            told.retain(|_, (at, _)| now < *at + LOAD_REPORT_LIFETIME);
            let cast: Vec<BackendName> = programme
                .available_backends(&self.service)
                .iter()
                .map(|one| one.name.clone())
                .collect();
            if since.0 != cast {
                since = (cast, now);
            }
            let rank = coordinator_rank(programme, &self.service, &self.node);
            let ill = ills.ejected(now, &told, since.0.len());
            let Some((base, rows, why)) = plan_placement(
                programme,
                &self.service,
                &told,
                &ill,
                (rank == 0).then(|| now.saturating_sub(placed)),
            ) else {
                continue;
            };
            let quiet = match why {
                _ if base == 0 => INITIAL_QUIET_PERIOD,
                RebalanceReason::Orphaned => 0,
                RebalanceReason::WithoutKeys => QUIET_PERIOD,
                RebalanceReason::Imbalanced => 0,
            };
            if now < since.1 + quiet + RANK_DELAY * rank {
                continue;
            }
            slog::info!(self.logger, "places keys"; "service" => &self.service, "base" => base, "rows" => rows.len(), "why" => ?why);
            let outcome = self
                .reports
                .report(vec![ClusterReport::ShardsReassigned {
                    service: self.service.clone(),
                    base_placement: base,
                    ranges: rows,
                }])
                .await;
            placed = model::now();
            if let Some(model::Outcome::Accepted { position, .. }) = outcome {
                self.wait_until_visible(position).await;
            }
        }
    }

    /// Waits until the news of what was put in the log is here, or is late.
    async fn wait_until_visible(&mut self, position: model::Position) {
        let outlook = self.follower.verified_state.clone();
        let moved = &mut self.follower.changes;
        let here = async {
            while outlook.load().snapshot.position < position && moved.changed().await.is_ok() {}
        };
        drop(tokio::time::timeout(Duration::from_secs(1), here).await);
    }

    /// What the back end beside this node is asked for, told to whoever has the duty.
    async fn report_load(&self, programme: &StateSnapshot, told: &mut LoadReports) {
        let cast = programme.available_backends(&self.service);
        let weight = |name: &str| model::leases::stable_hash(&format!("{}\n{name}", self.service));
        let Some(first) = cast.iter().max_by_key(|one| weight(&one.node)) else {
            return;
        };
        let Some(own) = programme
            .backends
            .iter()
            .find(|(_, player)| player.node == self.node && player.service == self.service)
        else {
            return;
        };
        let Some((slots, (run, runs), asked, seen, ill)) =
            self.limiter.demand(MAX_REPORTED_RANGES).await
        else {
            return;
        };
        let load = transport::LoadReport {
            service: self.service.clone(),
            backend: own.0.clone(),
            slots,
            mean_run_time: run,
            run_count: runs,
            demand: asked,
            demand_samples: seen,
            unhealthy: ill,
        };
        if first.node == self.node {
            told.insert(own.0.clone(), (model::now(), load));
        } else {
            self.peers
                .notify(&first.address, transport::Frame::LoadReport(Box::new(load)));
        }
    }
}

/// This node's place in the order of those that may do it.
fn coordinator_rank(programme: &StateSnapshot, service: &str, node: &str) -> u64 {
    let weight = |name: &str| model::leases::stable_hash(&format!("{service}\n{name}"));
    let own = weight(node);
    programme
        .available_backends(service)
        .iter()
        .filter(|one| one.node != node && weight(&one.node) > own)
        .count() as u64
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RebalanceReason {
    /// Someone who is gone or on the way out holds keys.
    Orphaned,
    /// Someone who came holds none.
    WithoutKeys,
    Imbalanced,
}

type PlannedPlacement = (model::Position, crate::ShardPlacement, RebalanceReason);

/// `since`: how long ago this node placed keys last, if the duty is its own.
fn plan_placement(
    programme: &StateSnapshot,
    service: &str,
    told: &LoadReports,
    ill: &[BackendName],
    since: Option<Microseconds>,
) -> Option<PlannedPlacement> {
    let cast = programme.available_backends(service);
    if cast.is_empty() {
        return None;
    }
    let empty = (0, model::cluster_state::shard_map::unassigned());
    let (base, rows) = programme
        .placements
        .get(service)
        .map(|held| &**held)
        .unwrap_or(&empty);
    let names: HashSet<&str> = cast.iter().map(|one| one.name.as_str()).collect();
    let holders: HashSet<Option<&str>> = rows.iter().map(|row| row.holder.as_deref()).collect();
    let orphaned = holders
        .iter()
        .any(|holder| holder.is_none_or(|holder| !names.contains(holder)));
    let unused = names.iter().any(|name| !holders.contains(&Some(name)));
    if !orphaned && !unused && since.is_none_or(|since| since < URGENT_REBALANCE_INTERVAL) {
        return None;
    }
    let mut asks: Vec<crate::RangeDemand> = told
        .values()
        .flat_map(|(_, load)| {
            load.demand
                .iter()
                .map(|(from, to, rate)| (*from, *to, *rate as f64))
        })
        .collect();
    asks.sort_by_key(|(from, ..)| *from);
    let parts = backend_capacities(&cast, told, ill);
    let seen: f64 = told
        .values()
        .map(|(_, load)| load.demand_samples as f64)
        .sum();
    // What few requests show may be chance.
    let chance = 0.8 / (seen / parts.len() as f64).sqrt();
    let uneven = |since: Microseconds| {
        let (excess, loads, moving) = crate::imbalance(rows, &asks, &parts);
        let most = loads
            .iter()
            .zip(&parts)
            .map(|(load, (_, can))| load / can)
            .fold(0.0, f64::max);
        // Where slots stand free anyway a move is not worth its gap.
        let beyond = excess - chance;
        moving * parts.len() as f64 <= MAX_IN_TRANSIT_SHARE
            && since
                >= if beyond > 1.0 {
                    URGENT_REBALANCE_INTERVAL
                } else {
                    REBALANCE_INTERVAL
                }
            && beyond
                > if most > BUSY_UTILIZATION {
                    MAX_BUSY_IMBALANCE
                } else {
                    MAX_IDLE_IMBALANCE
                }
    };
    let (why, slack) = match () {
        () if orphaned => (RebalanceReason::Orphaned, 1.0),
        () if unused => (RebalanceReason::WithoutKeys, REBALANCE_TOLERANCE / 2.0),
        () if seen > MIN_OBSERVED_REQUESTS && since.is_some_and(uneven) => {
            (RebalanceReason::Imbalanced, REBALANCE_TOLERANCE + chance)
        }
        () => return None,
    };
    let wanted = if *base == 0 {
        crate::initial_placement(&parts, INITIAL_STRIPES)
    } else {
        crate::rebalance(rows, &asks, &parts, slack)
    };
    Some((*base, wanted, why))
}

/// Requests a second that each back end can do: its slots over the mean time of its runs. The fewer of them were
/// seen, the more it counts as the others do. Who is ill is given little (design 13.8).
fn backend_capacities(
    cast: &[model::cluster_state::AvailableBackend],
    told: &LoadReports,
    ill: &[BackendName],
) -> Vec<crate::BackendCapacity> {
    let seen = |name: &str| {
        told.get(name)
            .map(|(_, load)| (load.mean_run_time as f64, load.run_count as f64))
            .unwrap_or((0.0, 0.0))
    };
    let (sum, count) = cast
        .iter()
        .map(|one| seen(&one.name))
        .fold((0.0, 0.0), |(sum, count), (run, runs)| {
            (sum + run * runs, count + runs)
        });
    let mean = if count > 0.0 { sum / count } else { 1e6 };
    let run = |name: &str| {
        let (run, runs) = seen(name);
        (run * runs + mean * MEAN_RUN_TIME_WEIGHT) / (runs + MEAN_RUN_TIME_WEIGHT)
    };
    let share = |one: &model::cluster_state::AvailableBackend| {
        if ill.contains(&one.name) {
            EJECTED_CAPACITY_SHARE
        } else {
            1.0
        }
    };
    cast.iter()
        .map(|one| {
            (
                one.name.clone(),
                share(one) * one.slots.max(1) as f64 * 1e6 / run(&one.name),
            )
        })
        .collect()
}
