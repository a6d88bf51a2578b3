//! What must hold in every run, checked while it runs and at its end (design 9.3).

use std::collections::BTreeMap;

/// An entry that was handed to a seat.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    pub seat: u16,
    pub at: u64,
    /// The seat died with whoever waited there.
    pub caller_gone: bool,
    /// When a seat first applied it.
    pub applied: Option<u64>,
}

#[derive(Default)]
pub struct Findings {
    pub submitted: BTreeMap<Vec<u8>, Submission>,
    /// The longest an entry took until its own seat had applied it.
    pub slowest_entry_us: u64,
    /// The one value of each instance, by whoever applied it first.
    chosen: BTreeMap<u64, Vec<u8>>,
    /// What its own seat applied: an operator may have been told "accepted".
    answered: BTreeMap<u64, Vec<u8>>,
    reads_asked: BTreeMap<u64, Option<u64>>,
    pub reads_done: u64,
    pub violations: Vec<String>,
}

impl Findings {
    pub fn applied(&mut self, now: u64, seat: u16, at: u64, value: &[u8], seats: u16) {
        let since = self.submitted.get(value).copied();
        if let Some(submission) = self.submitted.get_mut(value) {
            submission.applied.get_or_insert(now);
        } else {
            self.violations
                .push(format!("seat {seat} applied at {at} what nobody proposed"));
        }
        let held = self.chosen.entry(at).or_insert_with(|| value.to_vec());
        if held != value {
            self.violations.push(format!(
                "instance {at} has two values, the second at seat {seat}"
            ));
        }
        if at % seats as u64 == seat as u64 {
            let waited = since
                .filter(|since| !since.caller_gone)
                .map_or(0, |since| now.saturating_sub(since.at));
            self.slowest_entry_us = self.slowest_entry_us.max(waited);
            self.answered.insert(at, value.to_vec());
        }
    }

    pub fn record_submitted(&mut self, value: Vec<u8>, seat: u16, at: u64) {
        self.submitted.insert(
            value,
            Submission {
                seat,
                at,
                caller_gone: false,
                applied: None,
            },
        );
    }

    /// Whoever waited at a seat that died waits no longer.
    pub fn caller_lost(&mut self, seat: u16) {
        self.submitted
            .values_mut()
            .filter(|held| held.seat == seat)
            .for_each(|held| held.caller_gone = true);
    }

    /// Whether the caller of an entry still waits for its answer.
    pub fn caller_waits(&self, value: &[u8], now: u64, patience: u64) -> bool {
        let waits = |held: &Submission| {
            patience == u64::MAX || !held.caller_gone && now <= held.at.saturating_add(patience)
        };
        self.submitted.get(value).is_some_and(waits)
    }

    /// Entries that first took effect so long after they were submitted.
    pub fn late_entries(&self, after: u64) -> Vec<&[u8]> {
        let late = |held: &Submission| {
            held.applied
                .is_some_and(|applied| applied > held.at + after)
        };
        self.submitted
            .iter()
            .filter(|(_, held)| late(held))
            .map(|(value, _)| value.as_slice())
            .collect()
    }

    /// A read must see at least what any seat had applied when it was asked: that may have been told (design 11.6).
    pub fn read_asked(&mut self, token: u64) {
        self.reads_asked
            .insert(token, self.chosen.last_key_value().map(|(at, _)| *at));
    }

    pub fn read_done(&mut self, token: u64, applied: u64) {
        self.reads_done += 1;
        if let Some(Some(told)) = self.reads_asked.remove(&token)
            && applied <= told
        {
            self.violations.push(format!(
                "read {token} was proved at {applied} though {told} had been applied before it"
            ));
        }
    }

    pub fn answered(&self) -> usize {
        self.answered.len()
    }

    /// At the end, with all faults mended: all copies are equal and lack nothing that was answered.
    pub fn check_final_state(&mut self, nodes: &[super::world::SimulatedReplica]) {
        let longest = nodes
            .iter()
            .map(|node| &node.applied)
            .max_by_key(|history| history.len())
            .cloned()
            .unwrap_or_default();
        nodes.iter().zip(0..).for_each(|(node, seat): (&super::world::SimulatedReplica, usize)| {
            if node.applied != longest {
                let differs = node.applied.iter().zip(&longest).position(|(a, b)| a != b);
                self.violations.push(format!(
                    "seat {seat} ends with {} entries, the longest copy has {}, first difference {differs:?}",
                    node.applied.len(),
                    longest.len()
                ));
            }
        });
        let held: BTreeMap<u64, Vec<u8>> = longest.into_iter().collect();
        let lost: Vec<u64> = self
            .answered
            .iter()
            .filter(|(at, value)| held.get(at) != Some(value))
            .map(|(at, _)| *at)
            .collect();
        if !lost.is_empty() {
            self.violations
                .push(format!("answered entries vanished: {lost:?}"));
        }
        (0..nodes.len())
            .map(|seat| format!("last {seat}").into_bytes())
            .for_each(|last| {
                if !held.values().any(|value| *value == last) {
                    self.violations.push(format!(
                        "{:?} was never applied though all faults were mended",
                        String::from_utf8_lossy(&last)
                    ));
                }
            });
    }
}
