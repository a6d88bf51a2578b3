//! How each report changes the standing. Repeats and late reports of an earlier life do nothing (design 2.4).

use crate::{BackEnd, Book, Phase, Position, standing::Node, standing::Report, terms};

/// Signed-off and gone back ends are remembered this long, counted in positions, then forgotten.
const REMEMBERED: Position = 10_000;

/// Why a report does not hold.
#[derive(Debug, PartialEq)]
pub(crate) enum Denied {
    Refused(String),
    /// The log has a later incarnation than the sender knew.
    Superseded,
}

impl From<String> for Denied {
    fn from(reason: String) -> Denied {
        Denied::Refused(reason)
    }
}

pub(crate) fn apply(book: &mut Book, report: Report, next: Position) -> Result<(), Denied> {
    match report {
        Report::Node { node, zone, address, incarnation, replaces } => {
            let held = book.standing.nodes.get(&node);
            if held.is_some_and(|held| held.incarnation != incarnation && held.incarnation != replaces) {
                return Err(Denied::Superseded);
            }
            let same = held.is_some_and(|held| held.incarnation == incarnation && held.present && held.address == address);
            if same {
                return Ok(());
            }
            let new_life = held.is_none_or(|held| held.incarnation != incarnation);
            let reporters = Default::default();
            book.standing.nodes.insert(node.clone(), Node { zone, address, incarnation, present: true, reporters, since: next });
            if new_life {
                lose_back_ends(book, &node, next);
            }
            Ok(())
        }
        Report::NodeLeft { node, incarnation, clean } => {
            let current = book.standing.nodes.get_mut(&node).filter(|held| held.incarnation == incarnation && held.present);
            if let Some(held) = current {
                held.present = false;
                held.since = next;
                lose_back_ends(book, &node, next);
                if clean {
                    book.left_clean(&node);
                }
            }
            Ok(())
        }
        Report::Watch { watcher, node, incarnation, missed } => watch(book, watcher, node, incarnation, missed, next),
        Report::Registered { name, back_end } => register(book, name, back_end, next),
        Report::Phase { name, incarnation, phase } => {
            let current = book.standing.back_ends.get_mut(&name).filter(|held| held.incarnation == incarnation);
            let Some(held) = current else { return Ok(()) };
            if rank(phase) > rank(held.phase) {
                held.phase = phase;
                held.since = next;
            }
            Ok(())
        }
        Report::Slots { name, incarnation, slots } => {
            let current = book.standing.back_ends.get_mut(&name).filter(|held| held.incarnation == incarnation);
            current.into_iter().for_each(|held| held.slots = slots);
            Ok(())
        }
        Report::Released { service, name, incarnation, through } => {
            if let Some(held) = book.terms.get_mut(&service) {
                *held = terms::release(held, &(name, incarnation), through);
            }
            Ok(())
        }
    }
}

/// A life only ever moves on: registered, draining, then one of the two ends.
fn rank(phase: Phase) -> u8 {
    match phase {
        Phase::Registered => 0,
        Phase::Draining => 1,
        Phase::SignedOff | Phase::PresumedGone => 2,
    }
}

fn register(book: &mut Book, name: String, back_end: BackEnd, next: Position) -> Result<(), Denied> {
    if !book.fits(&back_end) {
        return Err(format!("no grouping fits service {:?} in zone {:?} with these labels", back_end.service, back_end.zone).into());
    }
    let present = book.standing.nodes.get(&back_end.node).is_some_and(|node| node.present);
    if !present {
        return Err(format!("the node {:?} is not present", back_end.node).into());
    }
    if let Some(held) = book.standing.back_ends.get(&name) {
        if held.incarnation >= back_end.incarnation {
            return if held.incarnation == back_end.incarnation { Ok(()) } else { Err(Denied::Superseded) };
        }
        let elsewhere = held.node != back_end.node && rank(held.phase) < 2;
        if elsewhere {
            return Err(format!("the name {name:?} is live beside the node {:?}", held.node).into());
        }
    }
    book.standing.back_ends.insert(name, BackEnd { phase: Phase::Registered, since: next, ..back_end });
    let forgotten = next.saturating_sub(REMEMBERED);
    book.standing.back_ends.retain(|_, held| rank(held.phase) < 2 || held.since >= forgotten);
    Ok(())
}

/// A node is presumed gone once two of its watchers miss it, or the only one there is.
fn watch(book: &mut Book, watcher: String, node: String, incarnation: u64, missed: bool, next: Position) -> Result<(), Denied> {
    let others = book.standing.nodes.iter().filter(|(name, held)| **name != node && held.present).count();
    let Some(held) = book.standing.nodes.get_mut(&node).filter(|held| held.incarnation == incarnation && held.present) else {
        return Ok(());
    };
    match missed {
        true => held.reporters.insert(watcher),
        false => held.reporters.remove(&watcher),
    };
    if held.reporters.len() >= others.clamp(1, 2) {
        held.present = false;
        held.reporters.clear();
        held.since = next;
        lose_back_ends(book, &node, next);
    }
    Ok(())
}

fn lose_back_ends(book: &mut Book, node: &str, next: Position) {
    book.standing.back_ends.values_mut().filter(|held| held.node == node && rank(held.phase) < 2).for_each(|held| {
        held.phase = Phase::PresumedGone;
        held.since = next;
    });
}
