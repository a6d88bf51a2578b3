//! Calls under way, so that a stop takes no new ones and waits for the rest (design 8.3).

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

const DRAINING: usize = 1 << (usize::BITS - 1);

/// One word holds both the count and whether new calls are refused, so no call slips between.
#[derive(Clone, Default)]
pub struct InFlightRequests(Arc<AtomicUsize>, Arc<tokio::sync::Notify>);

pub struct InFlightGuard(InFlightRequests);

impl InFlightRequests {
    pub fn begin(&self) -> Option<InFlightGuard> {
        let before = self.0.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        let under_way = InFlightGuard(self.clone());
        (before & DRAINING == 0).then_some(under_way)
    }

    pub fn drain(&self) {
        self.0
            .fetch_or(DRAINING, std::sync::atomic::Ordering::AcqRel);
    }

    /// Returns once nothing is under way; call it after `leave`.
    pub async fn drained(&self) {
        loop {
            let ended = self.1.notified();
            if self.count() == 0 {
                return;
            }
            ended.await;
        }
    }

    pub fn count(&self) -> usize {
        self.0.load(std::sync::atomic::Ordering::Acquire) & !DRAINING
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
        self.0.1.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn after_leaving_nothing_begins_and_what_began_is_counted() {
        let calls = super::InFlightRequests::default();
        let first = calls.begin();
        calls.drain();
        assert!(first.is_some() && calls.begin().is_none());
        assert_eq!(calls.count(), 1);
        drop(first);
        assert_eq!(calls.count(), 0);
    }
}
