//! A service divided by key, in virtual time: back ends fall ill, and the placing of keys follows what became of
//! their runs (design 13.8). Without the word that one is ill, what it holds is lost for as long as it is ill.

use super::*;
use model::bill::{Act, Player, Service};
use rand::Rng as _;

const BACK_ENDS: usize = 24;
const SLOTS: u32 = 9;
const REQUESTS_A_SECOND: f64 = 600.0;
const MEAN: f64 = 160_000.0;
const WAIT: Micros = 1_200_000;
/// From a placement until the earlier holder has let go.
const HANDED_OVER: Micros = 500_000;
const SECOND: Micros = 1_000_000;

#[derive(Clone, Copy)]
struct Scene {
    /// How many are ill, from when until when, and the share of their runs that come to nothing.
    ill: (usize, Micros, Micros, f64),
    hang: bool,
    guard: bool,
    until: Micros,
}

#[derive(Default, Debug)]
struct Seen {
    asked: u32,
    /// Came to nothing, and found nobody while a key moved.
    lost: u32,
    gap: u32,
    moved: u32,
    /// When those that are ill held less than a third of what they held.
    over: Option<Micros>,
    /// Judged ill while they were well.
    wrongly: u32,
}

impl Seen {
    /// What was lost; whoever found nobody comes again, in time as often as not.
    fn worth(&self) -> u32 {
        self.lost + self.gap / 2
    }
}

/// The back end, the run's number, what it says, and how long it took.
type End = (usize, u64, inbound::Ended, Option<Micros>);

struct Actor {
    health: inbound::Health,
    buffer: inbound::Buffer<()>,
    demand: inbound::Demand,
    told: Micros,
    was_ill: bool,
}

fn name(at: usize) -> String {
    format!("b{at:02}")
}

fn bill() -> model::Bill {
    let mut bill = model::Bill::default();
    let body = model::bill::Body::Service(Service { health_path: String::new(), conns: 0, keyed: true, warm_us: 0 });
    let put = model::bill::items::Put { name: "seat".into(), version: 1, body, text: String::new() };
    bill.apply("operator", 1, 0, Act::Items(model::bill::Call { puts: vec![put], drops: Vec::new() }));
    let node = |at: usize| Report::Node { node: format!("n{at}"), zone: "z".into(), address: format!("n{at}"), life: 1, replaces: 0 };
    let player =
        |at: usize| Player { service: "seat".into(), zone: "z".into(), node: format!("n{at}"), slots: SLOTS, phase: model::Phase::Registered, since: 0 };
    let all = (0..BACK_ENDS).flat_map(|at| [node(at), Report::Joined { name: name(at), player: player(at) }]).collect();
    bill.apply("nodes", 1, 1, Act::Reports(all));
    bill
}

fn keys(programme: &Programme, ill: usize) -> u32 {
    let rows = programme.castings.get("seat").map(|casting| casting.1.clone()).unwrap_or_default();
    let held = rows.iter().filter(|row| row.holder.as_deref().is_some_and(|holder| holder < name(ill).as_str()));
    held.map(|row| (row.to - row.from) as u32 + 1).sum()
}

fn play(scene: Scene) -> Seen {
    let mut random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(41);
    let mut bill = bill();
    let mut sequence = 1;
    let mut apply = |bill: &mut model::Bill, report| {
        sequence += 1;
        bill.apply("nodes", 1, sequence, Act::Reports(vec![report]));
        Programme::default().told(true, bill.position, bill.whole())
    };
    let mut programme = Programme::default().told(true, bill.position, bill.whole());
    let player = || Actor { health: Default::default(), buffer: Default::default(), demand: Default::default(), told: 0, was_ill: false };
    let mut players: Vec<Actor> = (0..BACK_ENDS).map(|_| player()).collect();
    let mut ends: std::collections::BTreeMap<(Micros, u64), End> = Default::default();
    let mut ills = Ills::default();
    let (mut told, mut seen, mut releases, mut placed, mut begun, mut due) = (Told::new(), Seen::default(), Vec::new(), 0, 0u64, 0.0);
    let (ill, from, to, share) = scene.ill;
    for now in (1..scene.until / 1_000).map(|at| at * 1_000) {
        while let Some(((at, _), (of, number, ended, took))) = ends.first_key_value().map(|(key, end)| (*key, *end)).filter(|((at, _), _)| *at <= now) {
            ends.pop_first();
            let player = &mut players[of];
            player.health.ended(at, number, ended);
            took.into_iter().for_each(|took| player.buffer.ran(took));
            player.health.look(at, player.buffer.seen_run());
        }
        due += REQUESTS_A_SECOND / 1_000.0;
        while due >= 1.0 && programme.castings.contains_key("seat") {
            due -= 1.0;
            seen.asked += 1;
            let key: u16 = random.random();
            let Some(row) = model::bill::rows::holder_of(&programme.castings["seat"].1, key) else { continue };
            let of = (0..BACK_ENDS).find(|at| row.holder.as_ref() == Some(&name(*at))).filter(|_| row.owed.is_empty());
            let Some(of) = of.filter(|of| players[*of].health.running() < 2 * SLOTS as usize) else {
                seen.gap += 1;
                continue;
            };
            let sick = of < ill && (from..to).contains(&now) && random.random_bool(share);
            let took = (-MEAN * (1.0 - random.random::<f64>()).ln()) as Micros;
            let (took, ended) = match (sick, scene.hang) {
                (true, true) => (WAIT, inbound::Ended::Unclear),
                (true, false) => (2_000, inbound::Ended::Bad),
                _ if random.random_bool(0.03) => (took, inbound::Ended::Bad),
                _ => (took.min(WAIT), inbound::Ended::Good),
            };
            seen.lost += sick as u32;
            let player = &mut players[of];
            player.demand.asked(now, key);
            begun += 1;
            let number = player.health.begin(now);
            player.health.look(now, player.buffer.seen_run());
            ends.insert((now + took, begun), (of, number, ended, (ended != inbound::Ended::Unclear).then_some(took)));
        }
        if now % 100_000 == 0 {
            players.iter_mut().enumerate().for_each(|(at, player)| {
                let is_ill = player.health.ill();
                seen.wrongly += (is_ill && !player.was_ill && !(at < ill && now > from && now < to + 2 * SECOND)) as u32;
                player.was_ill = is_ill;
                if now >= player.told + if is_ill { TELL_SOON } else { TELL } {
                    let rows = programme.castings.get("seat").map(|casting| casting.1.clone()).unwrap_or_default();
                    let own: Vec<(u16, u16)> = rows.iter().filter(|row| row.holder == Some(name(at))).map(|row| (row.from, row.to)).collect();
                    let (asked, weight) = player.demand.tell(now, &own, RANGES);
                    let (run, runs) = player.buffer.seen_run();
                    let load = transport::Load {
                        service: "seat".into(),
                        back_end: name(at),
                        slots: SLOTS,
                        run,
                        runs,
                        asked,
                        seen: weight,
                        ill: is_ill && scene.guard,
                    };
                    (player.told, _) = (now, told.insert(name(at), (now, load)));
                }
            });
            releases.retain(|(at, by): &(Micros, Report)| {
                let waits = now < *at;
                if !waits {
                    programme = apply(&mut bill, by.clone());
                }
                waits
            });
            if let Some((base, rows, _)) = plan(&programme, "seat", &told, &ills.now(now, &told, BACK_ENDS), Some(now.saturating_sub(placed))) {
                programme = apply(&mut bill, Report::Recast { service: "seat".into(), base, rows });
                placed = now;
                programme.castings["seat"].1.iter().filter(|row| row.fence == programme.position).for_each(|row| {
                    row.owed.iter().for_each(|(earlier, _)| {
                        seen.moved += (row.to - row.from) as u32 + 1;
                        let rows = vec![(row.from, row.to, "t".to_string())];
                        let report = Report::Released { service: "seat".into(), name: earlier.clone(), through: programme.position, rows };
                        releases.push((now + HANDED_OVER, report));
                    });
                });
            }
            if now > from && seen.over.is_none() && ill > 0 && keys(&programme, ill) < 65_536 / BACK_ENDS as u32 * ill as u32 / 3 {
                seen.over = Some(now - from);
            }
        }
    }
    eprintln!("{seen:?}");
    seen
}

const HUNG: Scene = Scene { ill: (3, 8 * SECOND, 16 * SECOND, 0.45), hang: true, guard: true, until: 24 * SECOND };

#[test]
fn keys_leave_whoever_lets_runs_hang_and_most_of_the_loss_is_spared() {
    let (with, without) = (play(HUNG), play(Scene { guard: false, ..HUNG }));
    assert!(with.over.is_some_and(|over| over <= 3 * SECOND), "{with:?}");
    assert!(without.over.is_none(), "{without:?}");
    assert!(with.worth() * 2 < without.worth(), "{with:?} {without:?}");
    assert_eq!(with.wrongly, 0);
}

#[test]
fn keys_leave_whoever_answers_troubles_at_once_though_it_looks_fast() {
    let scene = Scene { hang: false, ..HUNG };
    let (with, without) = (play(scene), play(Scene { guard: false, ..scene }));
    assert!(with.over.is_some_and(|over| over <= 3 * SECOND), "{with:?}");
    assert!(with.worth() * 2 < without.worth(), "{with:?} {without:?}");
}

#[test]
fn where_nobody_is_ill_nobody_is_taken_for_it_and_keys_stay() {
    let calm = Scene { ill: (0, 0, 0, 0.0), until: 40 * SECOND, ..HUNG };
    let (with, without) = (play(calm), play(Scene { guard: false, ..calm }));
    assert_eq!((with.wrongly, with.moved), (0, without.moved));
}

#[test]
fn where_all_are_ill_the_cause_is_elsewhere_and_no_key_moves_for_it() {
    let all = Scene { ill: (BACK_ENDS, 8 * SECOND, 16 * SECOND, 0.5), hang: false, ..HUNG };
    let (with, without) = (play(all), play(Scene { guard: false, ..all }));
    assert!(with.moved <= without.moved + 6_554, "{with:?} {without:?}");
}
