//! What a hollow site has used so far, by role: every node, every core seat and every disk has a thread of its
//! own, and the kernel says how long each ran.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub(super) struct Reading {
    pub at: model::Microseconds,
    /// Thread to nanoseconds on a processor.
    pub ran: BTreeMap<(&'static str, u32), u64>,
    pub memory: u64,
    pub descriptors: u64,
    /// Frames and bytes, in the order of `transport::traffic::KINDS`.
    pub said: [(u64, u64); transport::traffic::KINDS.len()],
    pub syncs: u64,
    /// Instances applied at the first seat, and where its bill stands.
    pub applied: u64,
}

pub(super) const ROLES: [&str; 5] = ["node", "core", "vault", "links", "acting"];

fn role(thread: &str) -> &'static str {
    ROLES
        .into_iter()
        .find(|role| thread.starts_with(role))
        .unwrap_or("acting")
}

pub(super) fn reading(cores: &[control::ReplicaHandle]) -> Reading {
    let threads = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let ran = threads.filter_map(|thread| {
        let word = |name: &str| std::fs::read_to_string(thread.path().join(name)).ok();
        let ran = word("schedstat")?.split_whitespace().next()?.parse().ok()?;
        Some((
            (
                role(word("comm")?.trim()),
                thread.file_name().to_str()?.parse().ok()?,
            ),
            ran,
        ))
    });
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let memory = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kilobytes| kilobytes.parse::<u64>().ok());
    Reading {
        at: model::now(),
        ran: ran.collect(),
        memory: memory.unwrap_or(0) * 1_024,
        descriptors: std::fs::read_dir("/proc/self/fd")
            .map(|held| held.count() as u64)
            .unwrap_or(0),
        said: transport::traffic::by_kind(),
        syncs: cores.iter().map(|core| core.status.load().disk_syncs).sum(),
        applied: cores
            .first()
            .map(|core| core.status.load().applied_below)
            .unwrap_or(0),
    }
}

/// What a role's threads used in a stage: in thousandths of a core, the middle one and the busiest.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Used {
    pub threads: usize,
    pub sum_us: u64,
    pub middle_of_1000: f64,
    pub most_of_1000: f64,
}

/// Threads that ended in between are not seen: what they used is lost.
pub(super) fn used(before: &Reading, after: &Reading) -> BTreeMap<&'static str, Used> {
    let span = (after.at - before.at).max(1) as f64;
    let of = |role: &'static str| {
        let held = after.ran.iter().filter(|((held, _), _)| *held == role);
        let mut grown: Vec<u64> = held
            .map(|(thread, ran)| {
                ran.saturating_sub(before.ran.get(thread).copied().unwrap_or(0)) / 1_000
            })
            .collect();
        grown.sort();
        let part = |ran: Option<&u64>| ran.map(|ran| *ran as f64 / span * 1_000.0).unwrap_or(0.0);
        let middle_of_1000 = part(grown.get(grown.len() / 2));
        (
            role,
            Used {
                threads: grown.len(),
                sum_us: grown.iter().sum(),
                middle_of_1000,
                most_of_1000: part(grown.last()),
            },
        )
    };
    ROLES
        .into_iter()
        .map(of)
        .filter(|(_, used)| used.threads > 0)
        .collect()
}

pub(super) fn said(before: &Reading, after: &Reading) -> BTreeMap<&'static str, (u64, u64)> {
    let pairs = before.said.iter().zip(after.said);
    let grown = pairs.map(|(before, after)| (after.0 - before.0, after.1 - before.1));
    transport::traffic::KINDS
        .into_iter()
        .zip(grown)
        .filter(|(_, (frames, _))| *frames > 0)
        .collect()
}
