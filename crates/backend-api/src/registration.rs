//! What a back end asks of the node beside it (docs/operators/back-ends.md).

use model::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

#[derive(Clone)]
pub struct BackendApiConfig {
    pub node: String,
    pub zone: String,
    pub heartbeat_interval: model::Microseconds,
    pub freshness_bound: model::Microseconds,
    pub slot_owner: legacy_proxy::SlotOwnerHandle,
    pub status_reports: control::StatusReporter,
    pub view: control::updates::view::SharedView,
    /// Moves with all news and proofs.
    pub view_changes: tokio::sync::watch::Receiver<model::Position>,
    /// Slices that back ends claimed in beats and do not hold.
    pub unheld_claims: Arc<AtomicU64>,
    pub logger: slog::Logger,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct RegisterRequest {
    name: String,
    service: String,
    zone: String,
    slots: u32,
    #[serde(default)]
    labels: model::Labels,
    address: String,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct HeartbeatRequest {
    service: String,
    zone: String,
    slots: u32,
    state: ReportedState,
    #[serde(default)]
    keys: Vec<u16>,
}

#[derive(PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum ReportedState {
    Serving,
    Draining,
}

struct Register(BackendApiConfig);
struct Heartbeat(BackendApiConfig);
struct Drain(BackendApiConfig);
struct SignOff(BackendApiConfig);

pub fn router(env: BackendApiConfig) -> salvo::Router {
    salvo::Router::with_path("back-end")
        .push(salvo::Router::with_path("register").post(Register(env.clone())))
        .push(salvo::Router::with_path("beat").post(Heartbeat(env.clone())))
        .push(salvo::Router::with_path("drain").post(Drain(env.clone())))
        .push(salvo::Router::with_path("sign-off").post(SignOff(env)))
}

fn bad_request(detail: impl Into<String>) -> Error {
    Error::new(ErrorKind::BadRequest, detail)
}

fn validate(env: &BackendApiConfig, ask: &RegisterRequest) -> Result<(), Error> {
    let names = [&ask.name, &ask.service]
        .into_iter()
        .all(|name| model::validation::is_valid_name(name));
    if !names {
        return Err(bad_request(
            "name and service are 1 to 63 of a-z, 0-9 and '-'",
        ));
    }
    if ask.zone != env.zone {
        return Err(bad_request(format!(
            "this node stands in the zone {:?}",
            env.zone
        )));
    }
    if ask.slots > 4_096 {
        return Err(bad_request("slots is from 0 to 4096"));
    }
    ask.address
        .parse::<SocketAddr>()
        .map(|_| ())
        .map_err(|_| bad_request("address is an IP number and port"))
}

#[salvo::handler]
impl Register {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        match self.register(request).await {
            Ok(answer) => http_util::write_json(response, 200, &answer),
            Err(trouble) => http_util::write_error(response, None, &trouble),
        }
    }
}

impl Register {
    async fn register(&self, request: &mut salvo::Request) -> Result<serde_json::Value, Error> {
        let env = &self.0;
        let ask: RegisterRequest = http_util::read_json(request)
            .await
            .map_err(|fault| bad_request(fault.message))?;
        validate(env, &ask)?;
        let secret = format!("{:032x}", rand::random::<u128>());
        let name = ask.name.clone();
        let service = ask.service.clone();
        let registration = legacy_proxy::slot_owner::Registration {
            name: ask.name,
            service: ask.service,
            zone: ask.zone,
            labels: ask.labels,
            slots: ask.slots,
            address: ask.address,
        };
        let mut tries = 0;
        let (incarnation, outcome) = loop {
            let incarnation = env
                .slot_owner
                .reserve(registration.clone(), secret.clone())
                .await?;
            let back_end = env
                .slot_owner
                .backend(&name)
                .await
                .ok_or_else(|| Error::new(ErrorKind::ShuttingDown, "this node is stopping"))?;
            let report = model::endpoint_status::EndpointReport::BackendRegistered {
                name: name.clone(),
                backend: back_end,
            };
            let outcome = tokio::time::timeout(
                Duration::from_secs(5),
                env.status_reports.report_endpoint_status(report),
            )
            .await
            .ok()
            .flatten();
            tries += 1;
            let Some(model::Outcome::Superseded { position }) = outcome else {
                break (incarnation, outcome);
            };
            env.slot_owner.confirm(&name, incarnation, false).await;
            if tries == MAX_REGISTRATION_ATTEMPTS {
                break (incarnation, outcome);
            }
            // The log has a later registration than this node knew: the next one is made on top of it.
            wait_until_visible(env, position, &service).await;
        };
        let accepted = match &outcome {
            Some(
                model::Outcome::Accepted { position, .. } | model::Outcome::Unchanged { position },
            ) => Some(*position),
            _ => None,
        };
        env.slot_owner
            .confirm(&name, incarnation, accepted.is_some())
            .await;
        let position = accepted.ok_or_else(|| match outcome {
            Some(model::Outcome::Refused { reason }) => bad_request(reason),
            _ => Error::new(ErrorKind::StaleState, "the core did not answer")
                .with_retry_after(500_000),
        })?;
        wait_until_visible(env, position, &service).await;
        let try_prefix = legacy_proxy::forwarded_attempts::attempt_prefix(&name, incarnation);
        Ok(serde_json::json!({
            "incarnation": incarnation, "secret": secret, "try_prefix": try_prefix, "beat_every_us": env.heartbeat_interval, "position": position,
        }))
    }
}

/// How often a registration is made on top of what the log has, which may be overtaken again meanwhile.
const MAX_REGISTRATION_ATTEMPTS: u32 = 4;

/// A back end that has its answer can send at once: the news of its own service is here.
async fn wait_until_visible(env: &BackendApiConfig, position: model::Position, service: &str) {
    let mut moved = env.view_changes.clone();
    let seen = moved.wait_for(|_| {
        let view = env.view.load();
        view.slice.position >= position
            && view.slice.services.contains(service)
            && view.is_fresh(model::now())
    });
    drop(tokio::time::timeout(Duration::from_secs(2), seen).await);
}

#[salvo::handler]
impl Heartbeat {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let secret = http_util::bearer_token(request).unwrap_or_default();
        let ask: HeartbeatRequest = match http_util::read_json(request).await {
            Ok(ask) => ask,
            Err(fault) => {
                return http_util::write_error(response, None, &bad_request(fault.message));
            }
        };
        if ask.slots > 4_096 {
            return http_util::write_error(response, None, &bad_request("slots is from 0 to 4096"));
        }
        let said = self
            .0
            .slot_owner
            .client(&secret)
            .is_some_and(|known| known.service == ask.service)
            && ask.zone == self.0.zone;
        let beaten = if said {
            self.0
                .slot_owner
                .heartbeat(
                    &secret,
                    ask.state == ReportedState::Draining,
                    Some(ask.slots),
                )
                .await
        } else {
            None
        };
        let Some(name) = beaten else {
            let gone =
                serde_json::json!({ "cause": "unknown_registration", "detail": "register again" });
            return http_util::write_json(response, 410, &gone);
        };
        let terms = held_leases(&self.0, &name, &ask.service);
        let let_go = claims_not_held(&self.0, &name, &ask.keys, &terms);
        let standing = endpoint_status(&self.0, &name);
        http_util::write_json(
            response,
            200,
            &serde_json::json!({ "name": name, "slots": ask.slots, "standing": standing, "terms": terms, "let_go": let_go }),
        );
    }
}

/// What the log says of it: a phase, or that no grouping holds it any more.
fn endpoint_status(env: &BackendApiConfig, name: &str) -> serde_json::Value {
    let view = env.view.load();
    view.slice
        .backends
        .get(name)
        .map(|held| serde_json::json!(held.phase))
        .unwrap_or_else(|| "ungrouped".into())
}

/// Claimed but not held. A claim never makes a holder: it is only compared, counted and answered.
fn claims_not_held(
    env: &BackendApiConfig,
    name: &str,
    claimed: &[u16],
    terms: &[serde_json::Value],
) -> Vec<u16> {
    let wrong: Vec<u16> = claimed
        .iter()
        .copied()
        .filter(|slice| !terms.iter().any(|term| term["slice"] == *slice))
        .collect();
    if !wrong.is_empty() {
        env.unheld_claims
            .fetch_add(wrong.len() as u64, std::sync::atomic::Ordering::Relaxed);
        slog::warn!(env.logger, "claims keys it does not hold"; "back_end" => name, "slices" => ?wrong);
    }
    wrong
}

/// The slices this life holds, with their fences and how long the holding lasts without news.
fn held_leases(env: &BackendApiConfig, name: &str, service: &str) -> Vec<serde_json::Value> {
    let view = env.view.load();
    let left = view.fresh_until.saturating_sub(model::now());
    let life = view
        .slice
        .backends
        .get(name)
        .map(|back_end| back_end.incarnation);
    let terms = view.slice.leases.get(service);
    terms
        .into_iter()
        .flatten()
        .zip(0u16..)
        .filter(|(term, _)| term.holder.as_ref().is_some_and(|(holder, held)| holder == name && Some(*held) == life))
        .map(|(term, slice)| serde_json::json!({ "slice": slice, "fence": term.fencing_token, "left_us": left }))
        .collect()
}

#[salvo::handler]
impl Drain {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let drained = self
            .0
            .slot_owner
            .heartbeat(
                &http_util::bearer_token(request).unwrap_or_default(),
                true,
                None,
            )
            .await;
        http_util::write_json(
            response,
            if drained.is_some() { 200 } else { 410 },
            &serde_json::json!({ "draining": drained }),
        );
    }
}

#[salvo::handler]
impl SignOff {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let gone = self
            .0
            .slot_owner
            .deregister(&http_util::bearer_token(request).unwrap_or_default())
            .await;
        http_util::write_json(
            response,
            if gone { 200 } else { 410 },
            &serde_json::json!({ "signed_off": gone }),
        );
    }
}
