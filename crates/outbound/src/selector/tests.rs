//! A service that any back end serves, in virtual time: near nodes pick, far nodes pass over whose runs come to nothing
//! (design 13.8).

use super::*;
use rand::Rng as _;
use std::collections::BTreeMap;

const BACK_ENDS: usize = 16;
const NEAR: usize = 40;
const SLOTS: u32 = 9;
const A_SECOND: f64 = 700.0;
const MEAN: f64 = 80_000.0;
const SECOND: Microseconds = 1_000_000;

/// The near node, the back end, the run's number, what it says, and how long it took.
type End = (usize, usize, u64, inbound::RunResult, Microseconds);

#[derive(Clone, Copy)]
enum How {
    /// A trouble at once.
    Errors,
    Hang,
    /// Troubles in one part of a second and a half, none in the other.
    Flap,
}

#[derive(Clone, Copy)]
struct Scene {
    ill: usize,
    from: Microseconds,
    to: Microseconds,
    how: How,
    guard: bool,
}

#[derive(Debug, Default)]
struct Seen {
    asked: u32,
    lost: u32,
    /// Times a request was passed over.
    hops: u32,
    wrongly: u32,
    /// Lost in each second.
    each: Vec<u32>,
    /// Given to those that were ill in the last two seconds.
    back: u32,
}

fn play(scene: Scene) -> Seen {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(43);
    let env = SelectorConfig {
        zone_crossing_cost: 30_000,
        retry_deposit: 6,
    };
    let mut near: Vec<Selector> = (0..NEAR).map(|_| Selector::new(env)).collect();
    let mut far: Vec<(inbound::OutlierDetector, inbound::AdmissionQueue<()>)> =
        (0..BACK_ENDS).map(|_| Default::default()).collect();
    let mut ends: BTreeMap<(Microseconds, u64), End> = Default::default();
    let until = scene.to + 12 * SECOND;
    let (mut seen, mut due, mut begun) = (
        Seen {
            each: vec![0; (until / SECOND) as usize + 1],
            ..Default::default()
        },
        0.0,
        0u64,
    );
    let names: Vec<String> = (0..BACK_ENDS).map(|at| format!("b{at:02}")).collect();
    for now in (1..until / 1_000).map(|at| at * 1_000) {
        while let Some((key, (by, of, number, ended, took))) = ends
            .first_key_value()
            .map(|(key, end)| (*key, *end))
            .filter(|((at, _), _)| *at <= now)
        {
            ends.remove(&key);
            let was = far[of].0.is_ejected();
            far[of].0.run_ended(now, number, ended);
            let run = far[of].1.mean_run();
            far[of].0.check_overdue(now, run);
            seen.wrongly += (!was
                && far[of].0.is_ejected()
                && !(of < scene.ill && now >= scene.from && now < scene.to + 2 * SECOND))
                as u32;
            (ended != inbound::RunResult::Inconclusive).then(|| far[of].1.record_run(took));
            let told = far[of]
                .1
                .expected_wait(now, u8::MAX, far[of].0.running(), SLOTS as usize)
                + run.0 / 2;
            near[by].attempt_finished(
                now,
                &names[of],
                Some(told),
                ended == inbound::RunResult::Inconclusive,
            );
        }
        due += A_SECOND / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            seen.asked += 1;
            let (by, repeatable) = (random.random_range(0..NEAR), random.random_bool(0.6));
            let (mut over, mut declined): (Vec<usize>, u8) = Default::default();
            let of = loop {
                let open = (0..BACK_ENDS).filter(|at| !over.contains(at));
                let candidates: Vec<Candidate> = open
                    .map(|at| Candidate {
                        name: names[at].clone(),
                        slots: SLOTS,
                        same_zone: at % 4 == by % 4,
                    })
                    .collect();
                let picked = near[by].select(now, &candidates).expect("there are some");
                let of = names
                    .iter()
                    .position(|name| *name == picked)
                    .expect("it is one of them");
                let elsewhere = far[of]
                    .0
                    .declines(now, repeatable)
                    .filter(|_| scene.guard && declined < 2);
                let Some(elsewhere) = elsewhere else { break of };
                near[by].attempt_finished(now, &picked, Some(elsewhere), false);
                over.push(of);
                (declined, seen.hops) = (declined + 1, seen.hops + 1);
            };
            let up = !matches!(scene.how, How::Flap) || now / 750_000 % 2 == 0;
            let sick = of < scene.ill && (scene.from..scene.to).contains(&now) && up;
            let took = (-MEAN * (1.0 - random.random::<f64>()).ln()) as Microseconds;
            let (took, ended) = match (sick, scene.how) {
                (true, How::Hang) => (SECOND, inbound::RunResult::Inconclusive),
                (true, _) => (2_000, inbound::RunResult::Failure),
                _ if random.random_bool(0.03) => (took, inbound::RunResult::Failure),
                _ => (took, inbound::RunResult::Success),
            };
            seen.lost += sick as u32;
            seen.back += (of < scene.ill && now > until - 2 * SECOND) as u32;
            seen.each[(now / SECOND) as usize] += sick as u32;
            begun += 1;
            let number = far[of].0.run_started(now);
            let run = far[of].1.mean_run();
            far[of].0.check_overdue(now, run);
            ends.insert((now + took, begun), (by, of, number, ended, took));
        }
    }
    eprintln!("{seen:?}");
    seen
}

const ERRORS: Scene = Scene {
    ill: 2,
    from: 8 * SECOND,
    to: 16 * SECOND,
    how: How::Errors,
    guard: true,
};

/// What was lost in the second and later seconds of it.
fn later(seen: &Seen) -> u32 {
    seen.each[9..16].iter().sum()
}

#[test]
fn who_answers_troubles_at_once_is_passed_over_within_a_second_and_comes_back() {
    let (with, without) = (
        play(ERRORS),
        play(Scene {
            guard: false,
            ..ERRORS
        }),
    );
    assert!(with.lost * 6 < without.lost, "{with:?} {without:?}");
    assert!(later(&with) * 12 < later(&without), "{with:?} {without:?}");
    assert!(
        with.back > 2 * A_SECOND as u32 * 2 / BACK_ENDS as u32 / 2,
        "it has its share again: {with:?}"
    );
    assert_eq!(with.wrongly, 0);
}

#[test]
fn who_lets_runs_hang_is_passed_over_before_they_end() {
    let hang = Scene {
        how: How::Hang,
        ..ERRORS
    };
    let (with, without) = (
        play(hang),
        play(Scene {
            guard: false,
            ..hang
        }),
    );
    assert!(with.lost * 2 < without.lost, "{with:?} {without:?}");
}

#[test]
fn who_flaps_comes_back_ever_more_slowly() {
    let flap = Scene {
        how: How::Flap,
        to: 24 * SECOND,
        ..ERRORS
    };
    let (with, without) = (
        play(flap),
        play(Scene {
            guard: false,
            ..flap
        }),
    );
    assert!(with.lost * 4 < without.lost, "{with:?} {without:?}");
    let (first, last): (u32, u32) = (
        with.each[8..12].iter().sum(),
        with.each[20..24].iter().sum(),
    );
    assert!(last * 3 < first, "{with:?}");
}

#[test]
fn where_all_are_ill_a_request_goes_past_two_and_is_taken() {
    let all = play(Scene {
        ill: BACK_ENDS,
        ..ERRORS
    });
    assert!(all.hops <= 2 * all.asked, "{all:?}");
    assert!(all.back > 1_000, "all serve again: {all:?}");
}
