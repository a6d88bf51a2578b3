//! The state machine of items, backends, nodes and the shard maps of keyed services. Applying an
//! entry also returns the deltas it caused, so that followers receive changes instead of whole
//! states (design 11).
//!
//! Both this state machine and [`StateMachine`](crate::StateMachine) are driven by the same log;
//! each entry is for one of the two.

mod delta;
pub mod endpoints;
pub mod items;
pub mod placement;
mod report;
pub mod shard_map;
mod snapshot;
mod version_history;

use std::collections::{BTreeMap, HashSet};

pub use delta::Delta;
pub use endpoints::{BackendRecord, NodeRecord};
pub use items::{Item, ItemBody, ItemCall, ItemKind, Limits, Route, Service};
pub use placement::Placement;
pub use report::ClusterReport;
pub use shard_map::{ShardKey, ShardMap, ShardRange};
pub use snapshot::{AvailableBackend, RouteItem, StateSnapshot};

use crate::{BackendName, BackendPhase, DecodeError, Incarnation, NodeName, Outcome, Position};
use crate::{archive, registration};
use placement::{Placements, Reassignment};
use version_history::{CallDigests, VersionHistory};

/// Number of positions for which the names of ended backends are kept, so that a late report does
/// not restore one.
const ENDED_BACKEND_RETENTION_POSITIONS: Position = 20_000;
/// Number of origins whose last sequence number is kept.
const MAX_STORED_ORIGINS: usize = 4_096;
/// Number of positions between two removals of old backends and origins.
const CLEANUP_INTERVAL_POSITIONS: Position = 256;

/// An operation on the cluster state, as stored in the log.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClusterOperation {
    /// An operator's call.
    Items(ItemCall),
    /// Reports of one origin, sent together in one entry. An origin has at most one such entry in
    /// flight.
    Reports(Vec<ClusterReport>),
}

/// The outcome of an entry, and the deltas to send to followers.
type Applied = (Outcome, Vec<Delta>);

/// The state produced by the log entries for items and cluster reports.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ClusterState {
    /// The position of the last entry that changed this state.
    pub position: Position,
    /// Items by kind and name.
    pub items: items::Items,
    /// Backends by name.
    pub backends: endpoints::BackendRecords,
    /// Nodes by name.
    pub nodes: endpoints::NodeRecords,
    /// The placements of keyed services.
    pub placements: Placements,
    version_history: VersionHistory,
    /// Backends that ended, with the position at which each ended.
    ended_backends: BTreeMap<BackendName, Position>,
    /// By origin: its incarnation, its last sequence number, and the position after that entry.
    origins: BTreeMap<String, (u64, u64, Position)>,
}

impl ClusterState {
    /// Applies an operation and returns its outcome and the deltas to send to followers.
    ///
    /// `origin`, `incarnation` and `sequence` are those of the entry; they are checked for reports
    /// only.
    pub fn apply(
        &mut self,
        origin: &str,
        incarnation: Incarnation,
        sequence: u64,
        operation: ClusterOperation,
    ) -> Applied {
        match operation {
            ClusterOperation::Items(call) => self.apply_call(call),
            ClusterOperation::Reports(reports) => {
                self.apply_reports(origin, incarnation, sequence, reports)
            }
        }
    }

    fn apply_call(&mut self, call: ItemCall) -> Applied {
        let faults = items::faults(&self.items, &call);
        if !faults.is_empty() {
            return (Outcome::Invalid { faults }, Vec::new());
        }
        let digests = CallDigests::of(&call);
        let conflicts = self.version_history.conflicts(&self.items, &digests);
        if !conflicts.is_empty() {
            return (Outcome::Conflict { conflicts }, Vec::new());
        }
        let newer = items::newer_items(&self.items, &call);
        if newer.is_empty() {
            return self.unchanged();
        }
        self.position += 1;
        let deltas = newer.iter().map(item_delta).collect();
        self.version_history.record(&newer, &digests);
        self.items.extend(newer);
        (
            Outcome::Accepted {
                position: self.position,
                version: 0,
            },
            deltas,
        )
    }

    /// Applies each batch of reports of an origin once, in the order of the sequence numbers.
    fn apply_reports(
        &mut self,
        origin: &str,
        incarnation: Incarnation,
        sequence: u64,
        reports: Vec<ClusterReport>,
    ) -> Applied {
        if !self.is_from_registered_incarnation(origin, incarnation, &reports) {
            return (
                Outcome::Superseded {
                    position: self.position,
                },
                Vec::new(),
            );
        }
        let last = self.origins.get(origin);
        if last.is_some_and(|(known, last, _)| *known == incarnation && *last >= sequence) {
            return self.unchanged();
        }
        let next = self.position + 1;
        let mut deltas = Vec::new();
        for report in reports {
            deltas.extend(self.apply_report(report, next));
        }
        self.origins
            .insert(origin.to_string(), (incarnation, sequence, next));
        self.remove_old_entries(next);
        if deltas.is_empty() {
            return self.unchanged();
        }
        deltas.extend(self.remove_long_absent(next));
        self.position = next;
        (
            Outcome::Accepted {
                position: next,
                version: 0,
            },
            deltas,
        )
    }

    fn unchanged(&self) -> Applied {
        (
            Outcome::Unchanged {
                position: self.position,
            },
            Vec::new(),
        )
    }

    fn is_from_registered_incarnation(
        &self,
        origin: &str,
        sender: Incarnation,
        reports: &[ClusterReport],
    ) -> bool {
        let registered = self.nodes.get(origin).map(|node| node.incarnation);
        let last_seen = self
            .origins
            .get(origin)
            .map(|(incarnation, ..)| *incarnation);
        let registration = reports.iter().find_map(|report| match report {
            ClusterReport::NodeRegistered { node, replaces, .. } if node == origin => {
                Some(*replaces)
            }
            _ => None,
        });
        registration::may_report(registered, last_seen, sender, registration)
    }

    fn apply_report(&mut self, report: ClusterReport, next: Position) -> Vec<Delta> {
        use ClusterReport::*;
        let delta = match report {
            NodeRegistered {
                node,
                zone,
                address,
                incarnation,
                replaces,
            } => {
                let registration = NodeRecord::present(zone, address, incarnation, next);
                self.register_node(node, registration, replaces)
            }
            NodeLeft { node, incarnation } => self.node_left(&node, incarnation),
            NodeObserved {
                observer,
                node,
                incarnation,
                suspected,
            } => self.observe_node(observer, &node, incarnation, suspected, next),
            BackendJoined { name, backend } => self.backend_joined(name, backend, next),
            BackendDraining { name } => {
                let (from, to) = (BackendPhase::Registered, BackendPhase::Draining);
                self.change_phase(&name, from, to, next)
            }
            BackendSilent { name, silent } => self.backend_silent(&name, silent, next),
            BackendEnded { name, process_gone } => {
                return self.backend_ended(name, process_gone, next);
            }
            ShardsReassigned {
                service,
                base_placement,
                ranges,
            } => {
                let reassignment = Reassignment {
                    service,
                    base_placement,
                    ranges,
                };
                reassignment.apply(&mut self.placements, &self.backends, next)
            }
            ShardsReleased {
                service,
                name,
                known_through,
                ranges,
            } => {
                let release = |map| shard_map::release(map, &name, known_through, &ranges);
                placement::change_shard_map(&mut self.placements, &service, release)
            }
            ReleasesExpired { service, ranges } => {
                let expire = |map| shard_map::expire_releases(map, &ranges);
                placement::change_shard_map(&mut self.placements, &service, expire)
            }
        };
        delta.into_iter().collect()
    }

    fn register_node(
        &mut self,
        name: NodeName,
        registration: NodeRecord,
        replaces: Incarnation,
    ) -> Option<Delta> {
        let current = self.nodes.get(&name);
        let incarnation = registration.incarnation;
        let is_registered = current.is_some_and(|current| {
            current.incarnation == incarnation
                && current.present
                && current.address == registration.address
        });
        let registered = current.map(|current| current.incarnation);
        if is_registered || !registration::may_register(registered, incarnation, replaces) {
            return None;
        }
        self.nodes.insert(name.clone(), registration);
        Some(self.node_delta(&name))
    }

    fn node_left(&mut self, name: &str, incarnation: Incarnation) -> Option<Delta> {
        let is_current = self
            .nodes
            .get(name)
            .is_some_and(|node| node.incarnation == incarnation);
        if !is_current || self.backends.values().any(|backend| backend.node == name) {
            return None;
        }
        self.nodes.remove(name);
        Some(self.node_delta(name))
    }

    fn observe_node(
        &mut self,
        observer: NodeName,
        name: &str,
        incarnation: Incarnation,
        suspected: bool,
        next: Position,
    ) -> Option<Delta> {
        let is_present = |state: &Self| state.nodes.get(name).map(|node| node.present);
        let before = is_present(self);
        endpoints::record_observation(
            &mut self.nodes,
            observer,
            name,
            incarnation,
            suspected,
            next,
        );
        (is_present(self) != before).then(|| self.node_delta(name))
    }

    /// Records a backend that has joined. A late report neither restores an ended backend nor
    /// changes a phase back.
    fn backend_joined(
        &mut self,
        name: BackendName,
        backend: BackendRecord,
        next: Position,
    ) -> Option<Delta> {
        let is_known = self.backends.get(&name).is_some_and(|current| {
            let changed_at = current.changed_at;
            current.phase != backend.phase
                || *current
                    == BackendRecord {
                        changed_at,
                        ..backend.clone()
                    }
        });
        if is_known || self.ended_backends.contains_key(&name) {
            return None;
        }
        let joined = BackendRecord {
            changed_at: next,
            ..backend
        };
        self.backends.insert(name.clone(), joined);
        Some(self.backend_delta(&name))
    }

    /// Records that heartbeats of a backend are missing or have resumed. Only a registered backend
    /// becomes unresponsive, and only an unresponsive one becomes registered again: a draining
    /// backend stays draining.
    fn backend_silent(&mut self, name: &str, silent: bool, next: Position) -> Option<Delta> {
        let (registered, unresponsive) = (BackendPhase::Registered, BackendPhase::PresumedGone);
        if silent {
            self.change_phase(name, registered, unresponsive, next)
        } else {
            self.change_phase(name, unresponsive, registered, next)
        }
    }

    fn change_phase(
        &mut self,
        name: &str,
        from: BackendPhase,
        to: BackendPhase,
        next: Position,
    ) -> Option<Delta> {
        let backend = self
            .backends
            .get_mut(name)
            .filter(|backend| backend.phase == from)?;
        backend.phase = to;
        backend.changed_at = next;
        Some(self.backend_delta(name))
    }

    fn backend_ended(
        &mut self,
        name: BackendName,
        process_gone: bool,
        next: Position,
    ) -> Vec<Delta> {
        self.ended_backends.insert(name.clone(), next);
        let mut deltas = Vec::new();
        if self.backends.remove(&name).is_some() {
            deltas.push(self.backend_delta(&name));
        }
        if process_gone {
            let services: Vec<_> = self.placements.keys().cloned().collect();
            for service in services {
                let remove = |map| shard_map::remove_backend(map, &name);
                deltas.extend(placement::change_shard_map(
                    &mut self.placements,
                    &service,
                    remove,
                ));
            }
        }
        deltas
    }

    fn node_delta(&self, name: &str) -> Delta {
        let node = self.nodes.get(name);
        let without_observers = node.map(|node| NodeRecord {
            suspected_by: Default::default(),
            ..node.clone()
        });
        Delta::Node(name.to_string(), without_observers)
    }

    fn backend_delta(&self, name: &str) -> Delta {
        Delta::Backend(name.to_string(), self.backends.get(name).cloned())
    }

    fn remove_old_entries(&mut self, next: Position) {
        if next.is_multiple_of(CLEANUP_INTERVAL_POSITIONS) {
            self.ended_backends
                .retain(|_, ended_at| *ended_at + ENDED_BACKEND_RETENTION_POSITIONS > next);
        }
        if self.origins.len() > MAX_STORED_ORIGINS {
            let oldest = self
                .origins
                .iter()
                .min_by_key(|(_, (_, _, position))| *position);
            if let Some(oldest) = oldest.map(|(origin, _)| origin.clone()) {
                self.origins.remove(&oldest);
            }
        }
    }

    /// Removes backends and nodes that were absent for a long time (design 11.7).
    fn remove_long_absent(&mut self, next: Position) -> Vec<Delta> {
        if !next.is_multiple_of(CLEANUP_INTERVAL_POSITIONS) {
            return Vec::new();
        }
        let named = self.backends_in_shard_maps();
        let absent = endpoints::long_absent(&self.backends, &self.nodes, &named, next);
        self.backends
            .retain(|name, _| !absent.backends.contains(name));
        self.nodes.retain(|name, _| !absent.nodes.contains(name));
        for node in self.nodes.values_mut().filter(|node| node.present) {
            node.suspected_by
                .retain(|observer| !absent.nodes.contains(observer));
        }
        let backends = absent.backends.iter().map(|name| self.backend_delta(name));
        backends
            .chain(absent.nodes.iter().map(|name| self.node_delta(name)))
            .collect()
    }

    /// Returns the backends that hold keys or may still hold some.
    fn backends_in_shard_maps(&self) -> HashSet<&BackendName> {
        let ranges = self.placements.values().flat_map(|(_, ranges)| ranges);
        let names = ranges.flat_map(|range| {
            let pending = range.pending_releases.iter().map(|(name, _)| name);
            range.holder.iter().chain(pending)
        });
        names.collect()
    }

    /// Returns the complete state, as deltas from the empty state.
    pub fn full_deltas(&self) -> Vec<Delta> {
        let items = self
            .items
            .iter()
            .filter(|(_, item)| item.body.is_some())
            .map(item_delta);
        let nodes = self.nodes.keys().map(|name| self.node_delta(name));
        let backends = self.backends.keys().map(|name| self.backend_delta(name));
        let ranges = self
            .placements
            .iter()
            .map(|(service, (placed_at, ranges))| {
                Delta::ShardRanges(service.clone(), *placed_at, ranges.clone())
            });
        items.chain(nodes).chain(backends).chain(ranges).collect()
    }

    /// Serializes the state for a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        archive::to_bytes(self)
    }

    /// Deserializes the output of [`ClusterState::to_bytes`].
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the bytes are not a valid archive of a cluster state.
    pub fn from_bytes(bytes: &[u8]) -> Result<ClusterState, DecodeError> {
        archive::from_bytes(bytes)
    }
}

fn item_delta((key, item): (&items::ItemKey, &Item)) -> Delta {
    let (kind, name) = key.clone();
    Delta::Item(kind, name, item.version, item.body.clone())
}
