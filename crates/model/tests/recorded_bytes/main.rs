//! Compares the bytes of all log entries, outcomes, deltas, state slices and snapshots with those
//! that an earlier build wrote.

mod entries;
#[path = "../../../test-support/tests/recorded/mod.rs"]
mod recorded;
#[path = "../../../test-support/tests/recorded/archive.rs"]
mod recorded_archive;
#[path = "../../../test-support/tests/recorded/variants.rs"]
mod recorded_variants;
mod samples;
mod states;

use entries::{deltas, entries, execution_statuses, outcomes};
use model::cluster_state::{BackendRecord, Delta, Item, NodeRecord, ShardRange};
use model::{
    Backend, ClusterState, Entry, Error, ErrorKind, ExecutionStatus, Grouping, Node, Outcome,
    StandingOrder, StateMachine, StatePatch, StateSlice, compression, leases,
};
use recorded::RecordedBytes;
use recorded_archive::check_archive;
use samples::{
    backend, backend_record, grouping, item_bodies, item_kinds, node, node_record, order, phases,
    shard_range, text,
};
use states::{cluster_state, state_machine, state_patch, state_slice};

#[test]
fn every_log_entry_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("entries");
    for (name, entry) in entries() {
        let bytes = recorded.check(&name, &entry.to_bytes());
        assert_eq!(Entry::from_bytes(&bytes).ok(), Some(entry), "{name}");
    }
    recorded.finish();
}

#[test]
fn every_outcome_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("outcomes");
    for (name, outcome) in outcomes() {
        check_archive!(recorded, name, Outcome, &outcome);
    }
    recorded.finish();
}

#[test]
fn every_delta_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("deltas");
    for (name, delta) in deltas() {
        check_archive!(recorded, name, Vec<Delta>, &vec![delta]);
    }
    for (name, body) in item_bodies() {
        let delta = Delta::Item(body.kind(), text("x"), 21, Some(body));
        check_archive!(recorded, &format!("item-{name}"), Vec<Delta>, &vec![delta]);
    }
    for (name, kind) in item_kinds() {
        let delta = Delta::Item(kind, text("x"), 22, None);
        check_archive!(
            recorded,
            &format!("item-dropped-{name}"),
            Vec<Delta>,
            &vec![delta]
        );
    }
    for (name, phase) in phases() {
        let delta = Delta::Backend(text("b1"), Some(backend_record(phase)));
        check_archive!(
            recorded,
            &format!("player-{name}"),
            Vec<Delta>,
            &vec![delta]
        );
    }
    let removed = vec![
        Delta::Backend(text("b1"), None),
        Delta::Node(text("n1"), None),
    ];
    check_archive!(recorded, "gone", Vec<Delta>, &removed);
    recorded.finish();
}

#[test]
fn every_error_has_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("troubles");
    for kind in ErrorKind::ALL {
        check_archive!(recorded, kind.code(), Error, &Error::new(*kind, "why"));
    }
    for (name, execution_status) in execution_statuses() {
        check_archive!(
            recorded,
            &format!("verdict-{name}"),
            ExecutionStatus,
            &execution_status
        );
    }
    let later = Error::new(ErrorKind::Overloaded, "why").with_retry_after(1_234_567);
    check_archive!(recorded, "later", Error, &later);
    recorded.finish();
}

#[test]
fn state_slices_and_patches_have_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("news");
    check_archive!(recorded, "slice", StateSlice, &state_slice());
    check_archive!(recorded, "empty-slice", StateSlice, &StateSlice::default());
    check_archive!(recorded, "patch", StatePatch, &state_patch());
    recorded.finish();
}

#[test]
fn snapshots_of_both_state_machines_have_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("snapshots");
    let state_machine = state_machine();
    assert!(
        [
            state_machine.leases.len(),
            state_machine.longest_requests.len(),
            state_machine.replica_holders.len()
        ]
        .iter()
        .all(|held| *held > 0)
    );
    let bytes = recorded.check("book", &state_machine.to_bytes());
    assert_eq!(StateMachine::from_bytes(&bytes).ok(), Some(state_machine));
    let cluster_state = cluster_state();
    assert!(cluster_state.placements.values().any(|(_, shard_ranges)| {
        shard_ranges
            .iter()
            .any(|shard_range| !shard_range.pending_releases.is_empty())
    }));
    let bytes = recorded.check("bill", &cluster_state.to_bytes());
    assert_eq!(ClusterState::from_bytes(&bytes).ok(), Some(cluster_state));
    recorded.check("empty-book", &StateMachine::default().to_bytes());
    recorded.check("empty-bill", &ClusterState::default().to_bytes());
    recorded.finish();
}

#[test]
fn stored_parts_have_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("parts");
    for (name, phase) in phases() {
        check_archive!(
            recorded,
            &format!("back-end-{name}"),
            Backend,
            &backend(phase)
        );
        check_archive!(
            recorded,
            &format!("player-{name}"),
            BackendRecord,
            &backend_record(phase)
        );
    }
    check_archive!(recorded, "node", Node, &node());
    check_archive!(recorded, "place", NodeRecord, &node_record());
    check_archive!(recorded, "row", ShardRange, &shard_range());
    check_archive!(recorded, "grouping", Grouping, &grouping());
    check_archive!(recorded, "order", StandingOrder, &order(false));
    let item = Item {
        version: 21,
        body: Some(item_bodies()[1].1.clone()),
        text: text("as sent"),
    };
    check_archive!(recorded, "item", Item, &item);
    recorded.finish();
}

#[test]
fn long_bytes_are_compressed_to_the_recorded_bytes() {
    let mut recorded = RecordedBytes::for_family("packed");
    let plain: Vec<u8> = (0..3_000u32)
        .map(|index| (index * index % 251 / (1 + index % 7)) as u8)
        .collect();
    for (name, plain) in [
        ("short", &plain[..1_023]),
        ("long", &plain[..1_024]),
        ("longer", &plain),
    ] {
        let bytes = recorded.check(name, &compression::compress(plain.to_vec()));
        assert_eq!(
            compression::decompress(&bytes).ok().as_deref(),
            Some(plain),
            "{name}"
        );
    }
    recorded.finish();
}

/// All nodes, including those of other builds running at the same time, must assign a key to the
/// same slot.
#[test]
fn keys_have_the_recorded_hashes() {
    let keys = ["", "a", "seat-17", "Ω", "b".repeat(300).as_str()].map(leases::stable_hash);
    let recorded = [
        0xe3b0_c442_98fc_1c14,
        0xca97_8112_ca1b_bdca,
        0xac52_cf95_b7b6_837b,
        0xe3c6_22e5_fd53_065d,
        0xdccc_1450_d6fc_4232,
    ];
    assert_eq!(keys, recorded);
}
