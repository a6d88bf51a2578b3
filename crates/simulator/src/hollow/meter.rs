//! Resource usage of a run by thread role. Every node, every replica and every disk has a thread of its own, and
//! the kernel reports the processor time of each.

use std::collections::BTreeMap;

/// Totals of the process at one moment.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageReading {
    pub read_at: model::Microseconds,
    /// Processor time in nanoseconds, by thread role and thread id.
    pub cpu_ns: BTreeMap<(&'static str, u32), u64>,
    /// Resident memory, in bytes.
    pub memory: u64,
    pub descriptors: u64,
    /// Frames and bytes, in the order of `transport::traffic::KINDS`.
    pub traffic: [(u64, u64); transport::traffic::KINDS.len()],
    pub syncs: u64,
    /// Number of log instances that the first replica has applied.
    pub applied: u64,
}

/// Thread-name prefixes. A thread that matches none of them counts as "acting".
pub(super) const THREAD_ROLES: [&str; 5] = ["node", "core", "vault", "links", "acting"];

fn thread_role(name: &str) -> &'static str {
    THREAD_ROLES
        .into_iter()
        .find(|role| name.starts_with(role))
        .unwrap_or("acting")
}

/// Reads the current totals from /proc and from the replicas.
pub(super) fn read_usage(replicas: &[control::ReplicaHandle]) -> UsageReading {
    let threads = std::fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let cpu_ns = threads.filter_map(|thread| {
        let read_file = |name: &str| std::fs::read_to_string(thread.path().join(name)).ok();
        let cpu_ns = read_file("schedstat")?
            .split_whitespace()
            .next()?
            .parse()
            .ok()?;
        Some((
            (
                thread_role(read_file("comm")?.trim()),
                thread.file_name().to_str()?.parse().ok()?,
            ),
            cpu_ns,
        ))
    });
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let memory = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|kilobytes| kilobytes.parse::<u64>().ok());
    UsageReading {
        read_at: model::now(),
        cpu_ns: cpu_ns.collect(),
        memory: memory.unwrap_or(0) * 1_024,
        descriptors: std::fs::read_dir("/proc/self/fd")
            .map(|entries| entries.count() as u64)
            .unwrap_or(0),
        traffic: transport::traffic::by_kind(),
        syncs: replicas
            .iter()
            .map(|replica| replica.status.load().disk_syncs)
            .sum(),
        applied: replicas
            .first()
            .map(|replica| replica.status.load().applied_below)
            .unwrap_or(0),
    }
}

/// Processor use of a role's threads in one stage. The median and the busiest thread are in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct CpuUse {
    pub threads: usize,
    pub sum_us: u64,
    #[serde(rename = "middle_of_1000")]
    pub median_millicores: f64,
    #[serde(rename = "most_of_1000")]
    pub max_millicores: f64,
}

/// Returns the processor use between two readings. Threads that ended in between are not counted.
pub(super) fn cpu(before: &UsageReading, after: &UsageReading) -> BTreeMap<&'static str, CpuUse> {
    let elapsed_us = (after.read_at - before.read_at).max(1) as f64;
    let role_use = |role: &'static str| {
        let threads = after
            .cpu_ns
            .iter()
            .filter(|((thread_role, _), _)| *thread_role == role);
        let mut cpu_us: Vec<u64> = threads
            .map(|(thread, cpu_ns)| {
                cpu_ns.saturating_sub(before.cpu_ns.get(thread).copied().unwrap_or(0)) / 1_000
            })
            .collect();
        cpu_us.sort();
        let millicores = |cpu_ns: Option<&u64>| {
            cpu_ns
                .map(|cpu_ns| *cpu_ns as f64 / elapsed_us * 1_000.0)
                .unwrap_or(0.0)
        };
        let median_millicores = millicores(cpu_us.get(cpu_us.len() / 2));
        (
            role,
            CpuUse {
                threads: cpu_us.len(),
                sum_us: cpu_us.iter().sum(),
                median_millicores,
                max_millicores: millicores(cpu_us.last()),
            },
        )
    };
    THREAD_ROLES
        .into_iter()
        .map(role_use)
        .filter(|(_, cpu)| cpu.threads > 0)
        .collect()
}

/// Returns the frames and bytes sent between two readings, by frame kind.
pub(super) fn traffic(
    before: &UsageReading,
    after: &UsageReading,
) -> BTreeMap<&'static str, (u64, u64)> {
    let pairs = before.traffic.iter().zip(after.traffic);
    let differences = pairs.map(|(before, after)| (after.0 - before.0, after.1 - before.1));
    transport::traffic::KINDS
        .into_iter()
        .zip(differences)
        .filter(|(_, (frames, _))| *frames > 0)
        .collect()
}
