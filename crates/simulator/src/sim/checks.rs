//! Checks the invariants of the log during a run and at its end (design 9.3).

use std::collections::BTreeMap;

/// A submitted entry.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    pub replica_id: u16,
    /// Time at which the entry was submitted, in microseconds.
    pub submitted_at: u64,
    /// Whether the caller stopped waiting because the replica crashed.
    pub caller_lost: bool,
    /// Time at which a replica first applied the entry, in microseconds.
    pub applied_at: Option<u64>,
}

/// The recorded submissions, reads and applied entries of a run, and the violations found.
#[derive(Default)]
pub struct Findings {
    pub submitted: BTreeMap<Vec<u8>, Submission>,
    /// The longest time until an entry was applied by the replica that proposed it, in microseconds.
    pub slowest_entry_us: u64,
    /// The value of each instance, as the first replica applied it.
    chosen: BTreeMap<u64, Vec<u8>>,
    /// The entries that were applied by the replicas that proposed them. An operator may have received "accepted" for them.
    answered: BTreeMap<u64, Vec<u8>>,
    reads_requested: BTreeMap<u64, Option<u64>>,
    pub reads_proved: u64,
    pub violations: Vec<String>,
}

impl Findings {
    /// Records an entry that a replica applied, and checks it against the submitted and the chosen entries.
    pub fn record_applied(
        &mut self,
        now: u64,
        replica_id: u16,
        instance: u64,
        value: &[u8],
        replica_count: u16,
    ) {
        let submitted = self.submitted.get(value).copied();
        if let Some(submission) = self.submitted.get_mut(value) {
            submission.applied_at.get_or_insert(now);
        } else {
            self.violations.push(format!(
                "replica {replica_id} applied an entry at {instance} that was never submitted"
            ));
        }
        let chosen = self
            .chosen
            .entry(instance)
            .or_insert_with(|| value.to_vec());
        if chosen != value {
            self.violations.push(format!(
                "instance {instance} has two values, the second at replica {replica_id}"
            ));
        }
        if instance % replica_count as u64 == replica_id as u64 {
            let waiting_time = submitted
                .filter(|submission| !submission.caller_lost)
                .map_or(0, |submission| now.saturating_sub(submission.submitted_at));
            self.slowest_entry_us = self.slowest_entry_us.max(waiting_time);
            self.answered.insert(instance, value.to_vec());
        }
    }

    pub fn record_submission(&mut self, value: Vec<u8>, replica_id: u16, submitted_at: u64) {
        self.submitted.insert(
            value,
            Submission {
                replica_id,
                submitted_at,
                caller_lost: false,
                applied_at: None,
            },
        );
    }

    /// Records that callers no longer wait for the entries that they submitted at a crashed replica.
    pub fn mark_callers_lost(&mut self, replica_id: u16) {
        self.submitted
            .values_mut()
            .filter(|submission| submission.replica_id == replica_id)
            .for_each(|submission| submission.caller_lost = true);
    }

    /// Returns whether the caller of an entry still waits for its answer.
    pub fn is_caller_waiting(&self, value: &[u8], now: u64, timeout: u64) -> bool {
        let waits = |submission: &Submission| {
            timeout == u64::MAX
                || !submission.caller_lost && now <= submission.submitted_at.saturating_add(timeout)
        };
        self.submitted.get(value).is_some_and(waits)
    }

    /// Returns the entries that were first applied more than `after` microseconds after their submission.
    pub fn late_entries(&self, after: u64) -> Vec<&[u8]> {
        let is_late = |submission: &Submission| {
            submission
                .applied_at
                .is_some_and(|applied_at| applied_at > submission.submitted_at + after)
        };
        self.submitted
            .iter()
            .filter(|(_, submission)| is_late(submission))
            .map(|(value, _)| value.as_slice())
            .collect()
    }

    /// Records a read. It must see at least the entries that any replica had applied when the read was requested, because
    /// these entries may have been answered already (design 11.6).
    pub fn record_read_request(&mut self, token: u64) {
        self.reads_requested.insert(
            token,
            self.chosen.last_key_value().map(|(instance, _)| *instance),
        );
    }

    /// Checks that a proved read sees all entries that had been applied when the read was requested.
    pub fn record_read_proof(&mut self, token: u64, applied: u64) {
        self.reads_proved += 1;
        if let Some(Some(required)) = self.reads_requested.remove(&token)
            && applied <= required
        {
            self.violations.push(format!(
                "read {token} was proved at {applied} though {required} had been applied before it"
            ));
        }
    }

    /// Returns the number of entries that were applied by the replicas that proposed them.
    pub fn answered(&self) -> usize {
        self.answered.len()
    }

    /// Checks, after all faults were healed, that all replicas applied the same entries and that no answered entry is
    /// missing.
    pub fn check_final_state(&mut self, replicas: &[super::world::SimulatedReplica]) {
        let longest = replicas
            .iter()
            .map(|replica| &replica.applied)
            .max_by_key(|history| history.len())
            .cloned()
            .unwrap_or_default();
        replicas.iter().zip(0..).for_each(|(replica, replica_id): (&super::world::SimulatedReplica, usize)| {
            if replica.applied != longest {
                let differs = replica.applied.iter().zip(&longest).position(|(a, b)| a != b);
                self.violations.push(format!(
                    "replica {replica_id} ends with {} entries, the longest log has {}, first difference {differs:?}",
                    replica.applied.len(),
                    longest.len()
                ));
            }
        });
        let applied: BTreeMap<u64, Vec<u8>> = longest.into_iter().collect();
        let lost: Vec<u64> = self
            .answered
            .iter()
            .filter(|(instance, value)| applied.get(instance) != Some(value))
            .map(|(instance, _)| *instance)
            .collect();
        if !lost.is_empty() {
            self.violations
                .push(format!("answered entries were lost: {lost:?}"));
        }
        (0..replicas.len())
            .map(|replica_id| format!("last {replica_id}").into_bytes())
            .for_each(|last| {
                if !applied.values().any(|value| *value == last) {
                    self.violations.push(format!(
                        "{:?} was never applied though all faults were healed",
                        String::from_utf8_lossy(&last)
                    ));
                }
            });
    }
}
