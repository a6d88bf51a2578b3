//! A beat and its answer: what the back end says of itself, and what it is told to hold (design 11.2, 11.5).

use crate::desk::{Answer, Beat, Command, Own, Owner};
use crate::keys::Grant;
use model::bill::{Key, Report};
use model::{Micros, Position};

/// An answer is kept back so long at most: whoever beats waits a second for it.
const KEPT: std::time::Duration = std::time::Duration::from_millis(650);

impl Owner {
    pub(crate) fn beat(&mut self, beat: Beat, answer: Answer) {
        let now = model::now();
        // While another beats, one that the log had here before is the earlier life, and its beat comes late. Of two in one
        // breath, as after a standstill, the one that lives beats again.
        let within = |span: Micros| self.own.as_ref().is_some_and(|own| own.beat.name != beat.name && now < own.heard + span);
        let programme = self.outlook.load().programme.clone();
        let earlier = within(self.env.beat_every / 4) || programme.players.contains_key(&beat.name) && within(self.env.beat_every * 2);
        let late = self.own.as_ref().is_some_and(|own| own.beat.name == beat.name && own.beat.sequence >= beat.sequence);
        if earlier || late || self.ends.contains_key(&beat.name) || self.over.contains(&beat.name) {
            return drop(answer.send(None));
        }
        if let Some(earlier) = self.own.take_if(|own| own.beat.name != beat.name) {
            // One back end to a machine: the earlier life is over, its process with it.
            self.ends.insert(earlier.beat.name, true);
        }
        if !beat.freed.is_empty() {
            let (service, name, through) = (beat.service.clone(), beat.name.clone(), programme.position);
            self.facts.push(Report::Released { service, name, through, rows: beat.freed.clone() });
        }
        // The first beat heard here: what it holds it was told before, and nobody here knows for how long.
        let unknown = if beat.holds.is_empty() { 0 } else { now + self.env.keys.most };
        let (held_until, told_before) = self.own.as_ref().map(|own| (own.held_until, own.told_before)).unwrap_or((0, unknown));
        let (beats_on, denied) = (self.own.is_some(), self.own.as_ref().is_some_and(|own| own.denied));
        let news = beat.draining && self.own.as_ref().is_none_or(|own| own.drained.is_none()) || !beat.freed.is_empty();
        let drained = self.own.as_ref().and_then(|own| own.drained).or(beat.draining.then_some(now));
        let (name, sequence, commands) = (beat.name.clone(), beat.sequence, self.commands.clone());
        let kept = Some(answer);
        self.own = Some(Own { heard: now, drained, held_until, told_before, silent: false, probing: false, kept, beats_on, denied, beat });
        self.answer(!beats_on || news);
        if self.own.as_ref().is_some_and(|own| own.kept.is_some()) {
            tokio::spawn(async move {
                tokio::time::sleep(KEPT).await;
                drop(commands.send(Command::Due(name, sequence)).await);
            });
        }
    }

    /// Answers the latest beat when its rows change by it, or when it is due: so that who is to let go, and who is
    /// to get, hear it as soon as it stands in the log and not at their next beat (design 11.5).
    pub(crate) fn answer(&mut self, due: bool) {
        let Some(mut own) = self.own.take() else { return };
        let (now, outlook) = (model::now(), self.outlook.load_full());
        let programme = &outlook.programme;
        let keyed = programme.services.get(&own.beat.service).is_some_and(|service| service.keyed);
        let rows = programme.castings.get(&own.beat.service).map(|held| held.1.clone()).unwrap_or_default();
        if own.kept.is_some() {
            let grant = self.keys.grant(now, outlook.proved, &rows, &own.beat.name, &own.beat.holds).filter(|_| keyed && !*self.superseded.borrow());
            let told = |grant: &Grant| grant.rows.iter().map(|(from, to, fence, _)| (*from, *to, *fence)).collect::<Vec<_>>();
            let changes = grant.as_ref().is_some_and(|grant| told(grant) != own.beat.holds);
            // A service that is not divided by key has nothing to wait for.
            if due || changes || !keyed {
                let answer = grant.map(|grant| self.granted(now, &mut own, grant));
                own.kept.take().into_iter().for_each(|kept| drop(kept.send(answer.clone())));
            }
        }
        self.own = Some(own);
    }

    fn granted(&mut self, now: Micros, own: &mut Own, grant: Grant) -> (Vec<(Key, Key, Position, String)>, Micros) {
        if !grant.settled.is_empty() {
            self.facts.push(Report::Settled { service: own.beat.service.clone(), rows: grant.settled });
        }
        own.held_until = now + grant.hold;
        // What it was told is what it holds from here on.
        own.beat.holds = grant.rows.iter().map(|(from, to, fence, _)| (*from, *to, *fence)).collect();
        (grant.rows, grant.hold)
    }
}
