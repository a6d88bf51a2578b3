//! Frames and syncs an entry costs, by kind, under different settings (docs/measurements.md).

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

/// One seat or all suggest `entries`, `gap` microseconds apart; one line of counts per entry.
pub fn table_line(
    seats: u16,
    alpha: u64,
    tau: u64,
    gap: u64,
    entries: u64,
    one_seat: bool,
) -> String {
    let tuning = mencius::Config {
        alpha,
        tau,
        ..Default::default()
    };
    let mut world = super::World::new(super::WorldPlan {
        tuning,
        snapshot_every: 0,
        ..super::WorldPlan::new(seats, 1)
    });
    world.run_until(1_000_000);
    let before = world.counts.clone();
    (0..entries).for_each(|number| {
        let seat = if one_seat {
            0
        } else {
            (number % seats as u64) as u16
        };
        world.schedule_fault(
            1_000_000 + number * gap,
            super::Fault::Submit(seat, number.to_be_bytes().to_vec()),
        );
    });
    let end = 1_000_000 + entries * gap;
    world.run_until(end);
    let each = |kind: &str| {
        let grown = world.counts.frames_by_kind.get(kind).copied().unwrap_or(0)
            - before.frames_by_kind.get(kind).copied().unwrap_or(0);
        grown as f64 / entries as f64
    };
    let syncs = (world.counts.syncs - before.syncs) as f64 / entries as f64;
    let shown: Vec<String> = ["suggest", "accept", "learn", "skip", "beat", "revoke"]
        .iter()
        .map(|kind| format!("{:>8.2}", each(kind)))
        .collect();
    format!(
        "{seats:>5} {alpha:>6} {tau:>7} {gap:>7} {:>6} {} {syncs:>8.2} {:>9}",
        if one_seat { "one" } else { "all" },
        shown.join(" "),
        world.findings.slowest_entry_us
    )
}

pub const TABLE_HEAD: &str = "seats  alpha     tau     gap  whose  suggest   accept    learn     skip     beat   revoke    syncs   slowest";
