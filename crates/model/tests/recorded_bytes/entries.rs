//! Log entries, the answers to them and what followers are told of them.

use crate::recorded_variants::every_variant;
use crate::samples::{LIFE, back_end, bill_reports, bodies, edits, kinds, phases, place, player, reports, row, text};
use model::bill::items::Put;
use model::bill::{Act as BillAct, Body, Call, Delta, Kind};
use model::check::Fault;
use model::standing::Report;
use model::{Act, Change, Conflict, Edit, Entry, Outcome, Phase, SeatChange, Verdict};

pub fn change(edits: Vec<Edit>) -> Act {
    Act::Change(Change { id: text("change-17"), base: 3, edits })
}

pub fn items(puts: Vec<Put>, drops: Vec<(Kind, String, u64)>) -> BillAct {
    BillAct::Items(Call { puts, drops })
}

pub fn put(name: &str, body: Body) -> Put {
    Put { name: text(name), version: 21, body, text: text("{\"as\": \"sent\"}") }
}

pub fn bill_acts() -> Vec<(&'static str, BillAct)> {
    every_variant!(BillAct {
        "items": BillAct::Items(_) => items(
            bodies().into_iter().map(|(name, body)| put(name, body)).collect(),
            kinds().into_iter().map(|(name, kind)| (kind, text(name), 22)).collect(),
        ),
        "reports": BillAct::Reports(_) => {
            BillAct::Reports(bill_reports().into_iter().map(|(_, report)| report).collect())
        },
    })
}

pub fn acts() -> Vec<(&'static str, Act)> {
    every_variant!(Act {
        "change": Act::Change(_) => change(edits().into_iter().map(|(_, edit)| edit).collect()),
        "standing": Act::Standing(_) => Act::Standing(reports()[0].1.clone()),
        "seat": Act::Seat(_) => Act::Seat(SeatChange { seat: 2, from: 71, to: 72 }),
        "bill": Act::Bill(_) => Act::Bill(bill_acts()[0].1.clone()),
        "barrier": Act::Barrier => Act::Barrier,
    })
}

pub fn entry_of(act: Act) -> Entry {
    Entry { origin: text("n1"), life: LIFE, sequence: 41, act }
}

/// Every act, and for acts that carry one of several things one entry for each of these.
pub fn entries() -> Vec<(String, Entry)> {
    let acts = acts().into_iter().map(|(name, act)| (text(name), act));
    let edits = edits().into_iter().map(|(name, edit)| (format!("change-{name}"), change(vec![edit])));
    let standing = reports().into_iter().map(|(name, report)| (format!("standing-{name}"), Act::Standing(report)));
    let bill = bill_acts().into_iter().map(|(name, act)| (format!("bill-{name}"), Act::Bill(act)));
    let puts = bodies().into_iter().map(|(name, body)| (format!("bill-items-put-{name}"), Act::Bill(items(vec![put(name, body)], Vec::new()))));
    let drops = kinds().into_iter().map(|(name, kind)| {
        let drop = (kind, text("x"), 22);
        (format!("bill-items-drop-{name}"), Act::Bill(items(Vec::new(), vec![drop])))
    });
    let told = bill_reports().into_iter().map(|(name, report)| (format!("bill-reports-{name}"), Act::Bill(BillAct::Reports(vec![report]))));
    let phases = phases().into_iter().map(|(name, phase)| {
        let report = Report::Registered { name: text("b1"), back_end: back_end(phase) };
        (format!("standing-registered-{name}"), Act::Standing(report))
    });
    let all = acts.chain(edits).chain(standing).chain(bill).chain(puts).chain(drops);
    all.chain(told).chain(phases).map(|(name, act)| (name, entry_of(act))).collect()
}

pub fn outcomes() -> Vec<(&'static str, Outcome)> {
    every_variant!(Outcome {
        "accepted": Outcome::Accepted { .. } => Outcome::Accepted { position: 31, version: 32 },
        "unchanged": Outcome::Unchanged { .. } => Outcome::Unchanged { position: 33 },
        "stale": Outcome::Stale { .. } => Outcome::Stale { version: 34 },
        "invalid": Outcome::Invalid { .. } => Outcome::Invalid {
            faults: vec![Fault { path: text("order.book"), fault: text("has no service") }],
        },
        "reused": Outcome::Reused { .. } => Outcome::Reused { version: 35 },
        "refused": Outcome::Refused { .. } => Outcome::Refused { reason: text("not now") },
        "superseded": Outcome::Superseded { .. } => Outcome::Superseded { position: 36 },
        "conflict": Outcome::Conflict { .. } => Outcome::Conflict {
            conflicts: kinds()
                .into_iter()
                .map(|(name, kind)| Conflict { kind, name: text(name), sent: 37, held: 38 })
                .collect(),
        },
    })
}

pub fn deltas() -> Vec<(&'static str, Delta)> {
    every_variant!(Delta {
        "item": Delta::Item(..) => {
            Delta::Item(Kind::Lane, text("book"), 21, Some(bodies()[0].1.clone()))
        },
        "player": Delta::Player(..) => {
            Delta::Player(text("b1"), Some(player(Phase::Registered)))
        },
        "place": Delta::Place(..) => Delta::Place(text("n1"), Some(place())),
        "rows": Delta::Rows(..) => Delta::Rows(text("seat"), 9, vec![row()]),
    })
}

pub fn verdicts() -> Vec<(&'static str, Verdict)> {
    every_variant!(Verdict {
        "not-run": Verdict::NotRun => Verdict::NotRun,
        "may-have-run": Verdict::MayHaveRun => Verdict::MayHaveRun,
    })
}
