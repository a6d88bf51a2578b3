//! Writing: each call is one atomic change against the version it names (design 2.2).

use crate::Boxoffice;

#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Grouping,
    Order,
}

pub(crate) struct Apply(pub Boxoffice);
pub(crate) struct Put(pub Boxoffice, pub Kind);
pub(crate) struct Drop(pub Boxoffice, pub Kind);

pub(crate) struct Replace(pub Boxoffice);

/// Disks are named in hexadecimal, as status pages show them.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct ReplaceAsk {
    seat: u16,
    from: String,
    to: String,
}

type Answer = (u16, serde_json::Value);

fn faults(status: u16, faults: Vec<model::check::Fault>) -> Answer {
    (status, serde_json::json!({ "verdict": "not-run", "cause": "invalid", "faults": faults }))
}

#[salvo::handler]
impl Apply {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let (status, answer) = match http_util::read::<model::Change>(request).await {
            Ok(change) => decide(&self.0, change).await,
            Err(fault) => faults(400, vec![fault]),
        };
        http_util::json(response, status, &answer);
    }
}

#[salvo::handler]
impl Put {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let edit = match self.1 {
            Kind::Grouping => http_util::read(request).await.map(|grouping| model::Edit::PutGrouping { name, grouping }),
            Kind::Order => http_util::read(request).await.map(|order| model::Edit::PutOrder { name, order }),
        };
        let (status, answer) = match edit {
            Ok(edit) => decide_one(&self.0, request, edit).await,
            Err(fault) => faults(400, vec![fault]),
        };
        http_util::json(response, status, &answer);
    }
}

#[salvo::handler]
impl Drop {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let name = request.param::<String>("name").unwrap_or_default();
        let edit = match self.1 {
            Kind::Grouping => model::Edit::DropGrouping { name },
            Kind::Order => model::Edit::DropOrder { name },
        };
        let (status, answer) = decide_one(&self.0, request, edit).await;
        http_util::json(response, status, &answer);
    }
}

#[salvo::handler]
impl Replace {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let (status, answer) = match http_util::read::<ReplaceAsk>(request).await {
            Ok(ask) => replace(&self.0, ask).await,
            Err(fault) => faults(400, vec![fault]),
        };
        http_util::json(response, status, &answer);
    }
}

async fn replace(office: &Boxoffice, ask: ReplaceAsk) -> Answer {
    let seats = office.core.seats();
    let seat_fault = (ask.seat >= seats).then(|| model::check::Fault { path: "seat".into(), fault: format!("is from 0 to {}", seats - 1) });
    let disk = |path: &str, text: &str| {
        u64::from_str_radix(text, 16).map_err(|_| model::check::Fault { path: path.into(), fault: "is a disk's identity in hexadecimal".into() })
    };
    let (from, to) = (disk("from", &ask.from), disk("to", &ask.to));
    let found: Vec<_> = seat_fault.into_iter().chain(from.clone().err()).chain(to.clone().err()).collect();
    let (Ok(from), Ok(to), true) = (from, to, found.is_empty()) else { return faults(422, found) };
    // The disk that is to go must be the one that holds the seat here; the log decides between two operators.
    let (own, identity) = office.core.identity();
    let holder = if own == ask.seat { Some(identity) } else { office.core.pins.load().get(&ask.seat).copied() };
    if holder != Some(from) {
        let detail = format!("seat {} is held by {:016x}", ask.seat, holder.unwrap_or(0));
        return (412, serde_json::json!({ "verdict": "not-run", "cause": "stale", "detail": detail }));
    }
    if !office.core.reaches_majority() {
        return no_majority();
    }
    answered(office.core.replace(model::SeatChange { seat: ask.seat, from, to }).await)
}

/// Not handed to the log at all: certain not to take effect.
fn no_majority() -> Answer {
    (503, serde_json::json!({ "verdict": "not-run", "cause": "no_majority", "detail": "this core seat is not in touch with a majority" }))
}

async fn decide_one(office: &Boxoffice, request: &salvo::Request, edit: model::Edit) -> Answer {
    let fault = |path: &str, fault: &str| faults(428, vec![model::check::Fault { path: path.into(), fault: fault.into() }]);
    let Some(base) = http_util::header(request, "if-match").and_then(|text| text.trim_matches('"').parse().ok()) else {
        return fault("If-Match", "names the version this change was made from, as GET /v1/desired gave it in ETag");
    };
    let Some(id) = http_util::header(request, "x-change-id") else {
        return fault("X-Change-Id", "names the change, so that sending it again is harmless");
    };
    decide(office, model::Change { id, base, edits: vec![edit] }).await
}

async fn decide(office: &Boxoffice, change: model::Change) -> Answer {
    let id_fault = (change.id.is_empty() || change.id.len() > 128).then(|| model::check::Fault { path: "id".into(), fault: "is 1 to 128 bytes".into() });
    let found: Vec<_> = id_fault.into_iter().chain(model::check::alone(&change.edits)).collect();
    if !found.is_empty() {
        return faults(422, found);
    }
    if !office.core.reaches_majority() {
        return no_majority();
    }
    answered(office.core.change(change).await)
}

fn answered(outcome: Option<model::Outcome>) -> Answer {
    match outcome {
        Some(outcome) => tell(outcome),
        None => {
            let detail = "no majority answered in time; the change may yet take effect, send it again to learn";
            (503, serde_json::json!({ "verdict": "may-have-run", "cause": "no_answer", "detail": detail }))
        }
    }
}

fn tell(outcome: model::Outcome) -> Answer {
    match outcome {
        model::Outcome::Accepted { position, version } => (200, serde_json::json!({ "accepted": { "position": position, "version": version } })),
        model::Outcome::Unchanged { position } => (200, serde_json::json!({ "unchanged": { "position": position } })),
        model::Outcome::Stale { version } => (412, serde_json::json!({ "verdict": "not-run", "cause": "stale", "version": version })),
        model::Outcome::Invalid { faults: found } => faults(422, found),
        model::Outcome::Reused { version } => {
            (409, serde_json::json!({ "verdict": "not-run", "cause": "id_reused", "version": version, "detail": "another change had this id" }))
        }
        model::Outcome::Conflict { conflicts } => (409, serde_json::json!({ "verdict": "not-run", "cause": "conflict", "conflicts": conflicts })),
        model::Outcome::Superseded { position } => (409, serde_json::json!({ "verdict": "not-run", "cause": "superseded", "position": position })),
        model::Outcome::Refused { reason } => (409, serde_json::json!({ "verdict": "not-run", "cause": "refused", "detail": reason })),
    }
}
