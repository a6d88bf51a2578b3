//! Named faults and the times they strike (design 9.7).

/// A process by its place: core seats, then nodes beside back ends, then back ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    Replica(usize),
    Node(usize),
    Backend(usize),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Kill(Target),
    /// SIGTERM: a planned end.
    Stop(Target),
    Start(Target),
    /// Kill, empty its folder, start again.
    Wipe(usize),
    /// An empty machine at a new address takes the seat over, by an operator's change.
    Replace(usize),
    Freeze(Target),
    Unfreeze(Target),
    /// Both ways, against every other machine.
    Isolate(Target),
    /// Only what it sends is lost.
    CutOutgoing(Target),
    /// These core seats against the rest of the core.
    Partition(Vec<usize>),
    HealNetwork,
    KillEverything,
    StartEverything,
    KillAllReplicas,
    StartAllReplicas,
    /// Take a lane away by an operator's change; a stale and a broken change go with it.
    RemoveRoute,
    RestoreRoute,
    /// SIGHUP.
    Reload(Target),
    /// A back end of the other service takes the address of one, beside some usher.
    ReuseAddress {
        from: usize,
        beside: usize,
    },
    /// One more back end of the machine's service.
    AddBackend(usize),
    DrainAddedBackends,
    /// One key swamps the rest from here on.
    StartHotKey,
    /// A change is accepted at this seat, which loses power and disk at once; an empty machine follows.
    LoseAfterAccept(usize),
    /// What a core seat's disk is like from here on.
    SetDisk(usize, crate::disk::DiskFault),
}

impl Step {
    /// Takes a fault away, or is the last of one.
    pub fn heals(&self) -> bool {
        matches!(
            self,
            Step::Start(_)
                | Step::Unfreeze(_)
                | Step::HealNetwork
                | Step::StartEverything
                | Step::StartAllReplicas
                | Step::RestoreRoute
        )
    }
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    /// Milliseconds after the load began.
    pub steps: Vec<(u64, Step)>,
    pub length: u64,
    /// A planned restart: nothing that was passed on may be cut off.
    pub planned_stops_only: bool,
    /// What has to be seen, or the run proves nothing.
    pub must_observe: &'static [&'static str],
}

pub(crate) fn scenario(name: &'static str, length: u64, steps: Vec<(u64, Step)>) -> Scenario {
    Scenario {
        name,
        steps,
        length,
        planned_stops_only: false,
        must_observe: &["an accepted change", "a refused change", "a second arrival"],
    }
}

pub const NAMES: &[&str] = &[
    "quiet",
    "core-killed",
    "core-wiped",
    "core-replaced",
    "core-split",
    "core-majority-lost",
    "core-frozen",
    "core-muted",
    "node-killed",
    "node-isolated",
    "node-frozen",
    "back-end-killed",
    "back-end-frozen",
    "back-ends-replaced",
    "service-down",
    "service-slow",
    "nodes-rolled",
    "core-rolled",
    "core-herd",
    "power-loss",
    "orders-changed",
    "reloaded",
    "address-reused",
    "hot-key",
    "back-ends-added-empty",
    "back-end-gone-for-good",
    "herd",
    "zone-lost",
    "acked-then-lost",
    "operators-race",
    "forged",
    "core-wiped-then-herd",
    "disk-slow",
    "disk-stalled",
    "disk-full",
    "disk-torn",
];

/// Nodes beside back ends, core seats, zones.
pub type SiteSize = (usize, usize, usize);

/// The seed picks who is struck.
pub fn named(name: &str, (machines, cores, zones): SiteSize, seed: u64) -> Option<Scenario> {
    let (at, seat) = (seed as usize % machines, seed as usize % cores);
    let found = match name {
        "quiet" => scenario("quiet", 5_000, vec![]),
        "core-killed" => scenario(
            "core-killed",
            9_000,
            vec![
                (2_000, Step::Kill(Target::Replica(seat))),
                (2_500, Step::RemoveRoute),
                (6_000, Step::Start(Target::Replica(seat))),
            ],
        ),
        // Nobody does anything; then others die until the wiped seat's vote is needed.
        "core-wiped" => {
            let others = (1..=(cores - 1) / 2)
                .map(|step| (10_000, Step::Kill(Target::Replica((seat + step) % cores))));
            let steps = [(1_000, Step::RemoveRoute), (2_000, Step::Wipe(seat))]
                .into_iter()
                .chain(others)
                .chain([(12_000, Step::RestoreRoute)]);
            scenario("core-wiped", 15_000, steps.collect())
        }
        // After the replacement another seat dies: with a short core the new disk's vote is needed.
        "core-replaced" => {
            let others = (1..=(cores - 1) / 2)
                .map(|step| (9_000, Step::Kill(Target::Replica((seat + step) % cores))));
            let steps = [(1_000, Step::RemoveRoute), (2_000, Step::Replace(seat))]
                .into_iter()
                .chain(others)
                .chain([(11_000, Step::RestoreRoute)]);
            scenario("core-replaced", 15_000, steps.collect())
        }
        "core-split" => {
            let few = (0..cores / 2).map(|step| (seat + step) % cores).collect();
            scenario(
                "core-split",
                12_000,
                vec![
                    (2_000, Step::Partition(few)),
                    (3_000, Step::RemoveRoute),
                    (7_000, Step::HealNetwork),
                    (8_500, Step::RestoreRoute),
                ],
            )
        }
        "core-majority-lost" => {
            let many = (0..=cores / 2).map(|step| (seat + step) % cores);
            let kills = many
                .clone()
                .map(|seat| (2_000, Step::Kill(Target::Replica(seat))));
            let starts = many.map(|seat| (6_000, Step::Start(Target::Replica(seat))));
            scenario("core-majority-lost", 14_000, kills.chain(starts).collect())
        }
        "core-frozen" => scenario(
            "core-frozen",
            9_000,
            vec![
                (2_000, Step::Freeze(Target::Replica(seat))),
                (3_000, Step::RemoveRoute),
                (6_000, Step::Unfreeze(Target::Replica(seat))),
            ],
        ),
        "core-muted" => scenario(
            "core-muted",
            9_000,
            vec![
                (2_000, Step::CutOutgoing(Target::Replica(seat))),
                (3_000, Step::RemoveRoute),
                (6_000, Step::HealNetwork),
            ],
        ),
        "node-killed" => scenario(
            "node-killed",
            11_000,
            vec![
                (2_000, Step::Kill(Target::Node(at))),
                (6_000, Step::Start(Target::Node(at))),
            ],
        ),
        "node-isolated" => scenario(
            "node-isolated",
            12_000,
            vec![
                (2_000, Step::Isolate(Target::Node(at))),
                (2_500, Step::RemoveRoute),
                (7_000, Step::HealNetwork),
            ],
        ),
        "node-frozen" => scenario(
            "node-frozen",
            12_000,
            vec![
                (2_000, Step::Freeze(Target::Node(at))),
                (2_500, Step::RemoveRoute),
                (7_000, Step::Unfreeze(Target::Node(at))),
            ],
        ),
        "back-end-killed" => scenario(
            "back-end-killed",
            10_000,
            vec![
                (2_000, Step::Kill(Target::Backend(at))),
                (5_000, Step::Start(Target::Backend(at))),
            ],
        ),
        "back-end-frozen" => scenario(
            "back-end-frozen",
            14_000,
            vec![
                (2_000, Step::Freeze(Target::Backend(at))),
                (8_000, Step::Unfreeze(Target::Backend(at))),
            ],
        ),
        "back-ends-replaced" => {
            let steps = (0..3).flat_map(|turn| {
                let who = Target::Backend((at + turn) % machines);
                [
                    (1_000 + turn as u64 * 3_000, Step::Stop(who)),
                    (3_000 + turn as u64 * 3_000, Step::Start(who)),
                ]
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("back-ends-replaced", 13_000, steps.collect())
            }
        }
        // The last third of the machines: a whole service at both sites.
        "service-down" => {
            let struck = machines * 2 / 3..machines;
            let kills = struck
                .clone()
                .map(|at| (2_000, Step::Kill(Target::Backend(at))));
            let starts = struck.map(|at| (5_000, Step::Start(Target::Backend(at))));
            scenario("service-down", 11_000, kills.chain(starts).collect())
        }
        "service-slow" => {
            let struck = machines * 2 / 3..machines;
            let stops = struck
                .clone()
                .map(|at| (2_000, Step::Freeze(Target::Backend(at))));
            let wakes = struck.map(|at| (2_900, Step::Unfreeze(Target::Backend(at))));
            scenario("service-slow", 9_000, stops.chain(wakes).collect())
        }
        "nodes-rolled" => {
            let steps = (0..3).flat_map(|turn| {
                let who = Target::Node((at + turn) % machines);
                [
                    (1_000 + turn as u64 * 3_500, Step::Stop(who)),
                    (2_500 + turn as u64 * 3_500, Step::Start(who)),
                ]
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("nodes-rolled", 14_000, steps.collect())
            }
        }
        "core-rolled" => {
            let steps = (0..cores).flat_map(|turn| {
                let who = Target::Replica((seat + turn) % cores);
                [
                    (1_000 + turn as u64 * 2_000, Step::Stop(who)),
                    (2_000 + turn as u64 * 2_000, Step::Start(who)),
                ]
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("core-rolled", 3_000 + cores as u64 * 2_000, steps.collect())
            }
        }
        "core-herd" => scenario(
            "core-herd",
            14_000,
            vec![
                (1_000, Step::RemoveRoute),
                (2_000, Step::KillAllReplicas),
                (6_000, Step::StartAllReplicas),
            ],
        ),
        "power-loss" => scenario(
            "power-loss",
            14_000,
            vec![
                (1_000, Step::RemoveRoute),
                (2_000, Step::KillEverything),
                (4_000, Step::StartEverything),
            ],
        ),
        "orders-changed" => scenario(
            "orders-changed",
            12_000,
            vec![
                (1_500, Step::RemoveRoute),
                (5_000, Step::RestoreRoute),
                (7_500, Step::RemoveRoute),
            ],
        ),
        _ => return crate::scenario_more::named(name, (machines, cores, zones), seed),
    };
    Some(found)
}
