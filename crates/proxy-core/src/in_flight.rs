//! Tracking of in-flight requests for a graceful shutdown, which refuses new requests and waits for
//! the running ones (design 8.3).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{Notify, watch};

use crate::{ShutdownSignal, ShutdownStage};

/// Flag in the highest bit of the counter word, set once draining has begun.
const DRAINING: usize = 1 << (usize::BITS - 1);

/// Counts the requests that are in flight in this process.
///
/// One atomic word holds both the count and the draining flag, so no request can begin between a
/// check of the flag and the update of the count. Clones share the count.
#[derive(Clone, Default)]
pub struct InFlightRequests {
    count_and_draining: Arc<AtomicUsize>,
    ended: Arc<Notify>,
    stage: Arc<watch::Sender<ShutdownStage>>,
}

/// Guard of one in-flight request; dropping it removes the request from the count.
pub struct InFlightGuard {
    requests: InFlightRequests,
}

impl InFlightRequests {
    /// Counts a new request, or returns `None` once draining has begun.
    pub fn begin(&self) -> Option<InFlightGuard> {
        let previous = self.count_and_draining.fetch_add(1, Ordering::AcqRel);
        let guard = InFlightGuard {
            requests: self.clone(),
        };
        (previous & DRAINING == 0).then_some(guard)
    }

    /// Refuses all further requests; requests that are in flight continue.
    pub fn drain(&self) {
        self.count_and_draining.fetch_or(DRAINING, Ordering::AcqRel);
    }

    /// Tells all requests in flight that the shutdown has reached a stage.
    pub fn enter(&self, stage: ShutdownStage) {
        self.stage.send_replace(stage);
    }

    /// Returns the signal that tells a request which stage the shutdown has reached.
    pub fn shutdown_signal(&self) -> ShutdownSignal {
        ShutdownSignal::new(self.stage.subscribe())
    }

    /// Waits until no request is in flight. Call [`drain`](Self::drain) first; otherwise a new
    /// request may begin immediately afterwards.
    pub async fn drained(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.count_and_draining.load(Ordering::Acquire) & !DRAINING
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.requests
            .count_and_draining
            .fetch_sub(1, Ordering::AcqRel);
        self.requests.ended.notify_waiters();
    }
}
