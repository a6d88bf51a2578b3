//! Handlers for queries. Queries of the log's state use a quorum read, so that they see everything
//! that any replica has accepted (design 3.9). Health and status describe this replica only.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use control::ReplicaHandle;
use model::StateMachine;
use salvo::http::HeaderValue;
use salvo::{Request, Response};
use serde_json::{Value, json};

use crate::api::{Answer, ItemKind, OperatorApi};

/// `GET /live`: confirms that the process answers.
pub(crate) struct Liveness;

/// `GET /ready`: whether the replica is ready, and otherwise the reasons.
pub(crate) struct Readiness {
    pub(crate) api: OperatorApi,
}

/// `GET /v1/desired`: the complete desired state.
pub(crate) struct DesiredState {
    pub(crate) api: OperatorApi,
}

/// `GET /v1/standing`: backends, nodes and key leases.
pub(crate) struct EndpointStatus {
    pub(crate) api: OperatorApi,
}

/// `GET /v1/status`: counters and peers of this replica.
pub(crate) struct ReplicaStatus {
    pub(crate) api: OperatorApi,
}

/// `GET` of a named item.
pub(crate) struct SingleItem {
    pub(crate) api: OperatorApi,
    pub(crate) kind: ItemKind,
}

#[salvo::handler]
impl Liveness {
    async fn handle(&self, response: &mut Response) {
        http_util::write_json(response, 200, &json!({ "live": true }));
    }
}

#[salvo::handler]
impl Readiness {
    async fn handle(&self, response: &mut Response) {
        let reasons = reasons_not_ready(&self.api);
        let status = if reasons.is_empty() { 200 } else { 503 };
        let body = json!({ "ready": reasons.is_empty(), "reasons": reasons });
        http_util::write_json(response, status, &body);
    }
}

#[salvo::handler]
impl DesiredState {
    async fn handle(&self, response: &mut Response) {
        if let Some(state) = read_current(&self.api, response).await {
            http_util::write_json(response, 200, &state.desired);
        }
    }
}

#[salvo::handler]
impl EndpointStatus {
    async fn handle(&self, response: &mut Response) {
        if let Some(state) = read_current(&self.api, response).await {
            let body = json!({
                "position": state.position, "standing": state.endpoint_status, "terms": state.leases,
            });
            http_util::write_json(response, 200, &body);
        }
    }
}

#[salvo::handler]
impl ReplicaStatus {
    async fn handle(&self, response: &mut Response) {
        let replica = &self.api.replica;
        let status = replica.status.load();
        let state = replica.state_machine.load();
        let body = json!({
            "started": status.voting,
            "identity": format!("{:016x}", status.disk_id),
            "met": status.pinned_peers,
            "in_touch": status.connected_replicas,
            "applied": status.applied_below,
            "floor": status.compacted_below,
            "index": status.next_own_instance,
            "highest": status.highest_seen,
            "open_reads": status.pending_reads,
            "suspects": status.suspected_replicas,
            "syncs": status.disk_syncs,
            "frames": status.frames_sent,
            "disk": status.disk_error,
            "refused": status.refusal,
            "position": state.position,
            "version": state.desired.version,
            "known": control::membership::discovery::list(&replica.known_replicas),
            "holders": member_disks(replica),
            "traffic": transport::traffic::by_zone(),
        });
        http_util::write_json(response, 200, &body);
    }
}

#[salvo::handler]
impl SingleItem {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let Some(state) = read_current(&self.api, response).await else {
            return;
        };
        match item_json(&state, self.kind, &name) {
            Some(item) => http_util::write_json(response, 200, &item),
            None => {
                let body = json!({ "cause": "not_found", "name": name });
                http_util::write_json(response, 404, &body);
            }
        }
    }
}

/// Returns a state that contains everything accepted before the request, and sets the `ETag` header
/// to its version. Without a majority, writes the error response and returns `None`.
async fn read_current(api: &OperatorApi, response: &mut Response) -> Option<Arc<StateMachine>> {
    if api.replica.read_barrier().await.is_none() {
        let detail = "no majority answered, so nothing here is known to be current";
        let body = json!({ "cause": "no_majority", "detail": detail });
        Answer { status: 503, body }.write(response);
        return None;
    }
    let state = api.replica.state_machine.load_full();
    if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", state.desired.version)) {
        response.headers_mut().insert("etag", tag);
    }
    Some(state)
}

/// Returns the reasons for which the replica is not ready, as text for operators.
fn reasons_not_ready(api: &OperatorApi) -> Vec<String> {
    let status = api.replica.status.load();
    let replica_count = api.replica.replica_count();
    let majority = usize::from(replica_count) / 2 + 1;
    let mut reasons = Vec::new();
    if !api.accepting_work.load(Relaxed) {
        reasons.push("stopping".to_string());
    }
    if !status.voting {
        let (pinned, others) = (status.pinned_peers, replica_count - 1);
        reasons.push(format!("has met {pinned} of {others} other seats"));
    } else if status.connected_replicas < majority {
        let connected = status.connected_replicas;
        reasons.push(format!(
            "in touch with {connected} of {replica_count} seats"
        ));
    }
    if let Some(reason) = &status.refusal {
        reasons.push(format!("refused by a mate: {reason}"));
    }
    if let Some(error) = &status.disk_error {
        reasons.push(format!("disk: {error}"));
    }
    reasons
}

/// Returns the disk identity of each member as known to this replica.
fn member_disks(replica: &ReplicaHandle) -> BTreeMap<u16, String> {
    let members = replica.members().into_iter();
    members
        .map(|(replica_id, disk)| (replica_id, format!("{disk:016x}")))
        .collect()
}

fn item_json(state: &StateMachine, kind: ItemKind, name: &str) -> Option<Value> {
    match kind {
        ItemKind::Grouping => serde_json::to_value(state.desired.groupings.get(name)?).ok(),
        ItemKind::StandingOrder => serde_json::to_value(state.desired.orders.get(name)?).ok(),
    }
}
