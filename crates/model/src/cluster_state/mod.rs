//! The second part of what the log drives: items, back ends, nodes and rows of keys, and what each entry
//! changed of them, so that followers hear changes and not states (design 11).

use std::collections::BTreeMap;

mod delta;
pub mod endpoints;
pub mod items;
pub mod shard_map;
mod version_history;

pub use delta::{AvailableBackend, Delta, StateSnapshot};
pub use endpoints::{BackendRecord, ClusterReport, NodeRecord};
pub use items::{Item, ItemBody, ItemCall, ItemKind, Limits, Route, Service};
pub use shard_map::{ShardKey, ShardMap, ShardRange};

use crate::{BackendName, Incarnation, Outcome, Position, ServiceName};

/// Ends of back ends are remembered for so many positions: a late word does not bring one back.
const ENDED_KEPT_POSITIONS: Position = 20_000;
const MAX_REMEMBERED_ORIGINS: usize = 4_096;

/// What the log may hold for the bill. Reports of one origin go together, one entry at a time.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum ClusterOperation {
    Items(ItemCall),
    Reports(Vec<ClusterReport>),
}

/// Rows of a service, and the position of its latest placement.
pub type Placement = (Position, ShardMap);

#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ClusterState {
    pub position: Position,
    pub items: items::Items,
    pub backends: endpoints::BackendRecords,
    pub nodes: endpoints::NodeRecords,
    pub placements: BTreeMap<ServiceName, Placement>,
    version_history: version_history::VersionHistory,
    ended_backends: BTreeMap<BackendName, Position>,
    origins: BTreeMap<String, (u64, u64, Position)>,
}

impl ClusterState {
    /// What the entry did, and what followers must be told of it.
    pub fn apply(
        &mut self,
        origin: &str,
        life: u64,
        sequence: u64,
        act: ClusterOperation,
    ) -> (Outcome, Vec<Delta>) {
        match act {
            ClusterOperation::Items(call) => self.apply_call(call),
            ClusterOperation::Reports(reports) => {
                if !self.is_from_registered_incarnation(origin, life, &reports) {
                    return (
                        Outcome::Superseded {
                            position: self.position,
                        },
                        Vec::new(),
                    );
                }
                let known = self.origins.get(origin);
                if known.is_some_and(|(held, last, _)| *held == life && *last >= sequence) {
                    return (
                        Outcome::Unchanged {
                            position: self.position,
                        },
                        Vec::new(),
                    );
                }
                let next = self.position + 1;
                let mut deltas: Vec<Delta> = reports
                    .into_iter()
                    .flat_map(|report| self.apply_report(report, next))
                    .collect();
                self.origins
                    .insert(origin.to_string(), (life, sequence, next));
                self.forget_old_entries(next);
                if deltas.is_empty() {
                    return (
                        Outcome::Unchanged {
                            position: self.position,
                        },
                        deltas,
                    );
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
        }
    }

    /// Whether this incarnation is the registered one of its origin, or becomes it with these very reports. Incarnations
    /// are drawn and only compared for equality: their order is the order of their registrations in the log.
    fn is_from_registered_incarnation(
        &self,
        origin: &str,
        life: Incarnation,
        reports: &[ClusterReport],
    ) -> bool {
        let registration = reports.iter().find_map(|report| match report {
            ClusterReport::NodeRegistered { node, replaces, .. } if node == origin => {
                Some(*replaces)
            }
            _ => None,
        });
        if let Some(replaces) = registration {
            return endpoints::may_register(&self.nodes, origin, life, replaces);
        }
        let registered = self.nodes.get(origin).map(|place| place.incarnation);
        let registered = registered.or_else(|| self.origins.get(origin).map(|(held, ..)| *held));
        registered.is_none_or(|held| held == life)
    }

    fn apply_call(&mut self, call: ItemCall) -> (Outcome, Vec<Delta>) {
        let faults = items::faults(&self.items, &call);
        if !faults.is_empty() {
            return (Outcome::Invalid { faults }, Vec::new());
        }
        let conflicts = self.version_history.conflicts(&self.items, &call);
        if !conflicts.is_empty() {
            return (Outcome::Conflict { conflicts }, Vec::new());
        }
        let newer = items::newer_items(&self.items, &call);
        if newer.is_empty() {
            return (
                Outcome::Unchanged {
                    position: self.position,
                },
                Vec::new(),
            );
        }
        self.position += 1;
        let told = newer
            .iter()
            .map(|((kind, name), item)| {
                Delta::Item(*kind, name.clone(), item.version, item.body.clone())
            })
            .collect();
        self.version_history.record(&newer);
        self.items.extend(newer);
        (
            Outcome::Accepted {
                position: self.position,
                version: 0,
            },
            told,
        )
    }

    fn apply_report(&mut self, report: ClusterReport, next: Position) -> Vec<Delta> {
        match report {
            ClusterReport::NodeRegistered {
                node,
                zone,
                address,
                incarnation: life,
                replaces,
            } => {
                let held = self.nodes.get(&node);
                let stands = held.is_some_and(|held| {
                    held.incarnation == life && held.present && held.address == address
                });
                if stands || !endpoints::may_register(&self.nodes, &node, life, replaces) {
                    return Vec::new();
                }
                let place = NodeRecord {
                    zone,
                    address,
                    incarnation: life,
                    present: true,
                    missed_by: Default::default(),
                    changed_at: next,
                };
                self.nodes.insert(node.clone(), place);
                self.node_delta(&node)
            }
            ClusterReport::NodeLeft {
                node,
                incarnation: life,
            } => {
                let gone = self
                    .nodes
                    .get(&node)
                    .is_some_and(|held| held.incarnation == life)
                    && !self.backends.values().any(|player| player.node == node);
                if gone {
                    self.nodes.remove(&node);
                }
                if gone {
                    self.node_delta(&node)
                } else {
                    Vec::new()
                }
            }
            ClusterReport::NodeObserved {
                observer: watcher,
                node,
                incarnation: life,
                missed,
            } => {
                let before = self.nodes.get(&node).map(|held| held.present);
                endpoints::record_observation(&mut self.nodes, watcher, &node, life, missed, next);
                if self.nodes.get(&node).map(|held| held.present) == before {
                    Vec::new()
                } else {
                    self.node_delta(&node)
                }
            }
            ClusterReport::BackendJoined {
                name,
                backend: player,
            } => {
                let known = self.backends.get(&name).is_some_and(|held| {
                    held.phase != player.phase
                        || BackendRecord {
                            changed_at: held.changed_at,
                            ..player.clone()
                        } == *held
                });
                if known || self.ended_backends.contains_key(&name) {
                    return Vec::new();
                }
                self.backends.insert(
                    name.clone(),
                    BackendRecord {
                        changed_at: next,
                        ..player
                    },
                );
                self.backend_delta(&name)
            }
            ClusterReport::BackendDraining { name } => {
                let Some(held) = self
                    .backends
                    .get_mut(&name)
                    .filter(|held| held.phase == crate::BackendPhase::Registered)
                else {
                    return Vec::new();
                };
                (held.phase, held.changed_at) = (crate::BackendPhase::Draining, next);
                self.backend_delta(&name)
            }
            ClusterReport::BackendSilent { name, silent } => {
                let (from, to) = (
                    crate::BackendPhase::Registered,
                    crate::BackendPhase::PresumedGone,
                );
                let (from, to) = if silent { (from, to) } else { (to, from) };
                let Some(held) = self
                    .backends
                    .get_mut(&name)
                    .filter(|held| held.phase == from)
                else {
                    return Vec::new();
                };
                (held.phase, held.changed_at) = (to, next);
                self.backend_delta(&name)
            }
            ClusterReport::BackendEnded {
                name,
                process_gone: surely,
            } => {
                self.ended_backends.insert(name.clone(), next);
                let gone = if self.backends.remove(&name).is_some() {
                    self.backend_delta(&name)
                } else {
                    Vec::new()
                };
                let services: Vec<ServiceName> = if surely {
                    self.placements.keys().cloned().collect()
                } else {
                    Vec::new()
                };
                gone.into_iter()
                    .chain(services.into_iter().flat_map(|service| {
                        self.change_shard_map(&service, |rows| {
                            shard_map::remove_backend(rows, &name)
                        })
                    }))
                    .collect()
            }
            ClusterReport::ShardsReassigned {
                service,
                base_placement: base,
                ranges: rows,
            } => {
                let held = self
                    .placements
                    .get(&service)
                    .map(|(at, _)| *at)
                    .unwrap_or(0);
                let live = |name: &str| {
                    self.backends
                        .get(name)
                        .is_some_and(|player| player.service == service)
                };
                let ordered = rows.windows(2).all(|pair| pair[0].1 < pair[1].0);
                if held != base
                    || !ordered
                    || !rows.iter().all(|(from, to, name)| from <= to && live(name))
                {
                    return Vec::new();
                }
                let held = self
                    .placements
                    .get(&service)
                    .map(|(_, rows)| rows.clone())
                    .unwrap_or_else(shard_map::unassigned);
                let moved = shard_map::reassign(held.clone(), &rows, next);
                let changes = shard_map::diff(&held, &moved);
                // One that moves nothing is none: followers, who hear only of changes, still stand on the one before.
                if changes.is_empty() {
                    return Vec::new();
                }
                self.placements.insert(service.clone(), (next, moved));
                vec![Delta::ShardRanges(service, next, changes)]
            }
            ClusterReport::ShardsReleased {
                service,
                name,
                known_through: through,
                ranges: rows,
            } => self.change_shard_map(&service, |held| {
                shard_map::release(held, &name, through, &rows)
            }),
            ClusterReport::ReleasesExpired {
                service,
                ranges: rows,
            } => self.change_shard_map(&service, |held| shard_map::expire_releases(held, &rows)),
        }
    }

    fn change_shard_map(
        &mut self,
        service: &str,
        change: impl FnOnce(ShardMap) -> ShardMap,
    ) -> Vec<Delta> {
        let Some((at, held)) = self.placements.get_mut(service) else {
            return Vec::new();
        };
        let next = change(held.clone());
        let changes = shard_map::diff(held, &next);
        *held = next;
        if changes.is_empty() {
            Vec::new()
        } else {
            vec![Delta::ShardRanges(service.to_string(), *at, changes)]
        }
    }

    fn node_delta(&self, node: &str) -> Vec<Delta> {
        vec![Delta::Node(
            node.to_string(),
            self.nodes.get(node).map(|held| NodeRecord {
                missed_by: Default::default(),
                ..held.clone()
            }),
        )]
    }

    fn backend_delta(&self, name: &str) -> Vec<Delta> {
        vec![Delta::Backend(
            name.to_string(),
            self.backends.get(name).cloned(),
        )]
    }

    fn forget_old_entries(&mut self, next: Position) {
        if next.is_multiple_of(256) {
            self.ended_backends
                .retain(|_, at| *at + ENDED_KEPT_POSITIONS > next);
        }
        if self.origins.len() > MAX_REMEMBERED_ORIGINS {
            let oldest = self
                .origins
                .iter()
                .min_by_key(|(_, (_, _, at))| *at)
                .map(|(origin, _)| origin.clone());
            self.origins
                .retain(|origin, _| Some(origin) != oldest.as_ref());
        }
    }

    /// Names that were away for long are forgotten (design 11.7).
    fn remove_long_absent(&mut self, next: Position) -> Vec<Delta> {
        if !next.is_multiple_of(256) {
            return Vec::new();
        }
        let rows = self.placements.values().flat_map(|(_, rows)| rows);
        let named = rows
            .flat_map(|row| {
                row.holder
                    .iter()
                    .chain(row.pending_releases.iter().map(|(name, _)| name))
            })
            .collect();
        let (players, places) = endpoints::long_absent(&self.backends, &self.nodes, &named, next);
        self.backends.retain(|name, _| !players.contains(name));
        self.nodes.retain(|node, _| !places.contains(node));
        self.nodes
            .values_mut()
            .filter(|held| held.present)
            .for_each(|held| held.missed_by.retain(|watcher| !places.contains(watcher)));
        let players = players.iter().flat_map(|name| self.backend_delta(name));
        players
            .chain(places.iter().flat_map(|node| self.node_delta(node)))
            .collect()
    }

    /// All that stands, as changes from nothing.
    pub fn full_deltas(&self) -> Vec<Delta> {
        let items = self.items.iter().filter(|(_, item)| item.body.is_some());
        let items = items.map(|((kind, name), item)| {
            Delta::Item(*kind, name.clone(), item.version, item.body.clone())
        });
        let places = self.nodes.keys().flat_map(|node| self.node_delta(node));
        let players = self
            .backends
            .keys()
            .flat_map(|name| self.backend_delta(name));
        let rows = self
            .placements
            .iter()
            .map(|(service, (at, rows))| Delta::ShardRanges(service.clone(), *at, rows.clone()));
        items.chain(places).chain(players).chain(rows).collect()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .map(|bytes| bytes.to_vec())
            .unwrap_or_default()
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<ClusterState> {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<ClusterState, rkyv::rancor::Error>(&aligned).ok()
    }
}
