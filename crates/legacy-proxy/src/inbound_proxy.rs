//! The side of the selected backend: admits a request, runs it and returns its response
//! (design 5.3).

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

/// Future of a request that runs in a backend.
pub type ForwardFuture<'a> =
    Pin<Box<dyn Future<Output = Result<AttemptResponse, Error>> + Send + 'a>>;

/// Forwards requests from this process to backends.
pub trait BackendConnector: Send + Sync {
    /// Sends the request to the backend at `address` and waits for its response; `time_left` is in
    /// microseconds. Only a complete response with a valid seal is returned as a success.
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
    /// Forwards requests to the backends.
    pub connector: Arc<dyn BackendConnector>,
    /// Logger for retries.
    pub logger: Logger,
}

/// Time after the deadline, in microseconds, for which a backend that has not responded keeps its
/// slot, because the request may still be running.
const OVERRUN_GRACE: Microseconds = 1_000_000;

impl InboundProxy {
    /// Waits for a slot, runs the request and returns its response.
    ///
    /// # Errors
    ///
    /// The error of the admission, in which case the request was not forwarded; otherwise that of
    /// the connector, or [`ErrorKind::TimedOut`] at the deadline.
    pub async fn perform(&self, request: AttemptRequest) -> Result<AttemptResponse, Error> {
        let permit = self.slot_owner.admit(request.clone()).await?;
        let (reply, response) = oneshot::channel();
        let time_left = permit.deadline.saturating_sub(model::now());
        let (connector, slot_owner) = (self.connector.clone(), self.slot_owner.clone());
        // A separate task: the run continues and keeps its slot even if its caller is cancelled.
        tokio::spawn(async move {
            let run_timeout = Duration::from_micros(time_left + OVERRUN_GRACE);
            let run = connector.forward(&permit.address, &request, time_left);
            let result = time::timeout(run_timeout, run)
                .await
                .unwrap_or_else(|_| Err(timed_out()));
            release_slot(slot_owner, permit, &result).await;
            // The caller may have stopped waiting.
            reply.send(result).is_ok()
        });
        match time::timeout(Duration::from_micros(time_left), response).await {
            Ok(result) => result.unwrap_or_else(|_| {
                Err(Error::new(
                    ErrorKind::BackendLost,
                    "the task that ran the request ended without a result",
                ))
            }),
            Err(_) => Err(timed_out()),
        }
    }
}

/// Releases the slot of a run that ended. If the connection to the backend broke, the request may
/// still be running there, so its slot and key stay occupied until the deadline.
async fn release_slot(
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
    Error::new(
        ErrorKind::TimedOut,
        "the backend did not respond before the deadline",
    )
}
