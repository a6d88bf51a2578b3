//! Selection of the replicas to which a node connects, and of the one it relies on, its current
//! upstream (design 11.3). The module does no I/O and reads no clock: the caller passes the time
//! and events, opens and closes connections, and sends the requests for freshness proofs.
//!
//! A working replica is replaced only by one that has proved the state it sends. A replica can stop
//! answering without the connection being closed, because its process is suspended or its machine
//! is gone. While a proof of the current upstream is overdue, further replicas are therefore tried
//! concurrently. Each attempt starts a short stagger after the previous one instead of after its
//! timeout, and the first replica that sends a proof is kept. Each replica that the node does not
//! yet know to be unresponsive then costs one stagger instead of one timeout.

use std::collections::BTreeMap;
use std::time::Duration;

use mencius::ReplicaId;
use model::Microseconds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use storage::DiskId;
use transport::Frame;

use super::verification::ProofRequests;

/// Interval between the starts of two attempts while no replica sends a proof, in microseconds. The
/// interval doubles with each round of attempts on all replicas that brings no proof, at most
/// [`MAX_STAGGER_DOUBLINGS`] times.
const ATTEMPT_STAGGER: Microseconds = 300_000;
const MAX_STAGGER_DOUBLINGS: usize = 2;
/// The maximum number of concurrent attempts, beside the current upstream.
const MAX_ATTEMPTS: usize = 3;
/// Time without a proof after which a connection attempt is closed, in microseconds.
const ATTEMPT_TIMEOUT: Microseconds = 2_000_000;
/// Time for which the current upstream is kept after a proof became overdue if no other replica
/// sends one, in microseconds.
const OVERDUE_GRACE_PERIOD: Microseconds = 3_000_000;
/// Minimum pause before the next attempt after a replica could not be reached or a connection was
/// lost, in microseconds. A random part of up to the pause plus [`RECONNECT_JITTER`] is added.
const RECONNECT_PAUSE: Microseconds = 20_000;
/// Additional random part of the pause, in microseconds.
const RECONNECT_JITTER: Microseconds = 10_000;
/// Increase of the pause with each round of attempts on all replicas that brings no proof, in
/// microseconds, for at most [`MAX_PAUSED_ROUNDS`] rounds.
const PAUSE_PER_ROUND: Microseconds = 150_000;
const MAX_PAUSED_ROUNDS: usize = 4;
/// Time for which a replica that sent no proof is tried only after all others, in microseconds. It
/// doubles with each successive failure, at most [`MAX_AVOID_DOUBLINGS`] times.
const AVOID_FOR: Microseconds = 1_000_000;
const MAX_AVOID_DOUBLINGS: u32 = 4;
/// Time since a replica was last avoided after which its failures are forgotten, in microseconds.
const FAILURES_FORGOTTEN_AFTER: Microseconds = 16_000_000;
/// Time for which a node relies on a replica of another zone before it tries those of its own zone
/// again, in microseconds. The time doubles with each such recheck, at most
/// [`MAX_RECHECK_DOUBLINGS`] times.
const OWN_ZONE_RECHECK_AFTER: Microseconds = 2_000_000;
const MAX_RECHECK_DOUBLINGS: u32 = 4;

/// Identifies a replica and the disk that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaKey {
    /// The number of the replica.
    pub replica_id: ReplicaId,
    /// The disk that holds the replica.
    pub disk_id: DiskId,
}

/// A known replica to which the node may connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The replica and its disk.
    pub key: ReplicaKey,
    /// The address of the replica, as `host:port`.
    pub address: String,
    /// Whether the replica is in the zone of the node.
    pub is_own_zone: bool,
}

/// Identifies a connection, or an attempt to open one, within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(u64);

/// The reason for which a connection or an attempt was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The replica could not be reached.
    Unreachable,
    /// The connection was closed by the replica or the network.
    Closed,
    /// No proof arrived in time.
    NoProof,
    /// An update or a proof did not match the received state.
    Inconsistent,
    /// Another replica proved its state and became the current upstream.
    Replaced,
}

/// An action that the caller has to perform.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Open a connection.
    Dial {
        /// The id of the new connection.
        upstream: UpstreamId,
        /// The replica to connect to.
        candidate: Candidate,
    },
    /// Send a request for a freshness proof.
    RequestProof {
        /// The connection on which the request is sent.
        upstream: UpstreamId,
        /// The request.
        frame: Frame,
    },
    /// Close a connection, or abort the attempt to open it.
    Close {
        /// The connection to close.
        upstream: UpstreamId,
        /// The reason for closing it.
        reason: CloseReason,
    },
}

/// The timing of freshness proofs. All times are in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamTiming {
    /// Interval between two freshness-proof requests on one connection, in microseconds.
    pub proof_interval: Microseconds,
    /// Time for which a request may remain unanswered before the node tries other replicas, in
    /// microseconds.
    pub proof_timeout: Microseconds,
}

/// A connection, or an attempt to open one.
struct Upstream {
    key: ReplicaKey,
    is_own_zone: bool,
    opened_at: Microseconds,
    /// Time at which the next proof is to be requested; `None` until the connection is open.
    next_request_at: Option<Microseconds>,
    requests: ProofRequests,
}

impl Upstream {
    /// Returns the time at which the oldest pending proof becomes overdue; `None` if no proof is
    /// pending.
    fn overdue_at(&self, timing: UpstreamTiming) -> Option<Microseconds> {
        let oldest = self.requests.oldest_pending();
        oldest.map(|requested_at| requested_at + timing.proof_timeout)
    }
}

/// A replica that sent no proof when it was tried. For some time it is tried only after all others.
struct AvoidedReplica {
    failures: u32,
    until: Microseconds,
}

/// The connections of a node to replicas, and the attempts to open them.
pub struct Upstreams {
    timing: UpstreamTiming,
    rng: StdRng,
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// The current upstream: the connection that the node relies on, because it was the latest to
    /// prove its state.
    current: Option<UpstreamId>,
    last_id: u64,
    /// The earliest time of the next attempt.
    next_attempt_at: Microseconds,
    /// The number of failed attempts since the latest proof.
    consecutive_failures: usize,
    /// The number of attempts that did not reach a replica since the latest that did.
    consecutive_unreachable: usize,
    candidate_count: usize,
    /// Whether every known replica is connected to or being tried.
    is_out_of_candidates: bool,
    avoided: BTreeMap<ReplicaKey, AvoidedReplica>,
    /// Time at which each replica was last tried.
    tried_at: BTreeMap<ReplicaKey, Microseconds>,
    /// Time at which the node, while it relies on a replica of another zone, tries the replicas
    /// of its own zone again.
    recheck_at: Microseconds,
    /// The number of these rechecks.
    rechecks: u32,
    /// Time at which the current recheck began; `None` if none is in progress.
    recheck_began_at: Option<Microseconds>,
}

impl Upstreams {
    /// Creates a set without connections. `seed` seeds the random pauses.
    pub fn new(timing: UpstreamTiming, seed: u64) -> Upstreams {
        Upstreams {
            timing,
            rng: StdRng::seed_from_u64(seed),
            upstreams: BTreeMap::new(),
            current: None,
            last_id: 0,
            next_attempt_at: 0,
            consecutive_failures: 0,
            consecutive_unreachable: 0,
            candidate_count: 0,
            is_out_of_candidates: false,
            avoided: BTreeMap::new(),
            tried_at: BTreeMap::new(),
            recheck_at: 0,
            rechecks: 0,
            recheck_began_at: None,
        }
    }

    /// Returns the actions that are due. `candidates` are all known replicas in order of
    /// preference.
    pub fn poll(&mut self, now: Microseconds, candidates: &[Candidate]) -> Vec<Action> {
        let mut actions = self.close_timed_out(now);
        actions.extend(self.next_attempt(now, candidates));
        actions.extend(self.due_requests(now));
        actions
    }

    /// Returns the time of the next call of [`Self::poll`], unless an event occurs earlier.
    pub fn next_poll_at(&self, now: Microseconds) -> Microseconds {
        let requests = self.upstreams.values().filter_map(|up| up.next_request_at);
        let timeouts = self
            .upstreams
            .iter()
            .map(|(id, up)| self.closes_at(*id, up));
        let overdue = self.current_overdue_at().filter(|at| *at > now);
        let attempt =
            (self.needs_upstream(now) && self.may_attempt()).then_some(self.next_attempt_at);
        let recheck = self.relies_on_another_zone().then_some(self.recheck_at);
        let other_times = [overdue, attempt, recheck];
        let poll_times = requests
            .chain(timeouts)
            .chain(other_times.into_iter().flatten());
        // An attempt that is due but has no candidate is polled again after a pause.
        let earliest = now + RECONNECT_PAUSE;
        let next = poll_times.map(|time| time.max(earliest)).min();
        next.unwrap_or(now + self.timing.proof_interval)
    }

    /// Handles the opening of a connection, on which proofs are requested from now on.
    pub fn on_connected(&mut self, now: Microseconds, id: UpstreamId, is_own_zone: bool) {
        if self.consecutive_unreachable >= self.candidate_count {
            // A whole round of attempts reached no replica and now one is reachable, so the node's
            // own network was down and the recorded failures give no information about the
            // replicas.
            self.avoided.clear();
        }
        self.consecutive_unreachable = 0;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.is_own_zone = is_own_zone;
            upstream.next_request_at = Some(now);
        }
    }

    /// Returns the freshness proofs requested on a connection; `None` if the connection is closed.
    pub fn proof_requests_mut(&mut self, id: UpstreamId) -> Option<&mut ProofRequests> {
        let upstream = self.upstreams.get_mut(&id);
        upstream.map(|upstream| &mut upstream.requests)
    }

    /// Handles a freshness proof on a connection, which thereby becomes the current upstream. All
    /// other connections are closed.
    pub fn on_verified(&mut self, now: Microseconds, id: UpstreamId) -> Vec<Action> {
        let Some(upstream) = self.upstreams.get(&id) else {
            return Vec::new();
        };
        // A current upstream that is preferred and no longer overdue is kept; the attempt began
        // while its proof was overdue.
        if self.current != Some(id) && self.keeps_current_over(now, upstream) {
            return self.close(id, CloseReason::Replaced).into_iter().collect();
        }
        self.avoided.remove(&upstream.key);
        self.consecutive_failures = 0;
        if self.current != Some(id) {
            self.current = Some(id);
            let pause = OWN_ZONE_RECHECK_AFTER << self.rechecks.min(MAX_RECHECK_DOUBLINGS);
            self.recheck_at = now + pause;
        }
        let is_elsewhere = self.relies_on_another_zone();
        let others = self.upstreams.iter().filter(|(other, upstream)| {
            // An attempt in the node's own zone continues, because that zone is preferred.
            **other != id && !(is_elsewhere && upstream.is_own_zone)
        });
        let others: Vec<UpstreamId> = others.map(|(other, _)| *other).collect();
        let closed = others.into_iter();
        let closed = closed.filter_map(|other| self.close(other, CloseReason::Replaced));
        closed.collect()
    }

    /// Handles the end of a connection, or of an attempt to open one.
    pub fn on_ended(&mut self, now: Microseconds, id: UpstreamId, reason: CloseReason) {
        let Some(upstream) = self.upstreams.remove(&id) else {
            return;
        };
        let pause = self.reconnect_pause();
        self.next_attempt_at = now + pause;
        if self.current == Some(id) {
            // This is not counted as a failure: the replica had proved its state and may be
            // reachable again at once.
            self.current = None;
        } else {
            self.consecutive_failures += 1;
        }
        if reason == CloseReason::Unreachable {
            self.consecutive_unreachable += 1;
        }
        if reason == CloseReason::Unreachable || reason == CloseReason::NoProof {
            self.avoid(now, upstream.key);
        }
    }

    /// Returns whether a connection is the current upstream, which the node relies on.
    pub fn is_current(&self, id: UpstreamId) -> bool {
        self.current == Some(id)
    }

    fn keeps_current_over(&self, now: Microseconds, other: &Upstream) -> bool {
        let current = self.current.and_then(|id| self.upstreams.get(&id));
        current.is_some_and(|current| {
            let is_overdue = current
                .overdue_at(self.timing)
                .is_some_and(|overdue_at| now >= overdue_at);
            !is_overdue && (current.is_own_zone || !other.is_own_zone)
        })
    }

    /// Closes the connections and attempts whose proof did not arrive in time.
    fn close_timed_out(&mut self, now: Microseconds) -> Vec<Action> {
        let timed_out = self.upstreams.iter();
        let timed_out = timed_out.filter(|(id, upstream)| now >= self.closes_at(**id, upstream));
        let timed_out: Vec<UpstreamId> = timed_out.map(|(id, _)| *id).collect();
        for id in &timed_out {
            self.on_ended(now, *id, CloseReason::NoProof);
        }
        let closed = timed_out.into_iter().map(|upstream| Action::Close {
            upstream,
            reason: CloseReason::NoProof,
        });
        closed.collect()
    }

    /// Returns the time at which a connection or attempt is closed if no proof arrives.
    fn closes_at(&self, id: UpstreamId, upstream: &Upstream) -> Microseconds {
        if self.current == Some(id) {
            let overdue_at = upstream.overdue_at(self.timing);
            overdue_at.map_or(Microseconds::MAX, |at| at + OVERDUE_GRACE_PERIOD)
        } else {
            upstream.opened_at + ATTEMPT_TIMEOUT
        }
    }

    fn current_overdue_at(&self) -> Option<Microseconds> {
        let current = self.current.and_then(|id| self.upstreams.get(&id));
        current.and_then(|current| current.overdue_at(self.timing))
    }

    /// Returns whether another replica is needed, because there is no current upstream or its proof
    /// is overdue.
    fn needs_upstream(&self, now: Microseconds) -> bool {
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
            .retain(|_, avoided| now < avoided.until + FAILURES_FORGOTTEN_AFTER);
        self.tried_at
            .retain(|key, _| candidates.iter().any(|candidate| candidate.key == *key));
        self.candidate_count = candidates.len();
        if self.needs_upstream(now) {
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

    /// Returns the next replica of the node's own zone to try while the node relies on a working
    /// replica of another zone.
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

    /// Returns the first candidate without a connection or attempt. Avoided candidates come last,
    /// in the order in which they may be tried again. While a replica of the node's own zone is
    /// being tried, replicas of other zones come first, because the failure of one machine often
    /// affects its whole zone.
    fn best_candidate<'known>(
        &self,
        now: Microseconds,
        candidates: &'known [Candidate],
    ) -> Option<&'known Candidate> {
        let is_open = |candidate: &&Candidate| {
            let mut upstreams = self.upstreams.values();
            upstreams.any(|upstream| upstream.key == candidate.key)
        };
        let tries_own_zone = self.attempts().any(|upstream| upstream.is_own_zone);
        let unconnected = candidates.iter().filter(|candidate| !is_open(candidate));
        unconnected.min_by_key(|candidate| {
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

    /// Returns the time until which a replica is avoided; `None` if it is not avoided now.
    fn avoided_until(&self, now: Microseconds, key: ReplicaKey) -> Option<Microseconds> {
        let avoided = self.avoided.get(&key);
        let until = avoided.map(|avoided| avoided.until);
        until.filter(|until| now < *until)
    }

    fn avoid(&mut self, now: Microseconds, key: ReplicaKey) {
        let earlier = self.avoided.get(&key).map_or(0, |avoided| avoided.failures);
        let avoided = AvoidedReplica {
            failures: earlier + 1,
            until: now + (AVOID_FOR << earlier.min(MAX_AVOID_DOUBLINGS)),
        };
        self.avoided.insert(key, avoided);
    }

    /// Returns the pause between two attempts. It grows while no replica sends a proof, because
    /// connecting to all of them faster does not help then.
    fn stagger(&self) -> Microseconds {
        let rounds = self.consecutive_failures / self.candidate_count.max(1);
        ATTEMPT_STAGGER << rounds.min(MAX_STAGGER_DOUBLINGS)
    }

    fn reconnect_pause(&mut self) -> Microseconds {
        let rounds = self.consecutive_failures / self.candidate_count.max(1);
        let rounds = rounds.min(MAX_PAUSED_ROUNDS);
        let pause = RECONNECT_PAUSE + PAUSE_PER_ROUND * rounds as Microseconds;
        pause + self.rng.random_range(0..pause + RECONNECT_JITTER)
    }
}

/// Returns the duration from `now` until `at`, for timers.
pub(super) fn duration_until(now: Microseconds, at: Microseconds) -> Duration {
    Duration::from_micros(at.saturating_sub(now))
}
