//! Selection of upstreams in virtual time: how long a node is without a freshness proof while
//! replicas do not answer, refuse connections, are slow or send no proof.

use std::collections::{BTreeMap, VecDeque};

use control::updates::upstreams::{
    Action, Candidate, CloseReason, ReplicaKey, UpstreamId, UpstreamTiming, Upstreams,
};
use control::updates::verification::{StateFollower, UpdateOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use transport::Frame;

/// The step of the virtual clock, in microseconds.
const STEP: u64 = 1_000;
/// Microseconds per second.
const SECOND: u64 = 1_000_000;
/// Time after which a connection to a silent replica fails, in microseconds.
const HANDSHAKE_TIMEOUT: u64 = SECOND;
const TIMING: UpstreamTiming = UpstreamTiming {
    proof_interval: 500_000,
    proof_timeout: 500_000,
};

/// The behaviour of a replica towards a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// The replica answers after this time, in microseconds.
    Works(u64),
    /// The replica never answers, because its process is suspended or its machine is gone.
    Silent,
    /// Nothing listens at the address of the replica.
    Refuses,
    /// The replica accepts connections but reaches no majority, so it sends no proof.
    NoMajority,
}

struct Connection {
    replica: usize,
    /// Time at which the attempt succeeds or fails.
    connects_at: u64,
    is_open: bool,
    /// The arrival time and the request id of each proof on its way to the node.
    proofs: VecDeque<(u64, u64)>,
}

/// A node and the replicas it connects to, whose behaviour a test sets.
struct Simulation {
    now: u64,
    upstreams: Upstreams,
    follower: StateFollower,
    candidates: Vec<Candidate>,
    behaviours: Vec<Behaviour>,
    connections: BTreeMap<UpstreamId, Connection>,
    last_proof_at: u64,
    longest_gap: u64,
    dials: usize,
    had_event: bool,
    most_connections: usize,
}

impl Simulation {
    /// Creates a simulation in which the first `own` replicas are in the zone of the node.
    fn new(seed: u64, own: usize, behaviours: Vec<Behaviour>) -> Simulation {
        let candidate = |index: usize| Candidate {
            key: ReplicaKey {
                replica_id: index as u16,
                disk_id: 1,
            },
            address: index.to_string(),
            is_own_zone: index < own,
        };
        Simulation {
            now: 10 * SECOND,
            upstreams: Upstreams::new(TIMING, seed),
            follower: StateFollower::default(),
            candidates: (0..behaviours.len()).map(candidate).collect(),
            behaviours,
            connections: BTreeMap::new(),
            last_proof_at: 10 * SECOND,
            longest_gap: 0,
            dials: 0,
            had_event: false,
            most_connections: 0,
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dial {
                    upstream,
                    candidate,
                } => self.dial(upstream, candidate),
                Action::RequestProof { upstream, frame } => self.request(upstream, frame),
                Action::Close { upstream, .. } => drop(self.connections.remove(&upstream)),
            }
        }
    }

    fn dial(&mut self, upstream: UpstreamId, candidate: Candidate) {
        let replica: usize = candidate.address.parse().expect("the index of a replica");
        let delay = match self.behaviours[replica] {
            Behaviour::Works(delay) => delay,
            Behaviour::Silent => HANDSHAKE_TIMEOUT,
            Behaviour::Refuses => 200,
            Behaviour::NoMajority => 2_000,
        };
        let connection = Connection {
            replica,
            connects_at: self.now + delay,
            is_open: false,
            proofs: VecDeque::new(),
        };
        self.connections.insert(upstream, connection);
        self.dials += 1;
        self.most_connections = self.most_connections.max(self.connections.len());
    }

    fn request(&mut self, upstream: UpstreamId, frame: Frame) {
        let Frame::RequestProof { request_id } = frame else {
            unreachable!("only proofs are requested");
        };
        let connection = self
            .connections
            .get_mut(&upstream)
            .expect("an open connection");
        if let Behaviour::Works(delay) = self.behaviours[connection.replica] {
            connection.proofs.push_back((self.now + delay, request_id));
        }
    }

    /// Delivers the network events that are due.
    fn deliver(&mut self) {
        let ids: Vec<UpstreamId> = self.connections.keys().copied().collect();
        for id in ids {
            self.finish_attempt(id);
            self.deliver_proof(id);
        }
    }

    fn finish_attempt(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.is_open || self.now < connection.connects_at {
            return;
        }
        let replica = connection.replica;
        self.had_event = true;
        match self.behaviours[replica] {
            Behaviour::Works(_) | Behaviour::NoMajority => {
                connection.is_open = true;
                let is_own_zone = self.candidates[replica].is_own_zone;
                self.upstreams.on_connected(self.now, id, is_own_zone);
            }
            Behaviour::Silent | Behaviour::Refuses => {
                self.connections.remove(&id);
                self.upstreams
                    .on_ended(self.now, id, CloseReason::Unreachable);
            }
        }
    }

    fn deliver_proof(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let works = matches!(self.behaviours[connection.replica], Behaviour::Works(_));
        let due = connection.proofs.pop_front_if(|(at, _)| *at <= self.now);
        let Some((_, request_id)) = due.filter(|_| works) else {
            return;
        };
        let proof = Frame::Proof {
            request_id,
            position: 0,
        };
        let Some(requests) = self.upstreams.proof_requests_mut(id) else {
            return;
        };
        self.had_event = true;
        if self.follower.handle_frame(proof, requests) == UpdateOutcome::Verified {
            self.longest_gap = self.longest_gap.max(self.now - self.last_proof_at);
            self.last_proof_at = self.now;
            let actions = self.upstreams.on_verified(self.now, id);
            self.perform(actions);
        }
    }

    fn run(&mut self, length: u64) {
        let end = self.now + length;
        let mut poll_at = self.now;
        while self.now < end {
            self.deliver();
            // The upstreams are polled after an event as well as at the requested time.
            if self.now >= poll_at || std::mem::take(&mut self.had_event) {
                let actions = self.upstreams.poll(self.now, &self.candidates);
                self.perform(actions);
                poll_at = self.upstreams.next_poll_at(self.now);
                assert!(poll_at > self.now, "the next poll is not in the future");
            }
            self.now += STEP;
        }
        self.longest_gap = self.longest_gap.max(self.now - self.last_proof_at);
    }

    /// Returns the index of the replica that the node relies on.
    fn current_replica(&self) -> Option<usize> {
        let mut connections = self.connections.iter();
        let current = connections.find(|(id, _)| self.upstreams.is_current(**id));
        current.map(|(_, connection)| connection.replica)
    }

    fn reset_longest_gap(&mut self) {
        self.longest_gap = 0;
    }
}

#[test]
fn a_silent_zone_delays_proofs_once_and_later_rechecks_do_not() {
    let mut behaviours = vec![Behaviour::Works(5_000); 7];
    let mut simulation = Simulation::new(1, 2, behaviours.clone());
    simulation.run(3 * SECOND);
    assert_eq!(simulation.current_replica(), Some(0));
    behaviours[0] = Behaviour::Silent;
    behaviours[1] = Behaviour::Silent;
    simulation.behaviours = behaviours;
    simulation.run(4 * SECOND);
    assert!(
        simulation
            .current_replica()
            .is_some_and(|replica| replica >= 2)
    );
    // The interval of 0.5 s between two requests, the proof timeout of 0.5 s, and one attempt at a
    // silent replica.
    assert!(
        simulation.longest_gap < 1_500_000,
        "{}",
        simulation.longest_gap
    );
    simulation.reset_longest_gap();
    simulation.run(40 * SECOND);
    assert!(
        simulation.longest_gap < 600_000,
        "{}",
        simulation.longest_gap
    );
    simulation.behaviours = vec![Behaviour::Works(5_000); 7];
    simulation.run(40 * SECOND);
    assert!(
        simulation
            .current_replica()
            .is_some_and(|replica| replica < 2)
    );
    assert!(
        simulation.longest_gap < 600_000,
        "{}",
        simulation.longest_gap
    );
}

#[test]
fn random_failures_never_leave_a_node_without_a_proof_for_two_seconds() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let replicas = rng.random_range(3..=11);
        let max_failures = usize::midpoint(replicas, 1) - 1;
        let max_failures = max_failures.min(2);
        let own = rng.random_range(0..=replicas);
        let works = Behaviour::Works(rng.random_range(500..=60_000));
        let mut simulation = Simulation::new(seed, own, vec![works; replicas]);
        simulation.run(2 * SECOND);
        simulation.reset_longest_gap();
        for _ in 0..8 {
            let mut behaviours = vec![works; replicas];
            for _ in 0..rng.random_range(0..=max_failures) {
                let failed = rng.random_range(0..replicas);
                behaviours[failed] = match rng.random_range(0..3) {
                    0 => Behaviour::Silent,
                    1 => Behaviour::Refuses,
                    _ => Behaviour::NoMajority,
                };
            }
            simulation.behaviours = behaviours;
            simulation.run(rng.random_range(SECOND / 2..=9 * SECOND));
            assert!(
                simulation.longest_gap < 2 * SECOND,
                "seed {seed}: {} µs without a proof",
                simulation.longest_gap
            );
        }
        assert!(simulation.most_connections <= 4, "seed {seed}");
    }
}

#[test]
fn attempts_slow_down_while_no_replica_sends_a_proof() {
    for behaviour in [Behaviour::NoMajority, Behaviour::Silent, Behaviour::Refuses] {
        let mut simulation = Simulation::new(7, 2, vec![behaviour; 5]);
        simulation.run(10 * SECOND);
        simulation.dials = 0;
        simulation.run(20 * SECOND);
        assert!(
            simulation.dials < 70,
            "{behaviour:?}: {} dials",
            simulation.dials
        );
        simulation.behaviours = vec![Behaviour::Works(2_000); 5];
        let restored_at = simulation.now;
        while simulation.current_replica().is_none() {
            simulation.run(10 * STEP);
        }
        let recovery_time = simulation.now - restored_at;
        assert!(
            recovery_time < 1_200_000,
            "{behaviour:?}: {recovery_time} µs until the first proof"
        );
    }
}

#[test]
fn a_node_prefers_its_own_zone_soon_after_its_network_recovers() {
    let mut simulation = Simulation::new(3, 2, vec![Behaviour::Silent; 5]);
    simulation.run(17 * SECOND);
    // The first replica that the node reaches has no majority.
    simulation.behaviours = vec![Behaviour::Works(2_000); 5];
    simulation.behaviours[2] = Behaviour::NoMajority;
    simulation.run(4 * SECOND);
    assert!(
        simulation
            .current_replica()
            .is_some_and(|replica| replica < 2)
    );
}

#[test]
fn a_node_reaches_the_third_replica_past_one_that_refuses_and_one_without_a_majority() {
    let behaviours = vec![
        Behaviour::Refuses,
        Behaviour::NoMajority,
        Behaviour::Works(2_000),
        Behaviour::Works(2_000),
        Behaviour::Works(2_000),
    ];
    let mut simulation = Simulation::new(4, 3, behaviours);
    simulation.run(SECOND);
    assert!(
        simulation
            .current_replica()
            .is_some_and(|replica| replica >= 2)
    );
    assert!(
        simulation.longest_gap < 600_000,
        "{}",
        simulation.longest_gap
    );
    // A replica of another zone may have answered first, but the third is in the node's own zone.
    simulation.run(6 * SECOND);
    assert_eq!(simulation.current_replica(), Some(2));
    assert!(
        simulation.longest_gap < 600_000,
        "{}",
        simulation.longest_gap
    );
}

#[test]
fn a_replica_whose_proofs_are_late_is_kept_if_no_other_answers_earlier() {
    let mut simulation = Simulation::new(5, 1, vec![Behaviour::Works(2_000); 3]);
    simulation.run(2 * SECOND);
    assert_eq!(simulation.current_replica(), Some(0));
    // The answers of the current replica now exceed the proof timeout, and those of the others take
    // even longer.
    simulation.behaviours = vec![
        Behaviour::Works(600_000),
        Behaviour::Works(900_000),
        Behaviour::Works(900_000),
    ];
    simulation.run(5 * SECOND);
    assert_eq!(simulation.current_replica(), Some(0));
}
