//! Shared parts of the request handlers: their state and the form of their answers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use control::ReplicaHandle;
use model::validation::Fault;
use salvo::Response;
use serde_json::{Value, json};

/// State that the handlers of the operators' API share.
#[derive(Clone)]
pub struct OperatorApi {
    /// The replica of this process.
    pub replica: ReplicaHandle,
    /// False once the process has received a request to stop; the replica then reports that it is
    /// not ready.
    pub accepting_work: Arc<AtomicBool>,
}

/// Kinds of named items in the desired state.
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
    /// Returns the answer for an invalid request, which had no effect.
    pub(crate) fn invalid(status: u16, faults: Vec<Fault>) -> Answer {
        Answer {
            status,
            body: json!({ "verdict": "not-run", "cause": "invalid", "faults": faults }),
        }
    }

    /// Returns the answer for a change that was not proposed to the log, so that it certainly has
    /// no effect.
    pub(crate) fn no_majority() -> Answer {
        let detail = "this core seat is not in touch with a majority";
        let body = json!({ "verdict": "not-run", "cause": "no_majority", "detail": detail });
        Answer { status: 503, body }
    }

    pub(crate) fn write(&self, response: &mut Response) {
        http_util::write_json(response, self.status, &self.body);
    }
}

/// Creates a fault for `path` of a request.
pub(crate) fn fault(path: &str, message: impl Into<String>) -> Fault {
    Fault {
        path: path.into(),
        message: message.into(),
    }
}
