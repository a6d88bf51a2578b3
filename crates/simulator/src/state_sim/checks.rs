//! Checks the states that nodes serve, at each step of a run and at its end.

use model::{Microseconds, Position};

use super::harness::StateHarness;

/// Time within which a change is in force at every undisturbed node after a replica first applied it, in
/// microseconds.
const IN_FORCE_WITHIN: Microseconds = 2_000_000;
/// Additional time that a change may take while the replicas are disturbed, in microseconds.
const DISTURBED_CORE_ALLOWANCE: Microseconds = 5_000_000;
/// Time after a fault for which a node, or the core, still counts as disturbed, in microseconds.
const RECOVERY_TIME: Microseconds = 3_000_000;

/// The faults during which a change may take effect late.
#[derive(Default)]
pub(super) struct Disturbances {
    /// Times of the faults at replicas.
    pub core: Vec<Microseconds>,
    /// The faults at each node, with their duration.
    pub nodes: Vec<Vec<Disturbance>>,
    /// The last time at which no majority of the replicas was running and connected.
    pub no_majority_at: Option<Microseconds>,
}

/// A span of time in which a node is not checked for late changes.
pub(super) struct Disturbance {
    pub from: Microseconds,
    pub until: Microseconds,
}

impl Disturbances {
    fn core_is_undisturbed(&self, now: Microseconds) -> bool {
        let mut times = self.core.iter();
        !times.any(|time| *time <= now && now < time + RECOVERY_TIME)
    }

    fn node_is_undisturbed(&self, node: usize, now: Microseconds) -> bool {
        let mut disturbances = self.nodes[node].iter();
        !disturbances
            .any(|disturbance| disturbance.from <= now && now < disturbance.until + RECOVERY_TIME)
    }

    /// Returns the allowed delay of a change at a node, or `None` if the node is not checked.
    fn allowed_lateness(&self, node: usize, now: Microseconds) -> Option<Microseconds> {
        let checked_from =
            self.no_majority_at.unwrap_or(0) + IN_FORCE_WITHIN + DISTURBED_CORE_ALLOWANCE;
        if now < checked_from || !self.node_is_undisturbed(node, now) {
            return None;
        }
        let allowance = if self.core_is_undisturbed(now) {
            0
        } else {
            DISTURBED_CORE_ALLOWANCE
        };
        Some(IN_FORCE_WITHIN + allowance)
    }
}

impl StateHarness {
    /// Checks that the state from which a node serves is never older than an earlier one, is a state of the log, and is
    /// recent enough.
    pub(super) fn check_served_state(&mut self, node_index: usize) {
        let node = &mut self.nodes[node_index];
        let Some(served) = node.served_state(&self.plan.disabled) else {
            return;
        };
        self.states_checked += 1;
        let highest_served = node.highest_served;
        node.highest_served = highest_served.max(served.position);
        if served.position < highest_served {
            self.violations.push(format!(
                "back: node {node_index} serves {} at {}, it had served {highest_served}",
                served.position, self.world.now
            ));
        }
        let recorded = self.state_history.get(&served.position);
        if served.position > highest_served
            && recorded.is_none_or(|recorded| recorded.snapshot != *served)
        {
            self.violations.push(format!(
                "other: what node {node_index} serves at {} is not the state at that position",
                served.position
            ));
        }
        self.check_in_force(node_index, served.position);
    }

    fn check_in_force(&mut self, node_index: usize, served: Position) {
        let now = self.world.now;
        let Some(allowed) = self.disturbances.allowed_lateness(node_index, now) else {
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
                "late: node {node_index} serves {served} at {now}, {position} was applied {lateness} µs before"
            ));
        }
    }

    /// Checks that every node holds a freshness proof for the newest state once all faults are over.
    pub(super) fn check_final_state(&mut self) {
        let newest = self.state_history.last_key_value();
        let newest = newest.map_or(0, |(position, _)| *position);
        for (node_index, node) in self.nodes.iter().enumerate() {
            let verified = node.follower.verified();
            let position = verified.map(|verified| verified.snapshot.position);
            if position != Some(newest) {
                self.violations.push(format!(
                    "behind: node {node_index} ends at {position:?} of {newest}"
                ));
            }
        }
    }

    /// Returns the number of updates by which a restarted node received an older state than it had held before.
    pub fn older_updates_received(&self) -> usize {
        self.nodes
            .iter()
            .map(|node| node.older_updates_received)
            .sum()
    }
}
