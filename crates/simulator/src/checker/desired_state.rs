//! What operators were told, read back, and what nodes held: one story, or a broken promise (design 9.5).

use crate::history::Record;
use std::collections::BTreeMap;

const IN_FORCE_WITHIN_US: u64 = 2_500_000;

struct SentChange<'a> {
    id: &'a str,
    edits: &'a [serde_json::Value],
    at: u64,
    version: Option<u64>,
    position: Option<u64>,
    refused: bool,
}

fn sent_changes(records: &[Record]) -> Vec<SentChange<'_>> {
    let of = |record| match record {
        &Record::DesiredChange {
            ref id,
            ref edits,
            at,
            version,
            position,
            refused,
            ..
        } => Some(SentChange {
            id,
            edits,
            at,
            version,
            position,
            refused,
        }),
        _ => None,
    };
    records.iter().filter_map(of).collect()
}

type ChangesByVersion<'a> = BTreeMap<u64, &'a SentChange<'a>>;

/// Each version is one accepted change's; a change whose answer was lost may hold the one that is missing.
fn changes_by_version<'a>(sent: &'a [SentChange<'a>]) -> (ChangesByVersion<'a>, Vec<String>) {
    let mut broken = Vec::new();
    let table = sent
        .iter()
        .filter_map(|change| change.version.map(|version| (version, change)))
        .fold(ChangesByVersion::new(), |mut table, (version, change)| {
            if table.get(&version).is_some_and(|held| held.id != change.id) {
                broken.push(format!(
                    "version {version} was told to {} and to {}",
                    table[&version].id, change.id
                ));
            }
            table.entry(version).or_insert(change);
            table
        });
    (table, broken)
}

fn parsed_edits(change: &SentChange) -> Vec<model::Edit> {
    change
        .edits
        .iter()
        .filter_map(|edit| serde_json::from_value(edit.clone()).ok())
        .collect()
}

/// Every state read back is the fold of the accepted changes up to its version: nothing of a refused one, nothing lost.
pub(crate) fn inconsistent_reads(records: &[Record]) -> Vec<String> {
    let sent = sent_changes(records);
    let (table, mut broken) = changes_by_version(&sent);
    let lost: Vec<&SentChange> = sent
        .iter()
        .filter(|change| change.version.is_none() && !change.refused)
        .collect();
    let top = table.keys().max().copied().unwrap_or(0);
    let reads = records.iter().filter_map(|record| match record {
        Record::StateRead { asked, desired, .. } => {
            serde_json::from_value::<model::DesiredState>(desired.clone())
                .ok()
                .map(|state| (*asked, state))
        }
        _ => None,
    });
    let reads: Vec<(u64, model::DesiredState)> = reads.collect();
    let top = reads
        .iter()
        .map(|(_, state)| state.version)
        .max()
        .unwrap_or(0)
        .max(top);
    let mut folded = vec![vec![model::DesiredState::default()]];
    (1..=top).for_each(|version| {
        // What stands at this version: one state, or one for each change that may hold it.
        let candidates: Vec<&&SentChange> = lost
            .iter()
            .filter(|_| !table.contains_key(&version))
            .collect();
        let known = table.get(&version).into_iter().copied();
        let changes: Vec<&SentChange> = known.chain(candidates.into_iter().copied()).collect();
        let states: Vec<model::DesiredState> = folded[version as usize - 1]
            .iter()
            .flat_map(|before| {
                changes.iter().map(move |change| model::DesiredState {
                    version,
                    ..before.with_edits(&parsed_edits(change))
                })
            })
            .filter(|after| {
                let seen = reads.iter().find(|(_, state)| state.version == version);
                seen.is_none_or(|(_, state)| state == after)
            })
            .take(16)
            .collect();
        folded.push(states);
    });
    broken.extend(
        reads
            .iter()
            .filter(|(_, state)| !folded[state.version as usize].contains(state))
            .map(|(asked, state)| {
                format!(
                    "read back at {asked}: version {} is not what the accepted changes make of it",
                    state.version
                )
            }),
    );
    broken
}

/// A read-back never lacks what had been accepted before it was asked for.
pub(crate) fn lost_changes(records: &[Record]) -> Vec<String> {
    let sent = sent_changes(records);
    let accepted: Vec<(u64, u64)> = sent
        .iter()
        .filter_map(|change| change.version.map(|version| (change.at, version)))
        .collect();
    let reads = records.iter().filter_map(|record| match record {
        Record::StateRead { asked, desired, .. } => {
            Some((*asked, desired["version"].as_u64().unwrap_or(0)))
        }
        _ => None,
    });
    reads
        .filter_map(|(asked, version)| {
            let due = accepted
                .iter()
                .filter(|(at, _)| *at < asked)
                .map(|(_, version)| *version)
                .max()
                .unwrap_or(0);
            (version < due).then(|| {
                format!("read back at {asked}: version {version}, though {due} had been accepted")
            })
        })
        .collect()
}

type NodeObservation<'a> = (&'a str, u64, u64, u64, bool);

fn node_observations(records: &[Record]) -> Vec<NodeObservation<'_>> {
    let of = |record| match record {
        &Record::NodeObserved {
            ref node,
            incarnation: life,
            asked,
            position,
            fresh,
        } => Some((node.as_str(), life, asked, position, fresh)),
        _ => None,
    };
    let mut seen: Vec<NodeObservation> = records.iter().filter_map(of).collect();
    seen.sort_by_key(|(node, _, asked, ..)| (*node, *asked));
    seen
}

/// Within a life never, and over a restart not below what it had proved.
pub(crate) fn regressed_positions(records: &[Record]) -> Vec<String> {
    let mut held: BTreeMap<&str, (u64, u64, u64)> = Default::default();
    node_observations(records)
        .into_iter()
        .filter_map(|(node, life, asked, position, fresh)| {
            let (last_life, last, proved) = held.get(node).copied().unwrap_or_default();
            let back = life == last_life && position < last || fresh && position < proved;
            held.insert(
                node,
                (
                    life,
                    position,
                    if fresh { proved.max(position) } else { proved },
                ),
            );
            back.then(|| {
                format!("{node} at {asked}: position {position} after {last}, {proved} proved")
            })
        })
        .collect()
}

/// Whoever serves two and a half seconds after a change was accepted, serves by it.
pub(crate) fn late_changes(records: &[Record]) -> Vec<String> {
    let sent = sent_changes(records);
    let mut accepted: Vec<(u64, u64)> = sent
        .iter()
        .filter_map(|change| change.position.map(|position| (change.at, position)))
        .collect();
    accepted.sort();
    node_observations(records)
        .into_iter()
        .filter(|(.., fresh)| *fresh)
        .filter_map(|(node, _, asked, position, _)| {
            let due = accepted
                .iter()
                .take_while(|(at, _)| at + IN_FORCE_WITHIN_US <= asked)
                .map(|(_, position)| *position)
                .max()
                .unwrap_or(0);
            (position < due).then(|| {
                format!("{node} at {asked} serves by {position}, {due} was accepted before")
            })
        })
        .collect()
}
