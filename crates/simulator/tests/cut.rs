//! A replica is cut off from its peers, frozen, or restarted while it is cut off, for twenty seconds, while callers still
//! reach it (design 3.2, docs/control-plane.md, point 1).

use simulator::sim::{Fault, World, WorldPlan};
use std::collections::BTreeSet;

const SECOND: u64 = 1_000_000;
/// Time after which a caller receives the answer that the outcome of its entry is unknown, in microseconds.
const CALLER_TIMEOUT: u64 = 900_000;
/// Time for the suspicion of a replica and for a revocation that competes with another one, in microseconds.
const DECISION_TIME: u64 = 2 * SECOND;
/// Time at which the fault begins, in microseconds.
const FAULT_START: u64 = 2 * SECOND;
/// Time at which the fault ends, in microseconds.
const FAULT_END: u64 = 22 * SECOND;
/// Time after the fault within which the replica participates fully again, in microseconds.
const CATCH_UP: u64 = 4 * SECOND;
/// Replica at which the fault occurs.
const CUT_OFF: u16 = 0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum LongFault {
    Cut,
    ReceivesNothing,
    SendsNothing,
    Frozen,
    RestartedWhileCut,
}

const LONG_FAULTS: [LongFault; 5] = [
    LongFault::Cut,
    LongFault::ReceivesNothing,
    LongFault::SendsNothing,
    LongFault::Frozen,
    LongFault::RestartedWhileCut,
];

fn schedule_long_fault(world: &mut World, fault: LongFault) {
    let others = 1..world.plan.replica_count;
    match fault {
        LongFault::Frozen => {
            world.schedule_fault(FAULT_START, Fault::Freeze(CUT_OFF));
            world.schedule_fault(FAULT_END, Fault::Unfreeze(CUT_OFF));
        }
        LongFault::ReceivesNothing => {
            others.for_each(|peer| world.schedule_fault(FAULT_START, Fault::CutLink(peer, CUT_OFF)))
        }
        LongFault::SendsNothing => {
            others.for_each(|peer| world.schedule_fault(FAULT_START, Fault::CutLink(CUT_OFF, peer)))
        }
        LongFault::Cut | LongFault::RestartedWhileCut => others.for_each(|peer| {
            world.schedule_fault(FAULT_START, Fault::CutLink(CUT_OFF, peer));
            world.schedule_fault(FAULT_START, Fault::CutLink(peer, CUT_OFF));
        }),
    }
    if fault == LongFault::RestartedWhileCut {
        world.schedule_fault(9 * SECOND, Fault::Crash(CUT_OFF));
        world.schedule_fault(10 * SECOND, Fault::Start(CUT_OFF));
    }
    world.schedule_fault(FAULT_END, Fault::HealLinks);
}

/// Schedules entries and reads at the replicas round-robin, including the one that is cut off, from the first second on.
fn schedule_calls(world: &mut World) {
    let replica_count = u64::from(world.plan.replica_count);
    for number in 0..120 {
        let (time, replica_id) = (SECOND + number * 250_000, (number % replica_count) as u16);
        world.schedule_fault(
            time,
            Fault::Submit(replica_id, number.to_be_bytes().to_vec()),
        );
        world.schedule_fault(time + 40_000, Fault::Read(replica_id, number));
    }
}

fn simulate(replica_count: u16, seed: u64, fault: LongFault, caller_timeout: u64) -> World {
    let mut world = World::new(WorldPlan {
        caller_timeout,
        ..WorldPlan::new(replica_count, seed)
    });
    schedule_long_fault(&mut world, fault);
    schedule_calls(&mut world);
    world.run_until(FAULT_END + CATCH_UP);
    world
}

#[test]
fn no_entry_takes_effect_long_after_its_caller_was_answered() {
    for (replica_count, seed, fault) in cases() {
        let world = simulate(replica_count, seed, fault, CALLER_TIMEOUT);
        assert_eq!(
            world.findings.violations,
            Vec::<String>::new(),
            "{replica_count} replicas, seed {seed}, {fault:?}"
        );
        let late = world.findings.late_entries(CALLER_TIMEOUT + DECISION_TIME);
        assert!(
            late.is_empty(),
            "{replica_count} replicas, seed {seed}, {fault:?}: {late:?} took effect late"
        );
    }
}

#[test]
fn entries_that_are_submitted_again_without_a_waiting_caller_are_caught() {
    let late = cases().any(|(replica_count, seed, fault)| {
        !simulate(replica_count, seed, fault, u64::MAX)
            .findings
            .late_entries(CALLER_TIMEOUT + DECISION_TIME)
            .is_empty()
    });
    assert!(
        late,
        "no entry took effect long after its caller was answered"
    );
}

#[test]
fn no_read_is_proved_at_a_replica_that_reaches_no_majority() {
    for (replica_count, seed, fault) in cases() {
        let mut world = World::new(WorldPlan {
            caller_timeout: CALLER_TIMEOUT,
            ..WorldPlan::new(replica_count, seed)
        });
        schedule_long_fault(&mut world, fault);
        schedule_calls(&mut world);
        world.run_until(FAULT_START + SECOND);
        world.proved_reads.clear();
        world.run_until(FAULT_END - 1);
        let proved: Vec<u64> = world
            .proved_reads
            .iter()
            .filter(|(_, replica_id)| *replica_id == CUT_OFF)
            .map(|(token, _)| *token)
            .collect();
        assert!(
            proved.is_empty(),
            "{replica_count} replicas, seed {seed}, {fault:?}: reads {proved:?} were proved"
        );
        assert!(
            world.proved_reads.len() > 20,
            "the other replicas prove reads"
        );
    }
}

#[test]
fn a_replica_participates_fully_soon_after_the_fault() {
    for (replica_count, seed, fault) in cases() {
        let mut world = simulate(replica_count, seed, fault, CALLER_TIMEOUT);
        // An entry submitted now at the replica is chosen, and applied everywhere.
        let last = b"after the cut".to_vec();
        world.submit(CUT_OFF, last.clone());
        world.run_until(FAULT_END + CATCH_UP + SECOND);
        let has_applied = |replica: &simulator::sim::SimulatedReplica| {
            replica.applied.iter().any(|(_, value)| *value == last)
        };
        assert!(
            world.replicas.iter().all(has_applied),
            "{replica_count} replicas, seed {seed}, {fault:?}"
        );
        let lengths: BTreeSet<usize> = world
            .replicas
            .iter()
            .map(|replica| replica.applied.len())
            .collect();
        assert_eq!(
            lengths.len(),
            1,
            "{replica_count} replicas, seed {seed}, {fault:?}: {lengths:?} entries"
        );
    }
}

fn cases() -> impl Iterator<Item = (u16, u64, LongFault)> {
    let replica_count = [3u16, 4, 5, 7];
    replica_count.into_iter().flat_map(|replica_count| {
        (1..7u64).flat_map(move |seed| {
            LONG_FAULTS
                .into_iter()
                .map(move |fault| (replica_count, seed, fault))
        })
    })
}
