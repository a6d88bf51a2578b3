//! The state machine of groupings and standing orders. The same entries produce the same state on
//! every replica (design 2.3).

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest as _, Sha256};

use crate::endpoint_status::EndpointReport;
use crate::endpoint_status_rules::{self, Rejection};
use crate::leases::{self, LeaseHolder, LeaseTable, LongestRequests};
use crate::{
    Backend, BackendName, BackendPhase, Change, DecodeError, DesiredState, EndpointStatus, Entry,
    Incarnation, Microseconds, Operation, Outcome, Position, ReplicaReplacement, ServiceName,
};
use crate::{archive, registration, validation};

/// Number of decided changes whose outcome is kept, so that a repeated change gets the same
/// answer.
const MAX_STORED_CHANGES: usize = 1_024;
/// Number of origins whose last report is kept, to detect repeated reports.
const MAX_STORED_ORIGINS: usize = 1_024;

/// The state produced by the log entries for groupings, standing orders, endpoint reports and
/// replica replacements.
///
/// The tables for detecting repeats are bounded and part of the snapshot. After a change id has
/// been evicted, a repeat of the change is still rejected as stale because of its base version.
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
    /// The position of the last entry that changed this state.
    pub position: Position,
    /// Groupings and standing orders.
    pub desired: DesiredState,
    /// Registered backends and nodes.
    #[serde(rename = "standing")]
    pub endpoint_status: EndpointStatus,
    /// Key leases by service.
    #[serde(rename = "terms")]
    pub leases: LeaseTable,
    /// The longest request duration ever permitted on the keys of each service, in microseconds.
    #[serde(rename = "longest")]
    pub longest_requests: LongestRequests,
    /// Replaced replicas: the identity of the disk that now is the replica, and the last instance
    /// of the previous disk.
    #[serde(rename = "seats")]
    pub replica_holders: BTreeMap<u16, (u64, u64)>,
    /// By change id: the position of the decision, the digest of the change, and the outcome.
    #[serde(rename = "changes")]
    decided_changes: BTreeMap<String, (Position, Vec<u8>, Outcome)>,
    /// By origin: its incarnation, its last sequence number, the position after that entry, and the
    /// outcome.
    origins: BTreeMap<String, (u64, u64, Position, Outcome)>,
}

impl StateMachine {
    /// Applies the entry of a log instance. A replaced replica switches to its new disk `window`
    /// instances after the instance of the entry.
    pub fn apply_at(&mut self, entry: Entry, instance: u64, window: u64) -> Outcome {
        match entry.operation {
            Operation::ReplaceReplica(change) => self.replace_replica(change, instance, window),
            _ => self.apply(entry),
        }
    }

    fn replace_replica(
        &mut self,
        change: ReplicaReplacement,
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
        let mut replacements = self.replica_holders.iter();
        if let Some((replica, _)) = replacements.find(|(_, (_, after))| *after >= instance) {
            return refused(format!("seat {replica} is changing hands; one at a time"));
        }
        if change.old_disk == change.new_disk {
            return refused("a disk cannot take over from itself");
        }
        self.position += 1;
        let last_of_old_disk = instance + window - 1;
        self.replica_holders
            .insert(change.replica_id, (change.new_disk, last_of_old_disk));
        self.accepted()
    }

    /// Applies an entry that does not depend on its log instance. Replica replacements, operations
    /// on the cluster state and barriers change nothing here.
    pub fn apply(&mut self, entry: Entry) -> Outcome {
        match entry.operation {
            Operation::ReplaceReplica(_) | Operation::ClusterState(_) | Operation::Barrier => {
                self.unchanged()
            }
            Operation::Change(change) => self.apply_change(change),
            Operation::EndpointReport(report) => {
                self.apply_report_once(entry.origin, entry.incarnation, entry.sequence, report)
            }
        }
    }

    /// Applies each report of an origin once, in the order of the sequence numbers.
    fn apply_report_once(
        &mut self,
        origin: String,
        incarnation: Incarnation,
        sequence: u64,
        report: EndpointReport,
    ) -> Outcome {
        if !self.is_from_registered_incarnation(&origin, incarnation, &report) {
            return Outcome::Superseded {
                position: self.position,
            };
        }
        if let Some((known, last, _, outcome)) = self.origins.get(&origin)
            && *known == incarnation
            && *last >= sequence
        {
            return if *last == sequence {
                outcome.clone()
            } else {
                self.unchanged()
            };
        }
        let outcome = self.apply_report(report);
        let record = (incarnation, sequence, self.position, outcome.clone());
        self.origins.insert(origin, record);
        evict_oldest(
            &mut self.origins,
            MAX_STORED_ORIGINS,
            |(_, _, position, _)| *position,
        );
        outcome
    }

    fn is_from_registered_incarnation(
        &self,
        origin: &str,
        sender: Incarnation,
        report: &EndpointReport,
    ) -> bool {
        let registered = self
            .endpoint_status
            .nodes
            .get(origin)
            .map(|node| node.incarnation);
        let last_seen = self
            .origins
            .get(origin)
            .map(|(incarnation, ..)| *incarnation);
        let registration = match report {
            EndpointReport::NodeRegistered { node, replaces, .. } if node == origin => {
                Some(*replaces)
            }
            _ => None,
        };
        registration::may_report(registered, last_seen, sender, registration)
    }

    fn apply_change(&mut self, change: Change) -> Outcome {
        let digest = change_digest(&change);
        match self.decided_changes.get(&change.id) {
            Some((_, known, outcome)) if *known == digest => return outcome.clone(),
            Some(_) => {
                return Outcome::Reused {
                    version: self.desired.version,
                };
            }
            None => {}
        }
        // The two outcomes below are not kept: the operator may correct the change and send it
        // again under the same id.
        if change.base_version != self.desired.version {
            return Outcome::Stale {
                version: self.desired.version,
            };
        }
        let faults = validation::faults_against(&self.desired, &change.edits);
        if !faults.is_empty() {
            return Outcome::Invalid { faults };
        }
        self.position += 1;
        let version = self.desired.version + 1;
        self.desired = DesiredState {
            version,
            ..self.desired.with_edits(&change.edits)
        };
        self.reassign_leases();
        let outcome = self.accepted();
        let record = (self.position, digest, outcome.clone());
        self.decided_changes.insert(change.id, record);
        let position_of = |(position, ..): &(Position, Vec<u8>, Outcome)| *position;
        evict_oldest(&mut self.decided_changes, MAX_STORED_CHANGES, position_of);
        outcome
    }

    fn apply_report(&mut self, report: EndpointReport) -> Outcome {
        let status_before = self.endpoint_status.clone();
        let leases_before = self.leases.clone();
        let next = self.position + 1;
        match endpoint_status_rules::apply(self, report, next) {
            Ok(()) => {}
            Err(Rejection::Superseded) => {
                return Outcome::Superseded {
                    position: self.position,
                };
            }
            Err(rejection) => return refused(rejection.to_string()),
        }
        self.position = next;
        self.reassign_leases();
        if self.endpoint_status == status_before && self.leases == leases_before {
            self.position = next - 1;
            return self.unchanged();
        }
        self.accepted()
    }

    /// Recomputes the key leases, which depend only on the desired state and the endpoint status.
    fn reassign_leases(&mut self) {
        let longest_allowed = self.longest_keyed_requests();
        let services: BTreeSet<ServiceName> = longest_allowed
            .keys()
            .chain(self.leases.keys())
            .cloned()
            .collect();
        for service in services {
            let candidates = leases::candidates(self.backends_of(&service));
            let before = self.leases.get(&service).cloned().unwrap_or_default();
            let after = leases::assign(&before, &candidates, self.position);
            self.leases.insert(service.clone(), after);
            let allowed = longest_allowed.get(&service).copied().unwrap_or(0);
            let longest = self.longest_requests.entry(service).or_insert(0);
            *longest = allowed.max(*longest);
        }
    }

    /// Returns the longest request duration that the keyed orders of each service permit now, in
    /// microseconds.
    fn longest_keyed_requests(&self) -> BTreeMap<ServiceName, Microseconds> {
        let mut longest = BTreeMap::new();
        for order in self.desired.orders.values().filter(|order| order.keyed) {
            let allowed = longest.entry(order.selector.service.clone()).or_insert(0);
            *allowed = order.wait_us.max(*allowed);
        }
        longest
    }

    /// Releases the leases of a node that left with no requests running: its backends' key slots
    /// need no pending release when they move.
    ///
    /// The leases move at the position of the report that is being applied, which is one above the
    /// current position.
    pub(crate) fn release_leases_of_node(&mut self, node: &str) {
        let backends = self.endpoint_status.backends.iter();
        let holders: Vec<(ServiceName, LeaseHolder)> = backends
            .filter(|(_, backend)| backend.node == node)
            .map(|(name, backend)| (backend.service.clone(), (name.clone(), backend.incarnation)))
            .collect();
        self.position += 1;
        self.reassign_leases();
        for (service, holder) in holders {
            if let Some(held) = self.leases.get_mut(&service) {
                *held = leases::release(held, &holder, self.position);
            }
        }
        self.position -= 1;
    }

    /// Returns the backends of a service that match one of its groupings.
    pub fn backends_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a BackendName, &'a Backend)> + 'a {
        let backends = self.endpoint_status.backends.iter();
        backends.filter(move |(_, backend)| {
            backend.service == service && self.matches_grouping(backend)
        })
    }

    /// Returns whether the backend matches any grouping.
    pub fn matches_grouping(&self, backend: &Backend) -> bool {
        self.desired.groupings.values().any(|grouping| {
            grouping.service == backend.service
                && grouping.zone == backend.zone
                && grouping
                    .labels
                    .iter()
                    .all(|(name, value)| backend.labels.get(name) == Some(value))
        })
    }

    /// Serializes the state for a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        archive::to_bytes(self)
    }

    /// Deserializes the output of [`StateMachine::to_bytes`].
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid archive of a state machine.
    pub fn from_bytes(bytes: &[u8]) -> Result<StateMachine, DecodeError> {
        archive::from_bytes(bytes)
    }

    /// Returns the number of backends in a phase.
    pub fn count_in_phase(&self, phase: BackendPhase) -> usize {
        self.endpoint_status
            .backends
            .values()
            .filter(|backend| backend.phase == phase)
            .count()
    }

    fn accepted(&self) -> Outcome {
        Outcome::Accepted {
            position: self.position,
            version: self.desired.version,
        }
    }

    fn unchanged(&self) -> Outcome {
        Outcome::Unchanged {
            position: self.position,
        }
    }
}

fn refused(reason: impl Into<String>) -> Outcome {
    Outcome::Refused {
        reason: reason.into(),
    }
}

/// Returns the SHA-256 of the change's JSON. The digest is stored, so the JSON must stay the same.
fn change_digest(change: &Change) -> Vec<u8> {
    let bytes = serde_json::to_vec(change).unwrap_or_default();
    Sha256::digest(&bytes).to_vec()
}

/// Removes the entry with the lowest position if the table holds more than `limit` entries.
fn evict_oldest<V>(
    table: &mut BTreeMap<String, V>,
    limit: usize,
    position: impl Fn(&V) -> Position,
) {
    if table.len() <= limit {
        return;
    }
    let oldest = table
        .iter()
        .min_by_key(|(_, entry)| position(entry))
        .map(|(name, _)| name);
    if let Some(oldest) = oldest.cloned() {
        table.remove(&oldest);
    }
}
