//! Puts the parts of a node together, and takes them down in order.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};

pub struct Node {
    near: legacy_proxy::Near,
    house: legacy_proxy::HouseDesk,
    reports: control::Reports,
    serving: http_util::Serving,
    staying: std::sync::Arc<std::sync::atomic::AtomicBool>,
    name: String,
    life: u64,
}

impl Node {
    pub async fn start(env: &crate::env::Env, logger: &slog::Logger) -> Result<Node, String> {
        let told = |what: &str, error: &dyn std::fmt::Display| format!("{what}: {error}");
        let life = model::incarnation::draw();
        let listener = tokio::net::TcpListener::bind(&env.mates_address).await.map_err(|error| told("mates_address", &error))?;
        let listening = listener.local_addr().map_err(|error| told("mates_address", &error))?.to_string();
        let address = env.advertised_address.clone().unwrap_or(listening);
        let known = control::acquaint::nobody();
        let (services, wanted) = tokio::sync::watch::channel(Default::default());
        let (name, zone) = (env.name.clone(), env.zone.clone());
        let (greeter, place) = (known.clone(), address.clone());
        let greeting = move |purpose| transport::Greeting {
            purpose,
            name: name.clone(),
            zone: zone.clone(),
            address: place.clone(),
            incarnation: life,
            core: None,
            blank: false,
            expects: None,
            known: control::acquaint::list(&greeter),
        };
        let greet = |purpose| {
            let greeting = greeting.clone();
            move || greeting(purpose)
        };
        let line = control::SubscriptionEnv {
            name: env.name.clone(),
            zone: env.zone.clone(),
            bound: env.freshness_us,
            ask_every: env.ask_every_us,
            patience: env.freshness_us / 2,
            homes: env.homes,
        };
        let subscription = control::subscription::start(line, known.clone(), wanted, greet(transport::Purpose::Subscribe), logger.clone());
        let reporting = control::ReportingEnv { name: env.name.clone(), life, logger: logger.clone() };
        let reports = control::Reports::start(reporting, known.clone(), greet(transport::Purpose::Subscribe));
        let watching = control::watching::WatchingEnv { name: env.name.clone(), beat_every: env.watch_every_us, patience: env.watch_patience_us };
        let heard = control::watching::start(watching, subscription.view.clone(), reports.clone(), greet(transport::Purpose::Watch));
        let house_env = legacy_proxy::HouseEnv {
            node: env.name.clone(),
            zone: env.zone.clone(),
            beat_patience: env.beat_patience_us,
            bound: env.freshness_us,
            guard: env.guard_us,
        };
        let (view, moved) = (subscription.view, subscription.moved.clone());
        let claims: std::sync::Arc<std::sync::atomic::AtomicU64> = Default::default();
        let house = legacy_proxy::HouseDesk::start(house_env, view.clone(), subscription.moved, reports.clone(), services, logger.clone());
        let door = backend_api::Door::new().map_err(|error| told("http", &error))?;
        let far = legacy_proxy::Far { house: house.clone(), door: std::sync::Arc::new(door), logger: logger.clone() };
        tokio::spawn(legacy_proxy::server::listen(listener, greet(transport::Purpose::Call), known.clone(), far.clone(), subscription.relay, heard));
        // A node does not know how many seats there are; the first that greets it says so.
        tokio::spawn(control::acquaint::run(known.clone(), env.seeds.clone(), greet(transport::Purpose::Acquaint), || 3));
        let near = legacy_proxy::Near {
            node: env.name.clone(),
            zone: env.zone.clone(),
            view: view.clone(),
            far,
            mates: legacy_proxy::mates::Mates::start(greet(transport::Purpose::Call)),
            picker: legacy_proxy::picker::PickerDesk::start(),
            budget: legacy_proxy::budget::BudgetDesk::start(env.extra_allowance),
            taken: legacy_proxy::taken::TakenDesk::start(),
            calls: Default::default(),
        };
        let staying = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
        let health = crate::health::Health {
            name: env.name.clone(),
            view: view.clone(),
            known,
            house: house.clone(),
            budget: near.budget.clone(),
            claims: claims.clone(),
            life,
            staying: staying.clone(),
        };
        let rooms = backend_api::GreenroomEnv {
            node: env.name.clone(),
            zone: env.zone.clone(),
            beat_every: env.beat_every_us,
            bound: env.freshness_us,
            house: house.clone(),
            reports: reports.clone(),
            view: view.clone(),
            moved,
            claims,
            logger: logger.clone(),
        };
        let router =
            salvo::Router::new().push(crate::health::router(health)).push(client_api::router(near.clone(), house.clone())).push(backend_api::router(rooms));
        let serving = http_util::Serving::start(&env.local_address, router).await.map_err(|error| told("local_address", &error))?;
        slog::info!(logger, "listening"; "mates" => &address, "local" => serving.address.to_string(), "life" => life);
        let own = Own { name: env.name.clone(), zone: env.zone.clone(), address, life };
        tokio::spawn(present(own, view, reports.clone(), staying.clone(), logger.clone()));
        Ok(Node { near, house, reports, serving, staying, name: env.name.clone(), life })
    }

    /// Takes nothing new, lets what was passed on end, says goodbye.
    pub async fn stop(self, env: &crate::env::Env) {
        self.staying.store(false, std::sync::atomic::Ordering::Relaxed);
        self.near.leave();
        self.house.leave().await;
        let patience = std::time::Duration::from_micros(env.stop_patience_us);
        let ended = async {
            self.near.ended().await;
            // What mates passed on here ends after its own near side has left.
            self.house.load().await;
            self.house.ended().await;
        };
        let clean = tokio::time::timeout(patience, ended).await.is_ok();
        let farewell = self.reports.tell(model::standing::Report::NodeLeft { node: self.name.clone(), incarnation: self.life, clean });
        tokio::time::timeout(std::time::Duration::from_secs(2), farewell).await.unwrap_or_default();
        self.serving.stop(std::time::Duration::from_secs(1)).await;
    }
}

/// What the log is told of this process.
#[derive(Clone)]
struct Own {
    name: String,
    zone: String,
    address: String,
    life: model::Incarnation,
}

/// Tells the log that this node is here, and again whenever the log takes it for gone.
async fn present(own: Own, view: control::view::SharedView, reports: control::Reports, staying: Arc<AtomicBool>, logger: slog::Logger) {
    let mut stood = false;
    loop {
        let view_now = view.load();
        let held = view_now.slice.nodes.get(&own.name);
        let registered = held.map_or(0, |node| node.incarnation);
        if stood && registered != 0 && registered != own.life {
            slog::error!(logger, "another process was registered under this node's name; this one serves no more"; "node" => &own.name);
            return staying.store(false, Relaxed);
        }
        stood |= registered == own.life;
        if registered != own.life || held.is_some_and(|node| !node.present) {
            let Own { name: node, zone, address, life: incarnation } = own.clone();
            let report = model::standing::Report::Node { node, zone, address, incarnation, replaces: registered };
            reports.tell(report).await;
        }
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    }
}
