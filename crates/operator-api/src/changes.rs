//! Writing: each call is one atomic change against the version it names (design 2.2).

use crate::OperatorApi;

#[derive(Clone, Copy)]
pub(crate) enum ItemKind {
    Grouping,
    StandingOrder,
}

pub(crate) struct ApplyChange(pub OperatorApi);
pub(crate) struct PutItem(pub OperatorApi, pub ItemKind);
pub(crate) struct DeleteItem(pub OperatorApi, pub ItemKind);

pub(crate) struct ReplaceReplica(pub OperatorApi);

/// Disks are named in hexadecimal, as status pages show them.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceRequest {
    #[serde(rename = "seat")]
    replica_id: u16,
    #[serde(rename = "from")]
    current_disk: String,
    #[serde(rename = "to")]
    new_disk: String,
}

type StatusAndBody = (u16, serde_json::Value);

fn invalid(status: u16, faults: Vec<model::validation::Fault>) -> StatusAndBody {
    (
        status,
        serde_json::json!({ "verdict": "not-run", "cause": "invalid", "faults": faults }),
    )
}

#[salvo::handler]
impl ApplyChange {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let (status, answer) = match http_util::read_json::<model::Change>(request).await {
            Ok(change) => submit(&self.0, change).await,
            Err(fault) => invalid(400, vec![fault]),
        };
        http_util::write_json(response, status, &answer);
    }
}

#[salvo::handler]
impl PutItem {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let edit = match self.1 {
            ItemKind::Grouping => http_util::read_json(request)
                .await
                .map(|grouping| model::Edit::PutGrouping { name, grouping }),
            ItemKind::StandingOrder => http_util::read_json(request)
                .await
                .map(|order| model::Edit::PutOrder { name, order }),
        };
        let (status, answer) = match edit {
            Ok(edit) => submit_edit(&self.0, request, edit).await,
            Err(fault) => invalid(400, vec![fault]),
        };
        http_util::write_json(response, status, &answer);
    }
}

#[salvo::handler]
impl DeleteItem {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let edit = match self.1 {
            ItemKind::Grouping => model::Edit::DropGrouping { name },
            ItemKind::StandingOrder => model::Edit::DropOrder { name },
        };
        let (status, answer) = submit_edit(&self.0, request, edit).await;
        http_util::write_json(response, status, &answer);
    }
}

#[salvo::handler]
impl ReplaceReplica {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let (status, answer) = match http_util::read_json::<ReplaceRequest>(request).await {
            Ok(ask) => replace_replica(&self.0, ask).await,
            Err(fault) => invalid(400, vec![fault]),
        };
        http_util::write_json(response, status, &answer);
    }
}

async fn replace_replica(office: &OperatorApi, ask: ReplaceRequest) -> StatusAndBody {
    let seats = office.replica.replica_count();
    let seat_fault = (ask.replica_id >= seats).then(|| model::validation::Fault {
        path: "seat".into(),
        message: format!("is from 0 to {}", seats - 1),
    });
    let disk = |path: &str, text: &str| {
        u64::from_str_radix(text, 16).map_err(|_| model::validation::Fault {
            path: path.into(),
            message: "is a disk's identity in hexadecimal".into(),
        })
    };
    let (from, to) = (disk("from", &ask.current_disk), disk("to", &ask.new_disk));
    let found: Vec<_> = seat_fault
        .into_iter()
        .chain(from.clone().err())
        .chain(to.clone().err())
        .collect();
    let (Ok(from), Ok(to), true) = (from, to, found.is_empty()) else {
        return invalid(422, found);
    };
    // The disk that is to go must be the one that holds the seat here; the log decides between two operators.
    let (own, identity) = office.replica.identity();
    let holder = if own == ask.replica_id {
        Some(identity)
    } else {
        office
            .replica
            .pinned_disks
            .load()
            .get(&ask.replica_id)
            .copied()
    };
    if holder != Some(from) {
        let detail = format!(
            "seat {} is held by {:016x}",
            ask.replica_id,
            holder.unwrap_or(0)
        );
        return (
            412,
            serde_json::json!({ "verdict": "not-run", "cause": "stale", "detail": detail }),
        );
    }
    if !office.replica.reaches_majority() {
        return no_majority();
    }
    response_to(
        office
            .replica
            .replace_member(model::ReplicaReplacement {
                replica_id: ask.replica_id,
                old_disk: from,
                new_disk: to,
            })
            .await,
    )
}

/// Not handed to the log at all: certain not to take effect.
fn no_majority() -> StatusAndBody {
    (
        503,
        serde_json::json!({ "verdict": "not-run", "cause": "no_majority", "detail": "this core seat is not in touch with a majority" }),
    )
}

async fn submit_edit(
    office: &OperatorApi,
    request: &salvo::Request,
    edit: model::Edit,
) -> StatusAndBody {
    let fault = |path: &str, fault: &str| {
        invalid(
            428,
            vec![model::validation::Fault {
                path: path.into(),
                message: fault.into(),
            }],
        )
    };
    let Some(base) = http_util::header_text(request, "if-match")
        .and_then(|text| text.trim_matches('"').parse().ok())
    else {
        return fault(
            "If-Match",
            "names the version this change was made from, as GET /v1/desired gave it in ETag",
        );
    };
    let Some(id) = http_util::header_text(request, "x-change-id") else {
        return fault(
            "X-Change-Id",
            "names the change, so that sending it again is harmless",
        );
    };
    submit(
        office,
        model::Change {
            id,
            base_version: base,
            edits: vec![edit],
        },
    )
    .await
}

async fn submit(office: &OperatorApi, change: model::Change) -> StatusAndBody {
    let id_fault =
        (change.id.is_empty() || change.id.len() > 128).then(|| model::validation::Fault {
            path: "id".into(),
            message: "is 1 to 128 bytes".into(),
        });
    let found: Vec<_> = id_fault
        .into_iter()
        .chain(model::validation::faults_of_edits(&change.edits))
        .collect();
    if !found.is_empty() {
        return invalid(422, found);
    }
    if !office.replica.reaches_majority() {
        return no_majority();
    }
    response_to(office.replica.change(change).await)
}

fn response_to(outcome: Option<model::Outcome>) -> StatusAndBody {
    match outcome {
        Some(outcome) => outcome_response(outcome),
        None => {
            let detail = "no majority answered in time; the change may yet take effect, send it again to learn";
            (
                503,
                serde_json::json!({ "verdict": "may-have-run", "cause": "no_answer", "detail": detail }),
            )
        }
    }
}

fn outcome_response(outcome: model::Outcome) -> StatusAndBody {
    match outcome {
        model::Outcome::Accepted { position, version } => (
            200,
            serde_json::json!({ "accepted": { "position": position, "version": version } }),
        ),
        model::Outcome::Unchanged { position } => (
            200,
            serde_json::json!({ "unchanged": { "position": position } }),
        ),
        model::Outcome::Stale { version } => (
            412,
            serde_json::json!({ "verdict": "not-run", "cause": "stale", "version": version }),
        ),
        model::Outcome::Invalid { faults: found } => invalid(422, found),
        model::Outcome::Reused { version } => (
            409,
            serde_json::json!({ "verdict": "not-run", "cause": "id_reused", "version": version, "detail": "another change had this id" }),
        ),
        model::Outcome::Conflict { conflicts } => (
            409,
            serde_json::json!({ "verdict": "not-run", "cause": "conflict", "conflicts": conflicts }),
        ),
        model::Outcome::Superseded { position } => (
            409,
            serde_json::json!({ "verdict": "not-run", "cause": "superseded", "position": position }),
        ),
        model::Outcome::Refused { reason } => (
            409,
            serde_json::json!({ "verdict": "not-run", "cause": "refused", "detail": reason }),
        ),
    }
}
