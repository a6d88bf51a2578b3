//! The named scenarios: which faults occur at which times (design 9.7).

/// A process of a deployment, by its index among the replicas, the nodes or the backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Target {
    Replica(usize),
    Node(usize),
    Backend(usize),
}

/// A step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Kill(Target),
    /// Sends SIGTERM for a graceful stop.
    Stop(Target),
    Start(Target),
    /// Kills the replica, deletes its folder and starts it again.
    Wipe(usize),
    /// Replaces the replica by an empty one at a new address, by an operator's change.
    Replace(usize),
    Freeze(Target),
    Unfreeze(Target),
    /// Cuts the network between the target and every other machine in both directions.
    Isolate(Target),
    /// Drops only what the target sends.
    CutOutgoing(Target),
    /// Separates these replicas from the other replicas.
    Partition(Vec<usize>),
    HealNetwork,
    KillEverything,
    StartEverything,
    KillAllReplicas,
    StartAllReplicas,
    /// Removes a route by an operator's change, beside a stale and an invalid change.
    RemoveRoute,
    RestoreRoute,
    /// Sends SIGHUP.
    Reload(Target),
    /// Starts a backend of the other service at the address of `backend`, registered through `node`.
    ReuseAddress {
        backend: usize,
        node: usize,
    },
    /// Starts one more backend of the same service on the machine with this index.
    AddBackend(usize),
    DrainAddedBackends,
    /// Sends most requests from this time on with the same key.
    StartHotKey,
    /// Submits a change at this replica, and destroys its process and disk as soon as it has accepted the change. An empty
    /// replica replaces it.
    LoseAfterAccept(usize),
    /// Sets the fault of a replica's disk.
    SetDisk(usize, crate::disk::DiskFault),
}

impl Step {
    /// Returns whether the step ends a fault.
    pub fn ends_fault(&self) -> bool {
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

/// A schedule of steps, and the conditions that a run of it must meet.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    /// The steps, with their times in milliseconds after the start of the load.
    pub steps: Vec<(u64, Step)>,
    /// Duration of the run, in milliseconds.
    pub length: u64,
    /// Whether processes are only stopped gracefully, so that no forwarded request may be interrupted.
    pub planned_stops_only: bool,
    /// Situations that must occur in the run, because without them it tests nothing.
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

/// The names of all scenarios that [`named`] knows.
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

/// The numbers of machines with a node and a backend, of replicas, and of zones.
pub type SiteSize = (usize, usize, usize);

/// Returns the scenario of this name. The seed selects the processes that fail.
pub fn named(
    name: &str,
    (machine_count, replica_count, zone_count): SiteSize,
    seed: u64,
) -> Option<Scenario> {
    let (machine, replica) = (seed as usize % machine_count, seed as usize % replica_count);
    let found = match name {
        "quiet" => scenario("quiet", 5_000, vec![]),
        "core-killed" => scenario(
            "core-killed",
            9_000,
            vec![
                (2_000, Step::Kill(Target::Replica(replica))),
                (2_500, Step::RemoveRoute),
                (6_000, Step::Start(Target::Replica(replica))),
            ],
        ),
        // The wiped replica recovers without an operator. Then so many others are killed that a majority needs its vote.
        "core-wiped" => {
            let kills = (1..=(replica_count - 1) / 2).map(|step| {
                (
                    10_000,
                    Step::Kill(Target::Replica((replica + step) % replica_count)),
                )
            });
            let steps = [(1_000, Step::RemoveRoute), (2_000, Step::Wipe(replica))]
                .into_iter()
                .chain(kills)
                .chain([(12_000, Step::RestoreRoute)]);
            scenario("core-wiped", 15_000, steps.collect())
        }
        // After the replacement so many others are killed that a majority needs the vote of the new disk.
        "core-replaced" => {
            let kills = (1..=(replica_count - 1) / 2).map(|step| {
                (
                    9_000,
                    Step::Kill(Target::Replica((replica + step) % replica_count)),
                )
            });
            let steps = [(1_000, Step::RemoveRoute), (2_000, Step::Replace(replica))]
                .into_iter()
                .chain(kills)
                .chain([(11_000, Step::RestoreRoute)]);
            scenario("core-replaced", 15_000, steps.collect())
        }
        "core-split" => {
            let minority = (0..replica_count / 2)
                .map(|step| (replica + step) % replica_count)
                .collect();
            scenario(
                "core-split",
                12_000,
                vec![
                    (2_000, Step::Partition(minority)),
                    (3_000, Step::RemoveRoute),
                    (7_000, Step::HealNetwork),
                    (8_500, Step::RestoreRoute),
                ],
            )
        }
        "core-majority-lost" => {
            let majority = (0..=replica_count / 2).map(|step| (replica + step) % replica_count);
            let kills = majority
                .clone()
                .map(|replica| (2_000, Step::Kill(Target::Replica(replica))));
            let starts = majority.map(|replica| (6_000, Step::Start(Target::Replica(replica))));
            scenario("core-majority-lost", 14_000, kills.chain(starts).collect())
        }
        "core-frozen" => scenario(
            "core-frozen",
            9_000,
            vec![
                (2_000, Step::Freeze(Target::Replica(replica))),
                (3_000, Step::RemoveRoute),
                (6_000, Step::Unfreeze(Target::Replica(replica))),
            ],
        ),
        "core-muted" => scenario(
            "core-muted",
            9_000,
            vec![
                (2_000, Step::CutOutgoing(Target::Replica(replica))),
                (3_000, Step::RemoveRoute),
                (6_000, Step::HealNetwork),
            ],
        ),
        "node-killed" => scenario(
            "node-killed",
            11_000,
            vec![
                (2_000, Step::Kill(Target::Node(machine))),
                (6_000, Step::Start(Target::Node(machine))),
            ],
        ),
        "node-isolated" => scenario(
            "node-isolated",
            12_000,
            vec![
                (2_000, Step::Isolate(Target::Node(machine))),
                (2_500, Step::RemoveRoute),
                (7_000, Step::HealNetwork),
            ],
        ),
        "node-frozen" => scenario(
            "node-frozen",
            12_000,
            vec![
                (2_000, Step::Freeze(Target::Node(machine))),
                (2_500, Step::RemoveRoute),
                (7_000, Step::Unfreeze(Target::Node(machine))),
            ],
        ),
        "back-end-killed" => scenario(
            "back-end-killed",
            10_000,
            vec![
                (2_000, Step::Kill(Target::Backend(machine))),
                (5_000, Step::Start(Target::Backend(machine))),
            ],
        ),
        "back-end-frozen" => scenario(
            "back-end-frozen",
            14_000,
            vec![
                (2_000, Step::Freeze(Target::Backend(machine))),
                (8_000, Step::Unfreeze(Target::Backend(machine))),
            ],
        ),
        "back-ends-replaced" => {
            let steps = (0..3).flat_map(|round| {
                let target = Target::Backend((machine + round) % machine_count);
                [
                    (1_000 + round as u64 * 3_000, Step::Stop(target)),
                    (3_000 + round as u64 * 3_000, Step::Start(target)),
                ]
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("back-ends-replaced", 13_000, steps.collect())
            }
        }
        // The last third of the machines holds all backends of one service, in both deployments.
        "service-down" => {
            let targets = machine_count * 2 / 3..machine_count;
            let kills = targets
                .clone()
                .map(|machine| (2_000, Step::Kill(Target::Backend(machine))));
            let starts = targets.map(|machine| (5_000, Step::Start(Target::Backend(machine))));
            scenario("service-down", 11_000, kills.chain(starts).collect())
        }
        "service-slow" => {
            let targets = machine_count * 2 / 3..machine_count;
            let freezes = targets
                .clone()
                .map(|machine| (2_000, Step::Freeze(Target::Backend(machine))));
            let unfreezes =
                targets.map(|machine| (2_900, Step::Unfreeze(Target::Backend(machine))));
            scenario("service-slow", 9_000, freezes.chain(unfreezes).collect())
        }
        "nodes-rolled" => {
            let steps = (0..3).flat_map(|round| {
                let target = Target::Node((machine + round) % machine_count);
                [
                    (1_000 + round as u64 * 3_500, Step::Stop(target)),
                    (2_500 + round as u64 * 3_500, Step::Start(target)),
                ]
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("nodes-rolled", 14_000, steps.collect())
            }
        }
        "core-rolled" => {
            let steps = (0..replica_count).flat_map(|round| {
                let target = Target::Replica((replica + round) % replica_count);
                [
                    (1_000 + round as u64 * 2_000, Step::Stop(target)),
                    (2_000 + round as u64 * 2_000, Step::Start(target)),
                ]
            });
            Scenario {
                planned_stops_only: true,
                ..scenario(
                    "core-rolled",
                    3_000 + replica_count as u64 * 2_000,
                    steps.collect(),
                )
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
        _ => {
            return crate::scenario_more::named(
                name,
                (machine_count, replica_count, zone_count),
                seed,
            );
        }
    };
    Some(found)
}
