//! `/live`, `/ready`, `/status` of a node (docs/operators/running.md).

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;

#[derive(Clone)]
pub struct HealthApi {
    pub name: String,
    pub view: control::updates::view::SharedView,
    pub known_replicas: control::KnownReplicas,
    pub slot_owner: legacy_proxy::SlotOwnerHandle,
    pub retry_budget: legacy_proxy::retry_budget::RetryBudgetHandle,
    pub unheld_claims: Arc<AtomicU64>,
    pub incarnation: u64,
    pub accepting_work: Arc<AtomicBool>,
}

struct Liveness;
struct Readiness(HealthApi);
struct NodeStatus(HealthApi);

pub fn router(health: HealthApi) -> salvo::Router {
    salvo::Router::new()
        .push(salvo::Router::with_path("live").get(Liveness))
        .push(salvo::Router::with_path("ready").get(Readiness(health.clone())))
        .push(salvo::Router::with_path("status").get(NodeStatus(health)))
}

#[salvo::handler]
impl Liveness {
    async fn handle(&self, response: &mut salvo::Response) {
        http_util::write_json(response, 200, &serde_json::json!({ "live": true }));
    }
}

#[salvo::handler]
impl Readiness {
    async fn handle(&self, response: &mut salvo::Response) {
        let view = self.0.view.load();
        let reasons: Vec<&str> = [
            (!self
                .0
                .accepting_work
                .load(std::sync::atomic::Ordering::Relaxed))
            .then_some("stopping"),
            self.0
                .known_replicas
                .borrow()
                .is_empty()
                .then_some("knows no core seat yet"),
            (!view.is_fresh(model::now())).then_some("no proof that its state is current"),
            (!view
                .slice
                .nodes
                .get(&self.0.name)
                .is_some_and(|node| node.present))
            .then_some("the log does not know this node as present"),
        ]
        .into_iter()
        .flatten()
        .collect();
        http_util::write_json(
            response,
            if reasons.is_empty() { 200 } else { 503 },
            &serde_json::json!({ "ready": reasons.is_empty(), "reasons": reasons }),
        );
    }
}

#[salvo::handler]
impl NodeStatus {
    async fn handle(&self, response: &mut salvo::Response) {
        let view = self.0.view.load();
        let (running, waiting) = self.0.slot_owner.load().await;
        let answer = serde_json::json!({
            "name": self.0.name, "life": self.0.incarnation, "position": view.slice.position, "version": view.slice.version, "services": view.slice.services,
            "keys_claimed_unheld": self.0.unheld_claims.load(std::sync::atomic::Ordering::Relaxed),
            "fresh_for_us": view.fresh_until.saturating_sub(model::now()), "running": running, "waiting": waiting, "traffic": transport::traffic::by_zone(),
            "requests_and_extras": *self.0.retry_budget.counts(),
            "known": control::membership::discovery::list(&self.0.known_replicas),
        });
        http_util::write_json(response, 200, &answer);
    }
}
