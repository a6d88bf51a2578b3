//! Scenarios of addresses, keys, zones, operators and forged requests, and a long random scenario (design 9.7).

use crate::scenario::{Scenario, SiteSize, Step, Target, scenario};

fn with_observations(scenario: Scenario, must_observe: &'static [&'static str]) -> Scenario {
    Scenario {
        must_observe,
        ..scenario
    }
}

fn replicas_and_nodes(
    machine_count: usize,
    replica_count: usize,
) -> impl Iterator<Item = Target> + Clone {
    (0..replica_count)
        .map(Target::Replica)
        .chain((0..machine_count).map(Target::Node))
}

pub(crate) fn named(
    name: &str,
    (machine_count, replica_count, zone_count): SiteSize,
    seed: u64,
) -> Option<Scenario> {
    let (machine, replica) = (seed as usize % machine_count, seed as usize % replica_count);
    let found = match name {
        "reloaded" => {
            let reloads = (1..=4u64).flat_map(|round| {
                replicas_and_nodes(machine_count, replica_count)
                    .map(move |target| (round * 1_200, Step::Reload(target)))
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("reloaded", 7_000, reloads.collect())
            }
        }
        // First a backend beside the same node takes over the address, then a backend beside a third node takes over the
        // address of another machine's backend.
        "address-reused" => {
            let (next, third) = ((machine + 1) % machine_count, (machine + 2) % machine_count);
            let steps = vec![
                (2_000, Step::Kill(Target::Backend(machine))),
                (
                    2_100,
                    Step::ReuseAddress {
                        backend: machine,
                        node: machine,
                    },
                ),
                (4_000, Step::Kill(Target::Backend(next))),
                (
                    4_100,
                    Step::ReuseAddress {
                        backend: next,
                        node: third,
                    },
                ),
                (9_000, Step::HealNetwork),
            ];
            with_observations(
                scenario("address-reused", 12_000, steps),
                &["an address reused", "a moved key"],
            )
        }
        "hot-key" => with_observations(
            scenario("hot-key", 16_000, vec![(6_000, Step::StartHotKey)]),
            &["a hot key"],
        ),
        "back-ends-added-empty" => {
            let adds = (0..3).map(|step| {
                (
                    1_000 + step as u64 * 1_000,
                    Step::AddBackend((machine + step) % machine_count),
                )
            });
            with_observations(
                scenario(
                    "back-ends-added-empty",
                    13_000,
                    adds.chain([(7_000, Step::DrainAddedBackends)]).collect(),
                ),
                &["a moved key"],
            )
        }
        "back-end-gone-for-good" => {
            let steps = vec![
                (2_000, Step::Kill(Target::Backend(machine))),
                (
                    2_000,
                    Step::Kill(Target::Node((machine + 1) % machine_count)),
                ),
                (2_100, Step::HealNetwork),
            ];
            with_observations(
                scenario("back-end-gone-for-good", 12_000, steps),
                &["a moved key", "not-run"],
            )
        }
        "herd" => {
            let targets: Vec<Target> = (0..3.min(machine_count - 1))
                .map(|step| Target::Node((machine + step) % machine_count))
                .chain(
                    (0..replica_count / 2)
                        .map(|step| Target::Replica((replica + step) % replica_count)),
                )
                .collect();
            let kills = targets.iter().map(|target| (2_000, Step::Kill(*target)));
            let starts = targets.iter().map(|target| (5_000, Step::Start(*target)));
            with_observations(
                scenario("herd", 14_000, kills.chain(starts).collect()),
                &["a moved key", "not-run", "a second arrival"],
            )
        }
        "zone-lost" => {
            // Replicas and machines are assigned to zones round robin.
            let zone = seed as usize % zone_count;
            let targets: Vec<Target> = (0..machine_count)
                .filter(|machine| machine % zone_count == zone)
                .flat_map(|machine| [Target::Node(machine), Target::Backend(machine)])
                .chain(
                    (0..replica_count)
                        .filter(|replica| replica % zone_count == zone)
                        .map(Target::Replica),
                )
                .collect();
            let kills = targets.iter().map(|target| (2_000, Step::Kill(*target)));
            let starts = targets.iter().map(|target| (6_000, Step::Start(*target)));
            with_observations(
                scenario("zone-lost", 16_000, kills.chain(starts).collect()),
                &["not-run"],
            )
        }
        "acked-then-lost" => {
            let kills = (1..=(replica_count - 1) / 2).map(|step| {
                (
                    10_000,
                    Step::Kill(Target::Replica((replica + step) % replica_count)),
                )
            });
            let steps = [(2_000, Step::LoseAfterAccept(replica))]
                .into_iter()
                .chain(kills)
                .chain([(11_500, Step::RemoveRoute), (13_000, Step::RestoreRoute)]);
            scenario("acked-then-lost", 17_000, steps.collect())
        }
        // All replicas lose power soon after an empty disk was admitted, when the values of the instances that the lost disk
        // coordinated are stored by the other replicas only.
        "core-wiped-then-herd" => {
            let steps = vec![
                (1_000, Step::Wipe(replica)),
                (10_000, Step::KillAllReplicas),
                (12_000, Step::StartAllReplicas),
                (14_000, Step::RemoveRoute),
                (17_000, Step::RestoreRoute),
            ];
            scenario("core-wiped-then-herd", 22_000, steps)
        }
        "operators-race" => {
            let minority = (0..replica_count / 2)
                .map(|step| (replica + step) % replica_count)
                .collect();
            scenario(
                "operators-race",
                12_000,
                vec![
                    (2_000, Step::Partition(minority)),
                    (6_000, Step::HealNetwork),
                    (7_000, Step::RemoveRoute),
                    (9_000, Step::RestoreRoute),
                ],
            )
        }
        "forged" => with_observations(
            scenario(
                "forged",
                8_000,
                vec![
                    (3_000, Step::Kill(Target::Backend(machine))),
                    (3_100, Step::Start(Target::Backend(machine))),
                ],
            ),
            &["a forger refused"],
        ),
        // The fault occurs at the disk of one replica, and then at those of as many more as a majority can do without.
        "disk-slow" => disk_scenario(
            "disk-slow",
            crate::disk::DiskFault::Slow,
            replica_count,
            replica,
        ),
        "disk-stalled" => disk_scenario(
            "disk-stalled",
            crate::disk::DiskFault::Stalled,
            replica_count,
            replica,
        ),
        "disk-full" => disk_scenario(
            "disk-full",
            crate::disk::DiskFault::Full,
            replica_count,
            replica,
        ),
        "disk-torn" => {
            let disk_fault = [
                (2_000, Step::SetDisk(replica, crate::disk::DiskFault::Torn)),
                (2_500, Step::RemoveRoute),
            ];
            let recoveries = [
                (
                    6_000,
                    Step::SetDisk(replica, crate::disk::DiskFault::Healthy),
                ),
                (6_000, Step::Start(Target::Replica(replica))),
                (9_000, Step::RestoreRoute),
            ];
            scenario(
                "disk-torn",
                12_000,
                disk_fault.into_iter().chain(recoveries).collect(),
            )
        }
        _ => return None,
    };
    Some(found)
}

fn disk_scenario(
    name: &'static str,
    disk_fault: crate::disk::DiskFault,
    replica_count: usize,
    replica: usize,
) -> Scenario {
    let targets: Vec<usize> = (0..replica_count / 2)
        .map(|step| (replica + step) % replica_count)
        .collect();
    let faults = targets
        .iter()
        .zip(0u64..)
        .map(|(replica, round)| (2_000 + round * 2_000, Step::SetDisk(*replica, disk_fault)));
    let recoveries = targets.iter().map(|replica| {
        (
            8_000,
            Step::SetDisk(*replica, crate::disk::DiskFault::Healthy),
        )
    });
    scenario(
        name,
        13_000,
        faults
            .chain([(5_000, Step::RemoveRoute)])
            .chain(recoveries)
            .chain([(10_000, Step::RestoreRoute)])
            .collect(),
    )
}

/// A scenario of random faults at one replica or one machine at a time. At the end all processes are killed, all replicas
/// are killed, or a node is isolated.
pub(crate) fn day(machine_count: usize, replica_count: usize, seed: u64, seconds: u64) -> Scenario {
    let mut rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let end = seconds.max(30) * 1_000 - 20_000;
    let mut steps = Vec::new();
    (0..)
        .map(|round| 2_000 + round * 5_000u64)
        .take_while(|time| time + 5_000 < end)
        .for_each(|time| {
            let (machine, replica) = (
                rand::Rng::random_range(&mut rng, 0..machine_count),
                rand::Rng::random_range(&mut rng, 0..replica_count),
            );
            let healed_at = time + rand::Rng::random_range(&mut rng, 700..3_500u64);
            let pair = |fault, recovery| vec![(time, fault), (healed_at, recovery)];
            steps.extend(match rand::Rng::random_range(&mut rng, 0..14u32) {
                0 => pair(
                    Step::Kill(Target::Replica(replica)),
                    Step::Start(Target::Replica(replica)),
                ),
                1 => pair(
                    Step::Freeze(Target::Replica(replica)),
                    Step::Unfreeze(Target::Replica(replica)),
                ),
                2 => pair(
                    Step::CutOutgoing(Target::Replica(replica)),
                    Step::HealNetwork,
                ),
                3 => pair(
                    Step::Partition(
                        (0..replica_count / 2)
                            .map(|step| (replica + step) % replica_count)
                            .collect(),
                    ),
                    Step::HealNetwork,
                ),
                4 => vec![(time, Step::Wipe(replica))],
                5 => pair(
                    Step::Kill(Target::Node(machine)),
                    Step::Start(Target::Node(machine)),
                ),
                6 => pair(
                    Step::Freeze(Target::Node(machine)),
                    Step::Unfreeze(Target::Node(machine)),
                ),
                7 => pair(Step::Isolate(Target::Node(machine)), Step::HealNetwork),
                8 => pair(
                    Step::Kill(Target::Backend(machine)),
                    Step::Start(Target::Backend(machine)),
                ),
                9 => pair(
                    Step::Freeze(Target::Backend(machine)),
                    Step::Unfreeze(Target::Backend(machine)),
                ),
                10 => pair(
                    Step::Stop(Target::Backend(machine)),
                    Step::Start(Target::Backend(machine)),
                ),
                11 => pair(
                    Step::Stop(Target::Node(machine)),
                    Step::Start(Target::Node(machine)),
                ),
                12 => pair(Step::RemoveRoute, Step::RestoreRoute),
                _ => vec![
                    (time, Step::AddBackend(machine)),
                    (healed_at, Step::DrainAddedBackends),
                ],
            });
        });
    let last = match rand::Rng::random_range(&mut rng, 0..3u32) {
        0 => [
            (end, Step::KillEverything),
            (end + 2_000, Step::StartEverything),
        ],
        1 => [
            (end, Step::KillAllReplicas),
            (end + 3_000, Step::StartAllReplicas),
        ],
        _ => [
            (
                end,
                Step::Isolate(Target::Node(seed as usize % machine_count)),
            ),
            (end + 4_000, Step::HealNetwork),
        ],
    };
    steps.extend(last);
    steps.sort_by_key(|(time, _)| *time);
    scenario("day", seconds.max(30) * 1_000, steps)
}
