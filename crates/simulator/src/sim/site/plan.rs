//! What a run of the whole site is told, and what may strike it (design 9.8).

use model::Microseconds;

/// Guards that a variant goes without, to show that the checks see what they are for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// Tries are not taken once at their own usher.
    pub attempt_identity: bool,
    /// A lost mate counts as 'not run'.
    pub honest_verdicts: bool,
    /// Extra dispatches are free.
    pub budget: bool,
    /// The next holder of a key waits for nothing.
    pub key_waits: bool,
    /// Proofs last for ever.
    pub freshness: bool,
    /// Older news is taken up.
    pub news_order: bool,
    /// Operators are told "accepted" before the log has it.
    pub commit: bool,
    /// A planned stop does not wait for what was passed on.
    pub patience: bool,
    /// Back ends that fell silent count as there.
    pub heartbeats: bool,
    /// What a back end says of draining is not heard.
    pub drains: bool,
    /// Disks report a sync before anything is kept.
    pub syncs: bool,
}

#[derive(Clone, Debug)]
pub struct SitePlan {
    pub seed: u64,
    pub replica_count: u16,
    pub network_delay: (Microseconds, Microseconds),
    pub disabled: DisabledGuards,
}

impl SitePlan {
    pub fn new(seed: u64) -> Self {
        SitePlan {
            seed,
            replica_count: if seed.is_multiple_of(2) { 5 } else { 3 },
            network_delay: (200, 20_000),
            disabled: DisabledGuards::default(),
        }
    }

    pub(super) fn proof_validity(&self) -> Microseconds {
        if self.disabled.freshness {
            60_000_000
        } else {
            1_500_000
        }
    }

    pub(super) fn slot_owner_config(&self, node: usize) -> legacy_proxy::SlotOwnerConfig {
        let (bound, guard) = if self.disabled.key_waits {
            (0, 0)
        } else {
            (1_500_000, 250_000)
        };
        let beat_patience = if self.disabled.heartbeats {
            60_000_000
        } else {
            1_200_000
        };
        legacy_proxy::SlotOwnerConfig {
            node: format!("n{node}"),
            zone: zone(node),
            heartbeat_timeout: beat_patience,
            proof_lifetime: bound,
            clock_margin: guard,
        }
    }
}

pub(super) const NODES: usize = 5;

pub(super) fn zone(node: usize) -> String {
    format!("z{}", node % 2)
}

/// Three nodes beside seats, two beside desks.
pub(super) fn service(node: usize) -> &'static str {
    if node < 3 { "seat" } else { "desk" }
}

/// Sender, service, path, keyed, repeatable.
pub(super) type SiteRoute = (&'static str, &'static str, &'static str, bool, bool);

pub(super) const ROUTES: [SiteRoute; 5] = [
    ("desk", "seat", "/take", true, false),
    ("seat", "seat", "/take", true, false),
    ("desk", "seat", "/check", false, true),
    ("desk", "desk", "/pay", false, false),
    ("seat", "desk", "/note", false, true),
];

pub(super) const WAIT_US: Microseconds = 800_000;

pub(super) fn put_order(lane: &SiteRoute) -> model::Edit {
    let (from, service, path, keyed, repeatable) = *lane;
    let selector = model::Selector {
        from: vec![from.into()],
        service: service.into(),
        methods: vec![],
        path_prefix: path.into(),
        labels: Default::default(),
    };
    let order = model::StandingOrder {
        selector,
        wait_us: WAIT_US,
        importance: 5,
        idempotent: repeatable,
        keyed,
        allow_other_zones: true,
    };
    model::Edit::PutOrder {
        name: format!("{from}-{}", &path[1..]),
        order,
    }
}

pub(super) fn put_grouping(service: &str, zone: &str, label: Option<u64>) -> model::Edit {
    let labels = label
        .map(|turn| ("turn".to_string(), turn.to_string()))
        .into_iter()
        .collect();
    let name = format!(
        "{service}-{zone}{}",
        if label.is_some() { "-more" } else { "" }
    );
    model::Edit::PutGrouping {
        name,
        grouping: model::Grouping {
            service: service.into(),
            zone: zone.into(),
            labels,
        },
    }
}

pub(super) fn initial_edits() -> Vec<model::Edit> {
    let groupings = ["seat", "desk"]
        .into_iter()
        .flat_map(|service| ["z0", "z1"].map(|zone| put_grouping(service, zone, None)));
    groupings.chain(ROUTES.iter().map(put_order)).collect()
}

#[derive(Clone, Debug)]
pub enum SiteFault {
    Replica(crate::sim::Fault),
    Freeze(usize),
    Unfreeze(usize),
    Cut(usize),
    Heal(usize),
    /// Killed, and started again at once.
    Restart(usize),
    /// SIGTERM, and started again once it has ended.
    PlannedStop(usize),
    /// The back end dies; another process of its name comes two seconds later.
    KillBackend(usize),
    /// It goes on with its work, but beats no more; another process of its name comes.
    SilenceBackend(usize),
    DrainBackend(usize),
    /// It dies, and a back end of the other service takes its address beside another node.
    ReuseAddress(usize),
    /// A lane goes, or comes back.
    SetRoute(usize, bool),
}

/// Three bytes a blow; the last seconds mend everything.
pub fn schedule_site_faults(site: &mut super::Site, bytes: &[u8]) {
    let seats = site.plan.replica_count;
    // One change of holder at a time: the book refuses a second, which the made-up core does not.
    let only = bytes
        .chunks_exact(3)
        .position(|chunk| chunk[0] % 20 == 13)
        .map(|place| place as u64 + 1);
    bytes.chunks_exact(3).zip(1u64..).for_each(|(chunk, turn)| {
        let (at, seat) = (chunk[1] as usize % NODES, chunk[1] as u16 % seats);
        let time = 1_500_000 + turn * 1_500_000 + chunk[2] as u64 * 2_000;
        let back = time + 200_000 + chunk[2] as u64 * 9_000;
        let core = |fault| SiteFault::Replica(fault);
        let found: Vec<(u64, SiteFault)> = match chunk[0] % 20 {
            0 => vec![
                (time, SiteFault::Freeze(at)),
                (back, SiteFault::Unfreeze(at)),
            ],
            1 | 2 => vec![(time, SiteFault::Cut(at)), (back, SiteFault::Heal(at))],
            3 => vec![(time, SiteFault::Restart(at))],
            4 => vec![(time, SiteFault::PlannedStop(at))],
            5 => vec![(time, SiteFault::KillBackend(at))],
            6 => vec![(time, SiteFault::SilenceBackend(at))],
            7 => vec![(time, SiteFault::DrainBackend(at))],
            8 => vec![(time, SiteFault::ReuseAddress(at))],
            9 => vec![
                (time, core(crate::sim::Fault::Crash(seat))),
                (back, core(crate::sim::Fault::Start(seat))),
            ],
            10 => vec![
                (time, core(crate::sim::Fault::Freeze(seat))),
                (back, core(crate::sim::Fault::Unfreeze(seat))),
            ],
            11 => (0..seats)
                .filter(|mate| *mate != seat)
                .flat_map(|mate| {
                    [
                        (time, core(crate::sim::Fault::CutLink(seat, mate))),
                        (time, core(crate::sim::Fault::CutLink(mate, seat))),
                    ]
                })
                .chain([(back, core(crate::sim::Fault::HealLinks))])
                .collect(),
            12 => vec![
                (time, core(crate::sim::Fault::SlowDisk(seat, 400_000))),
                (back, core(crate::sim::Fault::SlowDisk(seat, 0))),
            ],
            13 if only == Some(turn) => vec![(time, core(crate::sim::Fault::Replace(seat)))],
            14 => (0..seats)
                .flat_map(|seat| {
                    [
                        (time, core(crate::sim::Fault::Crash(seat))),
                        (time + 400_000, core(crate::sim::Fault::Start(seat))),
                    ]
                })
                .collect(),
            15 | 16 => vec![
                (
                    time,
                    SiteFault::SetRoute(chunk[1] as usize % ROUTES.len(), false),
                ),
                (
                    back + 2_500_000,
                    SiteFault::SetRoute(chunk[1] as usize % ROUTES.len(), true),
                ),
            ],
            _ => vec![
                (time, SiteFault::Restart(at)),
                (time + 50_000, SiteFault::Restart((at + 1) % NODES)),
            ],
        };
        found
            .into_iter()
            .for_each(|(time, blow)| site.schedule_fault(time, blow));
    });
}
