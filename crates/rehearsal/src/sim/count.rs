//! Frames and syncs an entry costs, by kind, under different settings (docs/measurements.md).

pub(super) fn kind(message: &repertory::Message) -> &'static str {
    match message {
        repertory::Message::Suggest { .. } => "suggest",
        repertory::Message::Accept { .. } => "accept",
        repertory::Message::Learn { .. } => "learn",
        repertory::Message::Skip => "skip",
        repertory::Message::Beat { .. } => "beat",
        repertory::Message::ReadAsk { .. } | repertory::Message::ReadAnswer { .. } => "read",
        repertory::Message::Prepare { .. } | repertory::Message::Promise { .. } | repertory::Message::Propose { .. } => "revoke",
        repertory::Message::Accepted { .. } | repertory::Message::Refuse { .. } | repertory::Message::Chosen { .. } => "revoke",
        repertory::Message::Hello { .. } | repertory::Message::Resync { .. } => "open",
        repertory::Message::Fetch { .. } | repertory::Message::Run { .. } | repertory::Message::Snapshot { .. } => "catch-up",
    }
}

/// One seat or all suggest `entries`, `gap` microseconds apart; one line of counts per entry.
pub fn line(seats: u16, alpha: u64, tau: u64, gap: u64, entries: u64, one_seat: bool) -> String {
    let tuning = repertory::Tuning { alpha, tau, ..Default::default() };
    let mut world = super::World::new(super::Plan { tuning, snapshot_every: 0, ..super::Plan::new(seats, 1) });
    world.run_until(1_000_000);
    let before = world.counts.clone();
    (0..entries).for_each(|number| {
        let seat = if one_seat { 0 } else { (number % seats as u64) as u16 };
        world.at_fault(1_000_000 + number * gap, super::Fault::Submit(seat, number.to_be_bytes().to_vec()));
    });
    let end = 1_000_000 + entries * gap;
    world.run_until(end);
    let each = |kind: &str| {
        let grown = world.counts.kinds.get(kind).copied().unwrap_or(0) - before.kinds.get(kind).copied().unwrap_or(0);
        grown as f64 / entries as f64
    };
    let syncs = (world.counts.syncs - before.syncs) as f64 / entries as f64;
    let shown: Vec<String> = ["suggest", "accept", "learn", "skip", "beat", "revoke"].iter().map(|kind| format!("{:>8.2}", each(kind))).collect();
    format!(
        "{seats:>5} {alpha:>6} {tau:>7} {gap:>7} {:>6} {} {syncs:>8.2} {:>9}",
        if one_seat { "one" } else { "all" },
        shown.join(" "),
        world.findings.slowest
    )
}

pub const HEAD: &str = "seats  alpha     tau     gap  whose  suggest   accept    learn     skip     beat   revoke    syncs   slowest";
