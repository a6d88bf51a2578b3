//! The second part of what the log drives: items, back ends, nodes and rows of keys, and what each entry
//! changed of them, so that followers hear changes and not states (design 11).

pub mod cast;
mod delta;
pub mod items;
pub mod rows;
mod taken;

pub use cast::{Place, Player, Report};
pub use delta::{Delta, Onstage, Programme};
pub use items::{Body, Call, Item, Kind, Lane, Limits, Service};
pub use rows::{Key, Row, Rows};

use crate::{BackEndName, Incarnation, Outcome, Position, ServiceName};

/// Ends of back ends are remembered for so many positions: a late word does not bring one back.
const REMEMBERED: Position = 20_000;
const ORIGINS_KEPT: usize = 4_096;

/// What the log may hold for the bill. Reports of one origin go together, one entry at a time.
#[derive(Clone, Debug, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum Act {
    Items(Call),
    Reports(Vec<Report>),
}

/// Rows of a service, and the position of its latest placement.
pub type Casting = (Position, Rows);

#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Bill {
    pub position: Position,
    pub items: items::Items,
    pub players: cast::Players,
    pub places: cast::Places,
    pub castings: std::collections::BTreeMap<ServiceName, Casting>,
    taken: taken::Taken,
    ended: std::collections::BTreeMap<BackEndName, Position>,
    origins: std::collections::BTreeMap<String, (u64, u64, Position)>,
}

impl Bill {
    /// What the entry did, and what followers must be told of it.
    pub fn apply(&mut self, origin: &str, life: u64, sequence: u64, act: Act) -> (Outcome, Vec<Delta>) {
        match act {
            Act::Items(call) => self.amend(call),
            Act::Reports(reports) => {
                if !self.speaks_for(origin, life, &reports) {
                    return (Outcome::Superseded { position: self.position }, Vec::new());
                }
                let known = self.origins.get(origin);
                if known.is_some_and(|(held, last, _)| *held == life && *last >= sequence) {
                    return (Outcome::Unchanged { position: self.position }, Vec::new());
                }
                let next = self.position + 1;
                let mut deltas: Vec<Delta> = reports.into_iter().flat_map(|report| self.stand(report, next)).collect();
                self.origins.insert(origin.to_string(), (life, sequence, next));
                self.forget(next);
                if deltas.is_empty() {
                    return (Outcome::Unchanged { position: self.position }, deltas);
                }
                deltas.extend(self.names_go(next));
                self.position = next;
                (Outcome::Accepted { position: next, version: 0 }, deltas)
            }
        }
    }

    /// Whether this incarnation is the registered one of its origin, or becomes it with these very reports. Incarnations
    /// are drawn and only compared for equality: their order is the order of their registrations in the log.
    fn speaks_for(&self, origin: &str, life: Incarnation, reports: &[Report]) -> bool {
        let registration = reports.iter().find_map(|report| match report {
            Report::Node { node, replaces, .. } if node == origin => Some(*replaces),
            _ => None,
        });
        if let Some(replaces) = registration {
            return cast::may_register(&self.places, origin, life, replaces);
        }
        let registered = self.places.get(origin).map(|place| place.life);
        let registered = registered.or_else(|| self.origins.get(origin).map(|(held, ..)| *held));
        registered.is_none_or(|held| held == life)
    }

    fn amend(&mut self, call: Call) -> (Outcome, Vec<Delta>) {
        let faults = items::faults(&self.items, &call);
        if !faults.is_empty() {
            return (Outcome::Invalid { faults }, Vec::new());
        }
        let conflicts = self.taken.conflicts(&self.items, &call);
        if !conflicts.is_empty() {
            return (Outcome::Conflict { conflicts }, Vec::new());
        }
        let newer = items::newer(&self.items, &call);
        if newer.is_empty() {
            return (Outcome::Unchanged { position: self.position }, Vec::new());
        }
        self.position += 1;
        let told = newer.iter().map(|((kind, name), item)| Delta::Item(*kind, name.clone(), item.version, item.body.clone())).collect();
        self.taken.record(&newer);
        self.items.extend(newer);
        (Outcome::Accepted { position: self.position, version: 0 }, told)
    }

    fn stand(&mut self, report: Report, next: Position) -> Vec<Delta> {
        match report {
            Report::Node { node, zone, address, life, replaces } => {
                let held = self.places.get(&node);
                let stands = held.is_some_and(|held| held.life == life && held.present && held.address == address);
                if stands || !cast::may_register(&self.places, &node, life, replaces) {
                    return Vec::new();
                }
                let place = Place { zone, address, life, present: true, missed_by: Default::default(), since: next };
                self.places.insert(node.clone(), place);
                self.told_place(&node)
            }
            Report::NodeLeft { node, life } => {
                let gone = self.places.get(&node).is_some_and(|held| held.life == life) && !self.players.values().any(|player| player.node == node);
                if gone {
                    self.places.remove(&node);
                }
                if gone { self.told_place(&node) } else { Vec::new() }
            }
            Report::Watch { watcher, node, life, missed } => {
                let before = self.places.get(&node).map(|held| held.present);
                cast::watch(&mut self.places, watcher, &node, life, missed, next);
                if self.places.get(&node).map(|held| held.present) == before { Vec::new() } else { self.told_place(&node) }
            }
            Report::Joined { name, player } => {
                let known = self.players.get(&name).is_some_and(|held| held.phase != player.phase || Player { since: held.since, ..player.clone() } == *held);
                if known || self.ended.contains_key(&name) {
                    return Vec::new();
                }
                self.players.insert(name.clone(), Player { since: next, ..player });
                self.told_player(&name)
            }
            Report::Draining { name } => {
                let Some(held) = self.players.get_mut(&name).filter(|held| held.phase == crate::Phase::Registered) else { return Vec::new() };
                (held.phase, held.since) = (crate::Phase::Draining, next);
                self.told_player(&name)
            }
            Report::Silent { name, silent } => {
                let (from, to) = (crate::Phase::Registered, crate::Phase::PresumedGone);
                let (from, to) = if silent { (from, to) } else { (to, from) };
                let Some(held) = self.players.get_mut(&name).filter(|held| held.phase == from) else { return Vec::new() };
                (held.phase, held.since) = (to, next);
                self.told_player(&name)
            }
            Report::Ended { name, surely } => {
                self.ended.insert(name.clone(), next);
                let gone = if self.players.remove(&name).is_some() { self.told_player(&name) } else { Vec::new() };
                let services: Vec<ServiceName> = if surely { self.castings.keys().cloned().collect() } else { Vec::new() };
                gone.into_iter().chain(services.into_iter().flat_map(|service| self.turn(&service, |rows| rows::ended(rows, &name)))).collect()
            }
            Report::Recast { service, base, rows } => {
                let held = self.castings.get(&service).map(|(at, _)| *at).unwrap_or(0);
                let live = |name: &str| self.players.get(name).is_some_and(|player| player.service == service);
                let ordered = rows.windows(2).all(|pair| pair[0].1 < pair[1].0);
                if held != base || !ordered || !rows.iter().all(|(from, to, name)| from <= to && live(name)) {
                    return Vec::new();
                }
                let held = self.castings.get(&service).map(|(_, rows)| rows.clone()).unwrap_or_else(rows::empty);
                let moved = rows::recast(held.clone(), &rows, next);
                let changes = rows::changed(&held, &moved);
                // One that moves nothing is none: followers, who hear only of changes, still stand on the one before.
                if changes.is_empty() {
                    return Vec::new();
                }
                self.castings.insert(service.clone(), (next, moved));
                vec![Delta::Rows(service, next, changes)]
            }
            Report::Released { service, name, through, rows } => self.turn(&service, |held| rows::released(held, &name, through, &rows)),
            Report::Settled { service, rows } => self.turn(&service, |held| rows::settled(held, &rows)),
        }
    }

    fn turn(&mut self, service: &str, change: impl FnOnce(Rows) -> Rows) -> Vec<Delta> {
        let Some((at, held)) = self.castings.get_mut(service) else { return Vec::new() };
        let next = change(held.clone());
        let changes = rows::changed(held, &next);
        *held = next;
        if changes.is_empty() { Vec::new() } else { vec![Delta::Rows(service.to_string(), *at, changes)] }
    }

    fn told_place(&self, node: &str) -> Vec<Delta> {
        vec![Delta::Place(node.to_string(), self.places.get(node).map(|held| Place { missed_by: Default::default(), ..held.clone() }))]
    }

    fn told_player(&self, name: &str) -> Vec<Delta> {
        vec![Delta::Player(name.to_string(), self.players.get(name).cloned())]
    }

    fn forget(&mut self, next: Position) {
        if next.is_multiple_of(256) {
            self.ended.retain(|_, at| *at + REMEMBERED > next);
        }
        if self.origins.len() > ORIGINS_KEPT {
            let oldest = self.origins.iter().min_by_key(|(_, (_, _, at))| *at).map(|(origin, _)| origin.clone());
            self.origins.retain(|origin, _| Some(origin) != oldest.as_ref());
        }
    }

    /// Names that were away for long are forgotten (design 11.7).
    fn names_go(&mut self, next: Position) -> Vec<Delta> {
        if !next.is_multiple_of(256) {
            return Vec::new();
        }
        let rows = self.castings.values().flat_map(|(_, rows)| rows);
        let named = rows.flat_map(|row| row.holder.iter().chain(row.owed.iter().map(|(name, _)| name))).collect();
        let (players, places) = cast::away(&self.players, &self.places, &named, next);
        self.players.retain(|name, _| !players.contains(name));
        self.places.retain(|node, _| !places.contains(node));
        self.places.values_mut().filter(|held| held.present).for_each(|held| held.missed_by.retain(|watcher| !places.contains(watcher)));
        let players = players.iter().flat_map(|name| self.told_player(name));
        players.chain(places.iter().flat_map(|node| self.told_place(node))).collect()
    }

    /// All that stands, as changes from nothing.
    pub fn whole(&self) -> Vec<Delta> {
        let items = self.items.iter().filter(|(_, item)| item.body.is_some());
        let items = items.map(|((kind, name), item)| Delta::Item(*kind, name.clone(), item.version, item.body.clone()));
        let places = self.places.keys().flat_map(|node| self.told_place(node));
        let players = self.players.keys().flat_map(|name| self.told_player(name));
        let rows = self.castings.iter().map(|(service, (at, rows))| Delta::Rows(service.clone(), *at, rows.clone()));
        items.chain(places).chain(players).chain(rows).collect()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self).map(|bytes| bytes.to_vec()).unwrap_or_default()
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<Bill> {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<Bill, rkyv::rancor::Error>(&aligned).ok()
    }
}
