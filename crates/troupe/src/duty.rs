//! The duty of placing a service's keys: one node beside it does it, the next in order when that one does not
//! (design 11.4). What it puts in the log counts only on top of the placement it saw, so two do no harm.

use playbill::bill::{Programme, Report};
use playbill::{BackEndName, Micros};

/// The first placement waits until the cast has been still for so long.
const QUIET_FIRST: Micros = 1_300_000;
/// Back ends that come are gathered for so long; whoever leaves is followed at once.
const QUIET: Micros = 300_000;
/// The next in order waits so much longer.
const RANK: Micros = 700_000;

pub async fn run((node, service): (String, String), following: gallery::Following, reports: gallery::Reports, logger: slog::Logger) {
    let mut every = tokio::time::interval(std::time::Duration::from_millis(100));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut since: (Vec<BackEndName>, Micros) = Default::default();
    loop {
        every.tick().await;
        let outlook = following.outlook.load_full();
        if outlook.proved == 0 {
            continue;
        }
        let programme = &outlook.programme;
        let cast: Vec<BackEndName> = programme.cast(&service).iter().map(|one| one.name.clone()).collect();
        if since.0 != cast {
            since = (cast, playbill::now());
        }
        let Some((base, wanted, urgent)) = plan(programme, &service) else { continue };
        let quiet = if base == 0 {
            QUIET_FIRST
        } else if urgent {
            0
        } else {
            QUIET
        };
        if playbill::now() < since.1 + quiet + RANK * rank(programme, &service, &node) {
            continue;
        }
        slog::info!(logger, "places keys"; "service" => &service, "base" => base, "rows" => wanted.len());
        let outcome = reports.report(vec![Report::Recast { service: service.clone(), base, rows: wanted }]).await;
        slog::info!(logger, "placed"; "outcome" => ?outcome);
        if let Some(playbill::Outcome::Accepted { position, .. }) = outcome {
            let mut moved = following.moved.clone();
            let here = async { while following.outlook.load().programme.position < position && moved.changed().await.is_ok() {} };
            drop(tokio::time::timeout(std::time::Duration::from_secs(1), here).await);
        }
    }
}

/// This node's place in the order of those that may do it.
fn rank(programme: &Programme, service: &str, node: &str) -> u64 {
    let weight = |name: &str| playbill::terms::hash(&format!("{service}\n{name}"));
    let own = weight(node);
    programme.cast(service).iter().filter(|one| one.node != node && weight(&one.node) > own).count() as u64
}

type Wanted = (playbill::Position, Vec<(u16, u16, BackEndName)>, bool);

/// A placement that is needed: someone who is gone holds keys, or someone who came holds none.
fn plan(programme: &Programme, service: &str) -> Option<Wanted> {
    if !programme.services.get(service)?.keyed {
        return None;
    }
    let cast = programme.cast(service);
    if cast.is_empty() {
        return None;
    }
    let empty = (0, playbill::bill::rows::empty());
    let (base, rows) = programme.castings.get(service).map(|held| &**held).unwrap_or(&empty);
    let held = |name: &str| rows.iter().any(|row| row.holder.as_deref() == Some(name));
    let orphaned = rows.iter().any(|row| row.holder.as_ref().is_none_or(|holder| !cast.iter().any(|one| one.name == *holder)));
    let unused = cast.iter().any(|one| !held(&one.name));
    if !orphaned && !unused {
        return None;
    }
    let parts: Vec<crate::Part> = cast.iter().map(|one| (one.name.clone(), one.slots.max(1) as f64)).collect();
    Some((*base, crate::cast(rows, &parts), orphaned))
}
