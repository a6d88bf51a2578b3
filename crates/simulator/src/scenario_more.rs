//! Scenarios of addresses, keys, zones, operators and forgers, and a whole day drawn from a seed (design 9.7).

use crate::scenario::{Scenario, Size, Step, Who, scenario};

fn provoking(scenario: Scenario, provokes: &'static [&'static str]) -> Scenario {
    Scenario {
        provokes,
        ..scenario
    }
}

fn all(machines: usize, cores: usize) -> impl Iterator<Item = Who> + Clone {
    (0..cores)
        .map(Who::Core)
        .chain((0..machines).map(Who::Usher))
}

pub(crate) fn named(name: &str, (machines, cores, zones): Size, seed: u64) -> Option<Scenario> {
    let (at, seat) = (seed as usize % machines, seed as usize % cores);
    let found = match name {
        "reloaded" => {
            let turns = (1..=4u64).flat_map(|turn| {
                all(machines, cores).map(move |who| (turn * 1_200, Step::Reload(who)))
            });
            Scenario {
                planned: true,
                ..scenario("reloaded", 7_000, turns.collect())
            }
        }
        // First under the same usher, then the address of another machine's under a third one.
        "address-reused" => {
            let (next, third) = ((at + 1) % machines, (at + 2) % machines);
            let steps = vec![
                (2_000, Step::Kill(Who::BackEnd(at))),
                (
                    2_100,
                    Step::Inherit {
                        from: at,
                        beside: at,
                    },
                ),
                (4_000, Step::Kill(Who::BackEnd(next))),
                (
                    4_100,
                    Step::Inherit {
                        from: next,
                        beside: third,
                    },
                ),
                (9_000, Step::Mend),
            ];
            provoking(
                scenario("address-reused", 12_000, steps),
                &["an address reused", "a moved key"],
            )
        }
        "hot-key" => provoking(
            scenario("hot-key", 16_000, vec![(6_000, Step::Heat)]),
            &["a hot key"],
        ),
        "back-ends-added-empty" => {
            let adds = (0..3).map(|step| {
                (
                    1_000 + step as u64 * 1_000,
                    Step::Add((at + step) % machines),
                )
            });
            provoking(
                scenario(
                    "back-ends-added-empty",
                    13_000,
                    adds.chain([(7_000, Step::DrainAdded)]).collect(),
                ),
                &["a moved key"],
            )
        }
        "back-end-gone-for-good" => {
            let steps = vec![
                (2_000, Step::Kill(Who::BackEnd(at))),
                (2_000, Step::Kill(Who::Usher((at + 1) % machines))),
                (2_100, Step::Mend),
            ];
            provoking(
                scenario("back-end-gone-for-good", 12_000, steps),
                &["a moved key", "not-run"],
            )
        }
        "herd" => {
            let struck: Vec<Who> = (0..3.min(machines - 1))
                .map(|step| Who::Usher((at + step) % machines))
                .chain((0..cores / 2).map(|step| Who::Core((seat + step) % cores)))
                .collect();
            let kills = struck.iter().map(|who| (2_000, Step::Kill(*who)));
            let starts = struck.iter().map(|who| (5_000, Step::Start(*who)));
            provoking(
                scenario("herd", 14_000, kills.chain(starts).collect()),
                &["a moved key", "not-run", "a second arrival"],
            )
        }
        "zone-lost" => {
            // Zones are dealt round robin, to core seats and to machines alike.
            let zone = seed as usize % zones;
            let struck: Vec<Who> = (0..machines)
                .filter(|at| at % zones == zone)
                .flat_map(|at| [Who::Usher(at), Who::BackEnd(at)])
                .chain(
                    (0..cores)
                        .filter(|seat| seat % zones == zone)
                        .map(Who::Core),
                )
                .collect();
            let kills = struck.iter().map(|who| (2_000, Step::Kill(*who)));
            let starts = struck.iter().map(|who| (6_000, Step::Start(*who)));
            provoking(
                scenario("zone-lost", 16_000, kills.chain(starts).collect()),
                &["not-run"],
            )
        }
        "acked-then-lost" => {
            let others = (1..=(cores - 1) / 2)
                .map(|step| (10_000, Step::Kill(Who::Core((seat + step) % cores))));
            let steps = [(2_000, Step::AckThenLose(seat))]
                .into_iter()
                .chain(others)
                .chain([(11_500, Step::Forbid), (13_000, Step::Allow)]);
            scenario("acked-then-lost", 17_000, steps.collect())
        }
        // The power goes soon after an empty disk was let in, when all know its turns only from each other.
        "core-wiped-then-herd" => {
            let steps = vec![
                (1_000, Step::Wipe(seat)),
                (10_000, Step::KillCore),
                (12_000, Step::StartCore),
                (14_000, Step::Forbid),
                (17_000, Step::Allow),
            ];
            scenario("core-wiped-then-herd", 22_000, steps)
        }
        "operators-race" => {
            let few = (0..cores / 2).map(|step| (seat + step) % cores).collect();
            scenario(
                "operators-race",
                12_000,
                vec![
                    (2_000, Step::Split(few)),
                    (6_000, Step::Mend),
                    (7_000, Step::Forbid),
                    (9_000, Step::Allow),
                ],
            )
        }
        "forged" => provoking(
            scenario(
                "forged",
                8_000,
                vec![
                    (3_000, Step::Kill(Who::BackEnd(at))),
                    (3_100, Step::Start(Who::BackEnd(at))),
                ],
            ),
            &["a forger refused"],
        ),
        // One seat's disk, then with it as many more as the core can lose.
        "disk-slow" => disk("disk-slow", crate::disk::Ill::Slow, cores, seat),
        "disk-stalled" => disk("disk-stalled", crate::disk::Ill::Stalled, cores, seat),
        "disk-full" => disk("disk-full", crate::disk::Ill::Full, cores, seat),
        "disk-torn" => {
            let ill = [
                (2_000, Step::Disk(seat, crate::disk::Ill::Torn)),
                (2_500, Step::Forbid),
            ];
            let well = [
                (6_000, Step::Disk(seat, crate::disk::Ill::Sound)),
                (6_000, Step::Start(Who::Core(seat))),
                (9_000, Step::Allow),
            ];
            scenario("disk-torn", 12_000, ill.into_iter().chain(well).collect())
        }
        _ => return None,
    };
    Some(found)
}

fn disk(name: &'static str, ill: crate::disk::Ill, cores: usize, seat: usize) -> Scenario {
    let struck: Vec<usize> = (0..cores / 2).map(|step| (seat + step) % cores).collect();
    let ills = struck
        .iter()
        .zip(0u64..)
        .map(|(seat, turn)| (2_000 + turn * 2_000, Step::Disk(*seat, ill)));
    let wells = struck
        .iter()
        .map(|seat| (8_000, Step::Disk(*seat, crate::disk::Ill::Sound)));
    scenario(
        name,
        13_000,
        ills.chain([(5_000, Step::Forbid)])
            .chain(wells)
            .chain([(10_000, Step::Allow)])
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
                0 => pair(Step::Kill(Who::Core(seat)), Step::Start(Who::Core(seat))),
                1 => pair(Step::Freeze(Who::Core(seat)), Step::Wake(Who::Core(seat))),
                2 => pair(Step::Mute(Who::Core(seat)), Step::Mend),
                3 => pair(
                    Step::Split((0..cores / 2).map(|step| (seat + step) % cores).collect()),
                    Step::Mend,
                ),
                4 => vec![(time, Step::Wipe(seat))],
                5 => pair(Step::Kill(Who::Usher(at)), Step::Start(Who::Usher(at))),
                6 => pair(Step::Freeze(Who::Usher(at)), Step::Wake(Who::Usher(at))),
                7 => pair(Step::Isolate(Who::Usher(at)), Step::Mend),
                8 => pair(Step::Kill(Who::BackEnd(at)), Step::Start(Who::BackEnd(at))),
                9 => pair(Step::Freeze(Who::BackEnd(at)), Step::Wake(Who::BackEnd(at))),
                10 => pair(Step::Stop(Who::BackEnd(at)), Step::Start(Who::BackEnd(at))),
                11 => pair(Step::Stop(Who::Usher(at)), Step::Start(Who::Usher(at))),
                12 => pair(Step::Forbid, Step::Allow),
                _ => vec![(time, Step::Add(at)), (back, Step::DrainAdded)],
            });
        });
    let last = match rand::Rng::random_range(&mut random, 0..3u32) {
        0 => [
            (end, Step::KillEverything),
            (end + 2_000, Step::StartEverything),
        ],
        1 => [(end, Step::KillCore), (end + 3_000, Step::StartCore)],
        _ => [
            (end, Step::Isolate(Who::Usher(seed as usize % machines))),
            (end + 4_000, Step::Mend),
        ],
    };
    steps.extend(last);
    steps.sort_by_key(|(time, _)| *time);
    scenario("day", seconds.max(30) * 1_000, steps)
}
