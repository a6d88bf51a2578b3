//! What the handlers share: the replica they speak for, and the form of their answers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use control::ReplicaHandle;
use model::validation::Fault;
use salvo::Response;
use serde_json::{Value, json};

/// What the operators' interface needs of the process that serves it.
#[derive(Clone)]
pub struct OperatorApi {
    /// The replica of this process.
    pub replica: ReplicaHandle,
    /// False once the process was told to stop, which makes it not ready.
    pub accepting_work: Arc<AtomicBool>,
}

/// Kinds of items that have a name of their own in the desired state.
#[derive(Clone, Copy)]
pub(crate) enum ItemKind {
    Grouping,
    StandingOrder,
}

/// Status and JSON body of an answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Answer {
    /// The request is at fault and had no effect.
    pub(crate) fn invalid(status: u16, faults: Vec<Fault>) -> Answer {
        Answer {
            status,
            body: json!({ "verdict": "not-run", "cause": "invalid", "faults": faults }),
        }
    }

    /// The change was not handed to the log at all, so it is certain not to take effect.
    pub(crate) fn no_majority() -> Answer {
        let detail = "this core seat is not in touch with a majority";
        let body = json!({ "verdict": "not-run", "cause": "no_majority", "detail": detail });
        Answer { status: 503, body }
    }

    pub(crate) fn write(&self, response: &mut Response) {
        http_util::write_json(response, self.status, &self.body);
    }
}

/// Names what is wrong at `path` of a request.
pub(crate) fn fault(path: &str, message: impl Into<String>) -> Fault {
    Fault {
        path: path.into(),
        message: message.into(),
    }
}
