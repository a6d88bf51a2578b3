//! A node's side: one conn upstream, to its home or to a core seat, for news and proofs (design 5.9, 6.1).

pub struct SubscriptionEnv {
    pub name: String,
    pub zone: String,
    pub bound: model::Micros,
    pub ask_every: model::Micros,
    pub patience: model::Micros,
    /// Zones are heard through homes; without, every node asks the core itself.
    pub homes: bool,
}

pub struct Subscription {
    pub view: crate::view::SharedView,
    pub moved: tokio::sync::watch::Receiver<model::Position>,
    pub relay: crate::relay::Relay,
}

struct Line<G> {
    env: SubscriptionEnv,
    known: crate::Known,
    greeting: G,
    view: crate::view::SharedView,
    moved: tokio::sync::watch::Sender<model::Position>,
    proved: tokio::sync::watch::Sender<model::Micros>,
    services: tokio::sync::watch::Receiver<model::slice::Services>,
    hurry: std::sync::Arc<tokio::sync::Notify>,
    direct: std::sync::Arc<std::sync::atomic::AtomicBool>,
    asks: std::collections::VecDeque<(u64, model::Micros)>,
    numbers: u64,
    /// The view rests on what the present conn has told.
    based: bool,
    /// A home that failed is passed over for a while.
    passed_over: Option<(String, model::Micros)>,
    logger: slog::Logger,
}

/// Asks that come in a hurry are gathered for so long.
const GATHER: model::Micros = 20_000;
const PASS_OVER: model::Micros = 3_000_000;

pub fn start<G: Fn() -> transport::Greeting + Send + Sync + 'static>(
    env: SubscriptionEnv,
    known: crate::Known,
    services: tokio::sync::watch::Receiver<model::slice::Services>,
    greeting: G,
    logger: slog::Logger,
) -> Subscription {
    let (moved, watch) = tokio::sync::watch::channel(0);
    let (proved, proofs) = tokio::sync::watch::channel(0);
    let view: crate::view::SharedView = Default::default();
    let relay = crate::relay::Relay { view: view.clone(), proved: proofs, hurry: Default::default(), direct: Default::default() };
    let line = Line {
        env,
        known,
        greeting,
        view: view.clone(),
        moved,
        proved,
        services,
        hurry: relay.hurry.clone(),
        direct: relay.direct.clone(),
        asks: Default::default(),
        numbers: 0,
        based: false,
        passed_over: None,
        logger,
    };
    tokio::spawn(line.run());
    Subscription { view, moved: watch, relay }
}

impl<G: Fn() -> transport::Greeting + Send + Sync + 'static> Line<G> {
    async fn run(mut self) {
        // Nodes spread over the core by name, then go round when a seat does not answer.
        let mut turn = model::terms::slice_of(&self.env.name) as usize;
        loop {
            let home = self.home();
            let seats = crate::acquaint::list(&self.known);
            let place = home.clone().or_else(|| {
                turn += 1;
                seats.get(turn % seats.len().max(1)).map(|seat| seat.address.clone())
            });
            if let Some(address) = place {
                match transport::dial(&address, (self.greeting)()).await {
                    Ok(conn) => {
                        crate::acquaint::merge(&self.known, conn.greeting.known.clone());
                        slog::info!(self.logger, "subscribed"; "upstream" => &conn.greeting.name, "home" => home.is_some());
                        self.direct.store(home.is_none(), std::sync::atomic::Ordering::Relaxed);
                        self.attend(conn, home.clone()).await;
                    }
                    Err(trouble) => slog::debug!(self.logger, "dial"; "address" => &address, "trouble" => %trouble),
                }
            }
            if home.is_some() && home == self.home() {
                self.passed_over = home.map(|home| (home, model::now() + PASS_OVER));
            }
            tokio::time::sleep(std::time::Duration::from_millis(20 + rand::random::<u64>() % 30)).await;
        }
    }

    /// The home's address; none when this node is the home, or there is none to trust.
    fn home(&self) -> Option<String> {
        let view = self.view.load();
        let (name, address) = crate::home::home(&view.slice, &self.env.zone, &self.services.borrow())?;
        let passed_over = self.passed_over.as_ref().is_some_and(|(held, until)| *held == address && model::now() < *until);
        (self.env.homes && name != self.env.name && !passed_over).then_some(address)
    }

    async fn attend(&mut self, mut conn: transport::Conn, home: Option<String>) {
        self.asks.clear();
        self.based = false;
        let began = model::now();
        let mut fine = self.subscribe(&conn.sender).await;
        let mut proved = began;
        let hurry = self.hurry.clone();
        let mut every = tokio::time::interval(std::time::Duration::from_micros(self.env.ask_every));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while fine {
            fine = tokio::select! {
                frame = conn.receiver.recv() => match frame {
                    Some(frame) => {
                        self.take(frame, &mut proved);
                        true
                    }
                    None => false,
                },
                _ = every.tick() => {
                    // An upstream that proves nothing is left for another in good time.
                    let trusted = model::now() < proved + self.env.patience;
                    // Duties move: a new home is followed, and so is the end of one's own.
                    let settled = model::now() < began + GATHER || home == self.home();
                    self.ask(&conn.sender) && trusted && settled
                }
                _ = hurry.notified() => {
                    tokio::time::sleep(std::time::Duration::from_micros(GATHER)).await;
                    self.ask(&conn.sender)
                }
                changed = self.services.changed() => changed.is_ok() && home.is_none() && self.subscribe(&conn.sender).await,
            };
        }
        slog::info!(self.logger, "upstream left"; "upstream" => &conn.greeting.name);
    }

    fn ask(&mut self, sender: &transport::Sender) -> bool {
        self.numbers += 1;
        self.asks.push_back((self.numbers, model::now()));
        sender.try_send(transport::Frame::Ask { number: self.numbers }).is_ok()
    }

    async fn subscribe(&mut self, sender: &transport::Sender) -> bool {
        let services = self.services.borrow_and_update().clone();
        let held = self.view.load().slice.position;
        sender.send(transport::Frame::Subscribe { services, held }).await.is_ok()
    }

    fn hold(&mut self, slice: model::Slice) {
        match self.view.load().with_news(slice) {
            Some(view) => {
                let position = view.slice.position;
                self.view.store(std::sync::Arc::new(view));
                self.moved.send_replace(position);
            }
            // What this conn tells is not what is held: nothing more of it fits.
            None => self.based = false,
        }
    }

    fn take(&mut self, frame: transport::Frame, proved: &mut model::Micros) {
        match frame {
            transport::Frame::News(slice) => {
                self.based = true;
                self.hold(*slice);
            }
            // A patch fits only on what this conn has told before.
            transport::Frame::Patch(patch) if self.based => {
                let slice = self.view.load().slice.patched(*patch);
                self.hold(slice);
            }
            transport::Frame::Proof { number, position } => {
                let asked = self.asks.iter().find(|(asked, _)| *asked == number).map(|(_, at)| *at);
                self.asks.retain(|(asked, _)| *asked > number);
                // Without a base a proof would vouch for what another conn told.
                let next = asked.filter(|_| self.based).and_then(|asked| self.view.load().with_proof(asked, position, self.env.bound));
                if let Some(view) = next {
                    self.view.store(std::sync::Arc::new(view));
                    self.moved.send_modify(|_| {});
                    self.proved.send_replace(asked.unwrap_or(0));
                    *proved = model::now();
                }
            }
            _ => {}
        }
    }
}
