//! What is judged at each step of a run, and at its end.

use model::{Microseconds, Position};

use super::harness::StateHarness;

/// A change is in force at calm nodes so long after it was applied anywhere.
const IN_FORCE_WITHIN: Microseconds = 2_000_000;
/// And so much longer while the core is not calm.
const STRETCHED_BY: Microseconds = 5_000_000;
/// A node, and the core, are calm so long after something happened to them.
const CALM_AFTER: Microseconds = 3_000_000;

/// When something last happened that excuses a late change.
#[derive(Default)]
pub(super) struct Disturbances {
    /// Times at which a replica was touched.
    pub core: Vec<Microseconds>,
    /// Times at which a node was touched, by node; a fault that lasts is there to its end.
    pub nodes: Vec<Vec<Disturbance>>,
    /// When less than a majority last ran and was connected.
    pub no_majority_at: Option<Microseconds>,
}

/// A time in which a node is not judged.
pub(super) struct Disturbance {
    pub from: Microseconds,
    pub until: Microseconds,
}

impl Disturbances {
    fn core_is_calm(&self, now: Microseconds) -> bool {
        let mut times = self.core.iter();
        !times.any(|at| *at <= now && now < at + CALM_AFTER)
    }

    fn node_is_calm(&self, node: usize, now: Microseconds) -> bool {
        let mut disturbances = self.nodes[node].iter();
        !disturbances.any(|one| one.from <= now && now < one.until + CALM_AFTER)
    }

    /// How late a change may be at a node; `None` where it is not judged.
    fn allowed_lateness(&self, node: usize, now: Microseconds) -> Option<Microseconds> {
        let judged_after = self.no_majority_at.unwrap_or(0) + IN_FORCE_WITHIN + STRETCHED_BY;
        if now < judged_after || !self.node_is_calm(node, now) {
            return None;
        }
        let stretch = if self.core_is_calm(now) {
            0
        } else {
            STRETCHED_BY
        };
        Some(IN_FORCE_WITHIN + stretch)
    }
}

impl StateHarness {
    /// What a node serves never goes back, stood there, and is new enough.
    pub(super) fn check_served_state(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(served) = node.served_state(&self.plan.disabled) else {
            return;
        };
        self.checked += 1;
        let highest_served = node.highest_served;
        node.highest_served = highest_served.max(served.position);
        if served.position < highest_served {
            self.violations.push(format!(
                "back: node {at} serves {} at {}, it had {highest_served}",
                served.position, self.world.now
            ));
        }
        let stood_there = self.state_history.get(&served.position);
        if served.position > highest_served
            && stood_there.is_none_or(|stood| stood.snapshot != *served)
        {
            self.violations.push(format!(
                "other: what node {at} serves at {} never stood there",
                served.position
            ));
        }
        self.check_in_force(at, served.position);
    }

    fn check_in_force(&mut self, at: usize, served: Position) {
        let now = self.world.now;
        let Some(allowed) = self.disturbances.allowed_lateness(at, now) else {
            return;
        };
        let next = self.state_history.range(served + 1..).next();
        let Some((position, missing)) = next else {
            return;
        };
        let lateness = now - missing.applied_at;
        self.longest_lateness = self.longest_lateness.max(lateness);
        if lateness > allowed {
            self.violations.push(format!(
                "late: node {at} serves {served} at {now}, {position} was applied {lateness} µs before"
            ));
        }
    }

    /// Once all is mended every node is proved on the newest state.
    pub(super) fn check_final_state(&mut self) {
        let newest = self.state_history.last_key_value();
        let newest = newest.map_or(0, |(position, _)| *position);
        for (at, node) in self.nodes.iter().enumerate() {
            let verified = node.follower.verified();
            let position = verified.map(|verified| verified.snapshot.position);
            if position != Some(newest) {
                self.violations.push(format!(
                    "behind: node {at} ends at {position:?} of {newest}"
                ));
            }
        }
    }

    /// How often a node that had restarted received less than it had held before.
    pub fn older_received(&self) -> usize {
        self.nodes.iter().map(|node| node.older_received).sum()
    }
}
