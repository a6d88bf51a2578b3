//! The stages of a graceful shutdown, as the requests in flight see them.

use std::future;

use tokio::sync::watch;

/// A stage of the shutdown of a process; each stage follows the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Requests run as usual.
    #[default]
    Serving,
    /// Requests whose run has not begun are refused, so that their clients learn in time that they
    /// did not run; running requests are still answered.
    Withdrawing,
    /// The process is about to end: every request is answered at once.
    Aborting,
}

/// Tells the requests in flight which stage the shutdown has reached.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    stage: watch::Receiver<ShutdownStage>,
}

impl ShutdownSignal {
    pub(crate) fn new(stage: watch::Receiver<ShutdownStage>) -> ShutdownSignal {
        ShutdownSignal { stage }
    }

    /// Returns whether the shutdown has reached this stage.
    pub fn has_reached(&self, stage: ShutdownStage) -> bool {
        *self.stage.borrow() >= stage
    }

    /// Waits until the shutdown has reached this stage.
    pub async fn reached(&self, stage: ShutdownStage) {
        let mut current = self.stage.clone();
        if current.wait_for(|current| *current >= stage).await.is_err() {
            // Whoever could begin a shutdown is gone.
            future::pending::<()>().await;
        }
    }
}
