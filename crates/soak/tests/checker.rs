//! The checker finds what it is there to find, in made-up records, and nothing else.

use std::collections::BTreeMap;

use soak::checker::{Verdict, Violation, check};
use soak::clock::{Micros, SECOND};
use soak::history::{
    CallRecord, ConfigurationRead, Effect, EventKind, MachineEvent, Probe, Records, RouteHistory,
    RouteVersion,
};
use soak::site::{Bounds, Machine};

const CORES: usize = 5;

fn version(version: u64, effect: Effect, sent_at: Micros, acknowledged_at: Micros) -> RouteVersion {
    RouteVersion {
        version,
        effect,
        sent_at,
        acknowledged_at: Some(acknowledged_at),
    }
}

/// A route that goes to service 0 from second 1 on and to service 1 from second 10 on.
fn records() -> Records {
    let route = RouteHistory {
        host: "h".into(),
        prefix: "/r/".into(),
        versions: vec![
            version(1, Effect::Service(0), SECOND, SECOND + 10),
            version(4, Effect::Service(1), 10 * SECOND, 10 * SECOND + 10),
        ],
        is_stable: false,
    };
    let mut records = Records::default();
    records.routes.insert("r".into(), route);
    records
}

fn probe(sent_at: Micros, effect: Effect) -> Probe {
    Probe {
        node: 0,
        route: "r".into(),
        sent_at,
        answered_at: sent_at + 5_000,
        effect,
    }
}

fn event(at: Micros, machine: Machine, kind: EventKind) -> MachineEvent {
    MachineEvent { at, machine, kind }
}

fn judge(records: &Records) -> Verdict {
    check(records, &Bounds::default(), CORES)
}

#[test]
fn an_overtaken_version_may_be_served_for_as_long_as_the_bound_and_no_longer() {
    let mut records = records();
    records.probes = vec![
        probe(5 * SECOND, Effect::Service(0)),
        probe(11 * SECOND, Effect::Service(0)),
        probe(12 * SECOND, Effect::Service(0)),
    ];
    assert_eq!(judge(&records).violations, []);
    assert_eq!(judge(&records).longest_lateness, 2 * SECOND - 10);
    records
        .probes
        .push(probe(12 * SECOND + 20, Effect::Service(0)));
    let verdict = judge(&records);
    assert!(
        matches!(verdict.violations[..], [Violation::NotInForce { version: 4, lateness, .. }] if lateness == 2 * SECOND + 10),
        "{verdict:?}"
    );
}

#[test]
fn an_added_route_that_is_refused_is_late_like_any_other() {
    let mut records = records();
    records.probes = vec![probe(5 * SECOND, Effect::Absent)];
    let verdict = judge(&records);
    assert!(
        matches!(
            verdict.violations[..],
            [Violation::NotInForce { version: 1, .. }]
        ),
        "{verdict:?}"
    );
}

#[test]
fn a_version_that_was_sent_and_not_acknowledged_may_be_in_force_or_not() {
    let mut records = records();
    let route = records.routes.get_mut("r").expect("it is there");
    route.versions[1].acknowledged_at = None;
    records.probes = vec![
        probe(20 * SECOND, Effect::Service(0)),
        probe(21 * SECOND, Effect::Service(1)),
    ];
    assert_eq!(judge(&records).violations, []);
    records.probes.push(probe(22 * SECOND, Effect::Service(0)));
    let verdict = judge(&records);
    assert!(
        matches!(
            verdict.violations[..],
            [Violation::Reverted { shown: 4, .. }]
        ),
        "{verdict:?}"
    );
}

#[test]
fn a_restarted_process_may_show_an_older_version_again() {
    let mut records = records();
    let route = records.routes.get_mut("r").expect("it is there");
    route.versions[1].acknowledged_at = None;
    records.events = vec![event(
        21 * SECOND + SECOND / 2,
        Machine::Node(0),
        EventKind::Started,
    )];
    records.probes = vec![
        probe(21 * SECOND, Effect::Service(1)),
        probe(22 * SECOND, Effect::Service(0)),
    ];
    assert_eq!(judge(&records).violations, []);
}

#[test]
fn a_node_that_was_touched_lately_or_stands_still_is_not_judged() {
    let late = probe(20 * SECOND, Effect::Service(0));
    let excused = [
        (18 * SECOND, EventKind::Terminated),
        (18 * SECOND, EventKind::Resumed),
        (11 * SECOND, EventKind::Frozen),
        (11 * SECOND, EventKind::Killed),
    ];
    for (at, kind) in excused {
        let mut records = records();
        records.probes = vec![late.clone()];
        records.events = vec![event(at, Machine::Node(0), kind)];
        let verdict = judge(&records);
        assert_eq!(verdict.violations, [], "{kind:?}");
        assert_eq!(verdict.late_at_disturbed_nodes, 1, "{kind:?}");
    }
    for (at, kind) in [
        (16 * SECOND, EventKind::Resumed),
        (19 * SECOND, EventKind::Reloaded),
        (19 * SECOND, EventKind::Exited),
    ] {
        let mut records = records();
        records.probes = vec![late.clone()];
        records.events = vec![event(at, Machine::Node(0), kind)];
        assert_eq!(judge(&records).violations.len(), 1, "{kind:?}");
    }
}

#[test]
fn a_disturbed_core_stretches_the_bound_and_a_lost_majority_lifts_it() {
    let mut records = records();
    records.probes = vec![probe(15 * SECOND, Effect::Service(0))];
    records.events = vec![event(13 * SECOND, Machine::Core(0), EventKind::Frozen)];
    assert_eq!(judge(&records).violations, [], "the core is not calm");
    records.probes = vec![probe(16 * SECOND + 1, Effect::Service(0))];
    assert_eq!(judge(&records).violations.len(), 1, "it is calm again");
    records.probes = vec![probe(18 * SECOND, Effect::Service(0))];
    records
        .events
        .push(event(17 * SECOND, Machine::Core(1), EventKind::Frozen));
    assert_eq!(judge(&records).violations.len(), 1, "later than stretched");
    records
        .events
        .push(event(17 * SECOND, Machine::Core(2), EventKind::Killed));
    assert_eq!(judge(&records).violations, [], "no majority runs");
}

#[test]
fn a_route_that_never_changes_is_refused_by_nobody() {
    let mut records = records();
    let route = records.routes.get_mut("r").expect("it is there");
    route.is_stable = true;
    route.versions.truncate(1);
    records.events = vec![event(4 * SECOND, Machine::Node(0), EventKind::Started)];
    records.probes = vec![probe(5 * SECOND, Effect::Absent)];
    let verdict = judge(&records);
    assert!(
        matches!(
            verdict.violations[..],
            [Violation::StableRouteRefused { .. }]
        ),
        "{verdict:?}"
    );
}

#[test]
fn a_read_answers_with_everything_acknowledged_before_it() {
    let read = |sent_at: Micros, held: Option<u64>| ConfigurationRead {
        core: 1,
        sent_at,
        answered_at: sent_at + 1_000,
        versions: BTreeMap::from_iter(held.map(|held| ("r".to_string(), held))),
    };
    let mut records = records();
    records.reads = vec![
        read(SECOND / 2, None),
        read(5 * SECOND, Some(1)),
        read(10 * SECOND + 5, Some(1)),
        read(11 * SECOND, Some(4)),
    ];
    assert_eq!(judge(&records).violations, []);
    records.reads = vec![read(11 * SECOND, Some(1)), read(11 * SECOND, None)];
    let verdict = judge(&records);
    assert!(
        matches!(
            verdict.violations[..],
            [
                Violation::StaleRead { read: Some(1), .. },
                Violation::StaleRead { read: None, .. }
            ]
        ),
        "{verdict:?}"
    );
}

#[test]
fn a_call_is_acknowledged_in_time_while_the_core_is_calm() {
    let call = |acknowledged_at: Option<Micros>| CallRecord {
        sent_at: 20 * SECOND,
        routes: 100,
        acknowledged_at,
    };
    let judged = |call: CallRecord, events: Vec<MachineEvent>| {
        let mut records = records();
        records.ended_at = 40 * SECOND;
        records.calls = vec![call];
        records.events = events;
        judge(&records).violations
    };
    let in_time = 24 * SECOND + 300_000;
    assert_eq!(judged(call(Some(in_time)), Vec::new()), []);
    let late = judged(call(Some(in_time + 1)), Vec::new());
    assert!(
        matches!(late[..], [Violation::NotAcknowledged { waited, .. }] if waited == 4_300_001),
        "{late:?}"
    );
    assert_eq!(judged(call(None), Vec::new()).len(), 1);
    let disturbed = |at: Micros| event(at, Machine::Core(0), EventKind::Resumed);
    let events = vec![disturbed(22 * SECOND), disturbed(26 * SECOND)];
    assert_eq!(judged(call(Some(33 * SECOND)), events.clone()), []);
    assert_eq!(judged(call(Some(34 * SECOND)), events).len(), 1);
}
