//! The task of a node that follows the cluster state: it maintains the connections that
//! [`Upstreams`] selects, and passes the frames received on them to [`StateFollower`] (design
//! 11.3).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use mencius::ReplicaId;
use model::Microseconds;
use slog::Logger;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep;
use transport::{Frame, FrameSender, Handshake, KnownReplica};

use super::upstreams::{
    self, Action, Candidate, CloseReason, ReplicaKey, UpstreamId, UpstreamTiming, Upstreams,
};
use super::verification::{SharedVerifiedState, StateFollower, UpdateOutcome};
use crate::membership::discovery::{self, KnownReplicas};

/// Capacity of the event queue of the task, in events; a connection that finds it full waits.
const EVENT_QUEUE_CAPACITY: usize = 64;
/// Interval between two proofs, in microseconds, above which a warning is logged, because the node
/// may have received no updates in between.
const PROOF_GAP_WARNING: Microseconds = 1_200_000;

/// The settings of a follower. All times are in microseconds.
pub struct FollowerConfig {
    /// The name of this node.
    pub node: String,
    /// The zone of this node.
    pub zone: String,
    /// Interval between two freshness-proof requests, in microseconds.
    pub proof_interval: Microseconds,
    /// Time for which a replica may leave a freshness-proof request unanswered before the node
    /// tries other replicas, in microseconds.
    pub proof_timeout: Microseconds,
}

/// The results of a follower, for the other tasks of the node.
#[derive(Clone)]
pub struct FollowerHandle {
    /// The state that the node may act on.
    pub verified_state: SharedVerifiedState,
    /// The number of changes of `verified_state`.
    pub changes: watch::Receiver<u64>,
    /// The address of the replica that the node relies on, if there is one.
    pub followed_address: watch::Receiver<Option<String>>,
}

/// An event on a connection.
enum Event {
    Connected {
        handshake: Box<Handshake>,
        sender: FrameSender,
    },
    Received(Frame),
    Ended(CloseReason),
}

/// A connection, or an attempt to open one.
struct UpstreamConnection {
    address: String,
    /// The name of the replica; `None` until its handshake arrives.
    name: Option<String>,
    /// The sender of the connection; `None` until it is open.
    sender: Option<FrameSender>,
    /// Aborts the task that reads from the connection, which closes the connection.
    reader: AbortHandle,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

struct FollowerTask<H> {
    config: FollowerConfig,
    known_replicas: KnownReplicas,
    handshake: H,
    verified_state: SharedVerifiedState,
    changes: watch::Sender<u64>,
    followed_address: watch::Sender<Option<String>>,
    follower: StateFollower,
    upstreams: Upstreams,
    connections: BTreeMap<UpstreamId, UpstreamConnection>,
    events: mpsc::Sender<(UpstreamId, Event)>,
    last_proof_at: Option<Microseconds>,
    logger: Logger,
}

/// Starts the task that follows the cluster state. The task runs as long as the process.
pub fn start<H: Fn() -> Handshake + Send + Sync + 'static>(
    config: FollowerConfig,
    known_replicas: KnownReplicas,
    handshake: H,
    logger: Logger,
) -> FollowerHandle {
    let (changes, watched_changes) = watch::channel(0);
    let (followed_address, watched_address) = watch::channel(None);
    let verified_state = SharedVerifiedState::default();
    let (events, incoming) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let timing = UpstreamTiming {
        proof_interval: config.proof_interval,
        proof_timeout: config.proof_timeout,
    };
    let task = FollowerTask {
        config,
        known_replicas,
        handshake,
        verified_state: verified_state.clone(),
        changes,
        followed_address,
        follower: StateFollower::default(),
        upstreams: Upstreams::new(timing, rand::random()),
        connections: BTreeMap::new(),
        events,
        last_proof_at: None,
        logger,
    };
    tokio::spawn(task.run(incoming));
    FollowerHandle {
        verified_state,
        changes: watched_changes,
        followed_address: watched_address,
    }
}

/// Returns the known replicas in order of preference: those of the node's zone first. Within and
/// outside the zone, the order depends on the name of the node, which spreads the nodes over the
/// replicas.
fn candidates(config: &FollowerConfig, known_replicas: &KnownReplicas) -> Vec<Candidate> {
    let rank = |replica_id: ReplicaId| {
        let node_and_replica = format!("{}{replica_id}", config.node);
        model::leases::stable_hash(&node_and_replica)
    };
    let mut replicas = discovery::list(known_replicas);
    replicas.sort_by_key(|replica| {
        let is_elsewhere = replica.zone != config.zone;
        let latest_start_first = Reverse(replica.start_count);
        (is_elsewhere, rank(replica.replica_id), latest_start_first)
    });
    let candidate = |replica: KnownReplica| Candidate {
        key: ReplicaKey {
            replica_id: replica.replica_id,
            disk_id: replica.disk_id,
        },
        is_own_zone: replica.zone == config.zone,
        address: replica.address,
    };
    replicas.into_iter().map(candidate).collect()
}

impl<H: Fn() -> Handshake + Send + Sync + 'static> FollowerTask<H> {
    async fn run(mut self, mut incoming: mpsc::Receiver<(UpstreamId, Event)>) {
        let mut known_replicas = self.known_replicas.subscribe();
        let mut candidates = candidates(&self.config, &self.known_replicas);
        loop {
            let now = model::now();
            for action in self.upstreams.poll(now, &candidates) {
                self.perform(action);
            }
            let next_poll_at = self.upstreams.next_poll_at(now);
            tokio::select! {
                event = incoming.recv() => if let Some((upstream, event)) = event {
                    self.on_event(upstream, event);
                },
                changed = known_replicas.changed() => if changed.is_ok() {
                    candidates = self::candidates(&self.config, &self.known_replicas);
                },
                () = sleep(upstreams::duration_until(now, next_poll_at)) => {}
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dial {
                upstream,
                candidate,
            } => self.dial(upstream, candidate),
            Action::RequestProof { upstream, frame } => self.send(upstream, frame),
            Action::Close { upstream, reason } => self.close(upstream, reason),
        }
    }

    fn dial(&mut self, upstream: UpstreamId, candidate: Candidate) {
        let handshake = (self.handshake)();
        let reading = read_connection(
            upstream,
            candidate.address.clone(),
            handshake,
            self.events.clone(),
            self.logger.clone(),
        );
        let connection = UpstreamConnection {
            address: candidate.address,
            name: None,
            sender: None,
            reader: tokio::spawn(reading).abort_handle(),
        };
        self.connections.insert(upstream, connection);
    }

    fn send(&mut self, upstream: UpstreamId, frame: Frame) {
        let connection = self.connections.get(&upstream);
        let sender = connection.and_then(|connection| connection.sender.as_ref());
        // If the send fails because the connection has ended, an event reports the end.
        let _ = sender.map(|sender| sender.try_send(frame));
    }

    /// Removes a connection, which closes it.
    fn close(&mut self, upstream: UpstreamId, reason: CloseReason) {
        let Some(connection) = self.connections.remove(&upstream) else {
            return;
        };
        if let Some(name) = &connection.name {
            slog::info!(self.logger, "closed the connection to a replica";
                "upstream" => name,
                "reason" => ?reason);
        }
        self.followed_address.send_if_modified(|address| {
            address
                .take_if(|held| *held == connection.address)
                .is_some()
        });
    }

    fn on_event(&mut self, upstream: UpstreamId, event: Event) {
        // Events of a connection that was already closed are ignored.
        if !self.connections.contains_key(&upstream) {
            return;
        }
        match event {
            Event::Connected { handshake, sender } => {
                self.on_connected(upstream, *handshake, sender);
            }
            Event::Received(frame) => self.on_frame(upstream, frame),
            Event::Ended(reason) => self.end(upstream, reason),
        }
    }

    fn end(&mut self, upstream: UpstreamId, reason: CloseReason) {
        self.upstreams.on_ended(model::now(), upstream, reason);
        self.close(upstream, reason);
    }

    fn on_connected(&mut self, upstream: UpstreamId, handshake: Handshake, sender: FrameSender) {
        discovery::merge(&self.known_replicas, handshake.known_replicas);
        slog::info!(self.logger, "connected to a replica"; "upstream" => &handshake.node_name);
        let Some(connection) = self.connections.get_mut(&upstream) else {
            return;
        };
        connection.name = Some(handshake.node_name);
        connection.sender = Some(sender);
        let request = Frame::FollowClusterState {
            held_position: self.follower.held_position(),
        };
        self.send(upstream, request);
        let is_own_zone = handshake.zone == self.config.zone;
        self.upstreams
            .on_connected(model::now(), upstream, is_own_zone);
    }

    fn on_frame(&mut self, upstream: UpstreamId, frame: Frame) {
        let Some(requests) = self.upstreams.proof_requests_mut(upstream) else {
            return;
        };
        let outcome = self.follower.handle_frame(frame, requests);
        match outcome {
            UpdateOutcome::Ignored => return,
            UpdateOutcome::Inconsistent => {
                return self.end(upstream, CloseReason::Inconsistent);
            }
            UpdateOutcome::Verified => self.on_verified(upstream),
            UpdateOutcome::Updated => {}
        }
        if let Some(verified_state) = self.follower.verified() {
            self.verified_state.store(Arc::new(verified_state));
            self.changes.send_modify(|changes| *changes += 1);
        }
    }

    fn on_verified(&mut self, upstream: UpstreamId) {
        let now = model::now();
        let was_current = self.upstreams.is_current(upstream);
        for action in self.upstreams.on_verified(now, upstream) {
            self.perform(action);
        }
        if !was_current
            && self.upstreams.is_current(upstream)
            && let Some(connection) = self.connections.get(&upstream)
        {
            slog::info!(self.logger, "following a replica"; "upstream" => connection.name.as_ref());
            self.followed_address
                .send_replace(Some(connection.address.clone()));
        }
        let gap = self.last_proof_at.map_or(0, |last| now - last);
        if gap > PROOF_GAP_WARNING {
            slog::warn!(self.logger, "no freshness proof arrived for a while; updates may be late";
                "gap_us" => gap);
        }
        self.last_proof_at = Some(now);
    }
}

/// Opens a connection and passes the frames received on it to the task until it ends.
async fn read_connection(
    upstream: UpstreamId,
    address: String,
    handshake: Handshake,
    events: mpsc::Sender<(UpstreamId, Event)>,
    logger: Logger,
) {
    let mut connection = match transport::dial(&address, handshake).await {
        Ok(connection) => connection,
        Err(error) => {
            slog::debug!(logger, "could not connect to a replica";
                "address" => address,
                "error" => %error);
            let ended = Event::Ended(CloseReason::Unreachable);
            // The send fails only when the task has ended because the process stops.
            drop(events.send((upstream, ended)).await);
            return;
        }
    };
    let connected = Event::Connected {
        handshake: Box::new(connection.peer_handshake),
        sender: connection.sender,
    };
    let mut event = connected;
    while events.send((upstream, event)).await.is_ok() {
        event = match connection.receiver.recv().await {
            Some(frame) => Event::Received(frame),
            None => Event::Ended(CloseReason::Closed),
        };
        if let Event::Ended(_) = event {
            drop(events.send((upstream, event)).await);
            return;
        }
    }
}
