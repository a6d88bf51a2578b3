//! The choice of replicas in virtual time: how long a node is without updates while replicas are
//! silent, refuse, are slow or prove nothing.

use std::collections::{BTreeMap, VecDeque};

use control::updates::upstreams::{
    Action, Candidate, CloseReason, ReplicaKey, UpstreamId, UpstreamTiming, Upstreams,
};
use control::updates::verification::{StateFollower, UpdateOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use transport::Frame;

const STEP: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const HANDSHAKE_TIMEOUT: u64 = SECOND;
const TIMING: UpstreamTiming = UpstreamTiming {
    proof_interval: 500_000,
    proof_timeout: 500_000,
};

/// How a replica treats a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// It works; an answer takes so long.
    Works(u64),
    /// Its process is suspended, or its machine is gone.
    Silent,
    /// Nothing listens at its address.
    Refuses,
    /// It answers, and reaches no majority.
    Unproved,
}

struct Connection {
    replica: usize,
    /// When it opens or fails.
    decided_at: u64,
    is_open: bool,
    /// Proofs on their way.
    proofs: VecDeque<(u64, u64)>,
}

/// A node, and replicas whose behaviour a test sets.
struct World {
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

impl World {
    /// The first `own` replicas stand in the zone of the node.
    fn new(seed: u64, own: usize, behaviours: Vec<Behaviour>) -> World {
        let candidate = |index: usize| Candidate {
            key: ReplicaKey {
                replica_id: index as u16,
                disk_id: 1,
            },
            address: index.to_string(),
            is_own_zone: index < own,
        };
        World {
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
        let replica: usize = candidate.address.parse().expect("its number");
        let takes = match self.behaviours[replica] {
            Behaviour::Works(takes) => takes,
            Behaviour::Silent => HANDSHAKE_TIMEOUT,
            Behaviour::Refuses => 200,
            Behaviour::Unproved => 2_000,
        };
        let connection = Connection {
            replica,
            decided_at: self.now + takes,
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
        let connection = self.connections.get_mut(&upstream).expect("it is open");
        if let Behaviour::Works(takes) = self.behaviours[connection.replica] {
            connection.proofs.push_back((self.now + takes, request_id));
        }
    }

    /// The actions of the network that are due.
    fn deliver(&mut self) {
        let ids: Vec<UpstreamId> = self.connections.keys().copied().collect();
        for id in ids {
            self.open(id);
            self.prove(id);
        }
    }

    fn open(&mut self, id: UpstreamId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.is_open || self.now < connection.decided_at {
            return;
        }
        let replica = connection.replica;
        self.had_event = true;
        match self.behaviours[replica] {
            Behaviour::Works(_) | Behaviour::Unproved => {
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

    fn prove(&mut self, id: UpstreamId) {
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
            // An event leads to a look, as the passing of time does.
            if self.now >= poll_at || std::mem::take(&mut self.had_event) {
                let actions = self.upstreams.poll(self.now, &self.candidates);
                self.perform(actions);
                poll_at = self.upstreams.next_poll_at(self.now);
                assert!(poll_at > self.now, "it makes no progress");
            }
            self.now += STEP;
        }
        self.longest_gap = self.longest_gap.max(self.now - self.last_proof_at);
    }

    fn relies_on(&self) -> Option<usize> {
        let mut connections = self.connections.iter();
        let current = connections.find(|(id, _)| self.upstreams.is_current(**id));
        current.map(|(_, connection)| connection.replica)
    }

    fn forget_gaps(&mut self) {
        self.longest_gap = 0;
    }
}

#[test]
fn a_silent_zone_costs_one_search_and_later_looks_at_it_cost_nothing() {
    let mut behaviours = vec![Behaviour::Works(5_000); 7];
    let mut world = World::new(1, 2, behaviours.clone());
    world.run(3 * SECOND);
    assert_eq!(world.relies_on(), Some(0));
    behaviours[0] = Behaviour::Silent;
    behaviours[1] = Behaviour::Silent;
    world.behaviours = behaviours;
    world.run(4 * SECOND);
    assert!(world.relies_on().is_some_and(|replica| replica >= 2));
    // Half a second between two requests, as much until the proof is late, and one attempt that is
    // not answered.
    assert!(world.longest_gap < 1_500_000, "{}", world.longest_gap);
    world.forget_gaps();
    world.run(40 * SECOND);
    assert!(world.longest_gap < 600_000, "{}", world.longest_gap);
    world.behaviours = vec![Behaviour::Works(5_000); 7];
    world.run(40 * SECOND);
    assert!(world.relies_on().is_some_and(|replica| replica < 2));
    assert!(world.longest_gap < 600_000, "{}", world.longest_gap);
}

#[test]
fn drawn_losses_leave_no_node_without_a_proof_for_two_seconds() {
    for seed in 0..300 {
        let mut rng = StdRng::seed_from_u64(seed);
        let replicas = rng.random_range(3..=11);
        let losses = usize::midpoint(replicas, 1) - 1;
        let losses = losses.min(2);
        let own = rng.random_range(0..=replicas);
        let works = Behaviour::Works(rng.random_range(500..=60_000));
        let mut world = World::new(seed, own, vec![works; replicas]);
        world.run(2 * SECOND);
        world.forget_gaps();
        for _ in 0..8 {
            let mut behaviours = vec![works; replicas];
            for _ in 0..rng.random_range(0..=losses) {
                let lost = rng.random_range(0..replicas);
                behaviours[lost] = match rng.random_range(0..3) {
                    0 => Behaviour::Silent,
                    1 => Behaviour::Refuses,
                    _ => Behaviour::Unproved,
                };
            }
            world.behaviours = behaviours;
            world.run(rng.random_range(SECOND / 2..=9 * SECOND));
            assert!(
                world.longest_gap < 2 * SECOND,
                "seed {seed}: {} µs without a proof",
                world.longest_gap
            );
        }
        assert!(world.most_connections <= 4, "seed {seed}");
    }
}

#[test]
fn a_core_without_a_majority_is_asked_ever_more_slowly() {
    for behaviour in [Behaviour::Unproved, Behaviour::Silent, Behaviour::Refuses] {
        let mut world = World::new(7, 2, vec![behaviour; 5]);
        world.run(10 * SECOND);
        world.dials = 0;
        world.run(20 * SECOND);
        assert!(world.dials < 70, "{behaviour:?}: {} dials", world.dials);
        world.behaviours = vec![Behaviour::Works(2_000); 5];
        let back_at = world.now;
        while world.relies_on().is_none() {
            world.run(10 * STEP);
        }
        let took = world.now - back_at;
        assert!(took < 1_200_000, "{behaviour:?}: {took} µs");
    }
}

#[test]
fn a_node_whose_network_is_back_begins_with_its_own_zone_soon() {
    let mut world = World::new(3, 2, vec![Behaviour::Silent; 5]);
    world.run(17 * SECOND);
    // The first that is reached is a replica that is itself cut off.
    world.behaviours = vec![Behaviour::Works(2_000); 5];
    world.behaviours[2] = Behaviour::Unproved;
    world.run(4 * SECOND);
    assert!(world.relies_on().is_some_and(|replica| replica < 2));
}

#[test]
fn a_dead_replica_and_one_that_proves_nothing_do_not_keep_a_node_from_the_third() {
    let behaviours = vec![
        Behaviour::Refuses,
        Behaviour::Unproved,
        Behaviour::Works(2_000),
        Behaviour::Works(2_000),
        Behaviour::Works(2_000),
    ];
    let mut world = World::new(4, 3, behaviours);
    world.run(SECOND);
    assert!(world.relies_on().is_some_and(|replica| replica >= 2));
    assert!(world.longest_gap < 600_000, "{}", world.longest_gap);
    // Meanwhile one elsewhere may have been quicker; the third is of the own zone.
    world.run(6 * SECOND);
    assert_eq!(world.relies_on(), Some(2));
    assert!(world.longest_gap < 600_000, "{}", world.longest_gap);
}

#[test]
fn a_proof_that_is_late_but_comes_keeps_the_replica() {
    let mut world = World::new(5, 1, vec![Behaviour::Works(2_000); 3]);
    world.run(2 * SECOND);
    assert_eq!(world.relies_on(), Some(0));
    // Its next answers take longer than they may, and those of the others longer still.
    world.behaviours = vec![
        Behaviour::Works(600_000),
        Behaviour::Works(900_000),
        Behaviour::Works(900_000),
    ];
    world.run(5 * SECOND);
    assert_eq!(world.relies_on(), Some(0));
}
