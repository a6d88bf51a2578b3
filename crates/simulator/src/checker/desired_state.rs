//! Invariants on the desired state: the answers to operators, the states that they read and the states that nodes hold
//! must agree (design 9.5).

use crate::history::Record;
use std::collections::BTreeMap;

/// Time after which every node that holds a valid freshness proof serves by an accepted change, in microseconds.
const IN_FORCE_WITHIN_US: u64 = 2_500_000;

struct SentChange<'a> {
    id: &'a str,
    edits: &'a [serde_json::Value],
    answered_at: u64,
    version: Option<u64>,
    position: Option<u64>,
    rejected: bool,
}

fn sent_changes(records: &[Record]) -> Vec<SentChange<'_>> {
    let to_change = |record| match record {
        &Record::DesiredChange {
            ref id,
            ref edits,
            at,
            version,
            position,
            rejected,
            ..
        } => Some(SentChange {
            id,
            edits,
            answered_at: at,
            version,
            position,
            rejected,
        }),
        _ => None,
    };
    records.iter().filter_map(to_change).collect()
}

type ChangesByVersion<'a> = BTreeMap<u64, &'a SentChange<'a>>;

/// Maps each version to the accepted change that produced it; two changes with the same version are a violation. A
/// version without an entry may belong to a change whose answer was lost.
fn changes_by_version<'a>(sent: &'a [SentChange<'a>]) -> (ChangesByVersion<'a>, Vec<String>) {
    let mut violations = Vec::new();
    let accepted_changes = sent
        .iter()
        .filter_map(|change| change.version.map(|version| (version, change)))
        .fold(
            ChangesByVersion::new(),
            |mut accepted_changes, (version, change)| {
                if accepted_changes
                    .get(&version)
                    .is_some_and(|existing| existing.id != change.id)
                {
                    violations.push(format!(
                        "version {version} was given to {} and to {}",
                        accepted_changes[&version].id, change.id
                    ));
                }
                accepted_changes.entry(version).or_insert(change);
                accepted_changes
            },
        );
    (accepted_changes, violations)
}

fn parsed_edits(change: &SentChange) -> Vec<model::Edit> {
    change
        .edits
        .iter()
        .filter_map(|edit| serde_json::from_value(edit.clone()).ok())
        .collect()
}

/// States read by operators that differ from the result of applying exactly the accepted changes up to their version.
pub(crate) fn inconsistent_reads(records: &[Record]) -> Vec<String> {
    let sent = sent_changes(records);
    let (accepted_changes, mut violations) = changes_by_version(&sent);
    let unanswered: Vec<&SentChange> = sent
        .iter()
        .filter(|change| change.version.is_none() && !change.rejected)
        .collect();
    let last_version = accepted_changes.keys().max().copied().unwrap_or(0);
    let reads = records.iter().filter_map(|record| match record {
        Record::StateRead {
            sent_at, desired, ..
        } => serde_json::from_value::<model::DesiredState>(desired.clone())
            .ok()
            .map(|state| (*sent_at, state)),
        _ => None,
    });
    let reads: Vec<(u64, model::DesiredState)> = reads.collect();
    let last_version = reads
        .iter()
        .map(|(_, state)| state.version)
        .max()
        .unwrap_or(0)
        .max(last_version);
    let mut states_by_version = vec![vec![model::DesiredState::default()]];
    (1..=last_version).for_each(|version| {
        // If the change of this version is known, there is one possible state. Otherwise there is one for each change whose
        // answer was lost.
        let candidates: Vec<&&SentChange> = unanswered
            .iter()
            .filter(|_| !accepted_changes.contains_key(&version))
            .collect();
        let known = accepted_changes.get(&version).into_iter().copied();
        let changes: Vec<&SentChange> = known.chain(candidates.into_iter().copied()).collect();
        let states: Vec<model::DesiredState> = states_by_version[version as usize - 1]
            .iter()
            .flat_map(|before| {
                changes.iter().map(move |change| model::DesiredState {
                    version,
                    ..before.with_edits(&parsed_edits(change))
                })
            })
            .filter(|after| {
                let read = reads.iter().find(|(_, state)| state.version == version);
                read.is_none_or(|(_, state)| state == after)
            })
            .take(16)
            .collect();
        states_by_version.push(states);
    });
    violations.extend(
        reads
            .iter()
            .filter(|(_, state)| !states_by_version[state.version as usize].contains(state))
            .map(|(sent_at, state)| {
                format!(
                    "read back at {sent_at}: version {} is not what the accepted changes make of it",
                    state.version
                )
            }),
    );
    violations
}

/// Reads that lack a change which had been accepted before the read was requested.
pub(crate) fn lost_changes(records: &[Record]) -> Vec<String> {
    let sent = sent_changes(records);
    let accepted: Vec<(u64, u64)> = sent
        .iter()
        .filter_map(|change| change.version.map(|version| (change.answered_at, version)))
        .collect();
    let reads = records.iter().filter_map(|record| match record {
        Record::StateRead {
            sent_at, desired, ..
        } => Some((*sent_at, desired["version"].as_u64().unwrap_or(0))),
        _ => None,
    });
    reads
        .filter_map(|(sent_at, version)| {
            let expected = accepted
                .iter()
                .filter(|(answered_at, _)| *answered_at < sent_at)
                .map(|(_, version)| *version)
                .max()
                .unwrap_or(0);
            (version < expected).then(|| {
                format!(
                    "read back at {sent_at}: version {version}, though {expected} had been accepted"
                )
            })
        })
        .collect()
}

/// Node, incarnation, time of the status request, position, and whether the node held a valid freshness proof.
type NodeObservation<'a> = (&'a str, u64, u64, u64, bool);

fn node_observations(records: &[Record]) -> Vec<NodeObservation<'_>> {
    let to_observation = |record| match record {
        &Record::NodeObserved {
            ref node,
            incarnation,
            sent_at,
            position,
            fresh,
        } => Some((node.as_str(), incarnation, sent_at, position, fresh)),
        _ => None,
    };
    let mut observations: Vec<NodeObservation> =
        records.iter().filter_map(to_observation).collect();
    observations.sort_by_key(|(node, _, sent_at, ..)| (*node, *sent_at));
    observations
}

/// Observations of a node whose position went back: within one incarnation, or, with a valid freshness proof, below a
/// position that an earlier proof had covered.
pub(crate) fn regressed_positions(records: &[Record]) -> Vec<String> {
    let mut positions: BTreeMap<&str, (u64, u64, u64)> = Default::default();
    node_observations(records)
        .into_iter()
        .filter_map(|(node, incarnation, sent_at, position, fresh)| {
            let (last_incarnation, last, proved) = positions.get(node).copied().unwrap_or_default();
            let is_regression =
                incarnation == last_incarnation && position < last || fresh && position < proved;
            positions.insert(
                node,
                (
                    incarnation,
                    position,
                    if fresh { proved.max(position) } else { proved },
                ),
            );
            is_regression.then(|| {
                format!("{node} at {sent_at}: position {position} after {last}, {proved} proved")
            })
        })
        .collect()
}

/// Nodes with a valid freshness proof that lack a change two and a half seconds after it was accepted.
pub(crate) fn late_changes(records: &[Record]) -> Vec<String> {
    let sent = sent_changes(records);
    let mut accepted: Vec<(u64, u64)> = sent
        .iter()
        .filter_map(|change| {
            change
                .position
                .map(|position| (change.answered_at, position))
        })
        .collect();
    accepted.sort();
    node_observations(records)
        .into_iter()
        .filter(|(.., fresh)| *fresh)
        .filter_map(|(node, _, sent_at, position, _)| {
            let expected = accepted
                .iter()
                .take_while(|(answered_at, _)| answered_at + IN_FORCE_WITHIN_US <= sent_at)
                .map(|(_, position)| *position)
                .max()
                .unwrap_or(0);
            (position < expected).then(|| {
                format!("{node} at {sent_at} serves by {position}, {expected} was accepted before")
            })
        })
        .collect()
}
