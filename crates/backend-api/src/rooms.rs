//! What a back end asks of the node beside it (docs/operators/back-ends.md).

use model::{Cause, Trouble};

#[derive(Clone)]
pub struct GreenroomEnv {
    pub node: String,
    pub zone: String,
    pub beat_every: model::Micros,
    pub bound: model::Micros,
    pub house: legacy_proxy::HouseDesk,
    pub reports: control::Reports,
    pub view: control::view::SharedView,
    /// Moves with all news and proofs.
    pub moved: tokio::sync::watch::Receiver<model::Position>,
    /// Slices that back ends claimed in beats and do not hold.
    pub claims: std::sync::Arc<std::sync::atomic::AtomicU64>,
    pub logger: slog::Logger,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct RegisterAsk {
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
struct BeatAsk {
    service: String,
    zone: String,
    slots: u32,
    state: State,
    #[serde(default)]
    keys: Vec<u16>,
}

#[derive(PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Serving,
    Draining,
}

struct Register(GreenroomEnv);
struct Beat(GreenroomEnv);
struct Drain(GreenroomEnv);
struct SignOff(GreenroomEnv);

pub fn router(env: GreenroomEnv) -> salvo::Router {
    salvo::Router::with_path("back-end")
        .push(salvo::Router::with_path("register").post(Register(env.clone())))
        .push(salvo::Router::with_path("beat").post(Beat(env.clone())))
        .push(salvo::Router::with_path("drain").post(Drain(env.clone())))
        .push(salvo::Router::with_path("sign-off").post(SignOff(env)))
}

fn bad(detail: impl Into<String>) -> Trouble {
    Trouble::new(Cause::BadRequest, detail)
}

fn check(env: &GreenroomEnv, ask: &RegisterAsk) -> Result<(), Trouble> {
    let names = [&ask.name, &ask.service].into_iter().all(|name| model::check::is_name(name));
    if !names {
        return Err(bad("name and service are 1 to 63 of a-z, 0-9 and '-'"));
    }
    if ask.zone != env.zone {
        return Err(bad(format!("this node stands in the zone {:?}", env.zone)));
    }
    if ask.slots > 4_096 {
        return Err(bad("slots is from 0 to 4096"));
    }
    ask.address.parse::<std::net::SocketAddr>().map(|_| ()).map_err(|_| bad("address is an IP number and port"))
}

#[salvo::handler]
impl Register {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        match self.register(request).await {
            Ok(answer) => http_util::json(response, 200, &answer),
            Err(trouble) => http_util::trouble(response, None, &trouble),
        }
    }
}

impl Register {
    async fn register(&self, request: &mut salvo::Request) -> Result<serde_json::Value, Trouble> {
        let env = &self.0;
        let ask: RegisterAsk = http_util::read(request).await.map_err(|fault| bad(fault.fault))?;
        check(env, &ask)?;
        let secret = format!("{:032x}", rand::random::<u128>());
        let name = ask.name.clone();
        let service = ask.service.clone();
        let registration = legacy_proxy::house::Registration {
            name: ask.name,
            service: ask.service,
            zone: ask.zone,
            labels: ask.labels,
            slots: ask.slots,
            address: ask.address,
        };
        let mut tries = 0;
        let (incarnation, outcome) = loop {
            let incarnation = env.house.reserve(registration.clone(), secret.clone()).await?;
            let back_end = env.house.back_end(&name).await.ok_or_else(|| Trouble::new(Cause::Leaving, "this node is stopping"))?;
            let report = model::standing::Report::Registered { name: name.clone(), back_end };
            let outcome = tokio::time::timeout(std::time::Duration::from_secs(5), env.reports.tell(report)).await.ok().flatten();
            tries += 1;
            let Some(model::Outcome::Superseded { position }) = outcome else { break (incarnation, outcome) };
            env.house.confirm(&name, incarnation, false).await;
            if tries == REGISTRATIONS {
                break (incarnation, outcome);
            }
            // The log has a later registration than this node knew: the next one is made on top of it.
            until_seen(env, position, &service).await;
        };
        let accepted = match &outcome {
            Some(model::Outcome::Accepted { position, .. } | model::Outcome::Unchanged { position }) => Some(*position),
            _ => None,
        };
        env.house.confirm(&name, incarnation, accepted.is_some()).await;
        let position = accepted.ok_or_else(|| match outcome {
            Some(model::Outcome::Refused { reason }) => bad(reason),
            _ => Trouble::new(Cause::NotFresh, "the core did not answer").later(500_000),
        })?;
        until_seen(env, position, &service).await;
        let try_prefix = legacy_proxy::tries::prefix(&name, incarnation);
        Ok(serde_json::json!({
            "incarnation": incarnation, "secret": secret, "try_prefix": try_prefix, "beat_every_us": env.beat_every, "position": position,
        }))
    }
}

/// How often a registration is made on top of what the log has, which may be overtaken again meanwhile.
const REGISTRATIONS: u32 = 4;

/// A back end that has its answer can send at once: the news of its own service is here.
async fn until_seen(env: &GreenroomEnv, position: model::Position, service: &str) {
    let mut moved = env.moved.clone();
    let seen = moved.wait_for(|_| {
        let view = env.view.load();
        view.slice.position >= position && view.slice.services.contains(service) && view.fresh(model::now())
    });
    drop(tokio::time::timeout(std::time::Duration::from_secs(2), seen).await);
}

#[salvo::handler]
impl Beat {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let secret = http_util::bearer(request).unwrap_or_default();
        let ask: BeatAsk = match http_util::read(request).await {
            Ok(ask) => ask,
            Err(fault) => return http_util::trouble(response, None, &bad(fault.fault)),
        };
        if ask.slots > 4_096 {
            return http_util::trouble(response, None, &bad("slots is from 0 to 4096"));
        }
        let said = self.0.house.sender(&secret).is_some_and(|known| known.service == ask.service) && ask.zone == self.0.zone;
        let beaten = if said { self.0.house.beat(&secret, ask.state == State::Draining, Some(ask.slots)).await } else { None };
        let Some(name) = beaten else {
            let gone = serde_json::json!({ "cause": "unknown_registration", "detail": "register again" });
            return http_util::json(response, 410, &gone);
        };
        let terms = terms(&self.0, &name, &ask.service);
        let let_go = let_go(&self.0, &name, &ask.keys, &terms);
        let standing = standing(&self.0, &name);
        http_util::json(response, 200, &serde_json::json!({ "name": name, "slots": ask.slots, "standing": standing, "terms": terms, "let_go": let_go }));
    }
}

/// What the log says of it: a phase, or that no grouping holds it any more.
fn standing(env: &GreenroomEnv, name: &str) -> serde_json::Value {
    let view = env.view.load();
    view.slice.back_ends.get(name).map(|held| serde_json::json!(held.phase)).unwrap_or_else(|| "ungrouped".into())
}

/// Claimed but not held. A claim never makes a holder: it is only compared, counted and answered.
fn let_go(env: &GreenroomEnv, name: &str, claimed: &[u16], terms: &[serde_json::Value]) -> Vec<u16> {
    let wrong: Vec<u16> = claimed.iter().copied().filter(|slice| !terms.iter().any(|term| term["slice"] == *slice)).collect();
    if !wrong.is_empty() {
        env.claims.fetch_add(wrong.len() as u64, std::sync::atomic::Ordering::Relaxed);
        slog::warn!(env.logger, "claims keys it does not hold"; "back_end" => name, "slices" => ?wrong);
    }
    wrong
}

/// The slices this life holds, with their fences and how long the holding lasts without news.
fn terms(env: &GreenroomEnv, name: &str, service: &str) -> Vec<serde_json::Value> {
    let view = env.view.load();
    let left = view.fresh_until.saturating_sub(model::now());
    let life = view.slice.back_ends.get(name).map(|back_end| back_end.incarnation);
    let terms = view.slice.terms.get(service);
    terms
        .into_iter()
        .flatten()
        .zip(0u16..)
        .filter(|(term, _)| term.holder.as_ref().is_some_and(|(holder, held)| holder == name && Some(*held) == life))
        .map(|(term, slice)| serde_json::json!({ "slice": slice, "fence": term.fence, "left_us": left }))
        .collect()
}

#[salvo::handler]
impl Drain {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let drained = self.0.house.beat(&http_util::bearer(request).unwrap_or_default(), true, None).await;
        http_util::json(response, if drained.is_some() { 200 } else { 410 }, &serde_json::json!({ "draining": drained }));
    }
}

#[salvo::handler]
impl SignOff {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let gone = self.0.house.sign_off(&http_util::bearer(request).unwrap_or_default()).await;
        http_util::json(response, if gone { 200 } else { 410 }, &serde_json::json!({ "signed_off": gone }));
    }
}
