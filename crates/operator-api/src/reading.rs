//! Reading back: through a quorum read, so that what was accepted anywhere is seen (design 3.9).

use crate::{Boxoffice, changes::Kind};

pub(crate) struct Live;
pub(crate) struct Ready(pub Boxoffice);
pub(crate) struct Desired(pub Boxoffice);
pub(crate) struct Standing(pub Boxoffice);
pub(crate) struct Status(pub Boxoffice);
pub(crate) struct One(pub Boxoffice, pub Kind);

async fn current(office: &Boxoffice, response: &mut salvo::Response) -> Option<std::sync::Arc<model::Book>> {
    if office.core.read().await.is_none() {
        let answer = serde_json::json!({ "cause": "no_majority", "detail": "no majority answered, so nothing here is known to be current" });
        http_util::json(response, 503, &answer);
        return None;
    }
    let book = office.core.book.load_full();
    if let Ok(tag) = salvo::http::HeaderValue::from_str(&format!("\"{}\"", book.desired.version)) {
        response.headers_mut().insert("etag", tag);
    }
    Some(book)
}

/// Seat to the disk that holds it, as this seat has it on its own disk.
fn holders(core: &control::Core) -> std::collections::BTreeMap<u16, String> {
    let pins = core.pins.load();
    let others = pins.iter().map(|(seat, identity)| (*seat, *identity));
    others.chain([core.identity()]).map(|(seat, identity)| (seat, format!("{identity:016x}"))).collect()
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
        let state = self.0.core.state.load();
        let majority = self.0.core.seats() as usize / 2 + 1;
        let staying = self.0.staying.load(std::sync::atomic::Ordering::Relaxed);
        let reasons: Vec<String> = [
            (!staying).then(|| "stopping".to_string()),
            (!state.started).then(|| format!("has met {} of {} other seats", state.met, self.0.core.seats() - 1)),
            (state.started && state.in_touch < majority).then(|| format!("in touch with {} of {} seats", state.in_touch, self.0.core.seats())),
            state.refused.as_ref().map(|reason| format!("refused by a mate: {reason}")),
            state.disk.as_ref().map(|trouble| format!("disk: {trouble}")),
        ]
        .into_iter()
        .flatten()
        .collect();
        http_util::json(response, if reasons.is_empty() { 200 } else { 503 }, &serde_json::json!({ "ready": reasons.is_empty(), "reasons": reasons }));
    }
}

#[salvo::handler]
impl Desired {
    async fn handle(&self, response: &mut salvo::Response) {
        if let Some(book) = current(&self.0, response).await {
            http_util::json(response, 200, &book.desired);
        }
    }
}

#[salvo::handler]
impl Standing {
    async fn handle(&self, response: &mut salvo::Response) {
        if let Some(book) = current(&self.0, response).await {
            let answer = serde_json::json!({ "position": book.position, "standing": book.standing, "terms": book.terms });
            http_util::json(response, 200, &answer);
        }
    }
}

#[salvo::handler]
impl Status {
    async fn handle(&self, response: &mut salvo::Response) {
        let state = self.0.core.state.load();
        let book = self.0.core.book.load();
        let answer = serde_json::json!({
            "started": state.started, "identity": format!("{:016x}", state.identity), "met": state.met, "in_touch": state.in_touch,
            "applied": state.applied, "floor": state.floor, "index": state.index, "highest": state.highest,
            "open_reads": state.open_reads, "suspects": state.suspects, "syncs": state.syncs, "frames": state.frames,
            "disk": state.disk, "refused": state.refused, "position": book.position, "version": book.desired.version,
            "known": control::acquaint::list(&self.0.core.known), "holders": holders(&self.0.core), "traffic": transport::traffic::told(),
        });
        http_util::json(response, 200, &answer);
    }
}

#[salvo::handler]
impl One {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let Some(book) = current(&self.0, response).await else { return };
        let found = match self.1 {
            Kind::Grouping => book.desired.groupings.get(&name).and_then(|held| serde_json::to_value(held).ok()),
            Kind::Order => book.desired.orders.get(&name).and_then(|held| serde_json::to_value(held).ok()),
        };
        match found {
            Some(held) => http_util::json(response, 200, &held),
            None => http_util::json(response, 404, &serde_json::json!({ "cause": "not_found", "name": name })),
        }
    }
}
