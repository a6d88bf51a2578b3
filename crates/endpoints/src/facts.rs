//! What the log should know and does not: told again until it stands there (design 11.2).

use crate::desk::{Command, Owner};
use crate::registration::Standing;
use model::Outcome;
use model::bill::Report;

/// Between a report that changed nothing or was not taken and the next one.
const TELL_AGAIN: std::time::Duration = std::time::Duration::from_millis(200);

/// Beats that may be missed before the back end is taken for silent.
pub(crate) const MISSED: u64 = 3;

impl Owner {
    /// All that differs between what is so here and what the log says, as reports.
    fn wanted(&self, standing: Standing) -> Vec<Report> {
        let programme = self.outlook.load().programme.clone();
        let env = &self.env;
        let replaces = if let Standing::Unregistered { replaces } = standing { replaces } else { env.life };
        let place = programme.places.get(&env.node).is_some_and(|held| held.life == env.life && held.present && held.address == env.address);
        let node = Report::Node { node: env.node.clone(), zone: env.zone.clone(), address: env.address.clone(), life: env.life, replaces };
        let own = self.own.iter().filter(|own| !self.ends.contains_key(&own.beat.name)).flat_map(|own| {
            let (name, player) = (own.beat.name.clone(), self.player(own));
            let held = programme.players.get(&name);
            let phase = held.map(|held| held.phase);
            let joined = match held {
                None => !own.silent && !own.denied,
                Some(held) => held.slots != player.slots || held.node != player.node,
            };
            let joined = joined
                .then(|| Report::Joined { name: name.clone(), player: model::bill::Player { phase: phase.unwrap_or(model::Phase::Registered), ..player } });
            let silent = (phase == Some(model::Phase::Registered) && own.silent) || (phase == Some(model::Phase::PresumedGone) && !own.silent);
            let silent = silent.then(|| Report::Silent { name: name.clone(), silent: own.silent });
            let drains = own.drained.is_some() && phase.map_or(!own.denied, |phase| phase == model::Phase::Registered);
            let drains = drains.then_some(Report::Draining { name });
            [joined, silent, drains].into_iter().flatten()
        });
        // One that signed off is told once; that its process is gone, too, once that is sure.
        let ends = self.ends.iter().filter(|(name, surely)| **surely || programme.players.contains_key(*name));
        let ends = ends.map(|(name, surely)| Report::Ended { name: name.clone(), surely: *surely });
        let others = self.strangers(&programme);
        (!place).then_some(node).into_iter().chain(self.facts.clone()).chain(own).chain(ends).chain(others).collect()
    }

    /// One back end to a machine: whoever else the log has beside this node is an earlier life, gone with its process,
    /// though this process never heard it. While no other is heard it is only silent.
    fn strangers(&self, programme: &model::bill::Programme) -> Vec<Report> {
        // Where the log knows both, the one that beats on is the one that lives.
        let sure = |own: &&crate::desk::Own| own.beats_on || !programme.players.contains_key(&own.beat.name);
        let (own, sure) = (self.own.as_ref().map(|own| own.beat.name.as_str()), self.own.as_ref().is_some_and(|own| sure(&own)));
        let patient = model::now() > self.began + self.env.beat_every * MISSED;
        let here = programme.players.iter().filter(|(name, player)| player.node == self.env.node && !self.ends.contains_key(*name));
        here.filter(|(name, _)| own != Some(name))
            .filter_map(|(name, player)| match own {
                Some(_) => sure.then(|| Report::Ended { name: name.clone(), surely: true }),
                None => (patient && player.phase == model::Phase::Registered).then(|| Report::Silent { name: name.clone(), silent: true }),
            })
            .collect()
    }

    /// One entry at a time; what changes meanwhile goes with the next.
    pub(crate) fn tell(&mut self) {
        // Before the first proof what is held here may lack what stands already.
        if self.telling || self.outlook.load().proved == 0 {
            return;
        }
        let standing = self.registration.look(self.outlook.load().programme.places.get(&self.env.node));
        if standing == Standing::Superseded {
            return self.stop_for_another();
        }
        let wanted = self.wanted(standing);
        if wanted.is_empty() {
            return;
        }
        self.telling = true;
        self.over.extend(wanted.iter().filter_map(|wanted| if let Report::Ended { name, .. } = wanted { Some(name.clone()) } else { None }));
        let (reports, commands) = (self.reports.clone(), self.commands.clone());
        let outlook = self.outlook.clone();
        tokio::spawn(async move {
            let outcome = reports.report(wanted.clone()).await;
            // Until the news of it is here the same would be wanted again.
            if let Some(position) = outcome.as_ref().and_then(stands_at) {
                let here = async {
                    while outlook.load().programme.position < position {
                        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                    }
                };
                drop(tokio::time::timeout(std::time::Duration::from_millis(500), here).await);
            }
            if !matches!(outcome, Some(Outcome::Accepted { .. })) {
                tokio::time::sleep(TELL_AGAIN).await;
            }
            drop(commands.send(Command::Logged(wanted, outcome)).await);
        });
    }

    /// Another process of this name was registered after this one: it tells and grants nothing more.
    fn stop_for_another(&mut self) {
        if !self.superseded.send_replace(true) {
            slog::error!(self.logger, "another process was registered under this node's name; this one serves no more"; "node" => &self.env.node);
        }
    }

    pub(crate) fn logged(&mut self, told: Vec<Report>, outcome: Option<Outcome>) {
        self.telling = false;
        match outcome {
            None => return,
            Some(Outcome::Superseded { position }) => {
                return slog::warn!(self.logger, "the log has another incarnation of this node; registers again"; "position" => position);
            }
            Some(_) => {}
        }
        // Told once more it would change nothing either.
        let unchanged = matches!(outcome, Some(Outcome::Unchanged { .. }));
        self.own
            .iter_mut()
            .filter(|own| unchanged && told.iter().any(|told| matches!(told, Report::Joined { name, .. } if *name == own.beat.name)))
            .for_each(|own| own.denied = true);
        self.facts.retain(|fact| !told.contains(fact));
        self.ends.retain(|name, surely| {
            let gone = told.contains(&Report::Ended { name: name.clone(), surely: *surely });
            // One whose process may live is kept in mind until it is sure.
            !(gone && *surely)
        });
    }

    /// A back end that stopped beating: is its process gone? A conn refused on this machine says so.
    pub(crate) fn mind_silence(&mut self) {
        let now = model::now();
        let Some(own) = self.own.as_mut() else { return self.mind_earlier(now) };
        if now < own.heard + self.env.beat_every * MISSED / 2 && !own.silent || own.probing {
            return;
        }
        if now > own.heard + self.env.beat_every * MISSED {
            own.silent = true;
        }
        // Nobody renews what it holds: once that has run out it holds nothing.
        let over = own.silent && now > own.held_until.max(own.told_before) + self.env.beat_every;
        let name = own.beat.name.clone();
        if over && self.ends.contains_key(&name) {
            return self.refuses(&name, true);
        }
        if over {
            self.holds_nothing();
        }
        let Some(own) = self.own.as_mut() else { return };
        own.probing = true;
        let (address, name) = (own.beat.address.clone(), own.beat.name.clone());
        self.probe(address, name);
    }

    /// The log names a back end beside this node that this life of the node has not heard: it may be gone.
    fn mind_earlier(&mut self, now: model::Micros) {
        let (programme, node) = (self.outlook.load().programme.clone(), &self.env.node);
        let earlier = programme.players.iter().find(|(name, player)| player.node == *node && !self.ends.contains_key(*name));
        let silent = now > self.began.max(self.looked) + self.env.beat_every * 2;
        if let Some((address, (name, _))) = self.env.back_end.clone().zip(earlier).filter(|_| silent) {
            self.looked = now;
            self.probe(address, name.clone());
        }
    }

    fn probe(&self, address: String, name: String) {
        let commands = self.commands.clone();
        tokio::spawn(async move {
            let mut refused = 0;
            for _ in 0..2 {
                let conn = tokio::time::timeout(std::time::Duration::from_millis(300), tokio::net::TcpStream::connect(&address)).await;
                refused += matches!(conn, Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused) as u8;
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
            drop(commands.send(Command::Refuses(name, refused == 2)).await);
        });
    }

    /// It may be heard again, under the same name; whoever waits for what it owes need not.
    fn holds_nothing(&mut self) {
        let programme = self.outlook.load().programme.clone();
        let Some(own) = &self.own else { return };
        let (service, name) = (own.beat.service.clone(), own.beat.name.clone());
        let rows = programme.castings.get(&service).map(|held| held.1.clone()).unwrap_or_default();
        let owed = rows.iter().filter(|row| row.owed.iter().any(|(owing, _)| *owing == name));
        let rows: Vec<_> = owed.map(|row| (row.from, row.to, String::new())).collect();
        let fact = Report::Released { service, name, through: programme.position, rows };
        let owes = matches!(&fact, Report::Released { rows, .. } if !rows.is_empty());
        if owes && !self.facts.contains(&fact) {
            self.facts.push(fact);
        }
    }

    pub(crate) fn refuses(&mut self, name: &str, refuses: bool) {
        self.own.iter_mut().filter(|own| own.beat.name == name).for_each(|own| own.probing = false);
        if refuses {
            slog::info!(self.logger, "the back end's process is gone"; "name" => name);
            self.ends.insert(name.to_string(), true);
            self.own.take_if(|own| own.beat.name == name);
        }
    }
}

/// Up to where the log had come when it gave this answer.
fn stands_at(outcome: &Outcome) -> Option<model::Position> {
    match outcome {
        Outcome::Accepted { position, .. } | Outcome::Unchanged { position } | Outcome::Superseded { position } => Some(*position),
        _ => None,
    }
}
