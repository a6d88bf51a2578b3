//! A simulated node beside one backend. It works as `endpoints::lease_table` does and uses the real lease granter
//! (design 11.2, 11.5).

use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{Microseconds, Position};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// The backend beside a node, as its latest heartbeat describes it.
pub(super) struct LocalBackend {
    pub heartbeat: endpoints::Heartbeat,
    pub last_heartbeat_at: Microseconds,
    pub drained: bool,
    pub held_until: Microseconds,
    /// Time until which the backend may hold ranges that an earlier process of this node granted.
    pub earlier_grant_until: Microseconds,
    pub silent: bool,
    pub probing: bool,
    /// Whether more than one heartbeat has arrived, so that they are not one delayed heartbeat of an earlier incarnation.
    pub has_repeated_heartbeats: bool,
}

/// A node. All its times are readings of its own clock.
pub(super) struct Node {
    pub name: String,
    pub start_number: u64,
    pub up: bool,
    pub frozen: bool,
    pub deferred: Vec<super::harness::Event>,
    /// Whether the node is disconnected from the log in both directions.
    pub cut_from_log: bool,
    /// Whether only the node's reports to the log are lost.
    pub reports_lost: bool,
    /// Rate error of the node's clock, in millionths; negative if the clock is slow.
    pub clock_rate_ppm: i64,
    pub lease_granter: endpoints::LeaseGranter,
    pub state: StateSnapshot,
    pub proved_at: Microseconds,
    pub backend: Option<LocalBackend>,
    /// Maps each ended backend to whether the end of its process is confirmed.
    pub ended: BTreeMap<String, bool>,
    pub reported_ended: BTreeSet<String>,
    pub pending_reports: Vec<ClusterReport>,
    pub connection: super::connection::UpdateConnection,
    pub outbox: super::notification::Outbox,
    pub placement: super::placement::PlacementState,
    /// Start time of this process.
    pub started_at: Microseconds,
}

/// Returns the incarnation that the process of this name draws at this start.
pub(super) fn incarnation(name: &str, start_number: u64) -> model::Incarnation {
    model::leases::stable_hash(&format!("{name} {start_number}"))
}

impl Node {
    pub(super) fn new(index: usize, clock_rate_ppm: i64, config: endpoints::LeaseConfig) -> Node {
        Node {
            name: format!("node-{index}"),
            start_number: 0,
            up: false,
            frozen: false,
            deferred: Vec::new(),
            cut_from_log: false,
            reports_lost: false,
            clock_rate_ppm,
            lease_granter: endpoints::LeaseGranter::new(config),
            state: StateSnapshot::default(),
            proved_at: 0,
            backend: None,
            ended: Default::default(),
            reported_ended: Default::default(),
            pending_reports: Vec::new(),
            connection: Default::default(),
            outbox: Default::default(),
            placement: Default::default(),
            started_at: 0,
        }
    }

    /// Returns the incarnation of this process. The incarnations of a node are not ordered.
    pub(super) fn incarnation(&self) -> model::Incarnation {
        incarnation(&self.name, self.start_number)
    }

    pub(super) fn is_running(&self, start_number: u64) -> bool {
        self.up && self.start_number == start_number
    }

    /// Replaces the process by a new one without the state of the earlier one.
    pub(super) fn restart(
        &mut self,
        index: usize,
        config: endpoints::LeaseConfig,
        started_at: Microseconds,
    ) {
        let (start_number, clock_rate_ppm, cut_from_log, reports_lost, connection_number) = (
            self.start_number + 1,
            self.clock_rate_ppm,
            self.cut_from_log,
            self.reports_lost,
            self.connection.number + 1,
        );
        *self = Node {
            start_number,
            clock_rate_ppm,
            cut_from_log,
            reports_lost,
            started_at,
            up: true,
            ..Node::new(index, clock_rate_ppm, config)
        };
        self.connection.number = connection_number;
    }

    pub(super) fn shard_map(&self) -> model::cluster_state::ShardMap {
        self.state
            .placements
            .get(super::harness::SERVICE)
            .map(|held| held.1.clone())
            .unwrap_or_default()
    }

    pub(super) fn observe(&mut self, now: Microseconds) {
        let ranges = self.shard_map();
        if let Some(local_backend) = &self.backend {
            self.lease_granter
                .observe(now, &ranges, &local_backend.heartbeat.name);
        }
    }

    /// Handles a heartbeat and returns the grant, or nothing if the heartbeat is rejected or no grant is possible.
    pub(super) fn receive_heartbeat(
        &mut self,
        plan: &super::LeasePlan,
        now: Microseconds,
        heartbeat: endpoints::Heartbeat,
    ) -> endpoints::HeartbeatResponse {
        let heartbeat_within = |duration: Microseconds| {
            self.backend.as_ref().is_some_and(|local_backend| {
                local_backend.heartbeat.name != heartbeat.name
                    && now < local_backend.last_heartbeat_at + duration
            })
        };
        let in_log = self.state.backends.contains_key(&heartbeat.name);
        let other_incarnation = !plan.disabled.late_heartbeats
            && (heartbeat_within(plan.heartbeat_interval / 4)
                || in_log && heartbeat_within(plan.heartbeat_interval * 2));
        if other_incarnation
            || self.ended.contains_key(&heartbeat.name)
            || self.reported_ended.contains(&heartbeat.name)
        {
            return None;
        }
        if self.backend.as_ref().is_some_and(|local_backend| {
            local_backend.heartbeat.name == heartbeat.name
                && local_backend.heartbeat.sequence >= heartbeat.sequence
        }) {
            return None;
        }
        if let Some(earlier) = self
            .backend
            .take_if(|local_backend| local_backend.heartbeat.name != heartbeat.name)
        {
            self.ended.insert(earlier.heartbeat.name, true);
        }
        if !heartbeat.released_ranges.is_empty() {
            let known_through = if plan.disabled.release_position {
                Position::MAX
            } else {
                self.state.position
            };
            self.pending_reports.push(ClusterReport::ShardsReleased {
                service: heartbeat.service.clone(),
                name: heartbeat.name.clone(),
                known_through,
                ranges: heartbeat.released_ranges.clone(),
            });
        }
        let unknown_grant_until =
            if plan.disabled.earlier_grants || heartbeat.held_ranges.is_empty() {
                0
            } else {
                now + plan.leases.max_duration
            };
        let (held_until, earlier_grant_until) = self
            .backend
            .as_ref()
            .map(|local_backend| (local_backend.held_until, local_backend.earlier_grant_until))
            .unwrap_or((0, unknown_grant_until));
        let drained = self
            .backend
            .as_ref()
            .is_some_and(|local_backend| local_backend.drained)
            || heartbeat.draining;
        let has_repeated_heartbeats = self.backend.is_some();
        let mut local_backend = LocalBackend {
            last_heartbeat_at: now,
            drained,
            held_until,
            earlier_grant_until,
            silent: false,
            probing: false,
            has_repeated_heartbeats,
            heartbeat,
        };
        let answer = self.grant(plan, now, &mut local_backend);
        self.backend = Some(local_backend);
        answer
    }

    fn grant(
        &mut self,
        plan: &super::LeasePlan,
        now: Microseconds,
        local_backend: &mut LocalBackend,
    ) -> endpoints::HeartbeatResponse {
        let mut ranges = self.shard_map();
        if plan.disabled.pending_releases {
            ranges
                .iter_mut()
                .for_each(|range| range.pending_releases.clear());
        }
        let proved_at = if plan.disabled.freshness_proof && self.proved_at > 0 {
            now
        } else {
            self.proved_at
        };
        let grant = self.lease_granter.grant(
            now,
            proved_at,
            &ranges,
            &local_backend.heartbeat.name,
            &local_backend.heartbeat.held_ranges,
        )?;
        let lease_duration = if plan.disabled.slow_clock {
            (grant.duration * 103 / 100).min(plan.leases.max_duration)
        } else {
            grant.duration
        };
        if !grant.expired_releases.is_empty() {
            self.pending_reports.push(ClusterReport::ReleasesExpired {
                service: local_backend.heartbeat.service.clone(),
                ranges: grant.expired_releases,
            });
        }
        local_backend.held_until = now + lease_duration;
        local_backend.heartbeat.held_ranges = grant
            .ranges
            .iter()
            .map(|(from, to, fencing_token, _)| (*from, *to, *fencing_token))
            .collect();
        Some((grant.ranges, lease_duration))
    }

    /// Handles a backend whose heartbeats are missing. Returns its name if its process is to be probed.
    pub(super) fn check_silence(
        &mut self,
        plan: &super::LeasePlan,
        now: Microseconds,
    ) -> Option<String> {
        let position = self.state.position;
        let ranges = self.shard_map();
        let local_backend = self.backend.as_mut()?;
        if now < local_backend.last_heartbeat_at + plan.heartbeat_interval * 3 / 2
            && !local_backend.silent
            || local_backend.probing
        {
            return None;
        }
        local_backend.silent |= now > local_backend.last_heartbeat_at + plan.heartbeat_interval * 3;
        let name = local_backend.heartbeat.name.clone();
        if local_backend.silent && plan.disabled.confirmed_ends {
            self.probe_answered(&name, true);
            return None;
        }
        if local_backend.silent
            && now
                > local_backend
                    .held_until
                    .max(local_backend.earlier_grant_until)
                    + plan.heartbeat_interval
        {
            if plan.disabled.return_of_silent || self.ended.contains_key(&name) {
                self.probe_answered(&name, true);
                return None;
            }
            // The leases of the backend have expired, so the releases that it owes are reported in its place. The backend is
            // not reported as ended, because it may send heartbeats again.
            let pending = ranges.iter().filter(|range| {
                range
                    .pending_releases
                    .iter()
                    .any(|(owing, _)| *owing == name)
            });
            let ranges: Vec<(u16, u16, String)> = pending
                .map(|range| (range.first_key, range.last_key, String::new()))
                .collect();
            let report = ClusterReport::ShardsReleased {
                service: local_backend.heartbeat.service.clone(),
                name: name.clone(),
                known_through: position,
                ranges: ranges.clone(),
            };
            if !ranges.is_empty() && !self.pending_reports.contains(&report) {
                self.pending_reports.push(report);
            }
        }
        local_backend.probing = true;
        Some(name)
    }

    pub(super) fn probe_answered(&mut self, name: &str, refused: bool) {
        if let Some(local_backend) = self
            .backend
            .as_mut()
            .filter(|local_backend| local_backend.heartbeat.name == name)
        {
            local_backend.probing = false;
            if refused {
                self.ended.insert(name.to_string(), true);
                self.backend = None;
            }
        }
    }

    pub(super) fn record_sign_off(&mut self, name: &str) {
        self.ended.entry(name.to_string()).or_insert(false);
        if let Some(local_backend) = self
            .backend
            .as_mut()
            .filter(|local_backend| local_backend.heartbeat.name == name)
        {
            (local_backend.drained, local_backend.silent) = (true, true);
        }
    }
}
