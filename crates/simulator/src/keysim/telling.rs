//! What a node tells the log: one entry at a time, the same until it is answered (design 5.8, 11.2).

use super::stage::{Event, Stage};
use model::cluster_state::{BackendRecord, ClusterReport};
use model::{BackendPhase, Microseconds, Outcome, Position};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Whose {
    Desk,
    Duty,
}

/// Reports on their way: the one that is out, by number, and who waits for the log to have come so far.
#[derive(Default)]
pub(super) struct Post {
    pub sequence: u64,
    pub waiting: VecDeque<(Whose, Vec<ClusterReport>)>,
    pub out: Option<(Whose, Vec<ClusterReport>)>,
    pub telling: bool,
    /// Until the news of it is here, or this long, the same would be wanted again.
    pub until: Option<(Position, Microseconds)>,
}

impl super::node::Node {
    /// All that differs between what is so here and what the log says.
    fn wanted(&self, plan: &super::KeyPlan, now: Microseconds) -> Vec<ClusterReport> {
        let (held, life) = (self.programme.nodes.get(&self.name), self.incarnation());
        let place = held.is_some_and(|held| held.incarnation == life && held.present);
        let replaces = held
            .filter(|_| !plan.without.registration)
            .map_or(0, |held| held.incarnation);
        let node = ClusterReport::NodeRegistered {
            node: self.name.clone(),
            zone: "z0".into(),
            address: self.name.clone(),
            incarnation: life,
            replaces,
        };
        let own = self
            .own
            .iter()
            .filter(|own| !self.ends.contains_key(&own.beat.name))
            .flat_map(|own| {
                let name = own.beat.name.clone();
                let phase = self.programme.backends.get(&name).map(|held| held.phase);
                let player = BackendRecord {
                    service: own.beat.service.clone(),
                    zone: "z0".into(),
                    node: self.name.clone(),
                    slots: own.beat.slots,
                    phase: phase.unwrap_or(BackendPhase::Registered),
                    changed_at: 0,
                };
                let joined =
                    (phase.is_none() && !own.silent).then(|| ClusterReport::BackendJoined {
                        name: name.clone(),
                        backend: player,
                    });
                let silent = phase == Some(BackendPhase::Registered) && own.silent
                    || phase == Some(BackendPhase::PresumedGone) && !own.silent;
                let silent = silent.then(|| ClusterReport::BackendSilent {
                    name: name.clone(),
                    silent: own.silent,
                });
                let drains = (own.drained
                    && phase.is_none_or(|phase| phase == BackendPhase::Registered))
                .then_some(ClusterReport::BackendDraining { name });
                [joined, silent, drains].into_iter().flatten()
            });
        let stands = |name: &str, surely: bool| {
            !surely && !plan.without.rest && !self.programme.backends.contains_key(name)
        };
        let ends = self
            .ends
            .iter()
            .filter(|(name, surely)| !stands(name, **surely))
            .map(|(name, surely)| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: *surely,
            });
        let others = self
            .strangers(now > self.began + plan.beat_every * 3)
            .into_iter()
            .filter(|_| !plan.without.strangers);
        (!place)
            .then_some(node)
            .into_iter()
            .chain(self.facts.clone())
            .chain(own)
            .chain(ends)
            .chain(others)
            .collect()
    }

    /// One back end to a machine: whoever else the log has here is an earlier life, or is not heard.
    fn strangers(&self, patient: bool) -> Vec<ClusterReport> {
        let own = self.own.as_ref().map(|own| own.beat.name.as_str());
        let here = self.programme.backends.iter().filter(|(name, player)| {
            player.node == self.name && own != Some(name) && !self.ends.contains_key(*name)
        });
        let sure = self.own.as_ref().is_some_and(|own| {
            own.beats_on || !self.programme.backends.contains_key(&own.beat.name)
        });
        here.filter_map(|(name, player)| match own {
            Some(_) => sure.then(|| ClusterReport::BackendEnded {
                name: name.clone(),
                process_gone: true,
            }),
            None => (patient && player.phase == BackendPhase::Registered).then(|| {
                ClusterReport::BackendSilent {
                    name: name.clone(),
                    silent: true,
                }
            }),
        })
        .collect()
    }
}

impl Stage {
    pub(super) fn tell(&mut self, at: usize) {
        let (now, clock) = (self.now, self.clock(at));
        let node = &mut self.nodes[at];
        node.post
            .until
            .take_if(|(position, until)| node.programme.position >= *position || now >= *until);
        if node.post.telling || node.post.until.is_some() || node.proved == 0 {
            return;
        }
        let wanted = node.wanted(&self.plan, clock);
        if !wanted.is_empty() {
            node.post.telling = true;
            node.over.extend(wanted.iter().filter_map(|wanted| {
                if let ClusterReport::BackendEnded { name, .. } = wanted {
                    Some(name.clone())
                } else {
                    None
                }
            }));
            self.post(at, Whose::Desk, wanted);
        }
    }

    pub(super) fn post(&mut self, at: usize, whose: Whose, reports: Vec<ClusterReport>) {
        self.nodes[at].post.waiting.push_back((whose, reports));
        self.post_next(at);
    }

    fn post_next(&mut self, at: usize) {
        let post = &mut self.nodes[at].post;
        if post.out.is_some() {
            return;
        }
        post.out = post.waiting.pop_front();
        if post.out.is_some() {
            post.sequence += 1;
            let sequence = post.sequence;
            self.again(at, sequence);
        }
    }

    /// The same entry, sequence and all, until it is answered.
    pub(super) fn again(&mut self, at: usize, sequence: u64) {
        let node = &self.nodes[at];
        let Some((_, reports)) = node
            .post
            .out
            .clone()
            .filter(|_| node.post.sequence == sequence)
        else {
            return;
        };
        let (life, lost) = (node.life, node.cut || node.dumb);
        if !lost {
            self.after((500, 20_000), Event::Ordered(at, life, sequence, reports));
        }
        self.after((700_000, 720_000), Event::Again(at, life, sequence));
    }

    pub(super) fn ordered(
        &mut self,
        at: usize,
        life: u64,
        sequence: u64,
        reports: Vec<ClusterReport>,
    ) {
        let outcome = self.order((
            self.nodes[at].name.clone(),
            super::node::incarnation(&self.nodes[at].name, life),
            sequence,
            reports,
        ));
        let hears = !self.nodes[at].cut && !self.nodes[at].dumb;
        outcome.filter(|_| hears).into_iter().for_each(|outcome| {
            self.after((500, 20_000), Event::Logged(at, life, sequence, outcome))
        });
    }

    pub(super) fn order(&mut self, entry: super::log::Entry) -> Option<Outcome> {
        if self.log.out_until > self.now {
            return None;
        }
        let outcome = self.log.order(self.now, entry);
        (0..self.log.seats.len())
            .for_each(|seat| self.after((200, 15_000), Event::SeatApplies(seat)));
        Some(outcome)
    }

    pub(super) fn logged(&mut self, at: usize, sequence: u64, outcome: Outcome) {
        let now = self.now;
        let post = &mut self.nodes[at].post;
        let Some((whose, told)) = post.out.take_if(|_| post.sequence == sequence) else {
            return;
        };
        let here = match outcome {
            Outcome::Accepted { position, .. } => Some(position),
            _ => None,
        };
        let node = &mut self.nodes[at];
        match whose {
            Whose::Desk => {
                node.post.telling = false;
                node.post.until = here.map(|position| (position, now + 500_000));
                node.facts.retain(|fact| !told.contains(fact));
                node.ends.retain(|name, surely| {
                    !(*surely
                        && told.contains(&ClusterReport::BackendEnded {
                            name: name.clone(),
                            process_gone: true,
                        }))
                });
            }
            Whose::Duty => node.duty.placed(here, now),
        }
        self.post_next(at);
        self.tell(at);
    }
}
