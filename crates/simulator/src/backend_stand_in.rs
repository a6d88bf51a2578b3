//! A stand-in backend, which registers, sends heartbeats, runs requests and seals the responses, and sends requests as a
//! client (design 9.5).

use std::fmt::Display;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Settings of one stand-in backend.
#[derive(Clone, Debug)]
pub struct StandInConfig {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub node_address: String,
    pub listen: String,
    pub history: PathBuf,
    /// Time for which the stand-in works on a request, in microseconds.
    pub work_us: u64,
    /// Number of replies in a thousand that are corrupted.
    pub corrupted_per_mille: u32,
    pub seed: u64,
    /// Rate at which this stand-in sends requests.
    pub requests_per_second: f64,
    /// Initial number of keyed requests in a thousand that use the hot key; SIGUSR1 raises it to 900.
    pub hot_key_per_mille: u32,
    /// Kinds of requests to send.
    pub requests: Vec<crate::deployment::RequestSpec>,
}

/// State that the request handler, the heartbeats and the load generator share.
pub struct StandIn {
    pub config: StandInConfig,
    pub incarnation: AtomicU64,
    pub run_count: AtomicU64,
    pub history: Mutex<File>,
    /// Number of keyed requests in a thousand that use the hot key.
    pub hot_key_per_mille: AtomicU32,
}

impl StandIn {
    /// Writes one record without buffering, so that the record survives a kill of the process.
    pub fn record(&self, record: &crate::history::Record) {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        if let Ok(mut file) = self.history.lock() {
            Write::write_all(&mut *file, line.as_bytes()).unwrap_or_default();
        }
    }
}

struct RequestHandler(Arc<StandIn>);

#[salvo::handler]
impl RequestHandler {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let stand_in = &self.0;
        let header = |name: &str| http_util::header_text(request, name).unwrap_or_default();
        let (intended_service, own_service) = (
            header(backend_api::SERVICE_HEADER),
            stand_in.config.service.clone(),
        );
        if intended_service != own_service {
            stand_in.record(&crate::history::Record::Misrouted {
                backend: stand_in.config.name.clone(),
                intended_service,
                at: model::now(),
            });
            response.status_code(salvo::http::StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        let started = model::now();
        let run_number = stand_in
            .run_count
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let incarnation = stand_in
            .incarnation
            .load(std::sync::atomic::Ordering::Relaxed);
        let run = format!("{}-{incarnation}-{run_number}", stand_in.config.name);
        let attempt_id = header(backend_api::ATTEMPT_ID_HEADER);
        stand_in.record(&crate::history::Record::RunBegan {
            process: std::process::id(),
            run: run.clone(),
            attempt_id: attempt_id.clone(),
            at: started,
            backend: stand_in.config.name.clone(),
            incarnation,
            service: stand_in.config.service.clone(),
            intended_service,
            client: header(backend_api::CLIENT_HEADER),
            path: request.uri().path().to_string(),
            key: http_util::header_text(request, backend_api::SHARD_KEY_HEADER),
        });
        tokio::time::sleep(Duration::from_micros(stand_in.config.work_us)).await;
        // The contract of a backend forbids work after the request's deadline, even if the process was frozen meanwhile.
        let deadline = started
            + header(backend_api::TIME_LEFT_HEADER)
                .parse::<u64>()
                .unwrap_or(0);
        stand_in.record(&crate::history::Record::RunEnded {
            run: run.clone(),
            at: model::now().min(deadline),
        });
        if model::now() > deadline {
            response.status_code(salvo::http::StatusCode::GATEWAY_TIMEOUT);
            return;
        }
        let body =
            serde_json::json!({ "try": attempt_id, "run": run, "service": stand_in.config.service })
                .to_string()
                .into_bytes();
        let seal = backend_api::seal::seal(&attempt_id, 200, &body);
        // A corrupted reply is one whose request has run, but with half of the body, without a seal, or with the seal of
        // another reply.
        let corrupted = rand::random::<u32>() % 1_000 < stand_in.config.corrupted_per_mille;
        let (body, seal) = match (corrupted, run_number % 3) {
            (true, 0) => (body[..body.len() / 2].to_vec(), seal),
            (true, 1) => (body, String::new()),
            (true, _) => (body, backend_api::seal::seal("another", 200, b"")),
            (false, _) => (body, seal),
        };
        if let Ok(seal) = salvo::http::HeaderValue::from_str(&seal) {
            response
                .headers_mut()
                .insert(backend_api::SEAL_HEADER, seal);
        }
        response.write_body(body).unwrap_or_default();
    }
}

/// Runs the stand-in until SIGTERM.
pub async fn run(config: StandInConfig) -> Result<(), String> {
    let to_message = |error: &dyn Display| error.to_string();
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&config.history)
        .map_err(|error| to_message(&error))?;
    let hot_key_per_mille = config.hot_key_per_mille.into();
    let stand_in = Arc::new(StandIn {
        hot_key_per_mille,
        config,
        incarnation: Default::default(),
        run_count: Default::default(),
        history: Mutex::new(file),
    });
    let router = salvo::Router::with_path("{**rest}").goal(RequestHandler(stand_in.clone()));
    let server = http_util::HttpServer::start(&stand_in.config.listen, router)
        .await
        .map_err(|error| to_message(&error))?;
    let address = server.address.to_string();
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(10))
        .build()
        .map_err(|error| to_message(&error))?;
    let (registration_sender, registrations) =
        tokio::sync::watch::channel(crate::load_generator::Registration::default());
    let heartbeat_task = tokio::spawn(register_and_heartbeat(
        stand_in.clone(),
        http.clone(),
        address,
        registration_sender,
    ));
    let load_task = tokio::spawn(crate::load_generator::generate_load(
        stand_in.clone(),
        http.clone(),
        registrations.clone(),
    ));
    let mut stop_signal = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| to_message(&error))?;
    let mut hot_key_signal =
        tokio::signal::unix::signal(tokio::signal::unix::SignalKind::user_defined1())
            .map_err(|error| to_message(&error))?;
    while tokio::select! { _ = stop_signal.recv() => false, _ = hot_key_signal.recv() => true } {
        stand_in
            .hot_key_per_mille
            .store(900, std::sync::atomic::Ordering::Relaxed);
    }
    // A planned end stops the client, drains, lets the running requests finish, and deregisters.
    load_task.abort();
    let node = &stand_in.config.node_address;
    let post_to_node = |path: &str| {
        http.post(format!("http://{node}/back-end/{path}"))
            .bearer_auth(registrations.borrow().secret.clone())
            .send()
    };
    stand_in.record(&crate::history::Record::BackendLeaving {
        backend: stand_in.config.name.clone(),
        at: model::now(),
    });
    drop(post_to_node("drain").await);
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(post_to_node("sign-off").await);
    heartbeat_task.abort();
    server.stop(Duration::from_secs(3)).await;
    Ok(())
}

/// Registers, then sends heartbeats until one fails, and registers again.
async fn register_and_heartbeat(
    stand_in: Arc<StandIn>,
    http: reqwest::Client,
    address: String,
    registration_sender: tokio::sync::watch::Sender<crate::load_generator::Registration>,
) {
    let config = &stand_in.config;
    let node_url = format!("http://{}/back-end", config.node_address);
    loop {
        let request = serde_json::json!({ "name": config.name, "service": config.service, "zone": config.zone, "slots": config.slots, "address": address });
        let answer: Option<serde_json::Value> = match http
            .post(format!("{node_url}/register"))
            .json(&request)
            .send()
            .await
        {
            Ok(response) if response.status().is_success() => response.json().await.ok(),
            _ => None,
        };
        if let Some(answer) = answer {
            let secret = answer["secret"].as_str().unwrap_or_default().to_string();
            stand_in.incarnation.store(
                answer["incarnation"].as_u64().unwrap_or(0),
                std::sync::atomic::Ordering::Relaxed,
            );
            let attempt_prefix = answer["try_prefix"]
                .as_str()
                .map(str::to_string)
                .unwrap_or_else(|| format!("{}.{}.", config.name, answer["incarnation"]));
            registration_sender.send_replace(crate::load_generator::Registration {
                secret: secret.clone(),
                attempt_prefix,
            });
            let interval =
                Duration::from_micros(answer["beat_every_us"].as_u64().unwrap_or(300_000));
            let mut keys: Vec<serde_json::Value> = Vec::new();
            loop {
                tokio::time::sleep(interval).await;
                let heartbeat = serde_json::json!({ "service": config.service, "zone": config.zone, "slots": config.slots, "state": "serving", "keys": keys });
                let sent = http
                    .post(format!("{node_url}/beat"))
                    .bearer_auth(&secret)
                    .json(&heartbeat)
                    .send()
                    .await;
                let Some(response) = sent.ok().filter(|response| response.status().is_success())
                else {
                    break;
                };
                let answer: serde_json::Value = response.json().await.unwrap_or_default();
                keys = answer["terms"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .map(|term| term["slice"].clone())
                    .collect();
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
