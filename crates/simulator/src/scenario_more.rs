//! Scenarios of addresses, keys, zones, operators and forgers, and a whole day drawn from a seed (design 9.7).

use crate::scenario::{Scenario, SiteSize, Step, Target, scenario};

fn with_observations(scenario: Scenario, provokes: &'static [&'static str]) -> Scenario {
    Scenario {
        must_observe: provokes,
        ..scenario
    }
}

fn everything(machines: usize, cores: usize) -> impl Iterator<Item = Target> + Clone {
    (0..cores)
        .map(Target::Replica)
        .chain((0..machines).map(Target::Node))
}

pub(crate) fn named(name: &str, (machines, cores, zones): SiteSize, seed: u64) -> Option<Scenario> {
    let (at, seat) = (seed as usize % machines, seed as usize % cores);
    let found = match name {
        "reloaded" => {
            let turns = (1..=4u64).flat_map(|turn| {
                everything(machines, cores).map(move |who| (turn * 1_200, Step::Reload(who)))
            });
            Scenario {
                planned_stops_only: true,
                ..scenario("reloaded", 7_000, turns.collect())
            }
        }
        // First under the same usher, then the address of another machine's under a third one.
        "address-reused" => {
            let (next, third) = ((at + 1) % machines, (at + 2) % machines);
            let steps = vec![
                (2_000, Step::Kill(Target::Backend(at))),
                (
                    2_100,
                    Step::ReuseAddress {
                        from: at,
                        beside: at,
                    },
                ),
                (4_000, Step::Kill(Target::Backend(next))),
                (
                    4_100,
                    Step::ReuseAddress {
                        from: next,
                        beside: third,
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
                    Step::AddBackend((at + step) % machines),
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
                (2_000, Step::Kill(Target::Backend(at))),
                (2_000, Step::Kill(Target::Node((at + 1) % machines))),
                (2_100, Step::HealNetwork),
            ];
            with_observations(
                scenario("back-end-gone-for-good", 12_000, steps),
                &["a moved key", "not-run"],
            )
        }
        "herd" => {
            let struck: Vec<Target> = (0..3.min(machines - 1))
                .map(|step| Target::Node((at + step) % machines))
                .chain((0..cores / 2).map(|step| Target::Replica((seat + step) % cores)))
                .collect();
            let kills = struck.iter().map(|who| (2_000, Step::Kill(*who)));
            let starts = struck.iter().map(|who| (5_000, Step::Start(*who)));
            with_observations(
                scenario("herd", 14_000, kills.chain(starts).collect()),
                &["a moved key", "not-run", "a second arrival"],
            )
        }
        "zone-lost" => {
            // Zones are dealt round robin, to core seats and to machines alike.
            let zone = seed as usize % zones;
            let struck: Vec<Target> = (0..machines)
                .filter(|at| at % zones == zone)
                .flat_map(|at| [Target::Node(at), Target::Backend(at)])
                .chain(
                    (0..cores)
                        .filter(|seat| seat % zones == zone)
                        .map(Target::Replica),
                )
                .collect();
            let kills = struck.iter().map(|who| (2_000, Step::Kill(*who)));
            let starts = struck.iter().map(|who| (6_000, Step::Start(*who)));
            with_observations(
                scenario("zone-lost", 16_000, kills.chain(starts).collect()),
                &["not-run"],
            )
        }
        "acked-then-lost" => {
            let others = (1..=(cores - 1) / 2)
                .map(|step| (10_000, Step::Kill(Target::Replica((seat + step) % cores))));
            let steps = [(2_000, Step::LoseAfterAccept(seat))]
                .into_iter()
                .chain(others)
                .chain([(11_500, Step::RemoveRoute), (13_000, Step::RestoreRoute)]);
            scenario("acked-then-lost", 17_000, steps.collect())
        }
        // The power goes soon after an empty disk was let in, when all know its turns only from each other.
        "core-wiped-then-herd" => {
            let steps = vec![
                (1_000, Step::Wipe(seat)),
                (10_000, Step::KillAllReplicas),
                (12_000, Step::StartAllReplicas),
                (14_000, Step::RemoveRoute),
                (17_000, Step::RestoreRoute),
            ];
            scenario("core-wiped-then-herd", 22_000, steps)
        }
        "operators-race" => {
            let few = (0..cores / 2).map(|step| (seat + step) % cores).collect();
            scenario(
                "operators-race",
                12_000,
                vec![
                    (2_000, Step::Partition(few)),
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
                    (3_000, Step::Kill(Target::Backend(at))),
                    (3_100, Step::Start(Target::Backend(at))),
                ],
            ),
            &["a forger refused"],
        ),
        // One seat's disk, then with it as many more as the core can lose.
        "disk-slow" => disk_scenario("disk-slow", crate::disk::DiskFault::Slow, cores, seat),
        "disk-stalled" => {
            disk_scenario("disk-stalled", crate::disk::DiskFault::Stalled, cores, seat)
        }
        "disk-full" => disk_scenario("disk-full", crate::disk::DiskFault::Full, cores, seat),
        "disk-torn" => {
            let ill = [
                (2_000, Step::SetDisk(seat, crate::disk::DiskFault::Torn)),
                (2_500, Step::RemoveRoute),
            ];
            let well = [
                (6_000, Step::SetDisk(seat, crate::disk::DiskFault::Healthy)),
                (6_000, Step::Start(Target::Replica(seat))),
                (9_000, Step::RestoreRoute),
            ];
            scenario("disk-torn", 12_000, ill.into_iter().chain(well).collect())
        }
        _ => return None,
    };
    Some(found)
}

fn disk_scenario(
    name: &'static str,
    ill: crate::disk::DiskFault,
    cores: usize,
    seat: usize,
) -> Scenario {
    let struck: Vec<usize> = (0..cores / 2).map(|step| (seat + step) % cores).collect();
    let ills = struck
        .iter()
        .zip(0u64..)
        .map(|(seat, turn)| (2_000 + turn * 2_000, Step::SetDisk(*seat, ill)));
    let wells = struck
        .iter()
        .map(|seat| (8_000, Step::SetDisk(*seat, crate::disk::DiskFault::Healthy)));
    scenario(
        name,
        13_000,
        ills.chain([(5_000, Step::RemoveRoute)])
            .chain(wells)
            .chain([(10_000, Step::RestoreRoute)])
            .collect(),
    )
}

/// Faults drawn from the seed over a day's minutes, at most one core seat and one machine at a time; then
/// the power of everything, and the evening.
pub(crate) fn day(machines: usize, cores: usize, seed: u64, seconds: u64) -> Scenario {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(seed);
    let end = seconds.max(30) * 1_000 - 20_000;
    let mut steps = Vec::new();
    (0..)
        .map(|turn| 2_000 + turn * 5_000u64)
        .take_while(|time| time + 5_000 < end)
        .for_each(|time| {
            let (at, seat) = (
                rand::Rng::random_range(&mut random, 0..machines),
                rand::Rng::random_range(&mut random, 0..cores),
            );
            let back = time + rand::Rng::random_range(&mut random, 700..3_500u64);
            let pair = |fault, cure| vec![(time, fault), (back, cure)];
            steps.extend(match rand::Rng::random_range(&mut random, 0..14u32) {
                0 => pair(
                    Step::Kill(Target::Replica(seat)),
                    Step::Start(Target::Replica(seat)),
                ),
                1 => pair(
                    Step::Freeze(Target::Replica(seat)),
                    Step::Unfreeze(Target::Replica(seat)),
                ),
                2 => pair(Step::CutOutgoing(Target::Replica(seat)), Step::HealNetwork),
                3 => pair(
                    Step::Partition((0..cores / 2).map(|step| (seat + step) % cores).collect()),
                    Step::HealNetwork,
                ),
                4 => vec![(time, Step::Wipe(seat))],
                5 => pair(Step::Kill(Target::Node(at)), Step::Start(Target::Node(at))),
                6 => pair(
                    Step::Freeze(Target::Node(at)),
                    Step::Unfreeze(Target::Node(at)),
                ),
                7 => pair(Step::Isolate(Target::Node(at)), Step::HealNetwork),
                8 => pair(
                    Step::Kill(Target::Backend(at)),
                    Step::Start(Target::Backend(at)),
                ),
                9 => pair(
                    Step::Freeze(Target::Backend(at)),
                    Step::Unfreeze(Target::Backend(at)),
                ),
                10 => pair(
                    Step::Stop(Target::Backend(at)),
                    Step::Start(Target::Backend(at)),
                ),
                11 => pair(Step::Stop(Target::Node(at)), Step::Start(Target::Node(at))),
                12 => pair(Step::RemoveRoute, Step::RestoreRoute),
                _ => vec![
                    (time, Step::AddBackend(at)),
                    (back, Step::DrainAddedBackends),
                ],
            });
        });
    let last = match rand::Rng::random_range(&mut random, 0..3u32) {
        0 => [
            (end, Step::KillEverything),
            (end + 2_000, Step::StartEverything),
        ],
        1 => [
            (end, Step::KillAllReplicas),
            (end + 3_000, Step::StartAllReplicas),
        ],
        _ => [
            (end, Step::Isolate(Target::Node(seed as usize % machines))),
            (end + 4_000, Step::HealNetwork),
        ],
    };
    steps.extend(last);
    steps.sort_by_key(|(time, _)| *time);
    scenario("day", seconds.max(30) * 1_000, steps)
}
