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
/// Between two tellings of what is asked for, and how long one is believed.
const TELL: Micros = 500_000;
const BELIEVED: Micros = 2_500_000;
/// A placement for the load alone waits so long after the one before, and until none of its rows is on its way.
const SETTLE: Micros = 1_000_000;
/// How far above the mean the busiest may be before keys move for it, and what is left alone then.
const UNEVEN: f64 = 0.18;
const BUSY: f64 = 0.6;
const LEFT_ALONE: f64 = 0.05;
/// Requests between two tellings, over all back ends, that speak of the load.
const ENOUGH: f64 = 30.0;
/// Stripes of the first placement.
const STRIPES: u32 = 8;
/// Ranges in one telling.
const RANGES: usize = 24;

pub struct Duty {
    pub node: String,
    pub service: String,
    pub following: gallery::Following,
    pub reports: gallery::Reports,
    pub pit: pit::Pit,
    pub mates: apron::Mates,
    pub loads: tokio::sync::mpsc::Receiver<wings::Load>,
    pub logger: slog::Logger,
}

/// Latest word of each back end.
type Told = std::collections::BTreeMap<BackEndName, (Micros, wings::Load)>;

impl Duty {
    pub async fn run(mut self) {
        let mut every = tokio::time::interval(std::time::Duration::from_millis(100));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut since: (Vec<BackEndName>, Micros) = Default::default();
        let mut told = Told::new();
        let (mut tell_at, mut placed) = (0, 0);
        loop {
            every.tick().await;
            let now = playbill::now();
            while let Ok(load) = self.loads.try_recv() {
                told.insert(load.back_end.clone(), (now, load));
            }
            let outlook = self.following.outlook.load_full();
            let programme = &outlook.programme;
            let keyed = programme.services.get(&self.service).is_some_and(|service| service.keyed);
            if outlook.proved == 0 || !keyed {
                continue;
            }
            if now >= tell_at {
                tell_at = now + TELL;
                self.tell(programme, &mut told).await;
            }
            told.retain(|_, (at, _)| now < *at + BELIEVED);
            let cast: Vec<BackEndName> = programme.cast(&self.service).iter().map(|one| one.name.clone()).collect();
            if since.0 != cast {
                since = (cast, now);
            }
            let rank = rank(programme, &self.service, &self.node);
            let Some((base, rows, why)) = plan(programme, &self.service, &told, rank == 0 && now >= placed + SETTLE) else { continue };
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
            placed = playbill::now();
            if let Some(playbill::Outcome::Accepted { position, .. }) = outcome {
                self.here(position).await;
            }
        }
    }

    /// Waits until the news of what was put in the log is here, or is late.
    async fn here(&mut self, position: playbill::Position) {
        let outlook = self.following.outlook.clone();
        let moved = &mut self.following.moved;
        let here = async { while outlook.load().programme.position < position && moved.changed().await.is_ok() {} };
        drop(tokio::time::timeout(std::time::Duration::from_secs(1), here).await);
    }

    /// What the back end beside this node is asked for, told to whoever has the duty.
    async fn tell(&self, programme: &Programme, told: &mut Told) {
        let cast = programme.cast(&self.service);
        let weight = |name: &str| playbill::terms::hash(&format!("{}\n{name}", self.service));
        let Some(first) = cast.iter().max_by_key(|one| weight(&one.node)) else { return };
        let Some(own) = programme.players.iter().find(|(_, player)| player.node == self.node && player.service == self.service) else { return };
        let Some((slots, run, asked)) = self.pit.asked(RANGES).await else { return };
        let load = wings::Load { service: self.service.clone(), back_end: own.0.clone(), slots, run, asked };
        if first.node == self.node {
            told.insert(own.0.clone(), (playbill::now(), load));
        } else {
            self.mates.tell(&first.address, wings::Frame::Load(Box::new(load)));
        }
    }
}

/// This node's place in the order of those that may do it.
fn rank(programme: &Programme, service: &str, node: &str) -> u64 {
    let weight = |name: &str| playbill::terms::hash(&format!("{service}\n{name}"));
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

type Wanted = (playbill::Position, crate::Cast, Why);

fn plan(programme: &Programme, service: &str, told: &Told, may_even: bool) -> Option<Wanted> {
    let cast = programme.cast(service);
    if cast.is_empty() {
        return None;
    }
    let empty = (0, playbill::bill::rows::empty());
    let (base, rows) = programme.castings.get(service).map(|held| &**held).unwrap_or(&empty);
    let held = |name: &str| rows.iter().any(|row| row.holder.as_deref() == Some(name));
    let orphaned = rows.iter().any(|row| row.holder.as_ref().is_none_or(|holder| !cast.iter().any(|one| one.name == *holder)));
    let unused = cast.iter().any(|one| !held(&one.name));
    let parts = parts(&cast, told);
    let mut asks: Vec<crate::Ask> = told.values().flat_map(|(_, load)| load.asked.iter().map(|(from, to, weight)| (*from, *to, *weight as f64))).collect();
    asks.sort_by_key(|(from, ..)| *from);
    let on_their_way = || rows.iter().any(|row| !row.owed.is_empty());
    let asked: f64 = asks.iter().map(|(.., weight)| weight).sum();
    // What few requests show may be chance.
    let known = asked / cast.len() as f64;
    let uneven = || {
        let (excess, most) = crate::excess(rows, &asks, &parts);
        // Where slots stand free anyway a move is not worth its gap.
        excess > UNEVEN + 0.5 / known.sqrt() && (most / TELL as f64 > BUSY || excess > 1.0)
    };
    let uneven = || may_even && asked > ENOUGH && !on_their_way() && uneven();
    let (why, slack) = match () {
        () if orphaned => (Why::Orphaned, 1.0),
        () if unused => (Why::Unused, LEFT_ALONE / 2.0),
        () if uneven() => (Why::Uneven, LEFT_ALONE),
        () => return None,
    };
    let wanted = if *base == 0 { crate::stripes(&parts, STRIPES) } else { crate::cast(rows, &asks, &parts, slack) };
    Some((*base, wanted, why))
}

/// What each back end can do: its slots over the mean time of its runs; who is not known yet counts as the others do.
fn parts(cast: &[playbill::bill::Onstage], told: &Told) -> Vec<crate::Part> {
    let seen = |name: &str| told.get(name).map(|(_, load)| load.run as f64).filter(|run| *run > 0.0);
    let runs: Vec<f64> = cast.iter().filter_map(|one| seen(&one.name)).collect();
    let mean = if runs.is_empty() { 1.0 } else { runs.iter().sum::<f64>() / runs.len() as f64 };
    cast.iter().map(|one| (one.name.clone(), one.slots.max(1) as f64 / seen(&one.name).unwrap_or(mean))).collect()
}
