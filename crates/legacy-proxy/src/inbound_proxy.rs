//! Beside the selected backend: admission, the run, and its response (design 5.3).

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use model::{Error, ErrorKind, ExecutionStatus, Microseconds};
use slog::Logger;
use tokio::sync::oneshot;
use tokio::time;
use transport::{AttemptRequest, AttemptResponse};

use crate::SlotOwnerHandle;
use crate::slot_owner::Permit;

/// The run of a request in a backend.
pub type ForwardFuture<'a> =
    Pin<Box<dyn Future<Output = Result<AttemptResponse, Error>> + Send + 'a>>;

/// How a request gets from this process into the backend.
pub trait BackendConnector: Send + Sync {
    /// Sends the request to the backend at `address` and waits for its response; `time_left` is in
    /// microseconds. Only a sealed, complete response comes back as one.
    fn forward<'a>(
        &'a self,
        address: &'a str,
        request: &'a AttemptRequest,
        time_left: Microseconds,
    ) -> ForwardFuture<'a>;
}

/// Runs requests in the backends beside this node. Clones share all state.
#[derive(Clone)]
pub struct InboundProxy {
    /// Admits requests to the backends' slots.
    pub slot_owner: SlotOwnerHandle,
    /// The way into the backends.
    pub connector: Arc<dyn BackendConnector>,
    /// Where retries are logged.
    pub logger: Logger,
}

/// A backend that overruns the deadline keeps its slot for 1 s more: it may still be at work.
const OVERRUN_GRACE: Microseconds = 1_000_000;

impl InboundProxy {
    /// Waits for a slot, runs the request and returns its response.
    ///
    /// # Errors
    ///
    /// Certainly not run if the slot was refused; else as the connector says, or
    /// [`ErrorKind::TimedOut`] at the deadline.
    pub async fn perform(&self, request: AttemptRequest) -> Result<AttemptResponse, Error> {
        let permit = self.slot_owner.admit(request.clone()).await?;
        let (reply, response) = oneshot::channel();
        let time_left = permit.deadline.saturating_sub(model::now());
        let (connector, slot_owner) = (self.connector.clone(), self.slot_owner.clone());
        // In a task of its own: the run goes on, and holds its slot, though its caller may be lost.
        tokio::spawn(async move {
            let patience = Duration::from_micros(time_left + OVERRUN_GRACE);
            let run = connector.forward(&permit.address, &request, time_left);
            let result = time::timeout(patience, run)
                .await
                .unwrap_or_else(|_| Err(timed_out()));
            free_slot(slot_owner, permit, &result).await;
            // The caller may have stopped waiting.
            reply.send(result).is_ok()
        });
        match time::timeout(Duration::from_micros(time_left), response).await {
            Ok(result) => result
                .unwrap_or_else(|_| Err(Error::new(ErrorKind::BackendLost, "the run was lost"))),
            Err(_) => Err(timed_out()),
        }
    }
}

/// Gives the slot back. A backend that broke off may still be at work: its slot and key stay taken
/// until the deadline.
async fn free_slot(
    slot_owner: SlotOwnerHandle,
    permit: Permit,
    result: &Result<AttemptResponse, Error>,
) {
    let error = result.as_ref().err();
    let unsent = error.is_some_and(|error| error.execution_status == ExecutionStatus::NotRun);
    if error.is_some_and(|error| error.kind == ErrorKind::BackendLost) {
        tokio::spawn(async move {
            let until_deadline = permit.deadline.saturating_sub(model::now());
            time::sleep(Duration::from_micros(until_deadline)).await;
            slot_owner.finish(permit, unsent).await;
        });
    } else {
        slot_owner.finish(permit, unsent).await;
    }
}

fn timed_out() -> Error {
    Error::new(ErrorKind::TimedOut, "the back end did not answer in time")
}
