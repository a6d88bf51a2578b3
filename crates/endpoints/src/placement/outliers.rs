//! Back ends that are unhealthy for a cause of their own: reported so for a while, and not many of them at a time
//! (design section 13.8). Without input or output.
//!
//! `inbound::OutlierDetector` judges one back end by its own runs and says that it is unhealthy; this policy sees
//! what all of them were reported to be.

use std::collections::BTreeMap;

use model::{BackendName, Microseconds};

use super::load::LoadReports;

/// Others that become unhealthy by the same cause are reported within so long, in microseconds.
const CONFIRMATION_DELAY: Microseconds = 300_000;
/// At most one in so many back ends may be ejected.
const MAX_EJECTED_DIVISOR: usize = 3;
/// How long a common cause is taken to go on after many were unhealthy, in microseconds.
const COMMON_CAUSE_DURATION: Microseconds = 5_000_000;

/// Decides which unhealthy back ends are ejected; remembers since when they are unhealthy.
#[derive(Default)]
pub(super) struct EjectionPolicy {
    unhealthy_since: BTreeMap<BackendName, Microseconds>,
    /// Many were unhealthy at one time, so the cause is one that they share; until then.
    common_cause_until: Microseconds,
}

impl EjectionPolicy {
    /// The back ends, of `backend_count`, that are to be given little work now.
    pub(super) fn ejected(
        &mut self,
        now: Microseconds,
        load_reports: &LoadReports,
        backend_count: usize,
    ) -> Vec<BackendName> {
        self.unhealthy_since
            .retain(|name, _| load_reports.is_unhealthy(name));
        for name in load_reports.unhealthy() {
            self.unhealthy_since.entry(name.clone()).or_insert(now);
        }
        if self.unhealthy_since.len() * MAX_EJECTED_DIVISOR > backend_count {
            self.common_cause_until = now + COMMON_CAUSE_DURATION;
        }
        if now < self.common_cause_until {
            return Vec::new();
        }
        self.unhealthy_since
            .iter()
            .filter(|(_, since)| now >= **since + CONFIRMATION_DELAY)
            .map(|(name, _)| name.clone())
            .collect()
    }
}
