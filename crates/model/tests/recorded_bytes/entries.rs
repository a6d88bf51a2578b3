//! Samples of log entries, outcomes and deltas.

use crate::recorded_variants::every_variant;
use crate::samples::{
    INCARNATION, backend, backend_record, cluster_reports, edits, endpoint_reports, item_bodies,
    item_kinds, node_record, phases, shard_range, text,
};
use model::cluster_state::items::ItemPut;
use model::cluster_state::{ClusterOperation, Delta, ItemBody, ItemCall, ItemKind};
use model::endpoint_status::EndpointReport;
use model::validation::Fault;
use model::{
    BackendPhase, Change, Edit, Entry, ExecutionStatus, Operation, Outcome, ReplicaReplacement,
    VersionConflict,
};

pub(crate) fn change(edits: Vec<Edit>) -> Operation {
    Operation::Change(Change {
        id: text("change-17"),
        base_version: 3,
        edits,
    })
}

pub(crate) fn items(puts: Vec<ItemPut>, drops: Vec<(ItemKind, String, u64)>) -> ClusterOperation {
    ClusterOperation::Items(ItemCall { puts, drops })
}

pub(crate) fn put(name: &str, body: ItemBody) -> ItemPut {
    ItemPut {
        name: text(name),
        version: 21,
        body,
        text: text("{\"as\": \"sent\"}"),
    }
}

pub(crate) fn cluster_operations() -> Vec<(&'static str, ClusterOperation)> {
    every_variant!(ClusterOperation {
        "items": ClusterOperation::Items(_) => items(
            item_bodies().into_iter().map(|(name, body)| put(name, body)).collect(),
            item_kinds().into_iter().map(|(name, kind)| (kind, text(name), 22)).collect(),
        ),
        "reports": ClusterOperation::Reports(_) => {
            ClusterOperation::Reports(cluster_reports().into_iter().map(|(_, report)| report).collect())
        },
    })
}

pub(crate) fn operations() -> Vec<(&'static str, Operation)> {
    every_variant!(Operation {
        "change": Operation::Change(_) => change(edits().into_iter().map(|(_, edit)| edit).collect()),
        "standing": Operation::EndpointReport(_) => Operation::EndpointReport(endpoint_reports()[0].1.clone()),
        "seat": Operation::ReplaceReplica(_) => Operation::ReplaceReplica(ReplicaReplacement { replica_id: 2, old_disk: 71, new_disk: 72 }),
        "bill": Operation::ClusterState(_) => Operation::ClusterState(cluster_operations()[0].1.clone()),
        "barrier": Operation::Barrier => Operation::Barrier,
    })
}

pub(crate) fn entry_of(operation: Operation) -> Entry {
    Entry {
        origin: text("n1"),
        incarnation: INCARNATION,
        sequence: 41,
        operation,
    }
}

/// Returns one entry for each operation and, for operations that carry one of several values, one
/// entry for each of these values.
pub(crate) fn entries() -> Vec<(String, Entry)> {
    let operations = operations()
        .into_iter()
        .map(|(name, operation)| (text(name), operation));
    let edits = edits()
        .into_iter()
        .map(|(name, edit)| (format!("change-{name}"), change(vec![edit])));
    let endpoint_reports = endpoint_reports().into_iter().map(|(name, report)| {
        (
            format!("standing-{name}"),
            Operation::EndpointReport(report),
        )
    });
    let cluster_state = cluster_operations()
        .into_iter()
        .map(|(name, operation)| (format!("bill-{name}"), Operation::ClusterState(operation)));
    let puts = item_bodies().into_iter().map(|(name, body)| {
        (
            format!("bill-items-put-{name}"),
            Operation::ClusterState(items(vec![put(name, body)], Vec::new())),
        )
    });
    let drops = item_kinds().into_iter().map(|(name, kind)| {
        let drop = (kind, text("x"), 22);
        (
            format!("bill-items-drop-{name}"),
            Operation::ClusterState(items(Vec::new(), vec![drop])),
        )
    });
    let cluster_reports = cluster_reports().into_iter().map(|(name, report)| {
        (
            format!("bill-reports-{name}"),
            Operation::ClusterState(ClusterOperation::Reports(vec![report])),
        )
    });
    let phases = phases().into_iter().map(|(name, phase)| {
        let report = EndpointReport::BackendRegistered {
            name: text("b1"),
            backend: backend(phase),
        };
        (
            format!("standing-registered-{name}"),
            Operation::EndpointReport(report),
        )
    });
    let all = operations
        .chain(edits)
        .chain(endpoint_reports)
        .chain(cluster_state)
        .chain(puts)
        .chain(drops);
    all.chain(cluster_reports)
        .chain(phases)
        .map(|(name, operation)| (name, entry_of(operation)))
        .collect()
}

pub(crate) fn outcomes() -> Vec<(&'static str, Outcome)> {
    every_variant!(Outcome {
        "accepted": Outcome::Accepted { .. } => Outcome::Accepted { position: 31, version: 32 },
        "unchanged": Outcome::Unchanged { .. } => Outcome::Unchanged { position: 33 },
        "stale": Outcome::Stale { .. } => Outcome::Stale { version: 34 },
        "invalid": Outcome::Invalid { .. } => Outcome::Invalid {
            faults: vec![Fault { path: text("order.book"), message: text("has no service") }],
        },
        "reused": Outcome::Reused { .. } => Outcome::Reused { version: 35 },
        "refused": Outcome::Refused { .. } => Outcome::Refused { reason: text("not now") },
        "superseded": Outcome::Superseded { .. } => Outcome::Superseded { position: 36 },
        "conflict": Outcome::Conflict { .. } => Outcome::Conflict {
            conflicts: item_kinds()
                .into_iter()
                .map(|(name, kind)| VersionConflict { kind, name: text(name), sent_version: 37, current_version: 38 })
                .collect(),
        },
    })
}

pub(crate) fn deltas() -> Vec<(&'static str, Delta)> {
    every_variant!(Delta {
        "item": Delta::Item(..) => {
            Delta::Item(ItemKind::Route, text("book"), 21, Some(item_bodies()[0].1.clone()))
        },
        "player": Delta::Backend(..) => {
            Delta::Backend(text("b1"), Some(backend_record(BackendPhase::Registered)))
        },
        "place": Delta::Node(..) => Delta::Node(text("n1"), Some(node_record())),
        "rows": Delta::ShardRanges(..) => Delta::ShardRanges(text("seat"), 9, vec![shard_range()]),
    })
}

pub(crate) fn execution_statuses() -> Vec<(&'static str, ExecutionStatus)> {
    every_variant!(ExecutionStatus {
        "not-run": ExecutionStatus::NotRun => ExecutionStatus::NotRun,
        "may-have-run": ExecutionStatus::MayHaveRun => ExecutionStatus::MayHaveRun,
    })
}
