//! Fleets of any size, drawn: requests by node and moment, nodes that start again, and dispatches wished for as often as
//! they are granted. In no window are there more of them than the promise allows (design 13.10).

type Micros = u64;

const WINDOW: Micros = 10_000_000;
const STEP: Micros = 100_000;
const STEPS: usize = 400;
const RATIO: f64 = 0.2;

type Drawn = (u8, [u8; 10], u8, [bool; 10], Vec<(u8, u16)>);

struct Fleet {
    nodes: u8,
    /// Requests a step in each tenth of the time, over the whole fleet; and how they lean to the first nodes.
    rates: [u8; 10],
    lean: u8,
    /// Greedy in each tenth of the time: whether more dispatches are wished for.
    wishes: [bool; 10],
    restarts: Vec<(u8, u16)>,
}

trait Saved: Default {
    fn earn(&mut self, now: Micros);
    fn spend(&mut self, now: Micros) -> bool;
}

#[derive(Default)]
struct Guarded(outbound::RetryBudget);

impl Saved for Guarded {
    fn earn(&mut self, now: Micros) {
        self.0
            .deposit(now, outbound::RetryBudget::deposit_for_ratio(RATIO));
    }

    fn spend(&mut self, now: Micros) -> bool {
        self.0.withdraw(now)
    }
}

/// What is earned lasts for ever, up to an allowance: as it was before.
#[derive(Default)]
struct Lasting(u64);

impl Saved for Lasting {
    fn earn(&mut self, _: Micros) {
        self.0 = (self.0 + 8).min(900);
    }

    fn spend(&mut self, _: Micros) -> bool {
        let fits = self.0 >= 100;
        self.0 -= if fits { 100 } else { 0 };
        fits
    }
}

/// Requests and further dispatches in each step.
fn play<S: Saved>(fleet: &Fleet) -> Vec<(u64, u64)> {
    let count = fleet.nodes as usize + 1;
    let mut nodes: Vec<S> = (0..count).map(|_| S::default()).collect();
    let mut turn = 0usize;
    let step = |at: usize| {
        let (now, part) = (at as Micros * STEP, at * 10 / STEPS);
        fleet
            .restarts
            .iter()
            .filter(|(_, when)| *when as usize % STEPS == at)
            .for_each(|(node, _)| nodes[*node as usize % count] = S::default());
        let asked = fleet.rates[part] as u64 * 2;
        (0..asked).for_each(|_| {
            turn += 1;
            let own = if fleet.lean > 128 {
                turn % count.min(3)
            } else {
                turn % count
            };
            nodes[own].earn(now);
        });
        let mut more = 0;
        if fleet.wishes[part] {
            nodes.iter_mut().for_each(|node| {
                more += std::iter::from_fn(|| node.spend(now).then_some(())).count() as u64
            });
        }
        (asked, more)
    };
    (0..STEPS).map(step).collect()
}

/// The most by which a window goes beyond its share; the slack is what a site allows on top.
fn beyond(seen: &[(u64, u64)]) -> f64 {
    let wide = (WINDOW / STEP) as usize;
    let asked = |from: i64| -> u64 {
        (from.max(0)..(from + wide as i64).max(0))
            .filter_map(|at| seen.get(at as usize))
            .map(|(asked, _)| asked)
            .sum()
    };
    let window = |from: usize| {
        let more: u64 = seen[from..(from + wide).min(seen.len())]
            .iter()
            .map(|(_, more)| more)
            .sum();
        let base = [
            from as i64,
            from as i64 - wide as i64,
            from as i64 - wide as i64 / 2,
        ]
        .map(asked)
        .into_iter()
        .max()
        .unwrap_or(0);
        more as f64 - RATIO * base as f64
    };
    (0..seen.len()).map(window).fold(f64::MIN, f64::max)
}

#[test]
fn in_every_window_of_any_fleet_further_dispatches_keep_within_the_share_without_any_slack() {
    test_support::drawn::<Drawn>(400, |(nodes, rates, lean, wishes, restarts)| {
        let fleet = Fleet {
            nodes: *nodes,
            rates: *rates,
            lean: *lean,
            wishes: *wishes,
            restarts: restarts.clone(),
        };
        let most = beyond(&play::<Guarded>(&fleet));
        assert!(most <= 0.0, "{most}");
    });
}

#[test]
fn what_lasts_for_ever_breaks_the_promise_of_seventy_eight_nodes_though_each_saves_little() {
    let mut fleet = Fleet {
        nodes: 77,
        rates: [250; 10],
        lean: 0,
        wishes: [false; 10],
        restarts: Vec::new(),
    };
    fleet.rates[4..].fill(4);
    fleet.wishes[8..].fill(true);
    assert!(beyond(&play::<Lasting>(&fleet)) > 188.0);
    assert!(beyond(&play::<Guarded>(&fleet)) <= 0.0);
}
