//! Beside the picked back end: last check, slot, pass on, answer (design 5.3).

use model::{Error, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

pub type ForwardFuture<'a> =
    Pin<Box<dyn Future<Output = Result<transport::AttemptResponse, Error>> + Send + 'a>>;

/// How a request gets from this process into the back end.
pub trait BackendConnector: Send + Sync {
    /// `left` is what remains of the wait. Only a sealed, whole reply comes back as one.
    fn forward<'a>(
        &'a self,
        address: &'a str,
        dispatch: &'a transport::AttemptRequest,
        left: model::Microseconds,
    ) -> ForwardFuture<'a>;
}

#[derive(Clone)]
pub struct InboundProxy {
    pub slot_owner: crate::SlotOwnerHandle,
    pub connector: Arc<dyn BackendConnector>,
    pub logger: slog::Logger,
}

/// A back end that overstays keeps its slot a little longer: it may still be at work.
const OVERRUN_GRACE: model::Microseconds = 1_000_000;

impl InboundProxy {
    pub async fn perform(
        &self,
        dispatch: transport::AttemptRequest,
    ) -> Result<transport::AttemptResponse, Error> {
        let permit = self.slot_owner.admit(dispatch.clone()).await?;
        let (reply, answered) = tokio::sync::oneshot::channel();
        let left = permit.deadline.saturating_sub(model::now());
        let (door, house) = (self.connector.clone(), self.slot_owner.clone());
        // On its own: the run goes on, and holds its slot, though the asker may be lost.
        tokio::spawn(async move {
            let patience = Duration::from_micros(left + OVERRUN_GRACE);
            let ran =
                tokio::time::timeout(patience, door.forward(&permit.address, &dispatch, left))
                    .await;
            let late = || {
                Err(Error::new(
                    ErrorKind::TimedOut,
                    "the back end did not answer in time",
                ))
            };
            let ran = ran.unwrap_or_else(|_| late());
            let unsent = matches!(&ran, Err(trouble) if trouble.execution_status == model::ExecutionStatus::NotRun);
            // A back end that broke off may still be at work: its slot and key stay taken until its wait is over.
            let lost = matches!(&ran, Err(trouble) if trouble.kind == ErrorKind::BackendLost);
            if lost {
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_micros(
                        permit.deadline.saturating_sub(model::now()),
                    ))
                    .await;
                    house.finish(permit, unsent).await;
                });
            } else {
                house.finish(permit, unsent).await;
            }
            // The asker may have stopped waiting.
            reply.send(ran).is_ok()
        });
        let late = Error::new(ErrorKind::TimedOut, "the back end did not answer in time");
        let lost = Error::new(ErrorKind::BackendLost, "the run was lost");
        match tokio::time::timeout(Duration::from_micros(left), answered).await {
            Ok(answer) => answer.unwrap_or(Err(lost)),
            Err(_) => Err(late),
        }
    }
}
