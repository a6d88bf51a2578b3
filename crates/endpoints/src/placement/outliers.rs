//! Selects the unhealthy backends that are ejected: those that were reported as unhealthy for some time, unless too
//! many are unhealthy at the same time, which points to a common cause (design section 13.8). Performs no I/O.
//!
//! `inbound::OutlierDetector` judges one backend by the results of its runs; this policy uses the reports of all
//! backends.

use std::collections::BTreeMap;

use model::{BackendName, Microseconds};

use super::load::LoadReports;

/// Delay before an unhealthy backend is ejected, in microseconds; other backends that are unhealthy for the same reason
/// are reported within this time.
const CONFIRMATION_DELAY: Microseconds = 300_000;
/// At most one in this number of backends may be ejected.
const MAX_EJECTED_DIVISOR: usize = 3;
/// Time for which a common cause is assumed after many backends were unhealthy, in microseconds.
const COMMON_CAUSE_DURATION: Microseconds = 5_000_000;

/// Decides which unhealthy backends are ejected, from the time since which each is unhealthy.
#[derive(Default)]
pub(super) struct EjectionPolicy {
    unhealthy_since: BTreeMap<BackendName, Microseconds>,
    /// Time until which a common cause is assumed because many backends were unhealthy at the same time.
    common_cause_until: Microseconds,
}

impl EjectionPolicy {
    /// Returns the backends to eject now; `backend_count` is the number of all backends.
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
