//! `/live`, `/ready` and `/status` of a node (docs/operators/running.md).

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use control::KnownReplicas;
use control::membership::discovery;
use control::updates::view::SharedView;
use http_util::write_json;
use legacy_proxy::SlotOwnerHandle;
use legacy_proxy::retry_budget::RetryBudgetHandle;
use model::Incarnation;
use salvo::{Response, Router};
use serde_json::json;
use transport::traffic;

/// Sources of the health pages.
#[derive(Clone)]
pub(crate) struct HealthApi {
    /// Name of the node.
    pub name: String,
    /// The node's view of the cluster state.
    pub view: SharedView,
    /// Locations of the replicas that the node has discovered.
    pub known_replicas: KnownReplicas,
    /// Source of the numbers of running and queued requests.
    pub slot_owner: SlotOwnerHandle,
    /// Source of the numbers of requests and retries.
    pub retry_budget: RetryBudgetHandle,
    /// Number of key slices that backends claimed without a lease.
    pub claims_without_lease: Arc<AtomicU64>,
    /// Incarnation of the node that this process is.
    pub incarnation: Incarnation,
    /// False once the node stops, or once another process has registered under its name.
    pub accepting_work: Arc<AtomicBool>,
}

struct Liveness;

struct Readiness {
    api: HealthApi,
}

struct NodeStatus {
    api: HealthApi,
}

/// Routes of the health pages.
pub(crate) fn router(api: HealthApi) -> Router {
    Router::new()
        .push(Router::with_path("live").get(Liveness))
        .push(Router::with_path("ready").get(Readiness { api: api.clone() }))
        .push(Router::with_path("status").get(NodeStatus { api }))
}

#[salvo::handler]
impl Liveness {
    async fn handle(&self, response: &mut Response) {
        write_json(response, 200, &json!({ "live": true }));
    }
}

#[salvo::handler]
impl Readiness {
    async fn handle(&self, response: &mut Response) {
        let reasons = reasons_not_ready(&self.api);
        let status = if reasons.is_empty() { 200 } else { 503 };
        write_json(
            response,
            status,
            &json!({ "ready": reasons.is_empty(), "reasons": reasons }),
        );
    }
}

#[salvo::handler]
impl NodeStatus {
    async fn handle(&self, response: &mut Response) {
        let api = &self.api;
        let view = api.view.load();
        let (running, queued) = api.slot_owner.load().await;
        let body = json!({
            "name": api.name,
            "life": api.incarnation,
            "position": view.slice.position,
            "version": view.slice.version,
            "services": view.slice.services,
            "keys_claimed_unheld": api.claims_without_lease.load(Relaxed),
            "fresh_for_us": view.fresh_until.saturating_sub(model::now()),
            "running": running,
            "waiting": queued,
            "traffic": traffic::by_zone(),
            "requests_and_extras": *api.retry_budget.counts(),
            "known": discovery::list(&api.known_replicas),
        });
        write_json(response, 200, &body);
    }
}

/// Returns the reasons for which the node is not ready, as text for operators.
fn reasons_not_ready(api: &HealthApi) -> Vec<&'static str> {
    let view = api.view.load();
    let mut reasons = Vec::new();
    if !api.accepting_work.load(Relaxed) {
        reasons.push("stopping");
    }
    if api.known_replicas.borrow().is_empty() {
        reasons.push("knows no core seat yet");
    }
    if !view.is_fresh(model::now()) {
        reasons.push("no proof that its state is current");
    }
    if !view
        .slice
        .nodes
        .get(&api.name)
        .is_some_and(|node| node.present)
    {
        reasons.push("the log does not know this node as present");
    }
    reasons
}
