//! What the log should know and does not: told again until it stands there (design 11.2).

use crate::desk::{Command, Owner};
use playbill::bill::Report;

/// Beats that may be missed before the back end is taken for silent.
const MISSED: u64 = 3;

impl Owner {
    /// All that differs between what is so here and what the log says, as reports.
    fn wanted(&self) -> Vec<Report> {
        let programme = self.outlook.load().programme.clone();
        let env = &self.env;
        let place = programme.places.get(&env.node).is_some_and(|held| held.life == env.life && held.present && held.address == env.address);
        let node = Report::Node { node: env.node.clone(), zone: env.zone.clone(), address: env.address.clone(), life: env.life };
        let own = self.own.iter().filter(|own| !self.ends.contains_key(&own.beat.name)).flat_map(|own| {
            let (name, player) = (own.beat.name.clone(), self.player(own));
            let held = programme.players.get(&name);
            let phase = held.map(|held| held.phase);
            let joined = match held {
                None => !own.silent,
                Some(held) => held.slots != player.slots || held.node != player.node,
            };
            let joined = joined.then(|| Report::Joined {
                name: name.clone(),
                player: playbill::bill::Player { phase: phase.unwrap_or(playbill::Phase::Registered), ..player },
            });
            let silent = (phase == Some(playbill::Phase::Registered) && own.silent) || (phase == Some(playbill::Phase::PresumedGone) && !own.silent);
            let silent = silent.then(|| Report::Silent { name: name.clone(), silent: own.silent });
            let drains = own.drained.is_some() && phase.is_none_or(|phase| phase == playbill::Phase::Registered);
            let drains = drains.then_some(Report::Draining { name });
            [joined, silent, drains].into_iter().flatten()
        });
        // What may live on is told once: until it is sure the log has nothing to add.
        let news = self.ends.iter().filter(|(name, surely)| **surely || programme.players.contains_key(*name));
        let ends = news.map(|(name, surely)| Report::Ended { name: name.clone(), surely: *surely });
        // One back end to a machine: whoever else stands there ended with an earlier life of it.
        let earlier = self.own.iter().flat_map(|own| {
            let others = programme.players.iter().filter(|(name, player)| player.node == env.node && **name != own.beat.name);
            others.filter(|(name, _)| !self.ends.contains_key(*name)).map(|(name, _)| Report::Ended { name: name.clone(), surely: true })
        });
        (!place).then_some(node).into_iter().chain(self.facts.clone()).chain(own).chain(ends).chain(earlier).collect()
    }

    /// One entry at a time; what changes meanwhile goes with the next.
    pub(crate) fn tell(&mut self) {
        // Before the first proof what is held here may lack what stands already.
        if self.telling || self.outlook.load().proved == 0 {
            return;
        }
        let wanted = self.wanted();
        if wanted.is_empty() {
            return;
        }
        self.telling = true;
        let (reports, commands) = (self.reports.clone(), self.commands.clone());
        let outlook = self.outlook.clone();
        tokio::spawn(async move {
            let outcome = reports.report(wanted.clone()).await;
            // Until the news of it is here the same would be wanted again.
            if let Some(playbill::Outcome::Accepted { position, .. }) = &outcome {
                let here = async {
                    while outlook.load().programme.position < *position {
                        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                    }
                };
                drop(tokio::time::timeout(std::time::Duration::from_millis(500), here).await);
            }
            drop(commands.send(Command::Logged(wanted, outcome)).await);
        });
    }

    pub(crate) fn logged(&mut self, told: Vec<Report>, outcome: Option<playbill::Outcome>) {
        self.telling = false;
        if outcome.is_none() {
            return;
        }
        self.facts.retain(|fact| !told.contains(fact));
        self.ends.retain(|name, surely| {
            let gone = told.contains(&Report::Ended { name: name.clone(), surely: *surely });
            // One whose process may live is kept in mind until it is sure.
            !(gone && *surely)
        });
    }

    /// A back end that stopped beating: is its process gone? A conn refused on this machine says so.
    pub(crate) fn mind_silence(&mut self) {
        let now = playbill::now();
        let Some(own) = self.own.as_mut() else { return };
        if now < own.heard + self.env.beat_every * MISSED / 2 && !own.silent || own.probing {
            return;
        }
        if now > own.heard + self.env.beat_every * MISSED {
            own.silent = true;
        }
        // Nobody renews what it holds: once that has run out it holds nothing.
        if own.silent && now > own.held_until + self.env.beat_every {
            let name = own.beat.name.clone();
            return self.refuses(&name, true);
        }
        own.probing = true;
        let (address, name, commands) = (own.beat.address.clone(), own.beat.name.clone(), self.commands.clone());
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

    pub(crate) fn refuses(&mut self, name: &str, refuses: bool) {
        if let Some(own) = self.own.as_mut().filter(|own| own.beat.name == name) {
            own.probing = false;
            if refuses {
                slog::info!(self.logger, "the back end's process is gone"; "name" => name);
                self.ends.insert(name.to_string(), true);
                self.own = None;
            }
        }
    }
}
