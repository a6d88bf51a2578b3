//! Which replicas a node is connected to, and which of them it relies on (design 11.3). Pure: the
//! caller brings time and events, opens and closes connections, and sends the requests for proofs.
//!
//! A replica that works is left only for one that has proved what it sends. A replica can be silent
//! without the connection saying so: its process is suspended, or its machine is gone. So while the
//! one relied on owes a proof, further ones are tried beside it, each a short time after the one
//! before and not after that one's time-out, and the first that proves is kept. Each silent replica
//! that a node does not know of then costs it that short time, and not a time-out.

use std::collections::BTreeMap;
use std::time::Duration;

use mencius::ReplicaId;
use model::Microseconds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use storage::DiskId;
use transport::Frame;

use super::verification::ProofRequests;

/// While no replica proves anything, the next one is tried after so long; twice and four times as
/// long after the first and second round without a proof.
const ATTEMPT_STAGGER: Microseconds = 300_000;
const MAX_STAGGER_DOUBLINGS: usize = 2;
/// Replicas that are tried at once, beside the one relied on.
const MAX_ATTEMPTS: usize = 3;
/// A replica that is tried and proves nothing for so long is given up.
const ATTEMPT_TIMEOUT: Microseconds = 2_000_000;
/// A replica that was relied on is given up once a proof is late by so long and no other replica
/// has proved anything meanwhile.
const OVERDUE_KEPT: Microseconds = 3_000_000;
/// After a replica could not be reached or was lost: the pause before the next one, as much again
/// at random, and how much longer with each whole round without a proof.
const RECONNECT_PAUSE: Microseconds = 20_000;
const RECONNECT_JITTER: Microseconds = 10_000;
const PAUSE_PER_ROUND: Microseconds = 150_000;
const MAX_PAUSED_ROUNDS: usize = 4;
/// A replica that proved nothing is tried after all others for so long; twice as long with each
/// failure in a row, up to 2 to the power of [`MAX_AVOID_DOUBLINGS`].
const AVOID_FOR: Microseconds = 1_000_000;
const MAX_AVOID_DOUBLINGS: u32 = 4;
/// Its failures are forgotten so long after it was avoided for the last time.
const FORGIVEN_AFTER: Microseconds = 16_000_000;
/// A node that relies on a replica of another zone tries one of its own after so long; twice as
/// long with every time that it did, up to 2 to the power of [`MAX_RECHECK_DOUBLINGS`].
const OWN_ZONE_RECHECK_AFTER: Microseconds = 2_000_000;
const MAX_RECHECK_DOUBLINGS: u32 = 4;

/// Identifies a replica's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaKey {
    /// The number of the replica.
    pub replica_id: ReplicaId,
    /// The disk that fills it.
    pub disk_id: DiskId,
}

/// A replica that may be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Which replica.
    pub key: ReplicaKey,
    /// Where it is reached, as `host:port`.
    pub address: String,
    /// Whether it stands in the zone of the node.
    pub is_own_zone: bool,
}

/// Identifies a connection, or an attempt to open one, within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(u64);

/// Why a replica was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It could not be reached.
    Unreachable,
    /// The connection ended.
    Closed,
    /// A request stayed without a proof for too long.
    NoProof,
    /// An update or a proof did not fit what was held.
    Inconsistent,
    /// Another replica proved what it sent.
    Replaced,
}

/// What the caller has to do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Dial {
        /// How the connection is named from now on.
        upstream: UpstreamId,
        /// To whom.
        candidate: Candidate,
    },
    /// Send a request for a proof.
    RequestProof {
        /// On which connection.
        upstream: UpstreamId,
        /// The request.
        frame: Frame,
    },
    /// Close a connection, or stop trying to open it.
    Close {
        /// Which one.
        upstream: UpstreamId,
        /// Why.
        reason: CloseReason,
    },
}

/// When proofs are requested, and how long they are waited for. In microseconds.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTiming {
    /// Between two requests for a proof on one connection.
    pub proof_interval: Microseconds,
    /// A request without a proof for so long makes the node look for another replica.
    pub proof_timeout: Microseconds,
}

/// A connection, or an attempt to open one.
struct Upstream {
    key: ReplicaKey,
    is_own_zone: bool,
    opened_at: Microseconds,
    /// When the next proof is requested; `None` until the connection is open.
    next_request_at: Option<Microseconds>,
    requests: ProofRequests,
}

impl Upstream {
    /// When a proof is late, if one is awaited.
    fn overdue_at(&self, timing: UpstreamTiming) -> Option<Microseconds> {
        let oldest = self.requests.oldest_pending();
        oldest.map(|requested_at| requested_at + timing.proof_timeout)
    }
}

/// A replica that proved nothing when it was tried.
struct Avoided {
    failures: u32,
    until: Microseconds,
}

/// The connections of a node to replicas.
pub struct Upstreams {
    timing: UpstreamTiming,
    rng: StdRng,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// The one relied on: the latest that proved what it sent.
    current: Option<UpstreamId>,
    last_id: u64,
    /// No further replica is tried before.
    next_attempt_at: Microseconds,
    /// Attempts that came to nothing since the latest proof.
    failures_in_a_row: usize,
    /// Attempts that reached nobody since the latest that did.
    unreachable_in_a_row: usize,
    candidate_count: usize,
    /// All known replicas are connected to, or being tried.
    is_out_of_candidates: bool,
    avoided: BTreeMap<ReplicaKey, Avoided>,
    /// When each replica was last tried.
    tried_at: BTreeMap<ReplicaKey, Microseconds>,
    /// When the replicas of the own zone are tried next, beside one of another zone.
    recheck_at: Microseconds,
    /// How often they were.
    rechecks: u32,
    /// They are being tried, one after the other, since then.
    recheck_began_at: Option<Microseconds>,
}

impl Upstreams {
    /// No connections yet. `seed` draws the pauses.
    pub fn new(timing: UpstreamTiming, seed: u64) -> Upstreams {
        Upstreams {
            timing,
            rng: StdRng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            current: None,
            last_id: 0,
            next_attempt_at: 0,
            failures_in_a_row: 0,
            unreachable_in_a_row: 0,
            candidate_count: 0,
            is_out_of_candidates: false,
            avoided: BTreeMap::new(),
            tried_at: BTreeMap::new(),
            recheck_at: 0,
            rechecks: 0,
            recheck_began_at: None,
        }
    }

    /// What is due now. `candidates` are all known replicas, the preferred first.
    pub fn poll(&mut self, now: Microseconds, candidates: &[Candidate]) -> Vec<Action> {
        let mut actions = self.give_up_silent(now);
        actions.extend(self.next_attempt(now, candidates));
        actions.extend(self.due_requests(now));
        actions
    }

    /// When [`Self::poll`] has something to do next, if no event comes before.
    pub fn next_poll_at(&self, now: Microseconds) -> Microseconds {
        let requests = self.upstreams.values().filter_map(|up| up.next_request_at);
        let give_ups = self
            .upstreams
            .iter()
            .map(|(id, up)| self.give_up_at(*id, up));
        let overdue = self.current_overdue_at().filter(|at| *at > now);
        let attempt = (self.is_seeking(now) && self.may_attempt()).then_some(self.next_attempt_at);
        let recheck = self.relies_on_another_zone().then_some(self.recheck_at);
        let further = [overdue, attempt, recheck];
        let all = requests
            .chain(give_ups)
            .chain(further.into_iter().flatten());
        // What is due but cannot be done, for want of candidates, is looked at again after a pause.
        let earliest = now + RECONNECT_PAUSE;
        let next = all.map(|at| at.max(earliest)).min();
        next.unwrap_or(now + self.timing.proof_interval)
    }

    /// A connection is open: proofs are requested on it from now on.
    pub fn on_connected(&mut self, now: Microseconds, id: UpstreamId, is_own_zone: bool) {
        if self.unreachable_in_a_row >= self.candidate_count {
            // None was reachable for a whole round, and now one is: the network is back, and what
            // was learned without it is worth nothing.
            self.avoided.clear();
        }
        self.unreachable_in_a_row = 0;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.is_own_zone = is_own_zone;
            upstream.next_request_at = Some(now);
        }
    }

    /// The proofs that were requested on a connection; `None` if it was closed meanwhile.
    pub fn proof_requests_mut(&mut self, id: UpstreamId) -> Option<&mut ProofRequests> {
        let upstream = self.upstreams.get_mut(&id);
        upstream.map(|upstream| &mut upstream.requests)
    }

    /// A replica proved what it sent: it is relied on from now on, and all others are left.
    pub fn on_verified(&mut self, now: Microseconds, id: UpstreamId) -> Vec<Action> {
        let Some(upstream) = self.upstreams.get(&id) else {
            return Vec::new();
        };
        // The preferred one that a node relies on is not left for an attempt that was begun while
        // it was late.
        if self.current != Some(id) && self.keeps_current_over(now, upstream) {
            return self.close(id, CloseReason::Replaced).into_iter().collect();
        }
        self.avoided.remove(&upstream.key);
        self.failures_in_a_row = 0;
        if self.current != Some(id) {
            self.current = Some(id);
            let pause = OWN_ZONE_RECHECK_AFTER << self.rechecks.min(MAX_RECHECK_DOUBLINGS);
            self.recheck_at = now + pause;
        }
        let is_elsewhere = self.relies_on_another_zone();
        let others = self.upstreams.iter().filter(|(other, upstream)| {
            // One of the own zone is still tried: it is to be preferred.
            **other != id && !(is_elsewhere && upstream.is_own_zone)
        });
        let others: Vec<UpstreamId> = others.map(|(other, _)| *other).collect();
        let closed = others.into_iter();
        let closed = closed.filter_map(|other| self.close(other, CloseReason::Replaced));
        closed.collect()
    }

    /// A connection ended, could not be opened, or is of no use any more.
    pub fn on_ended(&mut self, now: Microseconds, id: UpstreamId, reason: CloseReason) {
        let Some(upstream) = self.upstreams.remove(&id) else {
            return;
        };
        let pause = self.reconnect_pause();
        self.next_attempt_at = now + pause;
        if self.current == Some(id) {
            // A replica that proved what it sent may be back at once.
            self.current = None;
        } else {
            self.failures_in_a_row += 1;
        }
        if reason == CloseReason::Unreachable {
            self.unreachable_in_a_row += 1;
        }
        if reason == CloseReason::Unreachable || reason == CloseReason::NoProof {
            self.avoid(now, upstream.key);
        }
    }

    /// Whether a replica proved what it sent and is relied on.
    pub fn is_current(&self, id: UpstreamId) -> bool {
        self.current == Some(id)
    }

    fn keeps_current_over(&self, now: Microseconds, other: &Upstream) -> bool {
        let current = self.current.and_then(|id| self.upstreams.get(&id));
        current.is_some_and(|current| {
            let is_late = current
                .overdue_at(self.timing)
                .is_some_and(|overdue_at| now >= overdue_at);
            !is_late && (current.is_own_zone || !other.is_own_zone)
        })
    }

    /// Gives up replicas that have been silent for too long.
    fn give_up_silent(&mut self, now: Microseconds) -> Vec<Action> {
        let silent = self.upstreams.iter();
        let silent = silent.filter(|(id, upstream)| now >= self.give_up_at(**id, upstream));
        let silent: Vec<UpstreamId> = silent.map(|(id, _)| *id).collect();
        for id in &silent {
            self.on_ended(now, *id, CloseReason::NoProof);
        }
        let closed = silent.into_iter().map(|upstream| Action::Close {
            upstream,
            reason: CloseReason::NoProof,
        });
        closed.collect()
    }

    fn give_up_at(&self, id: UpstreamId, upstream: &Upstream) -> Microseconds {
        if self.current == Some(id) {
            let overdue_at = upstream.overdue_at(self.timing);
            overdue_at.map_or(Microseconds::MAX, |at| at + OVERDUE_KEPT)
        } else {
            upstream.opened_at + ATTEMPT_TIMEOUT
        }
    }

    fn current_overdue_at(&self) -> Option<Microseconds> {
        let current = self.current.and_then(|id| self.upstreams.get(&id));
        current.and_then(|current| current.overdue_at(self.timing))
    }

    /// Whether another replica is needed: none is relied on, or the one that is owes a proof.
    fn is_seeking(&self, now: Microseconds) -> bool {
        self.current.is_none() || self.current_overdue_at().is_some_and(|at| now >= at)
    }

    fn relies_on_another_zone(&self) -> bool {
        let current = self.current.and_then(|id| self.upstreams.get(&id));
        current.is_some_and(|current| !current.is_own_zone)
    }

    fn attempts(&self) -> impl Iterator<Item = &Upstream> {
        let others = self.upstreams.iter();
        others
            .filter(|(id, _)| self.current != Some(**id))
            .map(|(_, upstream)| upstream)
    }

    fn may_attempt(&self) -> bool {
        !self.is_out_of_candidates && self.attempts().count() < MAX_ATTEMPTS
    }

    fn next_attempt(&mut self, now: Microseconds, candidates: &[Candidate]) -> Option<Action> {
        self.avoided
            .retain(|_, avoided| now < avoided.until + FORGIVEN_AFTER);
        self.tried_at
            .retain(|key, _| candidates.iter().any(|candidate| candidate.key == *key));
        self.candidate_count = candidates.len();
        if self.is_seeking(now) {
            let best = self.best_candidate(now, candidates);
            self.is_out_of_candidates = best.is_none();
            if now < self.next_attempt_at || !self.may_attempt() {
                return None;
            }
            let candidate = best?.clone();
            self.next_attempt_at = now + self.stagger();
            return Some(self.dial(now, candidate));
        }
        if self.relies_on_another_zone() {
            let candidate = self.recheck(now, candidates)?.clone();
            return Some(self.dial(now, candidate));
        }
        None
    }

    /// The next replica of the own zone to be tried beside one of another zone that works.
    fn recheck<'known>(
        &mut self,
        now: Microseconds,
        candidates: &'known [Candidate],
    ) -> Option<&'known Candidate> {
        if now >= self.recheck_at {
            let doublings = self.rechecks.min(MAX_RECHECK_DOUBLINGS);
            self.recheck_at = now + (OWN_ZONE_RECHECK_AFTER << doublings);
            self.recheck_began_at = Some(now);
            self.rechecks += 1;
        }
        let began_at = self.recheck_began_at?;
        if self.attempts().next().is_some() {
            return None;
        }
        let untried = candidates.iter().find(|candidate| {
            let tried_at = self.tried_at.get(&candidate.key);
            candidate.is_own_zone
                && tried_at.is_none_or(|at| *at < began_at)
                && self.avoided_until(now, candidate.key).is_none()
        });
        if untried.is_none() {
            self.recheck_began_at = None;
        }
        untried
    }

    /// The first of the candidates that is not connected to. Those that lately proved nothing come
    /// last, the one first that may be tried again soonest. While one of the own zone is tried, the
    /// next is of another zone, as what silences one machine often silences its zone.
    fn best_candidate<'known>(
        &self,
        now: Microseconds,
        candidates: &'known [Candidate],
    ) -> Option<&'known Candidate> {
        let is_open = |candidate: &&Candidate| {
            let mut open = self.upstreams.values();
            open.any(|upstream| upstream.key == candidate.key)
        };
        let tries_own_zone = self.attempts().any(|upstream| upstream.is_own_zone);
        let open = candidates.iter().filter(|candidate| !is_open(candidate));
        open.min_by_key(|candidate| {
            let avoided_until = self.avoided_until(now, candidate.key);
            (avoided_until, tries_own_zone && candidate.is_own_zone)
        })
    }

    fn dial(&mut self, now: Microseconds, candidate: Candidate) -> Action {
        self.last_id += 1;
        let id = UpstreamId(self.last_id);
        self.tried_at.insert(candidate.key, now);
        let upstream = Upstream {
            key: candidate.key,
            is_own_zone: candidate.is_own_zone,
            opened_at: now,
            next_request_at: None,
            requests: ProofRequests::default(),
        };
        self.upstreams.insert(id, upstream);
        Action::Dial {
            upstream: id,
            candidate,
        }
    }

    fn due_requests(&mut self, now: Microseconds) -> Vec<Action> {
        let interval = self.timing.proof_interval;
        let due = self
            .upstreams
            .iter_mut()
            .filter(|(_, upstream)| upstream.next_request_at.is_some_and(|at| now >= at));
        let requests = due.map(|(id, upstream)| {
            upstream.next_request_at = Some(now + interval);
            Action::RequestProof {
                upstream: *id,
                frame: upstream.requests.request(now),
            }
        });
        requests.collect()
    }

    fn close(&mut self, id: UpstreamId, reason: CloseReason) -> Option<Action> {
        self.upstreams.remove(&id)?;
        if self.current == Some(id) {
            self.current = None;
        }
        Some(Action::Close {
            upstream: id,
            reason,
        })
    }

    /// `None` if it is not avoided now.
    fn avoided_until(&self, now: Microseconds, key: ReplicaKey) -> Option<Microseconds> {
        let avoided = self.avoided.get(&key);
        let until = avoided.map(|avoided| avoided.until);
        until.filter(|until| now < *until)
    }

    fn avoid(&mut self, now: Microseconds, key: ReplicaKey) {
        let earlier = self.avoided.get(&key).map_or(0, |avoided| avoided.failures);
        let avoided = Avoided {
            failures: earlier + 1,
            until: now + (AVOID_FOR << earlier.min(MAX_AVOID_DOUBLINGS)),
        };
        self.avoided.insert(key, avoided);
    }

    /// When no replica proves anything, asking them all faster does not help.
    fn stagger(&self) -> Microseconds {
        let rounds = self.failures_in_a_row / self.candidate_count.max(1);
        ATTEMPT_STAGGER << rounds.min(MAX_STAGGER_DOUBLINGS)
    }

    fn reconnect_pause(&mut self) -> Microseconds {
        let rounds = self.failures_in_a_row / self.candidate_count.max(1);
        let rounds = rounds.min(MAX_PAUSED_ROUNDS);
        let pause = RECONNECT_PAUSE + PAUSE_PER_ROUND * rounds as Microseconds;
        pause + self.rng.random_range(0..pause + RECONNECT_JITTER)
    }
}

/// The time until `at`, for timers.
pub(super) fn until(now: Microseconds, at: Microseconds) -> Duration {
    Duration::from_micros(at.saturating_sub(now))
}
