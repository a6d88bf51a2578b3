//! A node's side: one conn upstream, to its home or to a core seat, for news and proofs (design 5.9, 6.1).

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

pub struct SubscriptionConfig {
    pub node: String,
    pub zone: String,
    pub freshness_bound: model::Microseconds,
    pub proof_interval: model::Microseconds,
    pub proof_timeout: model::Microseconds,
    /// Zones are heard through homes; without, every node asks the core itself.
    pub use_zone_relays: bool,
}

pub struct Subscription {
    pub view: crate::view::SharedView,
    pub position: tokio::sync::watch::Receiver<model::Position>,
    pub relay: crate::relay::Relay,
}

struct SubscriberTask<G> {
    config: SubscriptionConfig,
    known_replicas: crate::KnownReplicas,
    handshake: G,
    view: crate::view::SharedView,
    position: tokio::sync::watch::Sender<model::Position>,
    verified_at: tokio::sync::watch::Sender<model::Microseconds>,
    services: tokio::sync::watch::Receiver<model::state_slice::ServiceSet>,
    proof_wanted: Arc<tokio::sync::Notify>,
    follows_core_directly: Arc<AtomicBool>,
    pending_requests: VecDeque<(u64, model::Microseconds)>,
    last_request: u64,
    /// The view rests on what the present conn has told.
    has_base: bool,
    /// A home that failed is passed over for a while.
    avoided_relay: Option<(String, model::Microseconds)>,
    logger: slog::Logger,
}

/// Asks that come in a hurry are gathered for so long.
const PROOF_BATCH_WINDOW: model::Microseconds = 20_000;
const RELAY_RETRY_AFTER: model::Microseconds = 3_000_000;

pub fn start<G: Fn() -> transport::Handshake + Send + Sync + 'static>(
    env: SubscriptionConfig,
    known: crate::KnownReplicas,
    services: tokio::sync::watch::Receiver<model::state_slice::ServiceSet>,
    greeting: G,
    logger: slog::Logger,
) -> Subscription {
    let (moved, watch) = tokio::sync::watch::channel(0);
    let (proved, proofs) = tokio::sync::watch::channel(0);
    let view: crate::view::SharedView = Default::default();
    let relay = crate::relay::Relay {
        view: view.clone(),
        verified_at: proofs,
        proof_wanted: Default::default(),
        follows_core_directly: Default::default(),
    };
    let line = SubscriberTask {
        config: env,
        known_replicas: known,
        handshake: greeting,
        view: view.clone(),
        position: moved,
        verified_at: proved,
        services,
        proof_wanted: relay.proof_wanted.clone(),
        follows_core_directly: relay.follows_core_directly.clone(),
        pending_requests: Default::default(),
        last_request: 0,
        has_base: false,
        avoided_relay: None,
        logger,
    };
    tokio::spawn(line.run());
    Subscription {
        view,
        position: watch,
        relay,
    }
}

impl<G: Fn() -> transport::Handshake + Send + Sync + 'static> SubscriberTask<G> {
    async fn run(mut self) {
        // Nodes spread over the core by name, then go round when a seat does not answer.
        let mut turn = model::leases::key_slot(&self.config.node) as usize;
        loop {
            let home = self.zone_relay();
            let seats = crate::discovery::list(&self.known_replicas);
            let place = home.clone().or_else(|| {
                turn += 1;
                seats
                    .get(turn % seats.len().max(1))
                    .map(|seat| seat.address.clone())
            });
            if let Some(address) = place {
                match transport::dial(&address, (self.handshake)()).await {
                    Ok(conn) => {
                        crate::discovery::merge(
                            &self.known_replicas,
                            conn.peer_handshake.known_replicas.clone(),
                        );
                        slog::info!(self.logger, "subscribed"; "upstream" => &conn.peer_handshake.node_name, "home" => home.is_some());
                        self.follows_core_directly
                            .store(home.is_none(), std::sync::atomic::Ordering::Relaxed);
                        self.follow(conn, home.clone()).await;
                    }
                    Err(trouble) => {
                        slog::debug!(self.logger, "dial"; "address" => &address, "trouble" => %trouble)
                    }
                }
            }
            if home.is_some() && home == self.zone_relay() {
                self.avoided_relay = home.map(|home| (home, model::now() + RELAY_RETRY_AFTER));
            }
            tokio::time::sleep(Duration::from_millis(20 + rand::random::<u64>() % 30)).await;
        }
    }

    /// The home's address; none when this node is the home, or there is none to trust.
    fn zone_relay(&self) -> Option<String> {
        let view = self.view.load();
        let (name, address) = crate::zone_relay::select_zone_relay(
            &view.slice,
            &self.config.zone,
            &self.services.borrow(),
        )?;
        let passed_over = self
            .avoided_relay
            .as_ref()
            .is_some_and(|(held, until)| *held == address && model::now() < *until);
        (self.config.use_zone_relays && name != self.config.node && !passed_over).then_some(address)
    }

    async fn follow(&mut self, mut conn: transport::Connection, home: Option<String>) {
        self.pending_requests.clear();
        self.has_base = false;
        let began = model::now();
        let mut fine = self.subscribe(&conn.sender).await;
        let mut proved = began;
        let hurry = self.proof_wanted.clone();
        let mut every = tokio::time::interval(Duration::from_micros(self.config.proof_interval));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while fine {
            fine = tokio::select! {
                frame = conn.receiver.recv() => match frame {
                    Some(frame) => {
                        self.handle_frame(frame, &mut proved);
                        true
                    }
                    None => false,
                },
                _ = every.tick() => {
                    // An upstream that proves nothing is left for another in good time.
                    let trusted = model::now() < proved + self.config.proof_timeout;
                    // Duties move: a new home is followed, and so is the end of one's own.
                    let settled = model::now() < began + PROOF_BATCH_WINDOW || home == self.zone_relay();
                    self.request_proof(&conn.sender) && trusted && settled
                }
                _ = hurry.notified() => {
                    tokio::time::sleep(Duration::from_micros(PROOF_BATCH_WINDOW)).await;
                    self.request_proof(&conn.sender)
                }
                changed = self.services.changed() => changed.is_ok() && home.is_none() && self.subscribe(&conn.sender).await,
            };
        }
        slog::info!(self.logger, "upstream left"; "upstream" => &conn.peer_handshake.node_name);
    }

    fn request_proof(&mut self, sender: &transport::FrameSender) -> bool {
        self.last_request += 1;
        self.pending_requests
            .push_back((self.last_request, model::now()));
        sender
            .try_send(transport::Frame::RequestProof {
                request_id: self.last_request,
            })
            .is_ok()
    }

    async fn subscribe(&mut self, sender: &transport::FrameSender) -> bool {
        let services = self.services.borrow_and_update().clone();
        let held = self.view.load().slice.position;
        sender
            .send(transport::Frame::Subscribe {
                services,
                held_position: held,
            })
            .await
            .is_ok()
    }

    fn store(&mut self, slice: model::StateSlice) {
        match self.view.load().with_update(slice) {
            Some(view) => {
                let position = view.slice.position;
                self.view.store(Arc::new(view));
                self.position.send_replace(position);
            }
            // What this conn tells is not what is held: nothing more of it fits.
            None => self.has_base = false,
        }
    }

    fn handle_frame(&mut self, frame: transport::Frame, proved: &mut model::Microseconds) {
        match frame {
            transport::Frame::StateUpdate(slice) => {
                self.has_base = true;
                self.store(*slice);
            }
            // A patch fits only on what this conn has told before.
            transport::Frame::StatePatch(patch) if self.has_base => {
                let slice = self.view.load().slice.with_patch(*patch);
                self.store(slice);
            }
            transport::Frame::Proof {
                request_id: number,
                position,
            } => {
                let asked = self
                    .pending_requests
                    .iter()
                    .find(|(asked, _)| *asked == number)
                    .map(|(_, at)| *at);
                self.pending_requests.retain(|(asked, _)| *asked > number);
                // Without a base a proof would vouch for what another conn told.
                let next = asked.filter(|_| self.has_base).and_then(|asked| {
                    self.view
                        .load()
                        .with_proof(asked, position, self.config.freshness_bound)
                });
                if let Some(view) = next {
                    self.view.store(Arc::new(view));
                    self.position.send_modify(|_| {});
                    self.verified_at.send_replace(asked.unwrap_or(0));
                    *proved = model::now();
                }
            }
            _ => {}
        }
    }
}
