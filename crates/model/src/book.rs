//! The state machine the log drives: same entries, same book, everywhere (design 2.3).

use crate::{Act, BackEnd, Change, DesiredState, Entry, Outcome, Phase, Position, Standing, standing::Report, standing_rules::Denied, terms};

/// Remembered changes and origins; both are part of the snapshot (design 2.3).
const CHANGES_KEPT: usize = 1_024;
const ORIGINS_KEPT: usize = 1_024;

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Book {
    pub position: Position,
    pub desired: DesiredState,
    pub standing: Standing,
    pub terms: terms::Terms,
    pub longest: terms::Longest,
    /// Seats that changed hands: the disk that holds it, after which instance.
    pub seats: std::collections::BTreeMap<u16, (u64, u64)>,
    /// Change id to the position it was decided at, its edits' digest, and the answer.
    changes: std::collections::BTreeMap<String, (Position, Vec<u8>, Outcome)>,
    /// Origin to its life, last sequence, position and answer.
    origins: std::collections::BTreeMap<String, (u64, u64, Position, Outcome)>,
}

impl Book {
    /// `instance` is where the entry stands in the log, `window` how far ahead a seat changes hands.
    pub fn apply_at(&mut self, entry: Entry, instance: u64, window: u64) -> Outcome {
        match entry.act {
            Act::Seat(change) => self.seat(change, instance, window),
            _ => self.apply(entry),
        }
    }

    fn seat(&mut self, change: crate::SeatChange, instance: u64, window: u64) -> Outcome {
        if let Some((holder, after)) = self.seats.get(&change.seat) {
            if *holder == change.to {
                return Outcome::Unchanged { position: self.position };
            }
            if *holder != change.from {
                return refused(format!("seat {} is held by disk {holder:016x} after instance {after}", change.seat));
            }
        }
        if let Some((seat, _)) = self.seats.iter().find(|(_, (_, after))| *after >= instance) {
            return refused(format!("seat {seat} is changing hands; one at a time"));
        }
        if change.from == change.to {
            return refused("a disk cannot take over from itself");
        }
        self.position += 1;
        self.seats.insert(change.seat, (change.to, instance + window - 1));
        Outcome::Accepted { position: self.position, version: self.desired.version }
    }

    pub fn apply(&mut self, entry: Entry) -> Outcome {
        match entry.act {
            Act::Seat(_) | Act::Bill(_) | Act::Barrier => Outcome::Unchanged { position: self.position },
            Act::Change(change) => self.change(change),
            Act::Standing(report) => {
                if !self.speaks_for(&entry.origin, entry.life, &report) {
                    return Outcome::Superseded { position: self.position };
                }
                let known = self.origins.get(&entry.origin).cloned();
                match known {
                    Some((life, sequence, _, outcome)) if life == entry.life && sequence >= entry.sequence => {
                        return if sequence == entry.sequence { outcome } else { Outcome::Unchanged { position: self.position } };
                    }
                    _ => {}
                }
                let outcome = self.stand(report);
                self.origins.insert(entry.origin, (entry.life, entry.sequence, self.position, outcome.clone()));
                evict(&mut self.origins, ORIGINS_KEPT, |(_, _, position, _)| *position);
                outcome
            }
        }
    }

    /// As in the bill: a report counts only from the registered incarnation of its origin, or with its registration.
    fn speaks_for(&self, origin: &str, life: crate::Incarnation, report: &Report) -> bool {
        let registered = self.standing.nodes.get(origin).map(|node| node.incarnation);
        match report {
            Report::Node { node, replaces, .. } if node == origin => registered.is_none_or(|held| held == life || held == *replaces),
            _ => registered.or_else(|| self.origins.get(origin).map(|(held, ..)| *held)).is_none_or(|held| held == life),
        }
    }

    fn change(&mut self, change: Change) -> Outcome {
        let digest = digest(&change);
        match self.changes.get(&change.id) {
            Some((_, held, outcome)) if *held == digest => return outcome.clone(),
            Some(_) => return Outcome::Reused { version: self.desired.version },
            None => {}
        }
        // Neither verdict is remembered: the same id may come again, mended.
        if change.base != self.desired.version {
            return Outcome::Stale { version: self.desired.version };
        }
        let faults = crate::check::against(&self.desired, &change.edits);
        if !faults.is_empty() {
            return Outcome::Invalid { faults };
        }
        self.position += 1;
        self.desired = DesiredState { version: self.desired.version + 1, ..self.desired.edited(&change.edits) };
        self.settle();
        let outcome = Outcome::Accepted { position: self.position, version: self.desired.version };
        self.changes.insert(change.id, (self.position, digest, outcome.clone()));
        evict(&mut self.changes, CHANGES_KEPT, |(position, _, _)| *position);
        outcome
    }

    fn stand(&mut self, report: Report) -> Outcome {
        let before = self.standing.clone();
        let terms_before = self.terms.clone();
        let next = self.position + 1;
        match crate::standing_rules::apply(self, report, next) {
            Err(Denied::Refused(reason)) => return refused(reason),
            Err(Denied::Superseded) => return Outcome::Superseded { position: self.position },
            Ok(()) => {}
        }
        self.position = next;
        self.settle();
        if self.standing == before && self.terms == terms_before {
            self.position = next - 1;
            return Outcome::Unchanged { position: self.position };
        }
        Outcome::Accepted { position: self.position, version: self.desired.version }
    }

    /// Key terms follow from desired state and standing; nothing else decides them.
    fn settle(&mut self) {
        let keyed: std::collections::BTreeMap<String, u64> =
            self.desired.orders.values().filter(|order| order.keyed).fold(std::collections::BTreeMap::new(), |mut longest, order| {
                let held = longest.entry(order.selector.service.clone()).or_insert(0);
                *held = order.wait_us.max(*held);
                longest
            });
        let position = self.position;
        let services: Vec<String> = keyed.keys().chain(self.terms.keys()).cloned().collect::<std::collections::BTreeSet<_>>().into_iter().collect();
        services.into_iter().for_each(|service| {
            let cast = terms::cast(self.cast(&service));
            let before = self.terms.get(&service).cloned().unwrap_or_default();
            self.terms.insert(service.clone(), terms::place(&before, &cast, position));
            let longest = keyed.get(&service).copied().unwrap_or(0);
            let held = self.longest.entry(service).or_insert(0);
            *held = longest.max(*held);
        });
    }

    /// Nothing runs beside the node: what its back ends held is free as soon as it moves.
    pub(crate) fn left_clean(&mut self, node: &str) {
        let lives: Vec<(String, terms::Holder)> = self
            .standing
            .back_ends
            .iter()
            .filter(|(_, held)| held.node == node)
            .map(|(name, held)| (held.service.clone(), (name.clone(), held.incarnation)))
            .collect();
        self.position += 1;
        self.settle();
        lives.into_iter().for_each(|(service, holder)| {
            if let Some(held) = self.terms.get_mut(&service) {
                *held = terms::release(held, &holder, self.position);
            }
        });
        self.position -= 1;
    }

    /// Back ends of a service that still fit one of its groupings.
    pub fn cast<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (&'a String, &'a BackEnd)> + 'a {
        self.standing.back_ends.iter().filter(move |(_, back_end)| back_end.service == service && self.fits(back_end))
    }

    pub fn fits(&self, back_end: &BackEnd) -> bool {
        self.desired.groupings.values().any(|grouping| {
            grouping.service == back_end.service
                && grouping.zone == back_end.zone
                && grouping.labels.iter().all(|(name, value)| back_end.labels.get(name) == Some(value))
        })
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<Book> {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<Book, rkyv::rancor::Error>(&aligned).ok()
    }

    pub fn live(&self, phase: Phase) -> usize {
        self.standing.back_ends.values().filter(|back_end| back_end.phase == phase).count()
    }
}

fn refused(reason: impl Into<String>) -> Outcome {
    Outcome::Refused { reason: reason.into() }
}

fn digest(change: &Change) -> Vec<u8> {
    let bytes = serde_json::to_vec(change).unwrap_or_default();
    <sha2::Sha256 as sha2::Digest>::digest(&bytes).to_vec()
}

fn evict<V>(table: &mut std::collections::BTreeMap<String, V>, keep: usize, position: impl Fn(&V) -> Position) {
    let oldest = (table.len() > keep).then(|| table.iter().min_by_key(|(_, held)| position(held)).map(|(name, _)| name.clone()));
    if let Some(oldest) = oldest.flatten() {
        table.remove(&oldest);
    }
}
