//! Simulation of the retry budget on randomly generated fleets, with varying request rates and node
//! restarts. Nodes retry as often as their budgets allow. In no window may the retries exceed the
//! guaranteed ratio (design 13.10).

use std::iter;

use outbound::RetryBudget;

type Microseconds = u64;

const WINDOW: Microseconds = 10_000_000;
const STEP: Microseconds = 100_000;
const STEPS: usize = 400;
const RATIO: f64 = 0.2;

type RandomFleet = (u8, [u8; 10], u8, [bool; 10], Vec<(u8, u16)>);

struct Fleet {
    nodes: u8,
    /// Half of the requests per step of the whole fleet, in each tenth of the simulated time.
    rates: [u8; 10],
    /// Selects the distribution of requests: above 128, the first three nodes receive all of them.
    skew: u8,
    /// Whether nodes retry, in each tenth of the simulated time.
    retry_demand: [bool; 10],
    /// The nodes that restart, each with the step of its restart.
    restarts: Vec<(u8, u16)>,
}

trait SimulatedBudget: Default {
    fn deposit(&mut self, now: Microseconds);
    fn withdraw(&mut self, now: Microseconds) -> bool;
}

#[derive(Default)]
struct ExpiringBudget(RetryBudget);

impl SimulatedBudget for ExpiringBudget {
    fn deposit(&mut self, now: Microseconds) {
        self.0.deposit(now, RetryBudget::deposit_for_ratio(RATIO));
    }

    fn withdraw(&mut self, now: Microseconds) -> bool {
        self.0.withdraw(now)
    }
}

/// A former design, for comparison: deposits never expire, and are kept up to an allowance.
#[derive(Default)]
struct NonExpiringBudget(u64);

impl SimulatedBudget for NonExpiringBudget {
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

fn simulate<B: SimulatedBudget>(fleet: &Fleet) -> Vec<Step> {
    let count = fleet.nodes as usize + 1;
    let mut nodes: Vec<B> = (0..count).map(|_| B::default()).collect();
    let mut request_count = 0usize;
    let mut steps = Vec::with_capacity(STEPS);
    for step in 0..STEPS {
        let (now, tenth) = (step as Microseconds * STEP, step * 10 / STEPS);
        for (node, restart_step) in &fleet.restarts {
            if *restart_step as usize % STEPS == step {
                nodes[*node as usize % count] = B::default();
            }
        }
        let requests = fleet.rates[tenth] as u64 * 2;
        for _ in 0..requests {
            request_count += 1;
            let node = if fleet.skew > 128 {
                request_count % count.min(3)
            } else {
                request_count % count
            };
            nodes[node].deposit(now);
        }
        let mut retries = 0;
        if fleet.retry_demand[tenth] {
            for node in &mut nodes {
                retries += iter::from_fn(|| node.withdraw(now).then_some(())).count() as u64;
            }
        }
        steps.push(Step { requests, retries });
    }
    steps
}

/// Returns the largest number of retries by which any window exceeds the guaranteed ratio. A site's
/// additional allowance is not included.
fn max_excess_retries(steps: &[Step]) -> f64 {
    let steps_in_window = (WINDOW / STEP) as usize;
    let requests = |from: i64| -> u64 {
        let window = from.max(0)..(from + steps_in_window as i64).max(0);
        window
            .filter_map(|step| steps.get(step as usize))
            .map(|step| step.requests)
            .sum()
    };
    let excess_in_window = |from: usize| {
        let window = &steps[from..(from + steps_in_window).min(steps.len())];
        let retries: u64 = window.iter().map(|step| step.retries).sum();
        let (from, width) = (from as i64, steps_in_window as i64);
        let reference_requests = [from, from - width, from - width / 2]
            .map(requests)
            .into_iter()
            .max();
        retries as f64 - RATIO * reference_requests.unwrap_or(0) as f64
    };
    (0..steps.len())
        .map(excess_in_window)
        .fold(f64::MIN, f64::max)
}

#[test]
fn retries_of_any_fleet_stay_within_the_ratio_in_every_window() {
    test_support::check_generated::<RandomFleet>(
        400,
        |(nodes, rates, skew, retry_demand, restarts)| {
            let fleet = Fleet {
                nodes: *nodes,
                rates: *rates,
                skew: *skew,
                retry_demand: *retry_demand,
                restarts: restarts.clone(),
            };
            let max_excess = max_excess_retries(&simulate::<ExpiringBudget>(&fleet));
            assert!(max_excess <= 0.0, "{max_excess}");
        },
    );
}

#[test]
fn without_expiry_the_allowances_of_seventy_eight_nodes_exceed_the_ratio() {
    let mut fleet = Fleet {
        nodes: 77,
        rates: [250; 10],
        skew: 0,
        retry_demand: [false; 10],
        restarts: Vec::new(),
    };
    fleet.rates[4..].fill(4);
    fleet.retry_demand[8..].fill(true);
    assert!(max_excess_retries(&simulate::<NonExpiringBudget>(&fleet)) > 188.0);
    assert!(max_excess_retries(&simulate::<ExpiringBudget>(&fleet)) <= 0.0);
}
