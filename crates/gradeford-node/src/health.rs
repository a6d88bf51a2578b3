//! `/live`, `/ready`, `/status` of a node (docs/operators/running.md).

#[derive(Clone)]
pub struct Health {
    pub name: String,
    pub view: control::view::SharedView,
    pub known: control::Known,
    pub house: legacy_proxy::HouseDesk,
    pub budget: legacy_proxy::budget::BudgetDesk,
    pub claims: std::sync::Arc<std::sync::atomic::AtomicU64>,
    pub life: u64,
    pub staying: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

struct Live;
struct Ready(Health);
struct Status(Health);

pub fn router(health: Health) -> salvo::Router {
    salvo::Router::new()
        .push(salvo::Router::with_path("live").get(Live))
        .push(salvo::Router::with_path("ready").get(Ready(health.clone())))
        .push(salvo::Router::with_path("status").get(Status(health)))
}

#[salvo::handler]
impl Live {
    async fn handle(&self, response: &mut salvo::Response) {
        http_util::json(response, 200, &serde_json::json!({ "live": true }));
    }
}

#[salvo::handler]
impl Ready {
    async fn handle(&self, response: &mut salvo::Response) {
        let view = self.0.view.load();
        let reasons: Vec<&str> = [
            (!self.0.staying.load(std::sync::atomic::Ordering::Relaxed)).then_some("stopping"),
            self.0.known.borrow().is_empty().then_some("knows no core seat yet"),
            (!view.fresh(model::now())).then_some("no proof that its state is current"),
            (!view.slice.nodes.get(&self.0.name).is_some_and(|node| node.present)).then_some("the log does not know this node as present"),
        ]
        .into_iter()
        .flatten()
        .collect();
        http_util::json(response, if reasons.is_empty() { 200 } else { 503 }, &serde_json::json!({ "ready": reasons.is_empty(), "reasons": reasons }));
    }
}

#[salvo::handler]
impl Status {
    async fn handle(&self, response: &mut salvo::Response) {
        let view = self.0.view.load();
        let (running, waiting) = self.0.house.load().await;
        let answer = serde_json::json!({
            "name": self.0.name, "life": self.0.life, "position": view.slice.position, "version": view.slice.version, "services": view.slice.services,
            "keys_claimed_unheld": self.0.claims.load(std::sync::atomic::Ordering::Relaxed),
            "fresh_for_us": view.fresh_until.saturating_sub(model::now()), "running": running, "waiting": waiting, "traffic": transport::traffic::told(),
            "requests_and_extras": *self.0.budget.spent(),
            "known": control::acquaint::list(&self.0.known),
        });
        http_util::json(response, 200, &answer);
    }
}
