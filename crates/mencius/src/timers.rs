//! What happens as time passes: heartbeats, overdue skips, suspicion, and instances that do not
//! finish (design 3.6, 3.7).

use std::mem::take;

use rand::Rng;

use crate::messages::{Instance, Message, Micros, ReplicaId};
use crate::replica::Replica;
use crate::state::Stall;

/// A revocation without an outcome is given up after this, so that another can begin. In
/// microseconds.
const REVOCATION_TIMEOUT: Micros = 1_000_000;
/// The pause between two fetches is `stall_fetch_after` at first. It doubles each time that so many
/// times `stall_fetch_after` have passed.
const FETCHES_PER_DOUBLING: u64 = 4;
/// How often that pause doubles at most.
const MAX_FETCH_DOUBLINGS: u64 = 3;

impl Replica {
    /// Anything that a peer sends shows that it runs.
    pub(crate) fn record_contact(&mut self, from: ReplicaId) {
        if from == self.replica_id {
            return;
        }
        let now = self.now;
        let max_timeout = self.config.max_suspicion_timeout;
        let peer = self.peer_mut(from);
        peer.last_heard = now;
        if take(&mut peer.suspected) {
            // It was alive after all, or came back: be slower to suspect it next time (paper 4.1,
            // unreliable failure detector).
            peer.suspicion_timeout = (peer.suspicion_timeout * 3 / 2).min(max_timeout);
        }
    }

    pub(crate) fn tick(&mut self) {
        self.excuse_own_pause();
        for peer in self.peer_ids() {
            self.flush_skips(peer);
            self.send_heartbeat(peer);
            self.check_suspicion(peer);
        }
        self.retry_read_round();
        self.start_read_round();
        self.resolve_stall();
        for peer in self.suspected_peers() {
            self.revoke_ahead(peer);
        }
        let now = self.now;
        self.revocations
            .retain(|_, revocation| revocation.started_at + REVOCATION_TIMEOUT > now);
        self.apply_ready();
    }

    /// A replica that did not run for a while must not blame its peers for its own silence.
    fn excuse_own_pause(&mut self) {
        let pause = self.now - self.last_tick;
        self.last_tick = self.now;
        if pause > self.config.initial_suspicion_timeout {
            let excused = self.now.saturating_sub(self.config.heartbeat_interval);
            for peer in &mut self.peers {
                peer.last_heard = peer.last_heard.max(excused);
            }
        }
    }

    /// Accelerator 1 (paper 4.4): skips that were not announced to a peer are sent once there are more
    /// than α, or after τ.
    fn flush_skips(&mut self, to: ReplicaId) {
        let peer = self.peer(to);
        let outstanding = self.index.saturating_sub(peer.announced_cursor) / self.replica_count;
        let waited = self.now.saturating_sub(peer.announced_at);
        if outstanding == 0 {
            self.peer_mut(to).announced_at = self.now;
        } else if outstanding > self.config.alpha || waited >= self.config.tau {
            self.send(to, Message::Skip);
            self.peer_mut(to).announced_at = self.now;
        }
    }

    fn send_heartbeat(&mut self, to: ReplicaId) {
        if self.now >= self.peer(to).last_sent + self.config.heartbeat_interval {
            self.send(
                to,
                Message::Heartbeat {
                    applied: self.applied,
                },
            );
        }
    }

    fn check_suspicion(&mut self, peer: ReplicaId) {
        let now = self.now;
        let peer = self.peer_mut(peer);
        if now > peer.last_heard + peer.suspicion_timeout {
            peer.suspected = true;
        }
    }

    /// An instance that is known to exist cannot be applied: its outcome is first asked for, then
    /// its coordinator is revoked, suspected or not (design 3.6).
    fn resolve_stall(&mut self) {
        let awaited = self
            .awaited_instance()
            .is_some_and(|awaited| awaited >= self.applied);
        if self.stall.instance != self.applied || !awaited {
            self.stall = Stall {
                instance: self.applied,
                since: self.now,
            };
            self.revocation_attempts.fill(0);
            return;
        }
        let waited = self.now - self.stall.since;
        let coordinator = self.coordinator(self.applied);
        let own = coordinator == self.replica_id;
        if self.fetch_is_due(waited, 2 * self.config.heartbeat_interval) {
            self.fetch_from_next_peer(waited);
        }
        if own && self.fetch_is_due(waited, self.config.heartbeat_interval) {
            self.resend_suggestion(self.applied);
        }
        let revocable = !own || self.rejected.contains(&self.applied);
        if waited >= self.config.stall_revoke_after && revocable {
            self.schedule_revocation(coordinator, self.index.max(self.applied + 1));
        }
    }

    /// Whether `waited` lies within `window` after a multiple of the pause between fetches. The
    /// pause grows, as what was asked for may be on its way.
    fn fetch_is_due(&self, waited: Micros, window: Micros) -> bool {
        let base = self.config.stall_fetch_after;
        let doublings = (waited / (FETCHES_PER_DOUBLING * base)).min(MAX_FETCH_DOUBLINGS);
        let pause = base << doublings;
        waited >= pause && waited % pause < window
    }

    /// Asks the connected peers in turn.
    fn fetch_from_next_peer(&mut self, waited: Micros) {
        let connected: Vec<ReplicaId> = self
            .peer_ids()
            .filter(|peer| self.peer(*peer).connected)
            .collect();
        let turn = (waited / self.config.stall_fetch_after) as usize;
        if let Some(peer) = connected.get(turn % connected.len().max(1)) {
            self.send(*peer, Message::FetchOutcomes { from: self.applied });
        }
    }

    /// Optimization 3 (paper 4.4): a suspected coordinator is revoked ahead of need, in blocks.
    fn revoke_ahead(&mut self, coordinator: ReplicaId) {
        let beta = self.config.beta;
        if self.first_unknown_of(coordinator, self.applied) < self.index + beta {
            self.schedule_revocation(coordinator, self.index + 2 * beta);
        }
    }

    /// Begins a revocation of the coordinator's instances below `end`, now or later: the nearest
    /// live replica after the coordinator goes first, the others leave it time and jitter.
    fn schedule_revocation(&mut self, coordinator: ReplicaId, end: Instance) {
        let not_before = self.revoke_not_before[usize::from(coordinator)];
        if self.revocations.contains_key(&coordinator) || self.now < not_before {
            return;
        }
        let earlier = self.live_replicas_between(coordinator);
        if earlier > 0 && not_before == 0 && coordinator != self.replica_id {
            let interval = self.config.heartbeat_interval;
            let jitter = self.rng.random_range(0..interval);
            self.revoke_not_before[usize::from(coordinator)] =
                self.now + earlier * interval + jitter;
            return;
        }
        self.revoke_not_before[usize::from(coordinator)] = 0;
        self.start_revocation(coordinator, end);
    }

    /// How many replicas that are not suspected come after the coordinator and before this one,
    /// counted around the group.
    fn live_replicas_between(&self, coordinator: ReplicaId) -> u64 {
        let count = self.replica_count as ReplicaId;
        (1..count)
            .map(|step| (coordinator + step) % count)
            .take_while(|replica_id| *replica_id != self.replica_id)
            .filter(|replica_id| !self.peer(*replica_id).suspected)
            .count() as u64
    }
}
