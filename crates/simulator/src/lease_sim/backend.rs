//! A simulated backend that fulfils the contract of the lease protocol. It sends heartbeats and holds a lease, by a clock
//! that may be slow, for its duration from the time when the heartbeat was sent. It releases the ranges that an answer
//! leaves out, and reports the release within 100 ms (design 11.5).

use model::cluster_state::ShardKey;
use model::{Microseconds, Position};

/// First key, last key and fencing token of a range.
pub(super) type LeasedRange = (ShardKey, ShardKey, Position);

/// A range that a backend holds.
#[derive(Clone, Debug)]
pub(super) struct HeldRange {
    pub range: LeasedRange,
    pub until: Microseconds,
    /// Number of the release, if an answer left the range out. Requests for the range may still be running.
    pub releasing: Option<u64>,
}

pub(super) struct SimulatedBackend {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) alive: bool,
    pub(super) frozen: bool,
    pub(super) deferred: Vec<super::harness::Event>,
    /// Whether the backend's heartbeats are lost although its process is running.
    pub(super) heartbeats_lost: bool,
    pub(super) draining: bool,
    /// Lag of the backend's clock over the duration of a lease, in thousandths of that duration.
    pub(super) clock_lag_per_mille: u64,
    pub(super) sequence: u64,
    pub(super) awaiting_answer_to: Option<u64>,
    pub(super) held: Vec<HeldRange>,
    pub(super) latest_tokens: Vec<LeasedRange>,
    pub(super) released: Vec<(ShardKey, ShardKey, String)>,
    /// Number of the releases in `released` that the latest heartbeat carried.
    pub(super) releases_sent: usize,
    pub(super) last_release: u64,
}

/// Returns the parts of a range that lie outside all of `others`.
fn subtract_ranges(range: LeasedRange, others: &[(ShardKey, ShardKey)]) -> Vec<LeasedRange> {
    others.iter().fold(vec![range], |ranges, (from, to)| {
        let remaining_ranges =
            ranges
                .into_iter()
                .flat_map(|(range_start, range_end, fencing_token)| {
                    let left_part = (range_start < *from).then(|| {
                        (
                            range_start,
                            range_end.min(from.saturating_sub(1)),
                            fencing_token,
                        )
                    });
                    let right_part = (range_end > *to).then(|| {
                        (
                            range_start.max(to.saturating_add(1)),
                            range_end,
                            fencing_token,
                        )
                    });
                    let disjoint = range_end < *from || range_start > *to;
                    if disjoint {
                        vec![(range_start, range_end, fencing_token)]
                    } else {
                        left_part.into_iter().chain(right_part).collect()
                    }
                });
        remaining_ranges.collect()
    })
}

impl SimulatedBackend {
    pub(super) fn new(node: usize, incarnation: u64, clock_lag_per_mille: u64) -> SimulatedBackend {
        SimulatedBackend {
            node,
            incarnation,
            alive: true,
            frozen: false,
            deferred: Vec::new(),
            heartbeats_lost: false,
            draining: false,
            clock_lag_per_mille,
            sequence: 0,
            awaiting_answer_to: None,
            held: Vec::new(),
            latest_tokens: Vec::new(),
            released: Vec::new(),
            releases_sent: 0,
            last_release: 0,
        }
    }

    /// Returns the name of this incarnation. Every incarnation has its own name.
    pub(super) fn name(&self) -> String {
        format!("backend-{}-{}", self.node, self.incarnation)
    }

    /// Returns the ranges with a valid lease, including those that are being released.
    pub(super) fn held(&self, now: Microseconds) -> Vec<LeasedRange> {
        self.held
            .iter()
            .filter(|held| held.until > now)
            .map(|held| held.range)
            .collect()
    }

    pub(super) fn heartbeat(&mut self, now: Microseconds) -> endpoints::Heartbeat {
        self.sequence += 1;
        self.awaiting_answer_to = Some(self.sequence);
        self.releases_sent = self.released.len();
        // An expired lease is not reported as released.
        self.held.retain(|held| held.until > now);
        endpoints::Heartbeat {
            name: self.name(),
            service: super::harness::SERVICE.into(),
            address: format!("backend-{}", self.node),
            zone: "z0".into(),
            slots: 4,
            draining: self.draining,
            sequence: self.sequence,
            held_ranges: self.held(now),
            released_ranges: self.released.clone(),
        }
    }

    /// Applies the ranges of an answer. Returns the numbers of the releases to finish, and the ranges whose fencing token
    /// is lower than one seen before.
    pub(super) fn apply_answer(
        &mut self,
        now: Microseconds,
        sent: Microseconds,
        ranges: Vec<LeasedRange>,
        lease_duration: Microseconds,
    ) -> (Vec<u64>, Vec<LeasedRange>) {
        let until = sent + lease_duration + lease_duration * self.clock_lag_per_mille / 1_000;
        let has_newer_token = |range: &LeasedRange| {
            self.latest_tokens
                .iter()
                .any(|latest| latest.0 <= range.1 && range.0 <= latest.1 && latest.2 > range.2)
        };
        let (regressed, ranges): (Vec<LeasedRange>, Vec<LeasedRange>) =
            ranges.into_iter().partition(has_newer_token);
        let granted: Vec<(ShardKey, ShardKey)> =
            ranges.iter().map(|(from, to, _)| (*from, *to)).collect();
        let held_before = std::mem::take(&mut self.held);
        let mut to_release = Vec::new();
        let last_release = &mut self.last_release;
        let remaining = held_before
            .into_iter()
            .filter(|held| held.until > now)
            .flat_map(|held| {
                let remaining_ranges =
                    subtract_ranges(held.range, &granted)
                        .into_iter()
                        .map(|range| {
                            *last_release += 1;
                            let current_release = held.releasing.filter(|_| range == held.range);
                            let release_number = current_release.unwrap_or(*last_release);
                            if current_release.is_none() {
                                to_release.push(release_number);
                            }
                            HeldRange {
                                range,
                                until: held.until,
                                releasing: Some(release_number),
                            }
                        });
                remaining_ranges.collect::<Vec<_>>()
            });
        self.held = remaining.collect();
        self.held.extend(ranges.iter().map(|range| HeldRange {
            range: *range,
            until,
            releasing: None,
        }));
        self.latest_tokens = self
            .latest_tokens
            .iter()
            .flat_map(|latest| subtract_ranges(*latest, &granted))
            .chain(ranges)
            .collect();
        (to_release, regressed)
    }

    /// Finishes a release after the requests for its range have ended. Returns whether the lease was still valid.
    pub(super) fn finish_release(
        &mut self,
        now: Microseconds,
        release_number: u64,
        token: String,
    ) -> bool {
        let Some(index) = self
            .held
            .iter()
            .position(|held| held.releasing == Some(release_number))
        else {
            return false;
        };
        let held = self.held.remove(index);
        let still_valid = held.until > now;
        if still_valid {
            self.released.push((held.range.0, held.range.1, token));
        }
        still_valid
    }
}
