//! Processes heartbeats of the backend and answers them with the leases that it is granted (design sections 11.2 and
//! 11.5).

use std::time::Duration;

use model::Microseconds;
use model::cluster_state::ClusterReport;

use super::command::{Command, ResponseSender};
use super::granter::LeaseGrant;
use super::state::{LeaseTableTask, LocalBackend, is_keyed, shard_map_of};
use crate::heartbeat::{Heartbeat, HeldRange, LeasedRange};

/// Maximum delay of a response; backends wait one second for it.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(650);

impl LeaseTableTask {
    pub(super) fn receive_heartbeat(&mut self, heartbeat: Heartbeat, response: ResponseSender) {
        let now = model::now();
        if self.is_stale(&heartbeat, now) {
            // Fails if the backend no longer waits.
            drop(response.send(None));
            return;
        }
        self.end_replaced_backend(&heartbeat.name);
        self.queue_release(&heartbeat);
        let is_first = self.backend.is_none();
        let is_urgent = is_first || self.is_release_or_drain(&heartbeat);
        let (name, sequence) = (heartbeat.name.clone(), heartbeat.sequence);
        self.backend = Some(self.updated_backend(heartbeat, response, now));
        self.answer_heartbeat(is_urgent);
        if self
            .backend
            .as_ref()
            .is_some_and(|backend| backend.response_sender.is_some())
        {
            let commands = self.commands.clone();
            tokio::spawn(async move {
                tokio::time::sleep(MAX_RESPONSE_DELAY).await;
                // Fails if the lease table's task has ended; then no response is sent.
                drop(commands.send(Command::ResponseDue { name, sequence }).await);
            });
        }
    }

    /// Returns whether a heartbeat is from an earlier incarnation of the backend or from a backend that has ended, or
    /// repeats an earlier heartbeat.
    fn is_stale(&self, heartbeat: &Heartbeat, now: Microseconds) -> bool {
        let is_repeated = self.backend.as_ref().is_some_and(|backend| {
            backend.heartbeat.name == heartbeat.name
                && backend.heartbeat.sequence >= heartbeat.sequence
        });
        is_repeated
            || self.is_of_earlier_incarnation(heartbeat, now)
            || self.has_ended(&heartbeat.name)
    }

    /// Returns whether a heartbeat is a late one of an earlier incarnation.
    ///
    /// While heartbeats of another backend arrive, a backend that the log already had here is the earlier incarnation.
    /// If heartbeats of two backends arrive almost at the same time, as after a pause of this node, the first one is
    /// kept until the running backend sends its next heartbeat.
    fn is_of_earlier_incarnation(&self, heartbeat: &Heartbeat, now: Microseconds) -> bool {
        let other_heartbeat_within = |span: Microseconds| {
            self.backend.as_ref().is_some_and(|backend| {
                backend.heartbeat.name != heartbeat.name && now < backend.last_heartbeat_at + span
            })
        };
        let interval = self.config.heartbeat_interval;
        let is_known = || self.snapshot().backends.contains_key(&heartbeat.name);
        other_heartbeat_within(interval / 4) || is_known() && other_heartbeat_within(interval * 2)
    }

    /// Ends the current backend if the heartbeat has another name: a machine has one backend, so the earlier backend's
    /// process is gone.
    fn end_replaced_backend(&mut self, name: &str) {
        if let Some(earlier) = self
            .backend
            .take_if(|backend| backend.heartbeat.name != name)
        {
            self.pending_ends.insert(earlier.heartbeat.name, true);
        }
    }

    fn queue_release(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.released_ranges.is_empty() {
            return;
        }
        self.pending_reports.push(ClusterReport::ShardsReleased {
            service: heartbeat.service.clone(),
            name: heartbeat.name.clone(),
            known_through: self.snapshot().position,
            ranges: heartbeat.released_ranges.clone(),
        });
    }

    /// Returns whether the backend starts to drain or has released ranges with this heartbeat.
    fn is_release_or_drain(&self, heartbeat: &Heartbeat) -> bool {
        let is_draining = self
            .backend
            .as_ref()
            .is_some_and(|backend| backend.draining_since.is_some());
        heartbeat.draining && !is_draining || !heartbeat.released_ranges.is_empty()
    }

    fn updated_backend(
        &self,
        heartbeat: Heartbeat,
        response: ResponseSender,
        now: Microseconds,
    ) -> LocalBackend {
        let previous = self.backend.as_ref();
        // Ranges that the backend holds at the first heartbeat to this process were granted by an earlier process of
        // this node, for an unknown time of at most the maximum lease duration.
        let earlier_lease_expiry = || match heartbeat.held_ranges.is_empty() {
            true => 0,
            false => now + self.config.leases.max_duration,
        };
        LocalBackend {
            last_heartbeat_at: now,
            draining_since: previous
                .and_then(|backend| backend.draining_since)
                .or(heartbeat.draining.then_some(now)),
            lease_expires: previous.map_or(0, |backend| backend.lease_expires),
            earlier_lease_expires: previous.map_or_else(earlier_lease_expiry, |backend| {
                backend.earlier_lease_expires
            }),
            silent: false,
            probing: false,
            response_sender: Some(response),
            received_repeatedly: previous.is_some(),
            rejected: previous.is_some_and(|backend| backend.rejected),
            heartbeat,
        }
    }

    /// Answers the latest heartbeat if the response changes the backend's ranges, or if the response is due. This way
    /// the backends that release or receive a range are notified as soon as the change is in the log instead of at
    /// their next heartbeat (design section 11.5).
    pub(super) fn answer_heartbeat(&mut self, due: bool) {
        let Some(mut backend) = self.backend.take() else {
            return;
        };
        if let Some(response) = backend.response_sender.take() {
            backend.response_sender = self.respond_or_delay(&mut backend, response, due);
        }
        self.backend = Some(backend);
    }

    /// Sends the response, or returns the sender if the response is delayed further.
    fn respond_or_delay(
        &mut self,
        backend: &mut LocalBackend,
        response: ResponseSender,
        due: bool,
    ) -> Option<ResponseSender> {
        let now = model::now();
        let verified = self.verified_state.load_full();
        let heartbeat = &backend.heartbeat;
        let keyed = is_keyed(&verified.snapshot, &heartbeat.service);
        let shard_map = shard_map_of(&verified.snapshot, &heartbeat.service);
        let grant = self
            .lease_granter
            .grant(
                now,
                verified.verified_at,
                &shard_map,
                &heartbeat.name,
                &heartbeat.held_ranges,
            )
            .filter(|_| keyed && !*self.superseded.borrow());
        let ranges_changed = grant
            .as_ref()
            .is_some_and(|grant| held_ranges(grant) != heartbeat.held_ranges);
        // Responses to backends of an unkeyed service are never delayed, because no ranges can change.
        if !due && !ranges_changed && keyed {
            return Some(response);
        }
        let renewal = grant.map(|grant| self.record_grant(now, backend, grant));
        // Fails if the backend no longer waits.
        drop(response.send(renewal));
        None
    }

    /// Records the granted ranges and their expiry, and returns the response for the backend.
    fn record_grant(
        &mut self,
        now: Microseconds,
        backend: &mut LocalBackend,
        grant: LeaseGrant,
    ) -> (Vec<LeasedRange>, Microseconds) {
        backend.lease_expires = now + grant.duration;
        backend.heartbeat.held_ranges = held_ranges(&grant);
        if !grant.expired_releases.is_empty() {
            self.pending_reports.push(ClusterReport::ReleasesExpired {
                service: backend.heartbeat.service.clone(),
                ranges: grant.expired_releases,
            });
        }
        (grant.ranges, grant.duration)
    }
}

fn held_ranges(grant: &LeaseGrant) -> Vec<HeldRange> {
    grant
        .ranges
        .iter()
        .map(|(from, to, token, _)| (*from, *to, *token))
        .collect()
}
