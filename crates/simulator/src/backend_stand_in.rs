//! A stand-in back end: registers, beats, runs, seals, and sends on its own account (design 9.5).

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

#[derive(Clone, Debug)]
pub struct StandInConfig {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub node_address: String,
    pub listen: String,
    pub history: PathBuf,
    pub work_us: u64,
    /// Out of a thousand replies, how many are spoilt in some way.
    pub corrupted_per_mille: u32,
    pub seed: u64,
    /// Requests per second, and what they are.
    pub requests_per_second: f64,
    /// At first; SIGUSR1 makes it nine in ten.
    pub hot_key_per_mille: u32,
    pub requests: Vec<crate::deployment::RequestSpec>,
}

pub struct StandIn {
    pub config: StandInConfig,
    pub incarnation: AtomicU64,
    pub run_count: AtomicU64,
    pub history: Mutex<File>,
    /// Out of a thousand keyed requests, how many name the one hot key.
    pub hot_key_per_mille: AtomicU32,
}

impl StandIn {
    /// One unbuffered write: what is written stays though the process is killed.
    pub fn record(&self, record: &crate::history::Record) {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        if let Ok(mut book) = self.history.lock() {
            Write::write_all(&mut *book, line.as_bytes()).unwrap_or_default();
        }
    }
}

struct RequestHandler(Arc<StandIn>);

#[salvo::handler]
impl RequestHandler {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let backstage = &self.0;
        let header = |name: &str| http_util::header_text(request, name).unwrap_or_default();
        let (intended_service, own) = (
            header(backend_api::SERVICE_HEADER),
            backstage.config.service.clone(),
        );
        if intended_service != own {
            backstage.record(&crate::history::Record::Misrouted {
                backend: backstage.config.name.clone(),
                intended_service,
                at: model::now(),
            });
            response.status_code(salvo::http::StatusCode::MISDIRECTED_REQUEST);
            return;
        }
        let began = model::now();
        let number = backstage
            .run_count
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let incarnation = backstage
            .incarnation
            .load(std::sync::atomic::Ordering::Relaxed);
        let run = format!("{}-{incarnation}-{number}", backstage.config.name);
        let attempt_id = header(backend_api::ATTEMPT_ID_HEADER);
        backstage.record(&crate::history::Record::RunBegan {
            process: std::process::id(),
            run: run.clone(),
            attempt_id: attempt_id.clone(),
            at: began,
            backend: backstage.config.name.clone(),
            incarnation,
            service: backstage.config.service.clone(),
            intended_service,
            client: header(backend_api::CLIENT_HEADER),
            path: request.uri().path().to_string(),
            key: http_util::header_text(request, backend_api::SHARD_KEY_HEADER),
        });
        tokio::time::sleep(Duration::from_micros(backstage.config.work_us)).await;
        // Whoever slept beyond the wait does no work any more, as its contract says.
        let until = began
            + header(backend_api::TIME_LEFT_HEADER)
                .parse::<u64>()
                .unwrap_or(0);
        backstage.record(&crate::history::Record::RunEnded {
            run: run.clone(),
            at: model::now().min(until),
        });
        if model::now() > until {
            response.status_code(salvo::http::StatusCode::GATEWAY_TIMEOUT);
            return;
        }
        let body =
            serde_json::json!({ "try": attempt_id, "run": run, "service": backstage.config.service })
                .to_string()
                .into_bytes();
        let seal = backend_api::seal::seal(&attempt_id, 200, &body);
        // A spoilt reply ran all the same: half a body, no seal, or another's seal.
        let spoilt = rand::random::<u32>() % 1_000 < backstage.config.corrupted_per_mille;
        let (body, seal) = match (spoilt, number % 3) {
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

pub async fn run(part: StandInConfig) -> Result<(), String> {
    let told = |error: &dyn Display| error.to_string();
    let book = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&part.history)
        .map_err(|error| told(&error))?;
    let hot_key_per_mille = part.hot_key_per_mille.into();
    let backstage = Arc::new(StandIn {
        hot_key_per_mille,
        config: part,
        incarnation: Default::default(),
        run_count: Default::default(),
        history: Mutex::new(book),
    });
    let router = salvo::Router::with_path("{**rest}").goal(RequestHandler(backstage.clone()));
    let serving = http_util::HttpServer::start(&backstage.config.listen, router)
        .await
        .map_err(|error| told(&error))?;
    let address = serving.address.to_string();
    let http = reqwest::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(10))
        .build()
        .map_err(|error| told(&error))?;
    let (given, passes) =
        tokio::sync::watch::channel(crate::load_generator::Registration::default());
    let beating = tokio::spawn(register_and_heartbeat(
        backstage.clone(),
        http.clone(),
        address,
        given,
    ));
    let sending = tokio::spawn(crate::load_generator::generate_load(
        backstage.clone(),
        http.clone(),
        passes.clone(),
    ));
    let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| told(&error))?;
    let mut heat = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::user_defined1())
        .map_err(|error| told(&error))?;
    while tokio::select! { _ = stop.recv() => false, _ = heat.recv() => true } {
        backstage
            .hot_key_per_mille
            .store(900, std::sync::atomic::Ordering::Relaxed);
    }
    // A planned end: no more sending, drain, let runs end, sign off.
    sending.abort();
    let usher = &backstage.config.node_address;
    let say = |path: &str| {
        http.post(format!("http://{usher}/back-end/{path}"))
            .bearer_auth(passes.borrow().secret.clone())
            .send()
    };
    backstage.record(&crate::history::Record::BackendLeaving {
        backend: backstage.config.name.clone(),
        at: model::now(),
    });
    drop(say("drain").await);
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(say("sign-off").await);
    beating.abort();
    serving.stop(Duration::from_secs(3)).await;
    Ok(())
}

/// Registers until it is taken, beats until it is told to register again.
async fn register_and_heartbeat(
    backstage: Arc<StandIn>,
    http: reqwest::Client,
    address: String,
    given: tokio::sync::watch::Sender<crate::load_generator::Registration>,
) {
    let part = &backstage.config;
    let usher = format!("http://{}/back-end", part.node_address);
    loop {
        let ask = serde_json::json!({ "name": part.name, "service": part.service, "zone": part.zone, "slots": part.slots, "address": address });
        let answer: Option<serde_json::Value> = match http
            .post(format!("{usher}/register"))
            .json(&ask)
            .send()
            .await
        {
            Ok(response) if response.status().is_success() => response.json().await.ok(),
            _ => None,
        };
        if let Some(answer) = answer {
            let secret = answer["secret"].as_str().unwrap_or_default().to_string();
            backstage.incarnation.store(
                answer["incarnation"].as_u64().unwrap_or(0),
                std::sync::atomic::Ordering::Relaxed,
            );
            let try_prefix = answer["try_prefix"]
                .as_str()
                .map(str::to_string)
                .unwrap_or_else(|| format!("{}.{}.", part.name, answer["incarnation"]));
            given.send_replace(crate::load_generator::Registration {
                secret: secret.clone(),
                attempt_prefix: try_prefix,
            });
            let pause = Duration::from_micros(answer["beat_every_us"].as_u64().unwrap_or(300_000));
            let mut keys: Vec<serde_json::Value> = Vec::new();
            loop {
                tokio::time::sleep(pause).await;
                let beat = serde_json::json!({ "service": part.service, "zone": part.zone, "slots": part.slots, "state": "serving", "keys": keys });
                let beaten = http
                    .post(format!("{usher}/beat"))
                    .bearer_auth(&secret)
                    .json(&beat)
                    .send()
                    .await;
                let Some(told) = beaten
                    .ok()
                    .filter(|response| response.status().is_success())
                else {
                    break;
                };
                let told: serde_json::Value = told.json().await.unwrap_or_default();
                keys = told["terms"]
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
