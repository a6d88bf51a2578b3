//! Parameters and faults of a simulated site (design 9.8).

use model::Microseconds;

/// Guards that a run leaves out, to show that the checks detect the violation that each of them prevents. Each field
/// describes the behaviour without the guard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DisabledGuards {
    /// The client's node accepts an attempt id more than once.
    pub attempt_deduplication: bool,
    /// A lost peer or backend counts as "not run" instead of "may have run".
    pub unknown_execution: bool,
    /// Retries are not limited.
    pub retry_budget: bool,
    /// The next owner of a key does not wait until the requests at the previous owner have ended.
    pub key_handover_wait: bool,
    /// Freshness proofs practically never expire.
    pub proof_expiry: bool,
    /// A node accepts an older state than the one it holds.
    pub update_order: bool,
    /// Operators receive "accepted" before the change is in the log.
    pub commit_wait: bool,
    /// A graceful stop does not wait for the requests that are under way.
    pub graceful_stop: bool,
    /// Backends that send no heartbeats still count as alive.
    pub heartbeat_timeout: bool,
    /// A backend's announcement that it is draining is ignored.
    pub draining: bool,
    /// Disks report a sync before they have written the data.
    pub disk_sync: bool,
}

/// The parameters of a simulated site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    pub seed: u64,
    pub replica_count: u16,
    /// The shortest and the longest network delay, in microseconds.
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
        if self.disabled.proof_expiry {
            60_000_000
        } else {
            1_500_000
        }
    }

    pub(super) fn slot_owner_config(&self, node: usize) -> legacy_proxy::SlotOwnerConfig {
        let (proof_validity, clock_margin) = if self.disabled.key_handover_wait {
            (0, 0)
        } else {
            (1_500_000, 250_000)
        };
        let heartbeat_timeout = if self.disabled.heartbeat_timeout {
            60_000_000
        } else {
            1_200_000
        };
        legacy_proxy::SlotOwnerConfig {
            node: format!("n{node}"),
            zone: zone(node),
            heartbeat_timeout,
            proof_validity,
            clock_margin,
        }
    }
}

/// Number of nodes of a site.
pub(super) const NODE_COUNT: usize = 5;

pub(super) fn zone(node: usize) -> String {
    format!("z{}", node % 2)
}

/// Returns the service of the backend beside a node: "seat" at the first three nodes, "desk" at the other two.
pub(super) fn service(node: usize) -> &'static str {
    if node < 3 { "seat" } else { "desk" }
}

/// Client service, target service, path, whether requests have a key, and whether they are idempotent.
pub(super) type SiteRoute = (&'static str, &'static str, &'static str, bool, bool);

pub(super) const ROUTES: [SiteRoute; 5] = [
    ("desk", "seat", "/take", true, false),
    ("seat", "seat", "/take", true, false),
    ("desk", "seat", "/check", false, true),
    ("desk", "desk", "/pay", false, false),
    ("seat", "desk", "/note", false, true),
];

/// Timeout of a client's request, in microseconds.
pub(super) const CLIENT_TIMEOUT_US: Microseconds = 800_000;

pub(super) fn put_order(route: &SiteRoute) -> model::Edit {
    let (client, service, path, keyed, idempotent) = *route;
    let selector = model::Selector {
        from: vec![client.into()],
        service: service.into(),
        methods: vec![],
        path_prefix: path.into(),
        labels: Default::default(),
    };
    let order = model::StandingOrder {
        selector,
        wait_us: CLIENT_TIMEOUT_US,
        importance: 5,
        idempotent,
        keyed,
        allow_other_zones: true,
    };
    model::Edit::PutOrder {
        name: format!("{client}-{}", &path[1..]),
        order,
    }
}

pub(super) fn put_grouping(service: &str, zone: &str, label: Option<u64>) -> model::Edit {
    let labels = label
        .map(|round| ("turn".to_string(), round.to_string()))
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

/// A fault of a simulated site. An index selects a node, or the backend beside it, unless stated otherwise.
#[derive(Clone, Debug)]
pub enum SiteFault {
    Replica(crate::sim::Fault),
    Freeze(usize),
    Unfreeze(usize),
    Cut(usize),
    Heal(usize),
    /// The node is killed and restarted at once.
    Restart(usize),
    /// The node receives SIGTERM and is restarted once it has ended.
    GracefulStop(usize),
    /// The backend is killed; another process of its name starts two seconds later.
    KillBackend(usize),
    /// The backend continues its work but sends no more heartbeats; another process of its name starts.
    StopHeartbeats(usize),
    DrainBackend(usize),
    /// The backend is killed, and a backend of the other service beside another node takes over its address.
    ReuseAddress(usize),
    /// The route with this index is removed, or restored if the flag is set.
    SetRoute(usize, bool),
}

/// Schedules the faults that `bytes` encode, three bytes each.
pub fn schedule_site_faults(site: &mut super::Site, bytes: &[u8]) {
    let replica_count = site.plan.replica_count;
    // At most one replica is replaced: the state machine would reject a second replacement at the same time, which the
    // simulated replicas do not.
    let replacement_round = bytes
        .chunks_exact(3)
        .position(|chunk| chunk[0] % 20 == 13)
        .map(|index| index as u64 + 1);
    bytes
        .chunks_exact(3)
        .zip(1u64..)
        .for_each(|(chunk, round)| {
            let (node_index, replica_id) = (
                chunk[1] as usize % NODE_COUNT,
                chunk[1] as u16 % replica_count,
            );
            let time = 1_500_000 + round * 1_500_000 + chunk[2] as u64 * 2_000;
            let end = time + 200_000 + chunk[2] as u64 * 9_000;
            let replica_fault = |fault| SiteFault::Replica(fault);
            let faults: Vec<(u64, SiteFault)> = match chunk[0] % 20 {
                0 => vec![
                    (time, SiteFault::Freeze(node_index)),
                    (end, SiteFault::Unfreeze(node_index)),
                ],
                1 | 2 => vec![
                    (time, SiteFault::Cut(node_index)),
                    (end, SiteFault::Heal(node_index)),
                ],
                3 => vec![(time, SiteFault::Restart(node_index))],
                4 => vec![(time, SiteFault::GracefulStop(node_index))],
                5 => vec![(time, SiteFault::KillBackend(node_index))],
                6 => vec![(time, SiteFault::StopHeartbeats(node_index))],
                7 => vec![(time, SiteFault::DrainBackend(node_index))],
                8 => vec![(time, SiteFault::ReuseAddress(node_index))],
                9 => vec![
                    (time, replica_fault(crate::sim::Fault::Crash(replica_id))),
                    (end, replica_fault(crate::sim::Fault::Start(replica_id))),
                ],
                10 => vec![
                    (time, replica_fault(crate::sim::Fault::Freeze(replica_id))),
                    (end, replica_fault(crate::sim::Fault::Unfreeze(replica_id))),
                ],
                11 => (0..replica_count)
                    .filter(|peer| *peer != replica_id)
                    .flat_map(|peer| {
                        [
                            (
                                time,
                                replica_fault(crate::sim::Fault::CutLink(replica_id, peer)),
                            ),
                            (
                                time,
                                replica_fault(crate::sim::Fault::CutLink(peer, replica_id)),
                            ),
                        ]
                    })
                    .chain([(end, replica_fault(crate::sim::Fault::HealLinks))])
                    .collect(),
                12 => vec![
                    (
                        time,
                        replica_fault(crate::sim::Fault::SlowDisk(replica_id, 400_000)),
                    ),
                    (
                        end,
                        replica_fault(crate::sim::Fault::SlowDisk(replica_id, 0)),
                    ),
                ],
                13 if replacement_round == Some(round) => {
                    vec![(time, replica_fault(crate::sim::Fault::Replace(replica_id)))]
                }
                14 => (0..replica_count)
                    .flat_map(|replica_id| {
                        [
                            (time, replica_fault(crate::sim::Fault::Crash(replica_id))),
                            (
                                time + 400_000,
                                replica_fault(crate::sim::Fault::Start(replica_id)),
                            ),
                        ]
                    })
                    .collect(),
                15 | 16 => vec![
                    (
                        time,
                        SiteFault::SetRoute(chunk[1] as usize % ROUTES.len(), false),
                    ),
                    (
                        end + 2_500_000,
                        SiteFault::SetRoute(chunk[1] as usize % ROUTES.len(), true),
                    ),
                ],
                _ => vec![
                    (time, SiteFault::Restart(node_index)),
                    (
                        time + 50_000,
                        SiteFault::Restart((node_index + 1) % NODE_COUNT),
                    ),
                ],
            };
            faults
                .into_iter()
                .for_each(|(time, fault)| site.schedule_fault(time, fault));
        });
}
