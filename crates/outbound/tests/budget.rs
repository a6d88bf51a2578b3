//! Drawn fleets of any size: requests by node and moment, nodes that start again, and retries wished
//! for as often as they are granted. In no window are there more of them than the promise allows
//! (design 13.10).

use std::iter;

use outbound::RetryBudget;

type Microseconds = u64;

const WINDOW: Microseconds = 10_000_000;
const STEP: Microseconds = 100_000;
const STEPS: usize = 400;
const RATIO: f64 = 0.2;

type Drawn = (u8, [u8; 10], u8, [bool; 10], Vec<(u8, u16)>);

struct Fleet {
    nodes: u8,
    /// Requests a step in each tenth of the time, over the whole fleet.
    rates: [u8; 10],
    /// Above 128 the first three nodes take all requests.
    lean: u8,
    /// Whether retries are wished for, in each tenth of the time.
    wishes: [bool; 10],
    /// Nodes that start again, and in which step.
    restarts: Vec<(u8, u16)>,
}

trait Budget: Default {
    fn deposit(&mut self, now: Microseconds);
    fn withdraw(&mut self, now: Microseconds) -> bool;
}

#[derive(Default)]
struct Expiring(RetryBudget);

impl Budget for Expiring {
    fn deposit(&mut self, now: Microseconds) {
        self.0.deposit(now, RetryBudget::deposit_for_ratio(RATIO));
    }

    fn withdraw(&mut self, now: Microseconds) -> bool {
        self.0.withdraw(now)
    }
}

/// What is earned lasts for ever, up to an allowance: as it was before.
#[derive(Default)]
struct Lasting(u64);

impl Budget for Lasting {
    fn deposit(&mut self, _: Microseconds) {
        self.0 = (self.0 + 8).min(900);
    }

    fn withdraw(&mut self, _: Microseconds) -> bool {
        let suffices = self.0 >= 100;
        self.0 -= if suffices { 100 } else { 0 };
        suffices
    }
}

struct Step {
    requests: u64,
    retries: u64,
}

fn simulate<B: Budget>(fleet: &Fleet) -> Vec<Step> {
    let count = fleet.nodes as usize + 1;
    let mut nodes: Vec<B> = (0..count).map(|_| B::default()).collect();
    let mut turn = 0usize;
    let mut steps = Vec::with_capacity(STEPS);
    for step in 0..STEPS {
        let (now, tenth) = (step as Microseconds * STEP, step * 10 / STEPS);
        for (node, when) in &fleet.restarts {
            if *when as usize % STEPS == step {
                nodes[*node as usize % count] = B::default();
            }
        }
        let requests = fleet.rates[tenth] as u64 * 2;
        for _ in 0..requests {
            turn += 1;
            let node = if fleet.lean > 128 {
                turn % count.min(3)
            } else {
                turn % count
            };
            nodes[node].deposit(now);
        }
        let mut retries = 0;
        if fleet.wishes[tenth] {
            for node in &mut nodes {
                retries += iter::from_fn(|| node.withdraw(now).then_some(())).count() as u64;
            }
        }
        steps.push(Step { requests, retries });
    }
    steps
}

/// The most by which a window goes beyond its share; the slack is what a site allows on top.
fn most_beyond_share(steps: &[Step]) -> f64 {
    let steps_in_window = (WINDOW / STEP) as usize;
    let requests = |from: i64| -> u64 {
        let window = from.max(0)..(from + steps_in_window as i64).max(0);
        window
            .filter_map(|step| steps.get(step as usize))
            .map(|step| step.requests)
            .sum()
    };
    let beyond = |from: usize| {
        let window = &steps[from..(from + steps_in_window).min(steps.len())];
        let retries: u64 = window.iter().map(|step| step.retries).sum();
        let (from, width) = (from as i64, steps_in_window as i64);
        let base = [from, from - width, from - width / 2]
            .map(requests)
            .into_iter()
            .max();
        retries as f64 - RATIO * base.unwrap_or(0) as f64
    };
    (0..steps.len()).map(beyond).fold(f64::MIN, f64::max)
}

#[test]
fn in_every_window_of_any_fleet_retries_keep_within_the_share_without_any_slack() {
    test_support::drawn::<Drawn>(400, |(nodes, rates, lean, wishes, restarts)| {
        let fleet = Fleet {
            nodes: *nodes,
            rates: *rates,
            lean: *lean,
            wishes: *wishes,
            restarts: restarts.clone(),
        };
        let most = most_beyond_share(&simulate::<Expiring>(&fleet));
        assert!(most <= 0.0, "{most}");
    });
}

#[test]
fn a_budget_that_lasts_for_ever_breaks_the_promise_of_seventy_eight_nodes_though_each_saves_little()
{
    let mut fleet = Fleet {
        nodes: 77,
        rates: [250; 10],
        lean: 0,
        wishes: [false; 10],
        restarts: Vec::new(),
    };
    fleet.rates[4..].fill(4);
    fleet.wishes[8..].fill(true);
    assert!(most_beyond_share(&simulate::<Lasting>(&fleet)) > 188.0);
    assert!(most_beyond_share(&simulate::<Expiring>(&fleet)) <= 0.0);
}
