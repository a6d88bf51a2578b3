//! Reading back: through a quorum read, so that what was accepted anywhere is seen (design 3.9).

use crate::{OperatorApi, changes::ItemKind};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(crate) struct Liveness;
pub(crate) struct Readiness(pub OperatorApi);
pub(crate) struct DesiredState(pub OperatorApi);
pub(crate) struct EndpointStatus(pub OperatorApi);
pub(crate) struct ReplicaStatus(pub OperatorApi);
pub(crate) struct SingleItem(pub OperatorApi, pub ItemKind);

async fn read_current(
    office: &OperatorApi,
    response: &mut salvo::Response,
) -> Option<Arc<model::StateMachine>> {
    if office.replica.read_barrier().await.is_none() {
        let answer = serde_json::json!({ "cause": "no_majority", "detail": "no majority answered, so nothing here is known to be current" });
        http_util::write_json(response, 503, &answer);
        return None;
    }
    let book = office.replica.state_machine.load_full();
    if let Ok(tag) = salvo::http::HeaderValue::from_str(&format!("\"{}\"", book.desired.version)) {
        response.headers_mut().insert("etag", tag);
    }
    Some(book)
}

/// Seat to the disk that holds it, as this seat has it on its own disk.
fn member_disks(core: &control::ReplicaHandle) -> BTreeMap<u16, String> {
    core.members()
        .into_iter()
        .map(|(replica_id, disk_id)| (replica_id, format!("{disk_id:016x}")))
        .collect()
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
        let state = self.0.replica.status.load();
        let majority = self.0.replica.replica_count() as usize / 2 + 1;
        let staying = self
            .0
            .accepting_work
            .load(std::sync::atomic::Ordering::Relaxed);
        let reasons: Vec<String> = [
            (!staying).then(|| "stopping".to_string()),
            (!state.voting).then(|| {
                format!(
                    "has met {} of {} other seats",
                    state.pinned_peers,
                    self.0.replica.replica_count() - 1
                )
            }),
            (state.voting && state.connected_replicas < majority).then(|| {
                format!(
                    "in touch with {} of {} seats",
                    state.connected_replicas,
                    self.0.replica.replica_count()
                )
            }),
            state
                .refusal
                .as_ref()
                .map(|reason| format!("refused by a mate: {reason}")),
            state
                .disk_error
                .as_ref()
                .map(|trouble| format!("disk: {trouble}")),
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
impl DesiredState {
    async fn handle(&self, response: &mut salvo::Response) {
        if let Some(book) = read_current(&self.0, response).await {
            http_util::write_json(response, 200, &book.desired);
        }
    }
}

#[salvo::handler]
impl EndpointStatus {
    async fn handle(&self, response: &mut salvo::Response) {
        if let Some(book) = read_current(&self.0, response).await {
            let answer = serde_json::json!({ "position": book.position, "standing": book.endpoint_status, "terms": book.leases });
            http_util::write_json(response, 200, &answer);
        }
    }
}

#[salvo::handler]
impl ReplicaStatus {
    async fn handle(&self, response: &mut salvo::Response) {
        let state = self.0.replica.status.load();
        let book = self.0.replica.state_machine.load();
        let answer = serde_json::json!({
            "started": state.voting, "identity": format!("{:016x}", state.disk_id), "met": state.pinned_peers, "in_touch": state.connected_replicas,
            "applied": state.applied_below, "floor": state.compacted_below, "index": state.next_own_instance, "highest": state.highest_seen,
            "open_reads": state.pending_reads, "suspects": state.suspected_replicas, "syncs": state.disk_syncs, "frames": state.frames_sent,
            "disk": state.disk_error, "refused": state.refusal, "position": book.position, "version": book.desired.version,
            "known": control::membership::discovery::list(&self.0.replica.known_replicas), "holders": member_disks(&self.0.replica), "traffic": transport::traffic::by_zone(),
        });
        http_util::write_json(response, 200, &answer);
    }
}

#[salvo::handler]
impl SingleItem {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let Some(book) = read_current(&self.0, response).await else {
            return;
        };
        let found = match self.1 {
            ItemKind::Grouping => book
                .desired
                .groupings
                .get(&name)
                .and_then(|held| serde_json::to_value(held).ok()),
            ItemKind::StandingOrder => book
                .desired
                .orders
                .get(&name)
                .and_then(|held| serde_json::to_value(held).ok()),
        };
        match found {
            Some(held) => http_util::write_json(response, 200, &held),
            None => http_util::write_json(
                response,
                404,
                &serde_json::json!({ "cause": "not_found", "name": name }),
            ),
        }
    }
}
