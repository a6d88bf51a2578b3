//! The state machine the log drives: same entries, same book, everywhere (design 2.3).

use crate::{
    Backend, BackendPhase, Change, DesiredState, EndpointStatus, Entry, Operation, Outcome,
    Position, endpoint_status::EndpointReport, endpoint_status_rules::Rejection, leases,
};
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Remembered changes and origins; both are part of the snapshot (design 2.3).
const MAX_REMEMBERED_CHANGES: usize = 1_024;
const MAX_REMEMBERED_ORIGINS: usize = 1_024;

#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    serde::Serialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct StateMachine {
    pub position: Position,
    pub desired: DesiredState,
    #[serde(rename = "standing")]
    pub endpoint_status: EndpointStatus,
    #[serde(rename = "terms")]
    pub leases: leases::LeaseTable,
    #[serde(rename = "longest")]
    pub longest_requests: leases::LongestRequests,
    /// Seats that changed hands: the disk that holds it, after which instance.
    #[serde(rename = "seats")]
    pub replica_holders: BTreeMap<u16, (u64, u64)>,
    /// Change id to the position it was decided at, its edits' digest, and the answer.
    #[serde(rename = "changes")]
    decided_changes: BTreeMap<String, (Position, Vec<u8>, Outcome)>,
    /// Origin to its life, last sequence, position and answer.
    origins: BTreeMap<String, (u64, u64, Position, Outcome)>,
}

impl StateMachine {
    /// `instance` is where the entry stands in the log, `window` how far ahead a seat changes hands.
    pub fn apply_at(&mut self, entry: Entry, instance: u64, window: u64) -> Outcome {
        match entry.operation {
            Operation::ReplaceReplica(change) => self.replace_replica(change, instance, window),
            _ => self.apply(entry),
        }
    }

    fn replace_replica(
        &mut self,
        change: crate::ReplicaReplacement,
        instance: u64,
        window: u64,
    ) -> Outcome {
        if let Some((holder, after)) = self.replica_holders.get(&change.replica_id) {
            if *holder == change.new_disk {
                return Outcome::Unchanged {
                    position: self.position,
                };
            }
            if *holder != change.old_disk {
                return refused(format!(
                    "seat {} is held by disk {holder:016x} after instance {after}",
                    change.replica_id
                ));
            }
        }
        if let Some((seat, _)) = self
            .replica_holders
            .iter()
            .find(|(_, (_, after))| *after >= instance)
        {
            return refused(format!("seat {seat} is changing hands; one at a time"));
        }
        if change.old_disk == change.new_disk {
            return refused("a disk cannot take over from itself");
        }
        self.position += 1;
        self.replica_holders
            .insert(change.replica_id, (change.new_disk, instance + window - 1));
        Outcome::Accepted {
            position: self.position,
            version: self.desired.version,
        }
    }

    pub fn apply(&mut self, entry: Entry) -> Outcome {
        match entry.operation {
            Operation::ReplaceReplica(_) | Operation::ClusterState(_) | Operation::Barrier => {
                Outcome::Unchanged {
                    position: self.position,
                }
            }
            Operation::Change(change) => self.apply_change(change),
            Operation::EndpointReport(report) => {
                if !self.is_from_registered_incarnation(&entry.origin, entry.incarnation, &report) {
                    return Outcome::Superseded {
                        position: self.position,
                    };
                }
                let known = self.origins.get(&entry.origin).cloned();
                match known {
                    Some((life, sequence, _, outcome))
                        if life == entry.incarnation && sequence >= entry.sequence =>
                    {
                        return if sequence == entry.sequence {
                            outcome
                        } else {
                            Outcome::Unchanged {
                                position: self.position,
                            }
                        };
                    }
                    _ => {}
                }
                let outcome = self.apply_report(report);
                self.origins.insert(
                    entry.origin,
                    (
                        entry.incarnation,
                        entry.sequence,
                        self.position,
                        outcome.clone(),
                    ),
                );
                evict_oldest(
                    &mut self.origins,
                    MAX_REMEMBERED_ORIGINS,
                    |(_, _, position, _)| *position,
                );
                outcome
            }
        }
    }

    /// As in the bill: a report counts only from the registered incarnation of its origin, or with its registration.
    fn is_from_registered_incarnation(
        &self,
        origin: &str,
        life: crate::Incarnation,
        report: &EndpointReport,
    ) -> bool {
        let registered = self
            .endpoint_status
            .nodes
            .get(origin)
            .map(|node| node.incarnation);
        match report {
            EndpointReport::NodeRegistered { node, replaces, .. } if node == origin => {
                registered.is_none_or(|held| held == life || held == *replaces)
            }
            _ => registered
                .or_else(|| self.origins.get(origin).map(|(held, ..)| *held))
                .is_none_or(|held| held == life),
        }
    }

    fn apply_change(&mut self, change: Change) -> Outcome {
        let digest = change_digest(&change);
        match self.decided_changes.get(&change.id) {
            Some((_, held, outcome)) if *held == digest => return outcome.clone(),
            Some(_) => {
                return Outcome::Reused {
                    version: self.desired.version,
                };
            }
            None => {}
        }
        // Neither verdict is remembered: the same id may come again, mended.
        if change.base_version != self.desired.version {
            return Outcome::Stale {
                version: self.desired.version,
            };
        }
        let faults = crate::validation::faults_against(&self.desired, &change.edits);
        if !faults.is_empty() {
            return Outcome::Invalid { faults };
        }
        self.position += 1;
        self.desired = DesiredState {
            version: self.desired.version + 1,
            ..self.desired.with_edits(&change.edits)
        };
        self.reassign_leases();
        let outcome = Outcome::Accepted {
            position: self.position,
            version: self.desired.version,
        };
        self.decided_changes
            .insert(change.id, (self.position, digest, outcome.clone()));
        evict_oldest(
            &mut self.decided_changes,
            MAX_REMEMBERED_CHANGES,
            |(position, _, _)| *position,
        );
        outcome
    }

    fn apply_report(&mut self, report: EndpointReport) -> Outcome {
        let before = self.endpoint_status.clone();
        let terms_before = self.leases.clone();
        let next = self.position + 1;
        match crate::endpoint_status_rules::apply(self, report, next) {
            Err(Rejection::Refused(reason)) => return refused(reason),
            Err(Rejection::Superseded) => {
                return Outcome::Superseded {
                    position: self.position,
                };
            }
            Ok(()) => {}
        }
        self.position = next;
        self.reassign_leases();
        if self.endpoint_status == before && self.leases == terms_before {
            self.position = next - 1;
            return Outcome::Unchanged {
                position: self.position,
            };
        }
        Outcome::Accepted {
            position: self.position,
            version: self.desired.version,
        }
    }

    /// Key terms follow from desired state and standing; nothing else decides them.
    fn reassign_leases(&mut self) {
        let keyed: BTreeMap<String, u64> = self
            .desired
            .orders
            .values()
            .filter(|order| order.keyed)
            .fold(BTreeMap::new(), |mut longest, order| {
                let held = longest.entry(order.selector.service.clone()).or_insert(0);
                *held = order.wait_us.max(*held);
                longest
            });
        let position = self.position;
        let services: Vec<String> = keyed
            .keys()
            .chain(self.leases.keys())
            .cloned()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        services.into_iter().for_each(|service| {
            let cast = leases::candidates(self.backends_of(&service));
            let before = self.leases.get(&service).cloned().unwrap_or_default();
            self.leases
                .insert(service.clone(), leases::assign(&before, &cast, position));
            let longest = keyed.get(&service).copied().unwrap_or(0);
            let held = self.longest_requests.entry(service).or_insert(0);
            *held = longest.max(*held);
        });
    }

    /// Nothing runs beside the node: what its back ends held is free as soon as it moves.
    pub(crate) fn release_leases_of_node(&mut self, node: &str) {
        let lives: Vec<(String, leases::LeaseHolder)> = self
            .endpoint_status
            .backends
            .iter()
            .filter(|(_, held)| held.node == node)
            .map(|(name, held)| (held.service.clone(), (name.clone(), held.incarnation)))
            .collect();
        self.position += 1;
        self.reassign_leases();
        lives.into_iter().for_each(|(service, holder)| {
            if let Some(held) = self.leases.get_mut(&service) {
                *held = leases::release(held, &holder, self.position);
            }
        });
        self.position -= 1;
    }

    /// Back ends of a service that still fit one of its groupings.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Backend)> + 'a {
        self.endpoint_status
            .backends
            .iter()
            .filter(move |(_, back_end)| {
                back_end.service == service && self.matches_grouping(back_end)
            })
    }

    pub fn matches_grouping(&self, back_end: &Backend) -> bool {
        self.desired.groupings.values().any(|grouping| {
            grouping.service == back_end.service
                && grouping.zone == back_end.zone
                && grouping
                    .labels
                    .iter()
                    .all(|(name, value)| back_end.labels.get(name) == Some(value))
        })
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default()
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<StateMachine> {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<StateMachine, rkyv::rancor::Error>(&aligned).ok()
    }

    pub fn count_in_phase(&self, phase: BackendPhase) -> usize {
        self.endpoint_status
            .backends
            .values()
            .filter(|back_end| back_end.phase == phase)
            .count()
    }
}

fn refused(reason: impl Into<String>) -> Outcome {
    Outcome::Refused {
        reason: reason.into(),
    }
}

fn change_digest(change: &Change) -> Vec<u8> {
    let bytes = serde_json::to_vec(change).unwrap_or_default();
    <sha2::Sha256 as sha2::Digest>::digest(&bytes).to_vec()
}

fn evict_oldest<V>(
    table: &mut BTreeMap<String, V>,
    keep: usize,
    position: impl Fn(&V) -> Position,
) {
    let oldest = (table.len() > keep).then(|| {
        table
            .iter()
            .min_by_key(|(_, held)| position(held))
            .map(|(name, _)| name.clone())
    });
    if let Some(oldest) = oldest.flatten() {
        table.remove(&oldest);
    }
}
