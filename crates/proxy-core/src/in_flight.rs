//! Requests in flight: a graceful shutdown refuses new ones and waits for the rest (design 8.3).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// The highest bit of the count: set once draining has begun.
const DRAINING: usize = 1 << (usize::BITS - 1);

/// Counts the requests that are in flight in this process.
///
/// One word holds both the count and whether new requests are refused, so none slips in between a
/// look at the one and a look at the other. Clones share the count.
#[derive(Clone, Default)]
pub struct InFlightRequests {
    count_and_draining: Arc<AtomicUsize>,
    ended: Arc<Notify>,
}

/// One request in flight; dropping it ends the request.
pub struct InFlightGuard {
    requests: InFlightRequests,
}

impl InFlightRequests {
    /// Counts one more request, or returns `None` once draining has begun.
    pub fn begin(&self) -> Option<InFlightGuard> {
        let before = self.count_and_draining.fetch_add(1, Ordering::AcqRel);
        let guard = InFlightGuard {
            requests: self.clone(),
        };
        (before & DRAINING == 0).then_some(guard)
    }

    /// Refuses every request from now on; those in flight go on.
    pub fn drain(&self) {
        self.count_and_draining.fetch_or(DRAINING, Ordering::AcqRel);
    }

    /// Returns once nothing is in flight. Call it after [`drain`](Self::drain), else a new request
    /// may begin at once.
    pub async fn drained(&self) {
        loop {
            let ended = self.ended.notified();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// How many requests are in flight.
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
