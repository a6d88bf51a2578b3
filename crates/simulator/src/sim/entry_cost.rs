//! Measures the cost of a log entry in frames of each kind and in syncs, under different settings
//! (docs/measurements.md).

/// Returns the kind under which a message is counted.
pub(super) fn frame_kind(message: &mencius::Message) -> &'static str {
    match message {
        mencius::Message::Suggest { .. } => "suggest",
        mencius::Message::Accept { .. } => "accept",
        mencius::Message::Learn { .. } => "learn",
        mencius::Message::Skip => "skip",
        mencius::Message::Heartbeat { .. } => "beat",
        mencius::Message::ReadIndexRequest { .. } | mencius::Message::ReadIndexResponse { .. } => {
            "read"
        }
        mencius::Message::Prepare { .. }
        | mencius::Message::Promise { .. }
        | mencius::Message::Propose { .. } => "revoke",
        mencius::Message::AcceptProposal { .. }
        | mencius::Message::Reject { .. }
        | mencius::Message::Chosen { .. } => "revoke",
        mencius::Message::Hello { .. } | mencius::Message::Resync { .. } => "open",
        mencius::Message::FetchOutcomes { .. }
        | mencius::Message::Outcomes { .. }
        | mencius::Message::Snapshot { .. } => "catch-up",
    }
}

/// Submits `entries` entries, `gap` microseconds apart, at one replica or at all replicas round-robin. Returns a table line
/// with the counts per entry.
pub fn table_line(
    replica_count: u16,
    alpha: u64,
    tau: u64,
    gap: u64,
    entries: u64,
    single_proposer: bool,
) -> String {
    let config = mencius::Config {
        alpha,
        tau,
        ..Default::default()
    };
    let mut world = super::World::new(super::WorldPlan {
        config,
        snapshot_every: 0,
        ..super::WorldPlan::new(replica_count, 1)
    });
    world.run_until(1_000_000);
    let before = world.counts.clone();
    (0..entries).for_each(|number| {
        let replica_id = if single_proposer {
            0
        } else {
            (number % replica_count as u64) as u16
        };
        world.schedule_fault(
            1_000_000 + number * gap,
            super::Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
        );
    });
    let end = 1_000_000 + entries * gap;
    world.run_until(end);
    let frames_per_entry = |kind: &str| {
        let increase = world.counts.frames_by_kind.get(kind).copied().unwrap_or(0)
            - before.frames_by_kind.get(kind).copied().unwrap_or(0);
        increase as f64 / entries as f64
    };
    let syncs_per_entry = (world.counts.syncs - before.syncs) as f64 / entries as f64;
    let columns: Vec<String> = ["suggest", "accept", "learn", "skip", "beat", "revoke"]
        .iter()
        .map(|kind| format!("{:>8.2}", frames_per_entry(kind)))
        .collect();
    format!(
        "{replica_count:>5} {alpha:>6} {tau:>7} {gap:>7} {:>6} {} {syncs_per_entry:>8.2} {:>9}",
        if single_proposer { "one" } else { "all" },
        columns.join(" "),
        world.findings.slowest_entry_us
    )
}

/// Header of the table whose lines [`table_line`] returns.
pub const TABLE_HEAD: &str = "seats  alpha     tau     gap  whose  suggest   accept    learn     skip     beat   revoke    syncs   slowest";
