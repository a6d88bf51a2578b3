//! A beat and its answer: what the back end says of itself, and what it is told to hold (design 11.2, 11.5).

use crate::lease_table::{AnswerSender, Command, Heartbeat, LeaseTableTask, LocalBackend};
use crate::leases::LeaseGrant;
use model::cluster_state::{ClusterReport, ShardKey};
use model::{Microseconds, Position};
use std::time::Duration;

/// An answer is kept back so long at most: whoever beats waits a second for it.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(650);

impl LeaseTableTask {
    pub(crate) fn receive_heartbeat(&mut self, beat: Heartbeat, answer: AnswerSender) {
        let now = model::now();
        // While another beats, one that the log had here before is the earlier life, and its beat comes late. Of two in one
        // breath, as after a standstill, the one that lives beats again.
        let within = |span: Microseconds| {
            self.backend
                .as_ref()
                .is_some_and(|own| own.heartbeat.name != beat.name && now < own.last_heard + span)
        };
        let programme = self.verified_state.load().snapshot.clone();
        let earlier = within(self.config.heartbeat_interval / 4)
            || programme.backends.contains_key(&beat.name)
                && within(self.config.heartbeat_interval * 2);
        let late = self.backend.as_ref().is_some_and(|own| {
            own.heartbeat.name == beat.name && own.heartbeat.sequence >= beat.sequence
        });
        if earlier
            || late
            || self.pending_ends.contains_key(&beat.name)
            || self.ended_names.contains(&beat.name)
        {
            return drop(answer.send(None));
        }
        if let Some(earlier) = self.backend.take_if(|own| own.heartbeat.name != beat.name) {
            // One back end to a machine: the earlier life is over, its process with it.
            self.pending_ends.insert(earlier.heartbeat.name, true);
        }
        if !beat.released_ranges.is_empty() {
            let (service, name, through) =
                (beat.service.clone(), beat.name.clone(), programme.position);
            self.pending_reports.push(ClusterReport::ShardsReleased {
                service,
                name,
                known_through: through,
                ranges: beat.released_ranges.clone(),
            });
        }
        // The first beat heard here: what it holds it was told before, and nobody here knows for how long.
        let unknown = if beat.held_ranges.is_empty() {
            0
        } else {
            now + self.config.leases.max_duration
        };
        let (held_until, told_before) = self
            .backend
            .as_ref()
            .map(|own| (own.lease_expires, own.earlier_lease_expires))
            .unwrap_or((0, unknown));
        let (beats_on, denied) = (
            self.backend.is_some(),
            self.backend.as_ref().is_some_and(|own| own.rejected),
        );
        let news = beat.draining
            && self
                .backend
                .as_ref()
                .is_none_or(|own| own.draining_since.is_none())
            || !beat.released_ranges.is_empty();
        let drained = self
            .backend
            .as_ref()
            .and_then(|own| own.draining_since)
            .or(beat.draining.then_some(now));
        let (name, sequence, commands) = (beat.name.clone(), beat.sequence, self.commands.clone());
        let kept = Some(answer);
        self.backend = Some(LocalBackend {
            last_heard: now,
            draining_since: drained,
            lease_expires: held_until,
            earlier_lease_expires: told_before,
            silent: false,
            probing: false,
            pending_answer: kept,
            heard_repeatedly: beats_on,
            rejected: denied,
            heartbeat: beat,
        });
        self.answer_heartbeat(!beats_on || news);
        if self
            .backend
            .as_ref()
            .is_some_and(|own| own.pending_answer.is_some())
        {
            tokio::spawn(async move {
                tokio::time::sleep(MAX_ANSWER_DELAY).await;
                drop(commands.send(Command::AnswerDue(name, sequence)).await);
            });
        }
    }

    /// Answers the latest beat when its rows change by it, or when it is due: so that who is to let go, and who is
    /// to get, hear it as soon as it stands in the log and not at their next beat (design 11.5).
    pub(crate) fn answer_heartbeat(&mut self, due: bool) {
        let Some(mut own) = self.backend.take() else {
            return;
        };
        let (now, outlook) = (model::now(), self.verified_state.load_full());
        let programme = &outlook.snapshot;
        let keyed = programme
            .services
            .get(&own.heartbeat.service)
            .is_some_and(|service| service.keyed);
        let rows = programme
            .placements
            .get(&own.heartbeat.service)
            .map(|held| held.1.clone())
            .unwrap_or_default();
        if own.pending_answer.is_some() {
            let grant = self
                .lease_granter
                .grant(
                    now,
                    outlook.verified_at,
                    &rows,
                    &own.heartbeat.name,
                    &own.heartbeat.held_ranges,
                )
                .filter(|_| keyed && !*self.superseded.borrow());
            let told = |grant: &LeaseGrant| {
                grant
                    .ranges
                    .iter()
                    .map(|(from, to, fence, _)| (*from, *to, *fence))
                    .collect::<Vec<_>>()
            };
            let changes = grant
                .as_ref()
                .is_some_and(|grant| told(grant) != own.heartbeat.held_ranges);
            // A service that is not divided by key has nothing to wait for.
            if due || changes || !keyed {
                let answer = grant.map(|grant| self.record_grant(now, &mut own, grant));
                own.pending_answer
                    .take()
                    .into_iter()
                    .for_each(|kept| drop(kept.send(answer.clone())));
            }
        }
        self.backend = Some(own);
    }

    fn record_grant(
        &mut self,
        now: Microseconds,
        own: &mut LocalBackend,
        grant: LeaseGrant,
    ) -> (Vec<(ShardKey, ShardKey, Position, String)>, Microseconds) {
        if !grant.waited_out.is_empty() {
            self.pending_reports.push(ClusterReport::ReleasesExpired {
                service: own.heartbeat.service.clone(),
                ranges: grant.waited_out,
            });
        }
        own.lease_expires = now + grant.duration;
        // What it was told is what it holds from here on.
        own.heartbeat.held_ranges = grant
            .ranges
            .iter()
            .map(|(from, to, fence, _)| (*from, *to, *fence))
            .collect();
        (grant.ranges, grant.duration)
    }
}
