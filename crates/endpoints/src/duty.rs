//! The duty of placing a service's keys: one node beside it does it, the next in order when that one does not
//! (design 11.4). What it puts in the log counts only on top of the placement it saw, so two do no harm.

mod ills;
#[cfg(test)]
mod judged;

use ills::Ills;
use model::bill::{Programme, Report};
use model::{BackEndName, Micros};

/// The first placement waits until the cast has been still for so long.
const QUIET_FIRST: Micros = 1_300_000;
/// Back ends that come are gathered for so long; whoever leaves is followed at once.
const QUIET: Micros = 300_000;
/// The next in order waits so much longer.
const RANK: Micros = 700_000;
/// Between two tellings of what is asked for: at rest, and while requests wait; and how long one is believed.
const TELL: Micros = 1_000_000;
const TELL_SOON: Micros = 200_000;
const BELIEVED: Micros = 3_500_000;
/// A placement for the load alone waits so long after the one before; less where the load is far from even.
const SETTLE: Micros = 1_000_000;
const SETTLE_SOON: Micros = 800_000;
/// How far above its share the busiest may be before keys move for it, if it is busy, and if slots stand free there.
const UNEVEN: f64 = 0.18;
const FAR: f64 = 1.0;
const BUSY: f64 = 0.6;
/// Of one back end's share so much may still be on its way when keys move for the load again: what is under way is not
/// yet seen in what is told.
const ON_THEIR_WAY: f64 = 0.02;
/// What is left alone once keys move.
const LEFT_ALONE: f64 = 0.05;
/// Requests, over all back ends, that speak of the load.
const ENOUGH: f64 = 40.0;
/// What the mean of all counts beside a back end's own runs.
const UNSEEN: f64 = 12.0;
/// What an ill one is given of what it could do.
const ILL_SHARE: f64 = 0.1;
/// Stripes of the first placement.
const STRIPES: u32 = 8;
/// Ranges in one telling.
const RANGES: usize = 24;

pub struct Duty {
    pub node: String,
    pub service: String,
    pub following: control::Following,
    pub reports: control::Reports,
    pub pit: inbound::Pit,
    pub mates: outbound::Mates,
    pub loads: tokio::sync::mpsc::Receiver<transport::Load>,
    pub logger: slog::Logger,
}

/// Latest word of each back end.
type Told = std::collections::BTreeMap<BackEndName, (Micros, transport::Load)>;

impl Duty {
    pub async fn run(mut self) {
        let mut every = tokio::time::interval(std::time::Duration::from_millis(100));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut since: (Vec<BackEndName>, Micros) = Default::default();
        let mut told = Told::new();
        let (mut told_at, mut placed, mut ills) = (0, 0, Ills::default());
        loop {
            every.tick().await;
            let now = model::now();
            while let Ok(load) = self.loads.try_recv() {
                told.insert(load.back_end.clone(), (now, load));
            }
            let outlook = self.following.outlook.load_full();
            let programme = &outlook.programme;
            let keyed = programme.services.get(&self.service).is_some_and(|service| service.keyed);
            if outlook.proved == 0 || !keyed {
                continue;
            }
            let (_, waiting, ill) = if now >= told_at + TELL_SOON { self.pit.load().await } else { Default::default() };
            let waits = waiting > 0 || ill;
            if waits || now >= told_at + TELL {
                told_at = now;
                self.tell(programme, &mut told).await;
            }
            told.retain(|_, (at, _)| now < *at + BELIEVED);
            let cast: Vec<BackEndName> = programme.cast(&self.service).iter().map(|one| one.name.clone()).collect();
            if since.0 != cast {
                since = (cast, now);
            }
            let rank = rank(programme, &self.service, &self.node);
            let ill = ills.now(now, &told, since.0.len());
            let Some((base, rows, why)) = plan(programme, &self.service, &told, &ill, (rank == 0).then(|| now.saturating_sub(placed))) else { continue };
            let quiet = match why {
                _ if base == 0 => QUIET_FIRST,
                Why::Orphaned => 0,
                Why::Unused => QUIET,
                Why::Uneven => 0,
            };
            if now < since.1 + quiet + RANK * rank {
                continue;
            }
            slog::info!(self.logger, "places keys"; "service" => &self.service, "base" => base, "rows" => rows.len(), "why" => ?why);
            let outcome = self.reports.report(vec![Report::Recast { service: self.service.clone(), base, rows }]).await;
            placed = model::now();
            if let Some(model::Outcome::Accepted { position, .. }) = outcome {
                self.here(position).await;
            }
        }
    }

    /// Waits until the news of what was put in the log is here, or is late.
    async fn here(&mut self, position: model::Position) {
        let outlook = self.following.outlook.clone();
        let moved = &mut self.following.moved;
        let here = async { while outlook.load().programme.position < position && moved.changed().await.is_ok() {} };
        drop(tokio::time::timeout(std::time::Duration::from_secs(1), here).await);
    }

    /// What the back end beside this node is asked for, told to whoever has the duty.
    async fn tell(&self, programme: &Programme, told: &mut Told) {
        let cast = programme.cast(&self.service);
        let weight = |name: &str| model::terms::hash(&format!("{}\n{name}", self.service));
        let Some(first) = cast.iter().max_by_key(|one| weight(&one.node)) else { return };
        let Some(own) = programme.players.iter().find(|(_, player)| player.node == self.node && player.service == self.service) else { return };
        let Some((slots, (run, runs), asked, seen, ill)) = self.pit.asked(RANGES).await else { return };
        let load = transport::Load { service: self.service.clone(), back_end: own.0.clone(), slots, run, runs, asked, seen, ill };
        if first.node == self.node {
            told.insert(own.0.clone(), (model::now(), load));
        } else {
            self.mates.tell(&first.address, transport::Frame::Load(Box::new(load)));
        }
    }
}

/// This node's place in the order of those that may do it.
fn rank(programme: &Programme, service: &str, node: &str) -> u64 {
    let weight = |name: &str| model::terms::hash(&format!("{service}\n{name}"));
    let own = weight(node);
    programme.cast(service).iter().filter(|one| one.node != node && weight(&one.node) > own).count() as u64
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Why {
    /// Someone who is gone or on the way out holds keys.
    Orphaned,
    /// Someone who came holds none.
    Unused,
    Uneven,
}

type Wanted = (model::Position, crate::Cast, Why);

/// `since`: how long ago this node placed keys last, if the duty is its own.
fn plan(programme: &Programme, service: &str, told: &Told, ill: &[BackEndName], since: Option<Micros>) -> Option<Wanted> {
    let cast = programme.cast(service);
    if cast.is_empty() {
        return None;
    }
    let empty = (0, model::bill::rows::empty());
    let (base, rows) = programme.castings.get(service).map(|held| &**held).unwrap_or(&empty);
    let names: std::collections::HashSet<&str> = cast.iter().map(|one| one.name.as_str()).collect();
    let holders: std::collections::HashSet<Option<&str>> = rows.iter().map(|row| row.holder.as_deref()).collect();
    let orphaned = holders.iter().any(|holder| holder.is_none_or(|holder| !names.contains(holder)));
    let unused = names.iter().any(|name| !holders.contains(&Some(name)));
    if !orphaned && !unused && since.is_none_or(|since| since < SETTLE_SOON) {
        return None;
    }
    let mut asks: Vec<crate::Ask> = told.values().flat_map(|(_, load)| load.asked.iter().map(|(from, to, rate)| (*from, *to, *rate as f64))).collect();
    asks.sort_by_key(|(from, ..)| *from);
    let parts = parts(&cast, told, ill);
    let seen: f64 = told.values().map(|(_, load)| load.seen as f64).sum();
    // What few requests show may be chance.
    let chance = 0.8 / (seen / parts.len() as f64).sqrt();
    let uneven = |since: Micros| {
        let (excess, loads, moving) = crate::excess(rows, &asks, &parts);
        let most = loads.iter().zip(&parts).map(|(load, (_, can))| load / can).fold(0.0, f64::max);
        // Where slots stand free anyway a move is not worth its gap.
        let beyond = excess - chance;
        moving * parts.len() as f64 <= ON_THEIR_WAY
            && since >= if beyond > 1.0 { SETTLE_SOON } else { SETTLE }
            && beyond > if most > BUSY { UNEVEN } else { FAR }
    };
    let (why, slack) = match () {
        () if orphaned => (Why::Orphaned, 1.0),
        () if unused => (Why::Unused, LEFT_ALONE / 2.0),
        () if seen > ENOUGH && since.is_some_and(uneven) => (Why::Uneven, LEFT_ALONE + chance),
        () => return None,
    };
    let wanted = if *base == 0 { crate::stripes(&parts, STRIPES) } else { crate::cast(rows, &asks, &parts, slack) };
    Some((*base, wanted, why))
}

/// Requests a second that each back end can do: its slots over the mean time of its runs. The fewer of them were
/// seen, the more it counts as the others do. Who is ill is given little (design 13.8).
fn parts(cast: &[model::bill::Onstage], told: &Told, ill: &[BackEndName]) -> Vec<crate::Part> {
    let seen = |name: &str| told.get(name).map(|(_, load)| (load.run as f64, load.runs as f64)).unwrap_or((0.0, 0.0));
    let (sum, count) = cast.iter().map(|one| seen(&one.name)).fold((0.0, 0.0), |(sum, count), (run, runs)| (sum + run * runs, count + runs));
    let mean = if count > 0.0 { sum / count } else { 1e6 };
    let run = |name: &str| {
        let (run, runs) = seen(name);
        (run * runs + mean * UNSEEN) / (runs + UNSEEN)
    };
    let share = |one: &model::bill::Onstage| if ill.contains(&one.name) { ILL_SHARE } else { 1.0 };
    cast.iter().map(|one| (one.name.clone(), share(one) * one.slots.max(1) as f64 * 1e6 / run(&one.name))).collect()
}
