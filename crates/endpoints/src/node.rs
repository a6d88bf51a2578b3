//! Puts the parts of a node together, and takes them down in order (design 13.7).

#[derive(Clone)]
pub struct NodeEnv {
    pub troupe: crate::TroupeEnv,
    /// The service of this machine.
    pub service: String,
    pub seeds: Vec<String>,
    pub words: http_util::words::Words,
    pub pick: outbound::PickEnv,
    pub ahead: u32,
    pub ask_every: model::Micros,
    pub watch_every: model::Micros,
    pub watch_patience: model::Micros,
}

pub struct Node {
    pub troupe: crate::Troupe,
    pub front: outbound::Front,
    pub following: control::Following,
    pub known: control::Known,
    pit: inbound::Pit,
    calls: outbound::Calls,
    /// Told from outside that it is to go: no longer ready, though it serves on for a while.
    told_off: std::sync::atomic::AtomicBool,
    leaving: tokio::sync::watch::Sender<bool>,
}

impl Node {
    /// `mates` is bound already; its address stands in the settings.
    pub fn start(env: NodeEnv, mates: tokio::net::TcpListener, logger: slog::Logger) -> Node {
        let own = &env.troupe;
        let known = control::acquaint::nobody();
        let greet = greeter(&env, known.clone());
        let greeting = |purpose| {
            let greet = greet.clone();
            move || (greet)(purpose)
        };
        let line = control::FollowingEnv { name: own.node.clone(), zone: own.zone.clone(), ask_every: env.ask_every, patience: env.ask_every };
        let following = control::following::start(line, known.clone(), greeting(transport::Purpose::Subscribe), logger.clone());
        let reporting = control::ReportingEnv { name: own.node.clone(), life: own.life, logger: logger.clone() };
        let reports = control::Reports::start(reporting, known.clone(), greeting(transport::Purpose::Subscribe));
        let pit = inbound::Pit::start(inbound::PitEnv { words: env.words.clone(), ahead: env.ahead });
        let troupe = crate::Troupe::start(own.clone(), following.clone(), pit.clone(), reports.clone(), logger.clone());
        let watching = crate::watch::WatchEnv { node: own.node.clone(), life: own.life, beat_every: env.watch_every, patience: env.watch_patience };
        let heard = crate::watch::start(watching, following.outlook.clone(), reports.clone(), greet.clone());
        let (tell_loads, loads) = tokio::sync::mpsc::channel(1_024);
        tokio::spawn(outbound::listen(mates, greet.clone(), known.clone(), pit.clone(), (heard, tell_loads)));
        tokio::spawn(control::acquaint::run(known.clone(), env.seeds.clone(), greeting(transport::Purpose::Acquaint), || 3));
        // The duty of placing keys goes with the back end beside this node.
        let mates = outbound::Mates::start(greet);
        let duty = crate::duty::Duty {
            node: own.node.clone(),
            service: env.service.clone(),
            following: following.clone(),
            reports,
            pit: pit.clone(),
            mates: mates.clone(),
            loads,
            logger: logger.clone(),
        };
        tokio::spawn(duty.run());
        let calls = outbound::Calls::default();
        let apron = outbound::Apron {
            node: own.node.clone(),
            zone: own.zone.clone(),
            service: env.service.clone(),
            outlook: following.outlook.clone(),
            pit: pit.clone(),
            mates,
            picks: outbound::Picks::start(env.pick, following.outlook.clone()),
            calls: calls.clone(),
            logger,
        };
        let front = outbound::Front { env: outbound::FrontEnv { words: env.words }, apron };
        Node { troupe, front, following, known, pit, calls, told_off: Default::default(), leaving: tokio::sync::watch::Sender::new(false) }
    }

    pub fn serve(&self, listener: tokio::net::TcpListener) {
        tokio::spawn(self.front.clone().serve(listener, self.leaving.subscribe()));
    }

    /// Knows what is to be served, and is not on its way out.
    pub fn ready(&self) -> bool {
        let outlook = self.following.outlook.load();
        let serves = outlook.proved > 0 && outlook.programme.has_lanes();
        serves && !self.troupe.is_superseded() && !self.told_off.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Not ready from now on, but serves as before for the notice: until whoever sends requests here has asked and heard it.
    /// Then takes nothing new, and returns once all that was taken has its answer, or patience is over (design 13.7).
    pub async fn stop(&self, notice: std::time::Duration, patience: std::time::Duration) {
        self.told_off.store(true, std::sync::atomic::Ordering::Relaxed);
        tokio::time::sleep(notice).await;
        self.leaving.send_replace(true);
        self.calls.leave();
        self.pit.leave().await;
        let ended = async {
            self.calls.ended().await;
            while self.pit.load().await.0 > 0 {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
            // Answers that were given are still on their way out of this process.
            tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        };
        drop(tokio::time::timeout(patience, ended).await);
    }
}

fn greeter(env: &NodeEnv, known: control::Known) -> std::sync::Arc<dyn Fn(transport::Purpose) -> transport::Greeting + Send + Sync> {
    let own = env.troupe.clone();
    std::sync::Arc::new(move |purpose| transport::Greeting {
        purpose,
        name: own.node.clone(),
        zone: own.zone.clone(),
        address: own.address.clone(),
        incarnation: own.life,
        core: None,
        blank: false,
        expects: None,
        // Who only asks for a run, or beats, tells nothing of the core.
        known: if matches!(purpose, transport::Purpose::Call | transport::Purpose::Watch) { Vec::new() } else { control::acquaint::list(&known) },
    })
}
