//! Time-driven actions: heartbeats, overdue skips, failure suspicion, and stalled instances (design
//! 3.6, 3.7).

use std::mem::take;

use rand::Rng;

use crate::messages::{Instance, Message, Micros, ReplicaId};
use crate::replica::Replica;
use crate::state::Stall;

/// The time after which a revocation without an outcome is abandoned, so that another can start, in
/// microseconds.
const REVOCATION_TIMEOUT: Micros = 1_000_000;
/// The interval between two fetches, initially `stall_fetch_after`, doubles each time that this
/// many times `stall_fetch_after` have passed.
const FETCHES_PER_DOUBLING: u64 = 4;
/// The maximum number of times that the interval between two fetches doubles.
const MAX_FETCH_DOUBLINGS: u64 = 3;

impl Replica {
    /// Records that a peer sent something, which shows that the peer is running.
    pub(crate) fn record_contact(&mut self, from: ReplicaId) {
        if from == self.replica_id {
            return;
        }
        let now = self.now;
        let max_timeout = self.config.max_suspicion_timeout;
        let peer = self.peer_mut(from);
        peer.last_received_at = now;
        if take(&mut peer.suspected) {
            // The suspicion was false or the peer has recovered: wait longer before suspecting it
            // again (paper 4.1, unreliable failure detector).
            peer.suspicion_timeout = (peer.suspicion_timeout * 3 / 2).min(max_timeout);
        }
    }

    pub(crate) fn tick(&mut self) {
        self.discount_own_pause();
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

    /// Extends the suspicion deadlines after a pause of this replica: peers must not be suspected
    /// because this replica did not process their frames.
    fn discount_own_pause(&mut self) {
        let pause = self.now - self.last_tick;
        self.last_tick = self.now;
        if pause > self.config.initial_suspicion_timeout {
            let last_received_at_least = self.now.saturating_sub(self.config.heartbeat_interval);
            for peer in &mut self.peers {
                peer.last_received_at = peer.last_received_at.max(last_received_at_least);
            }
        }
    }

    /// Accelerator 1 (paper 4.4): announces outstanding skips to a peer once there are more than α,
    /// or after τ.
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
        if now > peer.last_received_at + peer.suspicion_timeout {
            peer.suspected = true;
        }
    }

    /// Resolves a stall: the first unapplied instance has no known outcome, but a later command or
    /// a read waits for it. The outcome is first fetched from peers, then the instance is revoked,
    /// whether its coordinator is suspected or not (design 3.6).
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
        let is_own = coordinator == self.replica_id;
        if self.is_fetch_due(waited, 2 * self.config.heartbeat_interval) {
            self.fetch_from_next_peer(waited);
        }
        if is_own && self.is_fetch_due(waited, self.config.heartbeat_interval) {
            self.resend_suggestion(self.applied);
        }
        let may_revoke = !is_own || self.rejected.contains(&self.applied);
        if waited >= self.config.stall_revoke_after && may_revoke {
            self.schedule_revocation(coordinator, self.index.max(self.applied + 1));
        }
    }

    /// Returns whether `waited` lies within `window` after a multiple of the interval between
    /// fetches. The interval grows, as the requested outcomes may be in transit.
    fn is_fetch_due(&self, waited: Micros, window: Micros) -> bool {
        let base = self.config.stall_fetch_after;
        let doublings = (waited / (FETCHES_PER_DOUBLING * base)).min(MAX_FETCH_DOUBLINGS);
        let pause = base << doublings;
        waited >= pause && waited % pause < window
    }

    /// Fetches outcomes from one connected peer, in round-robin order.
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

    /// Optimization 3 (paper 4.4): revokes the instances of a suspected coordinator in advance, in
    /// large blocks.
    fn revoke_ahead(&mut self, coordinator: ReplicaId) {
        let beta = self.config.beta;
        if self.first_unknown_of(coordinator, self.applied) < self.index + beta {
            self.schedule_revocation(coordinator, self.index + 2 * beta);
        }
    }

    /// Starts a revocation of the coordinator's instances below `end`, now or after a delay. The
    /// next live replica after the coordinator starts first; each of the others waits one heartbeat
    /// interval for each live replica before it, plus jitter.
    fn schedule_revocation(&mut self, coordinator: ReplicaId, end: Instance) {
        let not_before = self.revoke_not_before[usize::from(coordinator)];
        if self.revocations.contains_key(&coordinator) || self.now < not_before {
            return;
        }
        let live_replicas_before = self.live_replicas_between(coordinator);
        if live_replicas_before > 0 && not_before == 0 && coordinator != self.replica_id {
            let interval = self.config.heartbeat_interval;
            let jitter = self.rng.random_range(0..interval);
            self.revoke_not_before[usize::from(coordinator)] =
                self.now + live_replicas_before * interval + jitter;
            return;
        }
        self.revoke_not_before[usize::from(coordinator)] = 0;
        self.start_revocation(coordinator, end);
    }

    /// Returns the number of replicas between the coordinator and this one, in cyclic order, that
    /// are not suspected.
    fn live_replicas_between(&self, coordinator: ReplicaId) -> u64 {
        let count = self.replica_count as ReplicaId;
        (1..count)
            .map(|step| (coordinator + step) % count)
            .take_while(|replica_id| *replica_id != self.replica_id)
            .filter(|replica_id| !self.peer(*replica_id).suspected)
            .count() as u64
    }
}
