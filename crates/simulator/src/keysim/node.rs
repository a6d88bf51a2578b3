//! A node beside one back end, as `endpoints::desk` and `endpoints::facts` run it, over the real grants (design 11.2, 11.5).

use model::cluster_state::{ClusterReport, StateSnapshot};
use model::{Microseconds, Position};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A back end as it told of itself.
pub(super) struct Own {
    pub beat: endpoints::Heartbeat,
    pub heard: Microseconds,
    pub drained: bool,
    pub held_until: Microseconds,
    /// Until then it may hold what an earlier process of this node told it to.
    pub told_before: Microseconds,
    pub silent: bool,
    pub probing: bool,
    /// Heard more than once: no late beat of an earlier life.
    pub beats_on: bool,
}

pub(super) struct Node {
    pub name: String,
    pub life: u64,
    pub up: bool,
    pub frozen: bool,
    pub late: Vec<super::stage::Event>,
    /// Cut off from the log; its reports alone get lost.
    pub cut: bool,
    pub dumb: bool,
    /// What its clock gains, in millionths.
    pub rate: i64,
    pub keys: endpoints::LeaseGranter,
    pub programme: StateSnapshot,
    pub proved: Microseconds,
    pub own: Option<Own>,
    pub ends: BTreeMap<String, bool>,
    pub over: BTreeSet<String>,
    pub facts: Vec<ClusterReport>,
    pub line: super::line::Line,
    pub post: super::telling::Post,
    pub duty: super::placing::Duty,
    /// When this process began, by its clock.
    pub began: Microseconds,
}

/// What the process of this name drew at its start of this number.
pub(super) fn incarnation(name: &str, life: u64) -> model::Incarnation {
    model::leases::stable_hash(&format!("{name} {life}"))
}

impl Node {
    pub fn new(at: usize, rate: i64, env: endpoints::LeaseConfig) -> Node {
        Node {
            name: format!("node-{at}"),
            life: 0,
            up: false,
            frozen: false,
            late: Vec::new(),
            cut: false,
            dumb: false,
            rate,
            keys: endpoints::LeaseGranter::new(env),
            programme: StateSnapshot::default(),
            proved: 0,
            own: None,
            ends: Default::default(),
            over: Default::default(),
            facts: Vec::new(),
            line: Default::default(),
            post: Default::default(),
            duty: Default::default(),
            began: 0,
        }
    }

    /// What this process drew when it began: its order says nothing.
    pub fn incarnation(&self) -> model::Incarnation {
        incarnation(&self.name, self.life)
    }

    pub fn lives(&self, life: u64) -> bool {
        self.up && self.life == life
    }

    /// A new process: all that was in memory is gone.
    pub fn begin(&mut self, at: usize, env: endpoints::LeaseConfig, began: Microseconds) {
        let (life, rate, cut, dumb, conns) = (
            self.life + 1,
            self.rate,
            self.cut,
            self.dumb,
            self.line.conn + 1,
        );
        *self = Node {
            life,
            rate,
            cut,
            dumb,
            began,
            up: true,
            ..Node::new(at, rate, env)
        };
        self.line.conn = conns;
    }

    pub fn rows(&self) -> model::cluster_state::ShardMap {
        self.programme
            .placements
            .get(super::stage::SERVICE)
            .map(|held| held.1.clone())
            .unwrap_or_default()
    }

    pub fn observe(&mut self, now: Microseconds) {
        let rows = self.rows();
        if let Some(own) = &self.own {
            self.keys.observe(now, &rows, &own.beat.name);
        }
    }

    pub fn beat(
        &mut self,
        plan: &super::KeyPlan,
        now: Microseconds,
        beat: endpoints::Heartbeat,
    ) -> endpoints::HeartbeatAnswer {
        let within = |span: Microseconds| {
            self.own
                .as_ref()
                .is_some_and(|own| own.beat.name != beat.name && now < own.heard + span)
        };
        let known = self.programme.backends.contains_key(&beat.name);
        let earlier = !plan.without.late
            && (within(plan.beat_every / 4) || known && within(plan.beat_every * 2));
        if earlier || self.ends.contains_key(&beat.name) || self.over.contains(&beat.name) {
            return None;
        }
        if self
            .own
            .as_ref()
            .is_some_and(|own| own.beat.name == beat.name && own.beat.sequence >= beat.sequence)
        {
            return None;
        }
        if let Some(earlier) = self.own.take_if(|own| own.beat.name != beat.name) {
            self.ends.insert(earlier.beat.name, true);
        }
        if !beat.released_ranges.is_empty() {
            let through = if plan.without.through {
                Position::MAX
            } else {
                self.programme.position
            };
            self.facts.push(ClusterReport::ShardsReleased {
                service: beat.service.clone(),
                name: beat.name.clone(),
                known_through: through,
                ranges: beat.released_ranges.clone(),
            });
        }
        let unknown = if plan.without.memory || beat.held_ranges.is_empty() {
            0
        } else {
            now + plan.keys.max_duration
        };
        let (held_until, told_before) = self
            .own
            .as_ref()
            .map(|own| (own.held_until, own.told_before))
            .unwrap_or((0, unknown));
        let drained = self.own.as_ref().is_some_and(|own| own.drained) || beat.draining;
        let beats_on = self.own.is_some();
        let mut own = Own {
            heard: now,
            drained,
            held_until,
            told_before,
            silent: false,
            probing: false,
            beats_on,
            beat,
        };
        let answer = self.grant(plan, now, &mut own);
        self.own = Some(own);
        answer
    }

    fn grant(
        &mut self,
        plan: &super::KeyPlan,
        now: Microseconds,
        own: &mut Own,
    ) -> endpoints::HeartbeatAnswer {
        let mut rows = self.rows();
        if plan.without.wait {
            rows.iter_mut().for_each(|row| row.pending_releases.clear());
        }
        let proved = if plan.without.proof && self.proved > 0 {
            now
        } else {
            self.proved
        };
        let grant = self
            .keys
            .grant(now, proved, &rows, &own.beat.name, &own.beat.held_ranges)?;
        let hold = if plan.without.slow_clock {
            (grant.duration * 103 / 100).min(plan.keys.max_duration)
        } else {
            grant.duration
        };
        if !grant.waited_out.is_empty() {
            self.facts.push(ClusterReport::ReleasesExpired {
                service: own.beat.service.clone(),
                ranges: grant.waited_out,
            });
        }
        own.held_until = now + hold;
        own.beat.held_ranges = grant
            .ranges
            .iter()
            .map(|(from, to, fence, _)| (*from, *to, *fence))
            .collect();
        Some((grant.ranges, hold))
    }

    /// A back end that stopped beating; whether its process is to be probed.
    pub fn mind_silence(&mut self, plan: &super::KeyPlan, now: Microseconds) -> Option<String> {
        let position = self.programme.position;
        let rows = self.rows();
        let own = self.own.as_mut()?;
        if now < own.heard + plan.beat_every * 3 / 2 && !own.silent || own.probing {
            return None;
        }
        own.silent |= now > own.heard + plan.beat_every * 3;
        let name = own.beat.name.clone();
        if own.silent && plan.without.honest_ends {
            self.probed(&name, true);
            return None;
        }
        if own.silent && now > own.held_until.max(own.told_before) + plan.beat_every {
            if plan.without.return_of_silent || self.ends.contains_key(&name) {
                self.probed(&name, true);
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
                service: own.beat.service.clone(),
                name: name.clone(),
                known_through: position,
                ranges: rows.clone(),
            };
            if !rows.is_empty() && !self.facts.contains(&fact) {
                self.facts.push(fact);
            }
        }
        own.probing = true;
        Some(name)
    }

    pub fn probed(&mut self, name: &str, refused: bool) {
        if let Some(own) = self.own.as_mut().filter(|own| own.beat.name == name) {
            own.probing = false;
            if refused {
                self.ends.insert(name.to_string(), true);
                self.own = None;
            }
        }
    }

    pub fn signed_off(&mut self, name: &str) {
        self.ends.entry(name.to_string()).or_insert(false);
        if let Some(own) = self.own.as_mut().filter(|own| own.beat.name == name) {
            (own.drained, own.silent) = (true, true);
        }
    }
}
