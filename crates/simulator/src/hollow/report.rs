//! What a hollow site cost, stage by stage, as JSON and as a table.

use super::meter::{Reading, Used};
use super::witness::Tally;
use std::collections::BTreeMap;

#[derive(Debug, serde::Serialize)]
pub struct Stage {
    pub name: &'static str,
    pub seconds: f64,
    pub tally: Tally,
    /// Instances of the log, no-ops among them, and syncs of all seats.
    pub instances: u64,
    pub syncs: u64,
    pub memory: u64,
    pub descriptors: u64,
    pub used: BTreeMap<&'static str, Used>,
    /// What frames were for, to frames and bytes.
    pub said: BTreeMap<&'static str, (u64, u64)>,
    pub extra: BTreeMap<&'static str, f64>,
}

#[derive(Debug, serde::Serialize)]
pub struct Report {
    pub plan: super::Plan,
    pub stages: Vec<Stage>,
}

pub(super) struct Begun {
    name: &'static str,
    reading: Reading,
    tally: Tally,
}

impl Begun {
    pub(super) fn new(name: &'static str, reading: Reading, tally: Tally) -> Begun {
        Begun {
            name,
            reading,
            tally,
        }
    }

    pub(super) fn ended(
        self,
        after: Reading,
        tally: Tally,
        extra: BTreeMap<&'static str, f64>,
    ) -> Stage {
        let before = &self.reading;
        Stage {
            name: self.name,
            seconds: (after.at - before.at) as f64 / 1e6,
            tally: Tally {
                entries: tally.entries - self.tally.entries,
                placements: tally.placements - self.tally.placements,
                keys_moved: tally.keys_moved - self.tally.keys_moved,
                rows_moved: tally.rows_moved - self.tally.rows_moved,
                ..tally
            },
            instances: after.applied.saturating_sub(before.applied),
            syncs: after.syncs - before.syncs,
            memory: after.memory,
            descriptors: after.descriptors,
            used: super::meter::used(before, &after),
            said: super::meter::said(before, &after),
            extra,
        }
    }
}

impl Report {
    pub fn stage(&self, name: &str) -> Option<&Stage> {
        self.stages.iter().find(|stage| stage.name == name)
    }

    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    pub fn table(&self) -> String {
        self.stages
            .iter()
            .map(Stage::table)
            .collect::<Vec<_>>()
            .join("\n")
    }
}

impl Stage {
    pub fn frames(&self, kind: &str) -> u64 {
        self.said.get(kind).map(|(frames, _)| *frames).unwrap_or(0)
    }

    fn table(&self) -> String {
        let head = format!(
            "{}: {:.1} s, {} entries, {} placements, {} rows and {} keys moved, {} instances, {} syncs, {} MB, {} descriptors",
            self.name,
            self.seconds,
            self.tally.entries,
            self.tally.placements,
            self.tally.rows_moved,
            self.tally.keys_moved,
            self.instances,
            self.syncs,
            self.memory >> 20,
            self.descriptors
        );
        let used = self.used.iter().map(|(role, used)| {
            format!(
                "  {role:<10} {:>5} threads {:>11} us of processor, middle {:>8.3}, most {:>8.3} thousandths of a core",
                used.threads, used.sum_us, used.middle_of_1000, used.most_of_1000
            )
        });
        let said = self.said.iter().map(|(kind, (frames, bytes))| {
            format!(
                "  {kind:<10} {frames:>8} frames {bytes:>11} bytes, {:>9.1} and {:>11.1} a second",
                *frames as f64 / self.seconds,
                *bytes as f64 / self.seconds
            )
        });
        let extra = self
            .extra
            .iter()
            .map(|(name, value)| format!("  {name:<20} {value}"));
        std::iter::once(head)
            .chain(used)
            .chain(said)
            .chain(extra)
            .collect::<Vec<_>>()
            .join("\n")
    }
}
