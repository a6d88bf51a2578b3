//! Beside the picked back end: last check, slot, pass on, answer (design 5.3).

use model::{Cause, Trouble};

pub type Running<'a> = std::pin::Pin<Box<dyn Future<Output = Result<transport::Reply, Trouble>> + Send + 'a>>;

/// How a request gets from this process into the back end.
pub trait BackDoor: Send + Sync {
    /// `left` is what remains of the wait. Only a sealed, whole reply comes back as one.
    fn run<'a>(&'a self, address: &'a str, dispatch: &'a transport::Dispatch, left: model::Micros) -> Running<'a>;
}

#[derive(Clone)]
pub struct Far {
    pub house: crate::HouseDesk,
    pub door: std::sync::Arc<dyn BackDoor>,
    pub logger: slog::Logger,
}

/// A back end that overstays keeps its slot a little longer: it may still be at work.
const OVERSTAY: model::Micros = 1_000_000;

impl Far {
    pub async fn perform(&self, dispatch: transport::Dispatch) -> Result<transport::Reply, Trouble> {
        let permit = self.house.enter(dispatch.clone()).await?;
        let (reply, answered) = tokio::sync::oneshot::channel();
        let left = permit.until.saturating_sub(model::now());
        let (door, house) = (self.door.clone(), self.house.clone());
        // On its own: the run goes on, and holds its slot, though the asker may be lost.
        tokio::spawn(async move {
            let patience = std::time::Duration::from_micros(left + OVERSTAY);
            let ran = tokio::time::timeout(patience, door.run(&permit.address, &dispatch, left)).await;
            let late = || Err(Trouble::new(Cause::RanOutOfTime, "the back end did not answer in time"));
            let ran = ran.unwrap_or_else(|_| late());
            let unsent = matches!(&ran, Err(trouble) if trouble.verdict == model::Verdict::NotRun);
            // A back end that broke off may still be at work: its slot and key stay taken until its wait is over.
            let lost = matches!(&ran, Err(trouble) if trouble.cause == Cause::BackEndLost);
            if lost {
                tokio::spawn(async move {
                    tokio::time::sleep(std::time::Duration::from_micros(permit.until.saturating_sub(model::now()))).await;
                    house.done(permit, unsent).await;
                });
            } else {
                house.done(permit, unsent).await;
            }
            // The asker may have stopped waiting.
            reply.send(ran).is_ok()
        });
        let late = Trouble::new(Cause::RanOutOfTime, "the back end did not answer in time");
        let lost = Trouble::new(Cause::BackEndLost, "the run was lost");
        match tokio::time::timeout(std::time::Duration::from_micros(left), answered).await {
            Ok(answer) => answer.unwrap_or(Err(lost)),
            Err(_) => Err(late),
        }
    }
}
