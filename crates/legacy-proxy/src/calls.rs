//! Calls under way, so that a stop takes no new ones and waits for the rest (design 8.3).

const LEAVING: usize = 1 << (usize::BITS - 1);

/// One word holds both the count and whether new calls are refused, so no call slips between.
#[derive(Clone, Default)]
pub struct Calls(std::sync::Arc<std::sync::atomic::AtomicUsize>, std::sync::Arc<tokio::sync::Notify>);

pub struct UnderWay(Calls);

impl Calls {
    pub fn begin(&self) -> Option<UnderWay> {
        let before = self.0.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        let under_way = UnderWay(self.clone());
        (before & LEAVING == 0).then_some(under_way)
    }

    pub fn leave(&self) {
        self.0.fetch_or(LEAVING, std::sync::atomic::Ordering::AcqRel);
    }

    /// Returns once nothing is under way; call it after `leave`.
    pub async fn ended(&self) {
        loop {
            let told = self.1.notified();
            if self.under_way() == 0 {
                return;
            }
            told.await;
        }
    }

    pub fn under_way(&self) -> usize {
        self.0.load(std::sync::atomic::Ordering::Acquire) & !LEAVING
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
        self.0.1.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn after_leaving_nothing_begins_and_what_began_is_counted() {
        let calls = super::Calls::default();
        let first = calls.begin();
        calls.leave();
        assert!(first.is_some() && calls.begin().is_none());
        assert_eq!(calls.under_way(), 1);
        drop(first);
        assert_eq!(calls.under_way(), 0);
    }
}
