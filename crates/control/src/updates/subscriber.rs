//! The task of a node that subscribes to a slice of the state machine, over one connection at a
//! time to the relay of its zone or to a replica (design 5.9, 6.1).

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use model::state_slice::ServiceSet;
use model::{Microseconds, Position, StateSlice};
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};
use transport::{Frame, FrameSender, Handshake};

use super::relay::Relay;
use super::view::SharedView;
use super::zone_relay::select_zone_relay;
use crate::membership::discovery::{self, KnownReplicas};

/// Time for which proof requests outside the regular interval are collected before one is sent for
/// all of them, in microseconds.
const PROOF_BATCH_WINDOW: Microseconds = 20_000;

/// Time for which a failed relay is avoided, in microseconds.
const RELAY_RETRY_AFTER: Microseconds = 3_000_000;

/// Minimum pause between two connections, in milliseconds.
const RECONNECT_PAUSE_MS: u64 = 20;
/// Upper bound of the random part added to the pause, in milliseconds.
const RECONNECT_JITTER_MS: u64 = 30;

/// The settings of a subscription. All times are in microseconds.
pub struct SubscriptionConfig {
    /// The name of this node.
    pub node: String,
    /// The zone of this node.
    pub zone: String,
    /// Validity of a freshness proof, counted from its request, in microseconds.
    pub proof_validity: Microseconds,
    /// Interval between two freshness-proof requests, in microseconds.
    pub proof_interval: Microseconds,
    /// Time for which the node stays connected to an upstream that sends no proof, in microseconds.
    pub proof_timeout: Microseconds,
    /// Whether the node subscribes through the relay of its zone instead of at a replica.
    pub use_zone_relays: bool,
}

/// The result of a subscription, for the other tasks of the node.
pub struct Subscription {
    /// The received slice, and the time until which its freshness is proved.
    pub view: SharedView,
    /// The position of the view. It is also signalled for every proof, even if it does not change.
    pub position: watch::Receiver<Position>,
    /// The relay that serves other nodes of the zone from this subscription.
    pub relay: Relay,
}

/// A freshness proof that was requested on the current connection.
struct PendingProof {
    request_id: u64,
    requested_at: Microseconds,
}

/// A relay that failed, and the time until which it is avoided.
struct AvoidedRelay {
    address: String,
    until: Microseconds,
}

struct SubscriberTask<H> {
    config: SubscriptionConfig,
    known_replicas: KnownReplicas,
    handshake: H,
    view: SharedView,
    position: watch::Sender<Position>,
    verified_at: watch::Sender<Microseconds>,
    services: watch::Receiver<ServiceSet>,
    proof_needed: Arc<Notify>,
    is_connected_to_replica: Arc<AtomicBool>,
    pending_requests: VecDeque<PendingProof>,
    last_request: u64,
    /// Whether the view was received on the current connection, so that patches and proofs from
    /// this connection apply to it.
    has_base: bool,
    avoided_relay: Option<AvoidedRelay>,
    logger: Logger,
}

/// Starts the task that subscribes to the slice for `services`, which may change. The task runs as
/// long as the process.
pub fn start<H: Fn() -> Handshake + Send + Sync + 'static>(
    config: SubscriptionConfig,
    known_replicas: KnownReplicas,
    services: watch::Receiver<ServiceSet>,
    handshake: H,
    logger: Logger,
) -> Subscription {
    let (position, watched_position) = watch::channel(0);
    let (verified_at, watched_verified_at) = watch::channel(0);
    let view = SharedView::default();
    let relay = Relay {
        view: view.clone(),
        verified_at: watched_verified_at,
        proof_needed: Arc::default(),
        is_connected_to_replica: Arc::default(),
    };
    let task = SubscriberTask {
        config,
        known_replicas,
        handshake,
        view: view.clone(),
        position,
        verified_at,
        services,
        proof_needed: relay.proof_needed.clone(),
        is_connected_to_replica: relay.is_connected_to_replica.clone(),
        pending_requests: VecDeque::new(),
        last_request: 0,
        has_base: false,
        avoided_relay: None,
        logger,
    };
    tokio::spawn(task.run());
    Subscription {
        view,
        position: watched_position,
        relay,
    }
}

impl<H: Fn() -> Handshake + Send + Sync + 'static> SubscriberTask<H> {
    async fn run(mut self) {
        // The first replica depends on the name of the node, which spreads the nodes over the
        // replicas; further connections try the replicas in turn.
        let mut next_replica = usize::from(model::leases::key_slot(&self.config.node));
        loop {
            let relay = self.zone_relay();
            let address = relay.clone().or_else(|| {
                let replicas = discovery::list(&self.known_replicas);
                next_replica += 1;
                let replica = replicas.get(next_replica % replicas.len().max(1));
                replica.map(|replica| replica.address.clone())
            });
            if let Some(address) = address {
                self.connect(&address, relay.as_ref()).await;
            }
            self.avoid_if_still_selected(relay);
            let pause = RECONNECT_PAUSE_MS + rand::random::<u64>() % RECONNECT_JITTER_MS;
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Returns the address of the relay of the zone. `None` if this node is the relay, if there is
    /// no relay, or if the relay is avoided after a failure.
    fn zone_relay(&self) -> Option<String> {
        let view = self.view.load();
        let services = self.services.borrow();
        let (node, address) = select_zone_relay(&view.slice, &self.config.zone, &services)?;
        let avoided = self.avoided_relay.as_ref();
        let is_avoided = avoided
            .is_some_and(|avoided| avoided.address == address && model::now() < avoided.until);
        let is_usable = self.config.use_zone_relays && node != self.config.node && !is_avoided;
        is_usable.then_some(address)
    }

    /// Avoids a relay whose connection ended although it is still the selected one, because the
    /// relay has then failed.
    fn avoid_if_still_selected(&mut self, relay: Option<String>) {
        if relay.is_some() && relay == self.zone_relay() {
            let until = model::now() + RELAY_RETRY_AFTER;
            self.avoided_relay = relay.map(|address| AvoidedRelay { address, until });
        }
    }

    async fn connect(&mut self, address: &str, relay: Option<&String>) {
        let connection = match transport::dial(address, (self.handshake)()).await {
            Ok(connection) => connection,
            Err(error) => {
                slog::debug!(self.logger, "could not connect to an upstream; will retry";
                    "address" => address,
                    "error" => %error);
                return;
            }
        };
        let upstream = connection.peer_handshake.node_name;
        discovery::merge(
            &self.known_replicas,
            connection.peer_handshake.known_replicas,
        );
        slog::info!(self.logger, "connected to an upstream; subscribing";
            "upstream" => &upstream,
            "is_relay" => relay.is_some());
        let is_replica = relay.is_none();
        self.is_connected_to_replica
            .store(is_replica, Ordering::Relaxed);
        self.follow(connection.sender, connection.receiver, relay)
            .await;
        slog::info!(self.logger, "closed the connection to an upstream"; "upstream" => &upstream);
    }

    /// Subscribes, and handles frames until the connection ends or the upstream is to be replaced.
    async fn follow(
        &mut self,
        sender: FrameSender,
        mut receiver: mpsc::Receiver<Frame>,
        relay: Option<&String>,
    ) {
        self.pending_requests.clear();
        self.has_base = false;
        let began_at = model::now();
        let mut proved_at = began_at;
        let mut usable = self.subscribe(&sender).await;
        let proof_needed = self.proof_needed.clone();
        let mut proof_ticks = interval(Duration::from_micros(self.config.proof_interval));
        proof_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while usable {
            usable = tokio::select! {
                frame = receiver.recv() => match frame {
                    Some(frame) => {
                        if self.handle_frame(frame) {
                            proved_at = model::now();
                        }
                        true
                    }
                    None => false,
                },
                _ = proof_ticks.tick() => {
                    let has_recent_proof = model::now() < proved_at + self.config.proof_timeout;
                    let is_selected = self.is_still_selected(began_at, relay);
                    self.request_proof(&sender) && has_recent_proof && is_selected
                }
                _ = proof_needed.notified() => {
                    sleep(Duration::from_micros(PROOF_BATCH_WINDOW)).await;
                    self.request_proof(&sender)
                }
                changed = self.services.changed() => {
                    changed.is_ok() && relay.is_none() && self.subscribe(&sender).await
                }
            };
        }
    }

    /// Returns whether the upstream is still the selected one. The connection ends when another
    /// relay is selected for the zone, or when this node becomes the relay or ceases to be it. A
    /// new connection is kept for [`PROOF_BATCH_WINDOW`] in any case.
    fn is_still_selected(&self, began_at: Microseconds, relay: Option<&String>) -> bool {
        model::now() < began_at + PROOF_BATCH_WINDOW || relay == self.zone_relay().as_ref()
    }

    fn request_proof(&mut self, sender: &FrameSender) -> bool {
        self.last_request += 1;
        self.pending_requests.push_back(PendingProof {
            request_id: self.last_request,
            requested_at: model::now(),
        });
        let request = Frame::RequestProof {
            request_id: self.last_request,
        };
        sender.try_send(request).is_ok()
    }

    async fn subscribe(&mut self, sender: &FrameSender) -> bool {
        let services = self.services.borrow_and_update().clone();
        let held_position = self.view.load().slice.position;
        let request = Frame::Subscribe {
            services,
            held_position,
        };
        sender.send(request).await.is_ok()
    }

    /// Handles a frame and returns whether it proved the freshness of the view.
    fn handle_frame(&mut self, frame: Frame) -> bool {
        match frame {
            Frame::StateUpdate(slice) => {
                self.has_base = true;
                self.store(*slice);
            }
            // A patch applies only to a slice received on this connection.
            Frame::StatePatch(patch) if self.has_base => {
                let slice = self.view.load().slice.with_patch(*patch);
                self.store(slice);
            }
            Frame::Proof {
                request_id,
                position,
            } => return self.on_proof(request_id, position),
            _ => {}
        }
        false
    }

    fn store(&mut self, slice: StateSlice) {
        match self.view.load().with_update(slice) {
            Some(view) => {
                let position = view.slice.position;
                self.view.store(Arc::new(view));
                self.position.send_replace(position);
            }
            // The upstream sends an older slice than the one held, so its further patches do not
            // apply.
            None => self.has_base = false,
        }
    }

    fn on_proof(&mut self, request_id: u64, position: Position) -> bool {
        let mut pending = self.pending_requests.iter();
        let request = pending.find(|request| request.request_id == request_id);
        let requested_at = request.map(|request| request.requested_at);
        self.pending_requests
            .retain(|request| request.request_id > request_id);
        // Without a slice from this connection the proof would be applied to a slice from another
        // one, which it does not cover.
        let Some(requested_at) = requested_at.filter(|_| self.has_base) else {
            return false;
        };
        let validity = self.config.proof_validity;
        let proved = self
            .view
            .load()
            .with_proof(requested_at, position, validity);
        let Some(view) = proved else {
            return false;
        };
        self.view.store(Arc::new(view));
        // Notifies the watchers of the position of the proof, too.
        self.position.send_modify(|_| {});
        self.verified_at.send_replace(requested_at);
        true
    }
}
