//! Costs of a run by stage, as JSON and as a table.

use super::meter::{CpuUse, UsageReading};
use super::witness::LogCounts;
use std::collections::BTreeMap;

/// Results of one stage.
#[derive(Debug, serde::Serialize)]
pub struct Stage {
    pub name: &'static str,
    pub seconds: f64,
    #[serde(rename = "tally")]
    pub log_counts: LogCounts,
    /// Log instances in the stage, no-ops included.
    pub instances: u64,
    /// Disk syncs of all replicas in the stage.
    pub syncs: u64,
    /// Resident memory at the end of the stage, in bytes.
    pub memory: u64,
    /// Open file descriptors at the end of the stage.
    pub descriptors: u64,
    /// Processor use by thread role.
    #[serde(rename = "used")]
    pub cpu: BTreeMap<&'static str, CpuUse>,
    /// Frames and bytes sent, by frame kind.
    #[serde(rename = "said")]
    pub traffic: BTreeMap<&'static str, (u64, u64)>,
    /// Measurements that only this kind of stage has.
    pub extra: BTreeMap<&'static str, f64>,
}

/// Results of a run.
#[derive(Debug, serde::Serialize)]
pub struct Report {
    pub plan: super::Plan,
    pub stages: Vec<Stage>,
}

/// Readings at the start of a stage.
pub(super) struct StageStart {
    name: &'static str,
    reading: UsageReading,
    log_counts: LogCounts,
}

impl StageStart {
    pub(super) fn new(
        name: &'static str,
        reading: UsageReading,
        log_counts: LogCounts,
    ) -> StageStart {
        StageStart {
            name,
            reading,
            log_counts,
        }
    }

    /// Returns the stage's results as the difference to the readings at its end.
    pub(super) fn finish(
        self,
        after: UsageReading,
        log_counts: LogCounts,
        extra: BTreeMap<&'static str, f64>,
    ) -> Stage {
        let before = &self.reading;
        Stage {
            name: self.name,
            seconds: (after.read_at - before.read_at) as f64 / 1e6,
            log_counts: LogCounts {
                entries: log_counts.entries - self.log_counts.entries,
                placements: log_counts.placements - self.log_counts.placements,
                keys_moved: log_counts.keys_moved - self.log_counts.keys_moved,
                rows_moved: log_counts.rows_moved - self.log_counts.rows_moved,
                ..log_counts
            },
            instances: after.applied.saturating_sub(before.applied),
            syncs: after.syncs - before.syncs,
            memory: after.memory,
            descriptors: after.descriptors,
            cpu: super::meter::cpu(before, &after),
            traffic: super::meter::traffic(before, &after),
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
    /// Returns the number of frames of a kind.
    pub fn frames(&self, kind: &str) -> u64 {
        self.traffic
            .get(kind)
            .map(|(frames, _)| *frames)
            .unwrap_or(0)
    }

    fn table(&self) -> String {
        let summary = format!(
            "{}: {:.1} s, {} entries, {} placements, {} rows and {} keys moved, {} instances, {} syncs, {} MB, {} descriptors",
            self.name,
            self.seconds,
            self.log_counts.entries,
            self.log_counts.placements,
            self.log_counts.rows_moved,
            self.log_counts.keys_moved,
            self.instances,
            self.syncs,
            self.memory >> 20,
            self.descriptors
        );
        let cpu = self.cpu.iter().map(|(role, cpu)| {
            format!(
                "  {role:<10} {:>5} threads {:>11} us of processor, middle {:>8.3}, most {:>8.3} thousandths of a core",
                cpu.threads, cpu.sum_us, cpu.median_millicores, cpu.max_millicores
            )
        });
        let traffic = self.traffic.iter().map(|(kind, (frames, bytes))| {
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
        std::iter::once(summary)
            .chain(cpu)
            .chain(traffic)
            .chain(extra)
            .collect::<Vec<_>>()
            .join("\n")
    }
}
