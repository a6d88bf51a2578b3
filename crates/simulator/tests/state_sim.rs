//! Simulates followers of the cluster state in virtual time. Nodes restart one after the other and together, updates are
//! delayed or outdated, and replicas lag, freeze, are cut off, killed and replaced. Further tests leave out one guard each
//! and expect the violation that the guard prevents (design 11.3, 11.6).

use std::ops::Range;
use std::thread;

use simulator::state_sim::{
    DisabledGuards, FAULTS, Fault, IN_FORCE_FAULTS, ScheduledFault, StatePlan, draw_faults,
    simulate,
};

/// Runs `work` for each seed in parallel on all processors and returns the results.
fn map_seeds<T: Send>(seeds: Range<u64>, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let cores = thread::available_parallelism().map_or(1, usize::from) as u64;
    thread::scope(|scope| {
        let work = &work;
        let threads = (0..cores).map(|core| {
            let own = seeds.clone().filter(move |seed| seed % cores == core);
            scope.spawn(move || own.map(work).collect::<Vec<_>>())
        });
        let threads: Vec<_> = threads.collect();
        let results = threads.into_iter();
        results
            .flat_map(|thread| thread.join().expect("a run"))
            .collect()
    })
}

#[test]
fn a_node_that_restarts_never_serves_an_older_state_than_it_had() {
    let runs = map_seeds(0..160, |seed| {
        let harness = simulate(StatePlan::new(seed), &draw_faults(&FAULTS, seed, 10, 1));
        assert_eq!(harness.violations, Vec::<String>::new(), "seed {seed}");
        (
            harness.states_checked,
            harness.node_restarts,
            harness.older_updates_received(),
        )
    });
    let totals = runs.into_iter().fold((0, 0, 0), |totals, run| {
        (totals.0 + run.0, totals.1 + run.1, totals.2 + run.2)
    });
    let (states_checked, node_restarts, older) = totals;
    // Restarted nodes received older states than they had held, and did not serve them.
    assert!(
        states_checked > 1_000_000 && node_restarts > 1_000 && older > 50,
        "{states_checked} checked, {node_restarts} restarts, {older} older updates"
    );
}

/// A site whose zones have one to four replicas each, depending on the seed.
fn zoned_plan(seed: u64, disabled: DisabledGuards) -> StatePlan {
    StatePlan {
        replica_count: [5, 7][(seed % 2) as usize],
        zone_count: [2, 3, 4][(seed % 3) as usize],
        node_count: 4,
        disabled,
        ..StatePlan::new(seed)
    }
}

fn long_faults(seed: u64) -> Vec<ScheduledFault> {
    draw_faults(&IN_FORCE_FAULTS, seed, 6, 4)
}

#[test]
fn a_change_is_in_force_in_time_whichever_replicas_are_silent() {
    let lateness = map_seeds(0..48, |seed| {
        let harness = simulate(
            zoned_plan(seed, DisabledGuards::default()),
            &long_faults(seed),
        );
        assert_eq!(harness.violations, Vec::<String>::new(), "seed {seed}");
        harness.longest_lateness
    });
    assert!(lateness.iter().any(|longest| *longest > 500_000));
}

#[test]
fn nodes_that_leave_a_replica_before_another_has_proved_its_state_are_caught() {
    let disabled = DisabledGuards {
        keep_replica: true,
        ..DisabledGuards::default()
    };
    let is_late = map_seeds(0..48, |seed| {
        let harness = simulate(zoned_plan(seed, disabled), &long_faults(seed));
        let mut violations = harness.violations.iter();
        violations.any(|violation| violation.starts_with("late"))
    });
    assert!(is_late.contains(&true), "no node was late");
}

/// Asserts that under random faults of these kinds no node serves an older state than before with all guards, and that some
/// run shows a node doing so without the guards in `disabled`.
fn assert_caught(disabled: DisabledGuards, kinds: &[Fault]) {
    let is_violated = |seed: u64| {
        let faults = draw_faults(kinds, seed, 8, 1);
        let guarded = simulate(StatePlan::new(seed), &faults);
        assert_eq!(
            guarded.violations,
            Vec::<String>::new(),
            "seed {seed}: a violation with all guards"
        );
        let plan = StatePlan {
            disabled,
            ..StatePlan::new(seed)
        };
        let unguarded = simulate(plan, &faults);
        let mut violations = unguarded.violations.iter();
        violations.any(|violation| violation.starts_with("back"))
    };
    assert!(
        (0..4u64).any(|batch| map_seeds(batch * 8..batch * 8 + 8, is_violated).contains(&true)),
        "{disabled:?}: no node went back"
    );
}

const LAGGING: [Fault; 5] = [
    Fault::CutReplica,
    Fault::RestartNode,
    Fault::CutReplica,
    Fault::RestartAllNodes,
    Fault::RestartNodesInTurn,
];

#[test]
fn states_served_before_a_proof_are_caught() {
    let disabled = DisabledGuards {
        proof: true,
        ..DisabledGuards::default()
    };
    assert_caught(disabled, &LAGGING);
}

#[test]
fn proofs_without_a_majority_are_caught() {
    let disabled = DisabledGuards {
        quorum: true,
        ..DisabledGuards::default()
    };
    assert_caught(disabled, &LAGGING);
}

#[test]
fn nodes_that_discard_their_state_at_a_new_connection_are_caught() {
    let disabled = DisabledGuards {
        forward_only: true,
        ..DisabledGuards::default()
    };
    let kinds = [
        Fault::CutReplica,
        Fault::CutNode,
        Fault::CrashReplica,
        Fault::DelayUpdates,
    ];
    assert_caught(disabled, &kinds);
}
