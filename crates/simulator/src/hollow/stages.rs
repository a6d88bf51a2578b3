//! The stages of a run, in order. Each is measured on its own.

use super::node::StopMode;
use super::site::Site;
use super::{NodeParts, Plan, Report, Stage};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Text that the progress output shows.
type Progress = Arc<Mutex<String>>;
type Extra = BTreeMap<&'static str, f64>;

/// Wait after a stage's last event, so that its consequences are counted in the same stage.
const SETTLE_DELAY: Duration = Duration::from_millis(1_500);

/// A run in progress, with the results of the stages that have ended.
struct Run {
    site: Site,
    stages: Vec<Stage>,
    progress: Progress,
}

/// Starts the replicas and the nodes and runs the stages that the plan asks for.
pub(super) async fn run_stages(
    plan: Plan,
    links: Option<super::NetworkLinks>,
    progress: Progress,
) -> Result<Report, String> {
    set_progress(&progress, "starting the replicas".into());
    let network = links.as_ref().map(|(links, _)| links.clone());
    let site = Site::start(plan, links).await?;
    let mut run = Run {
        site,
        stages: Vec::new(),
        progress,
    };
    run.start_nodes().await?;
    run.rest().await?;
    if run.site.plan.changes > 0 {
        run.changes().await?;
    }
    if run.site.plan.restarts > 0 {
        run.restarts().await?;
    }
    if run.site.plan.lost_machines > 0 {
        run.lose_nodes().await?;
    }
    if let Some(links) = network.filter(|_| run.site.plan.cut_seconds > 0) {
        run.partition_region(&links).await?;
    }
    Ok(Report {
        plan: (*run.site.plan).clone(),
        stages: run.stages,
    })
}

fn set_progress(progress: &Progress, line: String) {
    *progress.lock().unwrap_or_else(PoisonError::into_inner) = line;
}

impl Run {
    /// Shows a line with the number of nodes and the log position.
    fn show_progress(&self, line: String) {
        set_progress(
            &self.progress,
            format!(
                "{line}; {} nodes, log position {}",
                self.site.running_nodes().count(),
                self.site.counting_follower.snapshot().position
            ),
        );
    }

    /// Takes the readings at the start of a stage.
    fn begin_stage(&self, name: &'static str) -> super::report::StageStart {
        self.show_progress(name.into());
        super::report::StageStart::new(
            name,
            super::meter::read_usage(&self.site.replicas.handles),
            self.site.counting_follower.log_counts(),
        )
    }

    /// Takes the readings at the end of a stage and keeps its results.
    fn end_stage(&mut self, stage_start: super::report::StageStart, extra: Extra) {
        let stale_backends = ("ghosts", self.site.stale_backends() as f64);
        let extra = extra.into_iter().chain([stale_backends]).collect();
        self.stages.push(stage_start.finish(
            super::meter::read_usage(&self.site.replicas.handles),
            self.site.counting_follower.log_counts(),
            extra,
        ));
    }

    /// Starts all nodes in small batches and waits until the log holds them and every key has a holder.
    async fn start_nodes(&mut self) -> Result<(), String> {
        let stage_start = self.begin_stage("gather");
        for index in 0..self.site.plan.nodes {
            self.site.start_node(index)?;
            if index % 16 == 15 {
                self.show_progress("gather".into());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        if self.site.plan.parts != NodeParts::Full {
            self.site.write_stand_in_records().await?;
        }
        let settled_us = self
            .site
            .wait_until_settled("all nodes are registered and all keys placed")
            .await?;
        self.end_stage(
            stage_start,
            Extra::from([("settled_us", settled_us as f64)]),
        );
        Ok(())
    }

    /// Measures the fleet without events.
    async fn rest(&mut self) -> Result<(), String> {
        // Connections that were needed only at the start are closed after this time.
        tokio::time::sleep(Duration::from_secs(6)).await;
        let stage_start = self.begin_stage("rest");
        tokio::time::sleep(Duration::from_secs(self.site.plan.seconds)).await;
        self.end_stage(stage_start, Extra::new());
        Ok(())
    }

    /// Returns a timer that spreads `count` events over the length of a stage.
    fn event_timer(&self, count: usize) -> tokio::time::Interval {
        let mut timer =
            tokio::time::interval(Duration::from_secs(self.site.plan.seconds) / count as u32);
        timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        timer
    }

    /// Changes routes one by one and measures when each change is answered and when every node has it.
    async fn changes(&mut self) -> Result<(), String> {
        let stage_start = self.begin_stage("changes");
        let mut timer = self.event_timer(self.site.plan.changes);
        let (mut answered_us, mut in_force_us) = (Vec::new(), Vec::new());
        for number in 0..self.site.plan.changes {
            timer.tick().await;
            self.show_progress(format!("change {number}"));
            let (replica, asked_at) = (
                &self.site.replicas.handles[number % self.site.plan.replicas],
                model::now(),
            );
            let Some(model::Outcome::Accepted { position, .. }) = replica
                .change_items(self.site.plan.route_change(number))
                .await
            else {
                return Err(format!("change {number} was not accepted"));
            };
            answered_us.push(model::now() - asked_at);
            let is_applied = |node: &super::node::StandInNode| {
                node.follower.verified_state.load().snapshot.position >= position
            };
            super::wait_until("every node has applied a change", || {
                self.site.running_nodes().all(is_applied)
            })
            .await?;
            in_force_us.push(model::now() - asked_at);
        }
        tokio::time::sleep(SETTLE_DELAY).await;
        let percentile = |times: &mut Vec<u64>, percent: usize| {
            times.sort();
            times[(times.len() - 1) * percent / 100] as f64
        };
        let extra = Extra::from([
            ("answered_middle_us", percentile(&mut answered_us, 50)),
            ("answered_most_us", percentile(&mut answered_us, 100)),
            ("in_force_middle_us", percentile(&mut in_force_us, 50)),
            ("in_force_most_us", percentile(&mut in_force_us, 100)),
        ]);
        self.end_stage(stage_start, extra);
        Ok(())
    }

    /// Planned restarts: a backend drains and deregisters, and its node shuts down and is started again at once.
    async fn restarts(&mut self) -> Result<(), String> {
        let stage_start = self.begin_stage("restarts");
        let mut timer = self.event_timer(self.site.plan.restarts);
        let mut stopping = tokio::task::JoinSet::new();
        let nodes = self.site.plan.nodes;
        for number in 0..self.site.plan.restarts {
            // Nodes that have stopped in the meantime are started again first.
            while let Some(Ok(index)) = stopping.try_join_next() {
                self.site.start_node(index)?;
            }
            tokio::select! {
                _ = timer.tick() => {}
                Some(Ok(index)) = stopping.join_next(), if !stopping.is_empty() => {
                    self.site.start_node(index)?;
                    timer.tick().await;
                }
            }
            self.show_progress(format!("restart {number}"));
            let index = number % nodes;
            if let Some(node) = self.site.nodes[index].take() {
                node.stop(StopMode::Graceful);
                stopping.spawn(async move {
                    node.wait_stopped().await;
                    node.index
                });
            }
        }
        while let Some(Ok(index)) = stopping.join_next().await {
            self.site.start_node(index)?;
        }
        let settled_us = self
            .site
            .wait_until_settled("all restarted nodes are registered and all keys placed")
            .await?;
        tokio::time::sleep(SETTLE_DELAY).await;
        self.end_stage(
            stage_start,
            Extra::from([("settled_us", settled_us as f64)]),
        );
        Ok(())
    }

    /// Stops nodes at the same time without notice, taking all of one zone before the next, as the loss of a rack or
    /// a zone does. Starts them again once other backends hold their keys.
    async fn lose_nodes(&mut self) -> Result<(), String> {
        let (plan, stage_start) = (self.site.plan.clone(), self.begin_stage("lost"));
        let mut by_zone: Vec<usize> = (0..plan.nodes).collect();
        by_zone.sort_by_key(|index| index % plan.zones);
        let lost: Vec<usize> = by_zone.into_iter().take(plan.lost_machines).collect();
        let started_at = model::now();
        let stopping: Vec<_> = lost
            .iter()
            .filter_map(|index| self.site.nodes[*index].take())
            .collect();
        stopping.iter().for_each(|node| node.stop(StopMode::Abrupt));
        for node in stopping {
            node.wait_stopped().await;
        }
        let all_absent = || {
            let snapshot = self.site.counting_follower.snapshot();
            lost.iter().all(|index| {
                snapshot
                    .nodes
                    .get(&format!("n{index}"))
                    .is_some_and(|node| !node.present)
            })
        };
        super::wait_until("the log holds all lost nodes as absent", all_absent).await?;
        let missed_us = model::now() - started_at;
        self.site
            .wait_until_settled("other backends hold the keys of the lost nodes")
            .await?;
        let extra = Extra::from([
            ("missed_us", missed_us as f64),
            ("settled_us", (model::now() - started_at) as f64),
        ]);
        self.end_stage(stage_start, extra);
        let stage_start = self.begin_stage("back");
        lost.into_iter()
            .try_for_each(|index| self.site.start_node(index))?;
        let settled_us = self
            .site
            .wait_until_settled("all returned nodes are registered and all keys placed")
            .await?;
        tokio::time::sleep(SETTLE_DELAY).await;
        self.end_stage(
            stage_start,
            Extra::from([("settled_us", settled_us as f64)]),
        );
        Ok(())
    }

    /// Partitions the last region from all others in both directions, then heals the partition.
    async fn partition_region(&mut self, links: &crate::network::Network) -> Result<(), String> {
        let (plan, stage_start) = (self.site.plan.clone(), self.begin_stage("cut"));
        let region = plan.regions - 1;
        let hosts = (0..plan.replicas).map(|replica| (plan.host(replica), plan.region(replica)));
        let hosts: Vec<_> = hosts
            .chain(
                (0..plan.nodes).map(|index| (plan.host(plan.replicas + index), plan.region(index))),
            )
            .collect();
        let (inside, outside): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|(_, host_region)| *host_region == region);
        inside
            .iter()
            .flat_map(|(inner, _)| outside.iter().map(move |(outer, _)| (*inner, *outer)))
            .for_each(|(inner, outer)| {
                links.cut(inner, outer);
                links.cut(outer, inner);
            });
        self.site.counting_follower.take_max_absent();
        tokio::time::sleep(Duration::from_secs(plan.cut_seconds)).await;
        let absent = self.site.counting_follower.take_max_absent();
        let absent_count = |absent: &[usize], inside: bool| {
            absent
                .iter()
                .enumerate()
                .filter(|(index, _)| (*index == region) == inside)
                .map(|(_, count)| *count as f64)
                .sum()
        };
        self.end_stage(
            stage_start,
            Extra::from([
                ("absent_inside", absent_count(&absent, true)),
                ("absent_outside", absent_count(&absent, false)),
            ]),
        );
        let stage_start = self.begin_stage("joined");
        links.heal();
        let settled_us = self
            .site
            .wait_until_settled("all nodes are registered after the partition")
            .await?;
        tokio::time::sleep(SETTLE_DELAY * 4).await;
        self.site
            .wait_until_settled("all nodes stay registered after the partition")
            .await?;
        let absent = self.site.counting_follower.take_max_absent();
        self.end_stage(
            stage_start,
            Extra::from([
                ("settled_us", settled_us as f64),
                ("absent_inside", absent_count(&absent, true)),
                ("absent_outside", absent_count(&absent, false)),
            ]),
        );
        Ok(())
    }
}
