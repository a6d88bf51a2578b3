//! Followers of the bill in virtual time: restarts in turn and together, late and older bulletins, lagging seats, a core
//! that is cut, killed and replaced; and variants that each lack one guard (design 11.6).

use simulator::state_sim::{
    DisabledGuards, FAULTS, Fault, ScheduledFault, StateHarness, StatePlan, draw_faults, play,
};
use std::ops::Range;

fn over<T: Send>(seeds: Range<u64>, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let cores = std::thread::available_parallelism()
        .map(usize::from)
        .unwrap_or(1) as u64;
    std::thread::scope(|scope| {
        let work = &work;
        let turns = (0..cores).map(|core| {
            let own = seeds.clone().filter(move |seed| seed % cores == core);
            scope.spawn(move || own.map(work).collect::<Vec<_>>())
        });
        turns
            .collect::<Vec<_>>()
            .into_iter()
            .flat_map(|turn| turn.join().expect("a run"))
            .collect()
    })
}

#[test]
fn a_node_that_restarts_never_serves_an_older_bill_than_it_had() {
    let played = over(0..160, |seed| {
        let stage = play(StatePlan::new(seed), &draw_faults(&FAULTS, seed, 10));
        assert_eq!(stage.violations, Vec::<String>::new(), "seed {seed}");
        (stage.checked, stage.restarts, stage.older_received())
    });
    let (judged, restarts, older) = played.into_iter().fold((0, 0, 0), |sum, one| {
        (sum.0 + one.0, sum.1 + one.1, sum.2 + one.2)
    });
    // Nodes that had begun anew were told older bills than they had, and did not serve them.
    assert!(
        judged > 1_000_000 && restarts > 1_000 && older > 50,
        "{judged} judged, {restarts} restarts, {older} older bulletins"
    );
}

/// Seeds and blows alike: held with every guard, and without one the promise is seen broken.
fn caught(without: DisabledGuards, kinds: &[Fault]) {
    let blows = |seed| -> Vec<ScheduledFault> { draw_faults(kinds, seed, 8) };
    let breaks = |seed: u64| {
        let whole: StateHarness = play(StatePlan::new(seed), &blows(seed));
        assert_eq!(
            whole.violations,
            Vec::<String>::new(),
            "seed {seed}: it holds with its guards"
        );
        play(
            StatePlan {
                disabled: without,
                ..StatePlan::new(seed)
            },
            &blows(seed),
        )
        .violations
        .iter()
        .any(|told| told.starts_with("back"))
    };
    assert!(
        (0..4u64).any(|turn| over(turn * 8..turn * 8 + 8, breaks).contains(&true)),
        "{without:?}: nobody was seen to go back"
    );
}

const LAGS: [Fault; 5] = [
    Fault::CutReplica,
    Fault::RestartNode,
    Fault::CutReplica,
    Fault::RestartAllNodes,
    Fault::RestartNodesInTurn,
];

#[test]
fn bills_served_before_a_proof_are_caught() {
    caught(
        DisabledGuards {
            proof: true,
            ..Default::default()
        },
        &LAGS,
    );
}

#[test]
fn proofs_that_ask_no_majority_are_caught() {
    caught(
        DisabledGuards {
            quorum: true,
            ..Default::default()
        },
        &LAGS,
    );
}

#[test]
fn nodes_that_forget_what_they_hold_at_a_new_conn_are_caught() {
    caught(
        DisabledGuards {
            forward: true,
            ..Default::default()
        },
        &[
            Fault::CutReplica,
            Fault::CutNode,
            Fault::CrashReplica,
            Fault::DelayUpdates,
        ],
    );
}
