//! Handlers for changes. Each request is one atomic change against the version that it names
//! (design 2.2).

use http_util::{header_text, read_json};
use model::validation::{self, Fault};
use model::{Change, Edit, Outcome, ReplicaReplacement};
use salvo::{Request, Response};
use serde_json::json;

use crate::api::{Answer, ItemKind, OperatorApi, fault};

/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;

/// `POST /v1/changes`: applies several edits atomically.
pub(crate) struct ApplyChange {
    pub(crate) api: OperatorApi,
}

/// `PUT` of a named item: applies one edit.
pub(crate) struct PutItem {
    pub(crate) api: OperatorApi,
    pub(crate) kind: ItemKind,
}

/// `DELETE` of a named item: applies one edit.
pub(crate) struct DeleteItem {
    pub(crate) api: OperatorApi,
    pub(crate) kind: ItemKind,
}

/// `POST /v1/seats`: replaces the disk of a member.
pub(crate) struct ReplaceReplica {
    pub(crate) api: OperatorApi,
}

/// Body of `POST /v1/seats`. Disk identities are in hexadecimal, as in `/v1/status`.
#[derive(serde::Deserialize)]
// `expecting` keeps the type name that operators see in fault messages.
#[serde(deny_unknown_fields, expecting = "struct ReplaceAsk")]
struct ReplaceRequest {
    #[serde(rename = "seat")]
    replica_id: u16,
    #[serde(rename = "from")]
    old_disk: String,
    #[serde(rename = "to")]
    new_disk: String,
}

#[salvo::handler]
impl ApplyChange {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let answer = match read_json::<Change>(request).await {
            Ok(change) => submit(&self.api, change).await,
            Err(fault) => Answer::invalid(400, vec![fault]),
        };
        answer.write(response);
    }
}

#[salvo::handler]
impl PutItem {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let edit = match self.kind {
            ItemKind::Grouping => read_json(request)
                .await
                .map(|grouping| Edit::PutGrouping { name, grouping }),
            ItemKind::StandingOrder => read_json(request)
                .await
                .map(|order| Edit::PutOrder { name, order }),
        };
        let answer = match edit {
            Ok(edit) => submit_edit(&self.api, request, edit).await,
            Err(fault) => Answer::invalid(400, vec![fault]),
        };
        answer.write(response);
    }
}

#[salvo::handler]
impl DeleteItem {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let edit = match self.kind {
            ItemKind::Grouping => Edit::DropGrouping { name },
            ItemKind::StandingOrder => Edit::DropOrder { name },
        };
        submit_edit(&self.api, request, edit).await.write(response);
    }
}

#[salvo::handler]
impl ReplaceReplica {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let answer = match read_json::<ReplaceRequest>(request).await {
            Ok(request) => replace_replica(&self.api, request).await,
            Err(fault) => Answer::invalid(400, vec![fault]),
        };
        answer.write(response);
    }
}

async fn replace_replica(api: &OperatorApi, request: ReplaceRequest) -> Answer {
    let replacement = match checked_replacement(&request, api.replica.replica_count()) {
        Ok(replacement) => replacement,
        Err(faults) => return Answer::invalid(422, faults),
    };
    // The old disk must be the member as known to this replica. The log decides between concurrent
    // requests of two operators.
    let member = member_disk(api, replacement.replica_id);
    if member != Some(replacement.old_disk) {
        let (replica_id, disk) = (replacement.replica_id, member.unwrap_or(0));
        let detail = format!("seat {replica_id} is held by {disk:016x}");
        let body = json!({ "verdict": "not-run", "cause": "stale", "detail": detail });
        return Answer { status: 412, body };
    }
    if !api.replica.reaches_majority() {
        return Answer::no_majority();
    }
    outcome_answer(api.replica.replace_member(replacement).await)
}

/// Validates the request and reports all of its faults together.
fn checked_replacement(
    request: &ReplaceRequest,
    replica_count: u16,
) -> Result<ReplicaReplacement, Vec<Fault>> {
    let replica_id = request.replica_id;
    let mut faults = Vec::new();
    if replica_id >= replica_count {
        faults.push(fault("seat", format!("is from 0 to {}", replica_count - 1)));
    }
    let disks = [("from", &request.old_disk), ("to", &request.new_disk)].map(|(path, text)| {
        u64::from_str_radix(text, 16)
            .map_err(|_| fault(path, "is a disk's identity in hexadecimal"))
    });
    match disks {
        [Ok(old_disk), Ok(new_disk)] if faults.is_empty() => Ok(ReplicaReplacement {
            replica_id,
            old_disk,
            new_disk,
        }),
        disks => {
            faults.extend(disks.into_iter().filter_map(Result::err));
            Err(faults)
        }
    }
}

/// Returns the identity of the member's disk as known to this replica.
fn member_disk(api: &OperatorApi, replica_id: u16) -> Option<u64> {
    if api.replica.replica_id() == replica_id {
        return Some(api.replica.disk_id());
    }
    api.replica.pinned_disks.load().get(&replica_id).copied()
}

/// Submits a change with one edit; its base version and id are taken from the headers `If-Match` and
/// `X-Change-Id`.
async fn submit_edit(api: &OperatorApi, request: &Request, edit: Edit) -> Answer {
    let missing = |header: &str, message: &str| Answer::invalid(428, vec![fault(header, message)]);
    let base_version =
        header_text(request, "if-match").and_then(|text| text.trim_matches('"').parse().ok());
    let Some(base_version) = base_version else {
        let message =
            "names the version this change was made from, as GET /v1/desired gave it in ETag";
        return missing("If-Match", message);
    };
    let Some(id) = header_text(request, "x-change-id") else {
        return missing(
            "X-Change-Id",
            "names the change, so that sending it again is harmless",
        );
    };
    submit(
        api,
        Change {
            id,
            base_version,
            edits: vec![edit],
        },
    )
    .await
}

async fn submit(api: &OperatorApi, change: Change) -> Answer {
    let mut faults = Vec::new();
    if change.id.is_empty() || change.id.len() > MAX_CHANGE_ID_BYTES {
        faults.push(fault("id", format!("is 1 to {MAX_CHANGE_ID_BYTES} bytes")));
    }
    faults.extend(validation::faults_of_edits(&change.edits));
    if !faults.is_empty() {
        return Answer::invalid(422, faults);
    }
    if !api.replica.reaches_majority() {
        return Answer::no_majority();
    }
    outcome_answer(api.replica.change(change).await)
}

fn outcome_answer(outcome: Option<Outcome>) -> Answer {
    match outcome {
        Some(outcome) => decided_answer(outcome),
        None => {
            let detail = "no majority answered in time; the change may yet take effect, send it again to learn";
            let body = json!({ "verdict": "may-have-run", "cause": "no_answer", "detail": detail });
            Answer { status: 503, body }
        }
    }
}

fn decided_answer(outcome: Outcome) -> Answer {
    let (status, body) = match outcome {
        Outcome::Accepted { position, version } => (
            200,
            json!({ "accepted": { "position": position, "version": version } }),
        ),
        Outcome::Unchanged { position } => (200, json!({ "unchanged": { "position": position } })),
        Outcome::Stale { version } => (
            412,
            json!({ "verdict": "not-run", "cause": "stale", "version": version }),
        ),
        Outcome::Invalid { faults } => return Answer::invalid(422, faults),
        Outcome::Reused { version } => {
            let detail = "another change had this id";
            let cause = "id_reused";
            let body = json!({ "verdict": "not-run", "cause": cause, "version": version, "detail": detail });
            (409, body)
        }
        Outcome::Conflict { conflicts } => (
            409,
            json!({ "verdict": "not-run", "cause": "conflict", "conflicts": conflicts }),
        ),
        Outcome::Superseded { position } => (
            409,
            json!({ "verdict": "not-run", "cause": "superseded", "position": position }),
        ),
        Outcome::Refused { reason } => (
            409,
            json!({ "verdict": "not-run", "cause": "refused", "detail": reason }),
        ),
    };
    Answer { status, body }
}
