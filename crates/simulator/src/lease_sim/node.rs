//! A node beside one back end, as `endpoints::desk` and `endpoints::facts` run it, over the real grants (design 11.2, 11.5).

use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{Microseconds, Position};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A back end as it told of itself.
pub(super) struct LocalBackend {
    pub heartbeat: endpoints::Heartbeat,
    pub heard_at: Microseconds,
    pub drained: bool,
    pub held_until: Microseconds,
    /// Until then it may hold what an earlier process of this node told it to.
    pub earlier_grant_until: Microseconds,
    pub silent: bool,
    pub probing: bool,
    /// Heard more than once: no late beat of an earlier life.
    pub heard_repeatedly: bool,
}

pub(super) struct Node {
    pub name: String,
    pub start_number: u64,
    pub up: bool,
    pub frozen: bool,
    pub deferred: Vec<super::harness::Event>,
    /// Cut off from the log; its reports alone get lost.
    pub cut_from_log: bool,
    pub reports_lost: bool,
    /// What its clock gains, in millionths.
    pub clock_rate_ppm: i64,
    pub lease_granter: endpoints::LeaseGranter,
    pub state: StateSnapshot,
    pub proved_at: Microseconds,
    pub backend: Option<LocalBackend>,
    pub ended: BTreeMap<String, bool>,
    pub reported_ended: BTreeSet<String>,
    pub pending_reports: Vec<ClusterReport>,
    pub connection: super::connection::UpdateConnection,
    pub outbox: super::notification::Outbox,
    pub placement: super::placement::PlacementDuty,
    /// When this process began, by its clock.
    pub started_at: Microseconds,
}

/// What the process of this name drew at its start of this number.
pub(super) fn incarnation(name: &str, life: u64) -> model::Incarnation {
    model::leases::stable_hash(&format!("{name} {life}"))
}

impl Node {
    pub(super) fn new(at: usize, rate: i64, env: endpoints::LeaseConfig) -> Node {
        Node {
            name: format!("node-{at}"),
            start_number: 0,
            up: false,
            frozen: false,
            deferred: Vec::new(),
            cut_from_log: false,
            reports_lost: false,
            clock_rate_ppm: rate,
            lease_granter: endpoints::LeaseGranter::new(env),
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

    /// What this process drew when it began: its order says nothing.
    pub(super) fn incarnation(&self) -> model::Incarnation {
        incarnation(&self.name, self.start_number)
    }

    pub(super) fn is_running(&self, life: u64) -> bool {
        self.up && self.start_number == life
    }

    /// A new process: all that was in memory is gone.
    pub(super) fn restart(&mut self, at: usize, env: endpoints::LeaseConfig, began: Microseconds) {
        let (life, rate, cut, dumb, conns) = (
            self.start_number + 1,
            self.clock_rate_ppm,
            self.cut_from_log,
            self.reports_lost,
            self.connection.number + 1,
        );
        *self = Node {
            start_number: life,
            clock_rate_ppm: rate,
            cut_from_log: cut,
            reports_lost: dumb,
            started_at: began,
            up: true,
            ..Node::new(at, rate, env)
        };
        self.connection.number = conns;
    }

    pub(super) fn shard_map(&self) -> model::cluster_state::ShardMap {
        self.state
            .placements
            .get(super::harness::SERVICE)
            .map(|held| held.1.clone())
            .unwrap_or_default()
    }

    pub(super) fn observe(&mut self, now: Microseconds) {
        let rows = self.shard_map();
        if let Some(own) = &self.backend {
            self.lease_granter.observe(now, &rows, &own.heartbeat.name);
        }
    }

    pub(super) fn receive_heartbeat(
        &mut self,
        plan: &super::LeasePlan,
        now: Microseconds,
        beat: endpoints::Heartbeat,
    ) -> endpoints::HeartbeatAnswer {
        let within = |span: Microseconds| {
            self.backend
                .as_ref()
                .is_some_and(|own| own.heartbeat.name != beat.name && now < own.heard_at + span)
        };
        let known = self.state.backends.contains_key(&beat.name);
        let earlier = !plan.disabled.late_heartbeats
            && (within(plan.heartbeat_interval / 4)
                || known && within(plan.heartbeat_interval * 2));
        if earlier
            || self.ended.contains_key(&beat.name)
            || self.reported_ended.contains(&beat.name)
        {
            return None;
        }
        if self.backend.as_ref().is_some_and(|own| {
            own.heartbeat.name == beat.name && own.heartbeat.sequence >= beat.sequence
        }) {
            return None;
        }
        if let Some(earlier) = self.backend.take_if(|own| own.heartbeat.name != beat.name) {
            self.ended.insert(earlier.heartbeat.name, true);
        }
        if !beat.released_ranges.is_empty() {
            let through = if plan.disabled.release_position {
                Position::MAX
            } else {
                self.state.position
            };
            self.pending_reports.push(ClusterReport::ShardsReleased {
                service: beat.service.clone(),
                name: beat.name.clone(),
                known_through: through,
                ranges: beat.released_ranges.clone(),
            });
        }
        let unknown = if plan.disabled.earlier_grants || beat.held_ranges.is_empty() {
            0
        } else {
            now + plan.leases.max_duration
        };
        let (held_until, told_before) = self
            .backend
            .as_ref()
            .map(|own| (own.held_until, own.earlier_grant_until))
            .unwrap_or((0, unknown));
        let drained = self.backend.as_ref().is_some_and(|own| own.drained) || beat.draining;
        let beats_on = self.backend.is_some();
        let mut own = LocalBackend {
            heard_at: now,
            drained,
            held_until,
            earlier_grant_until: told_before,
            silent: false,
            probing: false,
            heard_repeatedly: beats_on,
            heartbeat: beat,
        };
        let answer = self.grant(plan, now, &mut own);
        self.backend = Some(own);
        answer
    }

    fn grant(
        &mut self,
        plan: &super::LeasePlan,
        now: Microseconds,
        own: &mut LocalBackend,
    ) -> endpoints::HeartbeatAnswer {
        let mut rows = self.shard_map();
        if plan.disabled.owed_ranges {
            rows.iter_mut().for_each(|row| row.pending_releases.clear());
        }
        let proved = if plan.disabled.proof && self.proved_at > 0 {
            now
        } else {
            self.proved_at
        };
        let grant = self.lease_granter.grant(
            now,
            proved,
            &rows,
            &own.heartbeat.name,
            &own.heartbeat.held_ranges,
        )?;
        let hold = if plan.disabled.slow_clock {
            (grant.duration * 103 / 100).min(plan.leases.max_duration)
        } else {
            grant.duration
        };
        if !grant.expired_releases.is_empty() {
            self.pending_reports.push(ClusterReport::ReleasesExpired {
                service: own.heartbeat.service.clone(),
                ranges: grant.expired_releases,
            });
        }
        own.held_until = now + hold;
        own.heartbeat.held_ranges = grant
            .ranges
            .iter()
            .map(|(from, to, fence, _)| (*from, *to, *fence))
            .collect();
        Some((grant.ranges, hold))
    }

    /// A back end that stopped beating; whether its process is to be probed.
    pub(super) fn check_silence(
        &mut self,
        plan: &super::LeasePlan,
        now: Microseconds,
    ) -> Option<String> {
        let position = self.state.position;
        let rows = self.shard_map();
        let own = self.backend.as_mut()?;
        if now < own.heard_at + plan.heartbeat_interval * 3 / 2 && !own.silent || own.probing {
            return None;
        }
        own.silent |= now > own.heard_at + plan.heartbeat_interval * 3;
        let name = own.heartbeat.name.clone();
        if own.silent && plan.disabled.confirmed_ends {
            self.probe_answered(&name, true);
            return None;
        }
        if own.silent && now > own.held_until.max(own.earlier_grant_until) + plan.heartbeat_interval
        {
            if plan.disabled.return_of_silent || self.ended.contains_key(&name) {
                self.probe_answered(&name, true);
                return None;
            }
            // It may be heard again; what it owed it holds no more.
            let owed = rows
                .iter()
                .filter(|row| row.pending_releases.iter().any(|(owing, _)| *owing == name));
            let rows: Vec<(u16, u16, String)> = owed
                .map(|row| (row.first_key, row.last_key, String::new()))
                .collect();
            let fact = ClusterReport::ShardsReleased {
                service: own.heartbeat.service.clone(),
                name: name.clone(),
                known_through: position,
                ranges: rows.clone(),
            };
            if !rows.is_empty() && !self.pending_reports.contains(&fact) {
                self.pending_reports.push(fact);
            }
        }
        own.probing = true;
        Some(name)
    }

    pub(super) fn probe_answered(&mut self, name: &str, refused: bool) {
        if let Some(own) = self
            .backend
            .as_mut()
            .filter(|own| own.heartbeat.name == name)
        {
            own.probing = false;
            if refused {
                self.ended.insert(name.to_string(), true);
                self.backend = None;
            }
        }
    }

    pub(super) fn signed_off(&mut self, name: &str) {
        self.ended.entry(name.to_string()).or_insert(false);
        if let Some(own) = self
            .backend
            .as_mut()
            .filter(|own| own.heartbeat.name == name)
        {
            (own.drained, own.silent) = (true, true);
        }
    }
}
