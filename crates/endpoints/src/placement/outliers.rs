//! Whose illness is its own: those told ill for a while, where it was not many at a time (design 13.8). Pure.

use model::{BackendName, Microseconds};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct OutlierDetector {
    since: BTreeMap<BackendName, Microseconds>,
    /// Many were ill at one time, so what they share is; until then.
    common_cause_until: Microseconds,
}

/// Others that fall ill for the same cause are told so within this.
const CONFIRMATION_DELAY: Microseconds = 300_000;
/// The part of all that may be ill.
const MAX_EJECTED_DIVISOR: usize = 3;
/// How long a common cause is taken to go on after many were ill.
const COMMON_CAUSE_DURATION: Microseconds = 5_000_000;

impl OutlierDetector {
    pub fn ejected(
        &mut self,
        now: Microseconds,
        told: &super::LoadReports,
        all: usize,
    ) -> Vec<BackendName> {
        let ill = |name: &BackendName| told.get(name).is_some_and(|(_, load)| load.unhealthy);
        self.since.retain(|name, _| ill(name));
        told.keys().filter(|name| ill(name)).for_each(|name| {
            self.since.entry(name.clone()).or_insert(now);
        });
        if self.since.len() * MAX_EJECTED_DIVISOR > all {
            self.common_cause_until = now + COMMON_CAUSE_DURATION;
        }
        let long = self.since.iter().filter(|(_, since)| {
            now >= self.common_cause_until && now >= **since + CONFIRMATION_DELAY
        });
        long.map(|(name, _)| name.clone()).collect()
    }
}
