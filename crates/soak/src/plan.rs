//! What happens to the machines of a run, drawn from its seed.

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{Rng as _, SeedableRng as _};

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::site::{Machine, Site};

/// Faults begin after so long, when the first configuration is in force.
pub const FIRST_FAULT_AT: Micros = 6 * SECOND;
/// Nothing new begins so long before the end.
const LAST_FAULT_BEFORE_END: Micros = 8 * SECOND;
/// The closing fault strikes so long before the end: service may rest for fifteen seconds.
const CLOSING_BEFORE_END: Micros = 18 * SECOND;
/// By then every machine that was lost is back for long enough not to count as lost.
const LAST_FAULT_BEFORE_CLOSING: Micros = 22 * SECOND;
/// The shortest and the longest pause between the beginnings of two faults.
const FAULT_INTERVAL: (Micros, Micros) = (100 * MILLISECOND, 2_500 * MILLISECOND);
/// How long a freeze lasts: some are over before anyone suspects, some last past the time in which
/// the core counts as calm again.
const FREEZE_DURATION: (Micros, Micros) = (200 * MILLISECOND, 12 * SECOND);
/// How long a process stays away before it is started again.
const DOWNTIME: (Micros, Micros) = (50 * MILLISECOND, 4 * SECOND);
/// Signals of a series come so far apart.
const SERIES_INTERVAL: (Micros, Micros) = (MILLISECOND, 300 * MILLISECOND);

/// What is done to one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGSTOP, and SIGCONT after a time.
    Freeze(Micros),
    /// SIGKILL, and a start after a time.
    Kill(Micros),
    /// SIGTERM, and a start a time after the process has ended.
    Stop(Micros),
    /// SIGTERM, SIGKILL a time after it, and a start at once.
    StopThenKill(Micros),
    /// So many SIGHUPs.
    Reload(u8),
    /// So many restarts by SIGKILL, one right after the other.
    RestartSeries(u8),
    /// SIGKILL, the disk is emptied, and a start after a time.
    LoseDisk(Micros),
    /// SIGKILL for good; another machine, number `spare`, takes its place with an empty disk.
    Replace {
        /// The number of the machine that is added.
        spare: usize,
    },
    /// The backend says that it drains, ends, and another one comes.
    ReplaceBackend,
    /// The backend ends without a word, and another one comes.
    CrashBackend,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Micros,
    /// Where.
    pub machine: Machine,
    /// What.
    pub fault: Fault,
}

/// Which faults a run draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// None: changes and traffic alone.
    Calm,
    /// Everything.
    Mixed,
    /// Core machines of one zone are frozen together, for long.
    ZoneFreeze,
    /// Everything, and near the end as many disks as may be lost while all other processes are
    /// killed.
    Closing,
}

impl Profile {
    /// The profile of a name on the command line.
    pub fn parse(name: &str) -> Option<Profile> {
        match name {
            "calm" => Some(Profile::Calm),
            "mixed" => Some(Profile::Mixed),
            "zone-freeze" => Some(Profile::ZoneFreeze),
            "closing" => Some(Profile::Closing),
            _ => None,
        }
    }
}

/// Draws the faults of a run, in the order of their times.
pub fn generate(seed: u64, site: &Site, profile: Profile, duration: Micros) -> Vec<PlannedFault> {
    let mut planner = Planner {
        rng: StdRng::seed_from_u64(seed),
        site,
        lost_cores: Vec::new(),
        next_spare: site.cores,
        replaced: Vec::new(),
        faults: Vec::new(),
    };
    let end = duration.saturating_sub(LAST_FAULT_BEFORE_END);
    match profile {
        Profile::Calm => {}
        Profile::Mixed => planner.plan_mixed(end),
        Profile::ZoneFreeze => planner.plan_zone_freezes(end),
        Profile::Closing => {
            let at = duration.saturating_sub(CLOSING_BEFORE_END);
            planner.plan_mixed(at.saturating_sub(LAST_FAULT_BEFORE_CLOSING));
            planner.plan_closing(at);
        }
    }
    planner.faults.sort_by_key(|planned| planned.at);
    planner.faults
}

/// A core machine counts as lost in this time.
struct LostCore {
    core: usize,
    from: Micros,
    until: Micros,
}

struct Planner<'site> {
    rng: StdRng,
    site: &'site Site,
    lost_cores: Vec<LostCore>,
    next_spare: usize,
    replaced: Vec<usize>,
    faults: Vec<PlannedFault>,
}

impl Planner<'_> {
    fn random_duration(&mut self, (shortest, longest): (Micros, Micros)) -> Micros {
        self.rng.random_range(shortest..=longest)
    }

    fn push(&mut self, at: Micros, machine: Machine, fault: Fault) {
        self.faults.push(PlannedFault { at, machine, fault });
    }

    fn plan_mixed(&mut self, end: Micros) {
        let mut at = FIRST_FAULT_AT;
        while at < end {
            match self.rng.random_range(0..100) {
                0..35 => self.plan_core_fault(at),
                35..70 => self.plan_node_fault(at),
                70..78 => self.plan_third_of_nodes(at),
                78..84 => self.plan_zone_freeze(at),
                84..94 => self.plan_backend_fault(at),
                94..98 => self.plan_all_cores_killed(at),
                _ => self.plan_everything_killed(at),
            }
            at += self.random_duration(FAULT_INTERVAL);
        }
    }

    fn plan_zone_freezes(&mut self, end: Micros) {
        let mut at = FIRST_FAULT_AT;
        while at < end {
            self.plan_zone_freeze(at);
            at += self.random_duration((2 * SECOND, 4 * SECOND));
        }
    }

    /// Core machines that stand, and may be lost in this time without more being lost than the site
    /// bears at once.
    fn expendable_cores(&self, from: Micros, until: Micros) -> Vec<usize> {
        let overlapping = self
            .lost_cores
            .iter()
            .filter(|lost| lost.from < until && from < lost.until);
        let lost: Vec<usize> = overlapping.map(|lost| lost.core).collect();
        if lost.len() >= self.site.machine_losses {
            return Vec::new();
        }
        let remaining = (0..self.next_spare).filter(|core| !self.replaced.contains(core));
        remaining.filter(|core| !lost.contains(core)).collect()
    }

    fn mark_lost(&mut self, core: usize, from: Micros, until: Micros) {
        let until = until + self.site.bounds.catch_up;
        self.lost_cores.push(LostCore { core, from, until });
    }

    fn plan_core_fault(&mut self, at: Micros) {
        let downtime = self.random_duration(DOWNTIME);
        let freeze = self.random_duration(FREEZE_DURATION);
        let (fault, length) = match self.rng.random_range(0..10) {
            0..3 => (Fault::Freeze(freeze), freeze),
            3..5 => (Fault::Kill(downtime), downtime),
            5 => (Fault::Stop(downtime), downtime + 2 * SECOND),
            6 => (Fault::StopThenKill(downtime / 8), downtime / 8),
            7 => (Fault::RestartSeries(4), 4 * SERIES_INTERVAL.1),
            8 => (Fault::LoseDisk(downtime), downtime),
            _ if self.next_spare < self.site.cores + self.site.spare_cores => {
                let spare = self.next_spare;
                (Fault::Replace { spare }, downtime)
            }
            _ => (Fault::Reload(3), 0),
        };
        let until = at + length + self.site.bounds.catch_up;
        let cores = self.expendable_cores(at, until);
        let Some(core) = cores.choose(&mut self.rng).copied() else {
            return;
        };
        if let Fault::Replace { .. } = fault {
            self.replaced.push(core);
            self.next_spare += 1;
        }
        self.mark_lost(core, at, at + length);
        self.push(at, Machine::Core(core), fault);
    }

    /// As many core machines of one zone as may be lost stand still together.
    fn plan_zone_freeze(&mut self, at: Micros) {
        let zone = self.rng.random_range(0..self.site.zones);
        let length = self.random_duration((FREEZE_DURATION.1 / 2, FREEZE_DURATION.1));
        for _ in 0..self.site.machine_losses {
            let until = at + length + self.site.bounds.catch_up;
            let cores = self.expendable_cores(at, until);
            let in_zone = |core: &usize| self.site.zone(Machine::Core(*core)) == zone;
            let Some(core) = cores.into_iter().find(in_zone) else {
                return;
            };
            self.mark_lost(core, at, at + length);
            self.push(at, Machine::Core(core), Fault::Freeze(length));
        }
    }

    fn plan_node_fault(&mut self, at: Micros) {
        let node = self.rng.random_range(0..self.site.nodes);
        let fault = self.random_node_fault();
        self.push(at, Machine::Node(node), fault);
    }

    fn random_node_fault(&mut self) -> Fault {
        let downtime = self.random_duration(DOWNTIME);
        match self.rng.random_range(0..7) {
            0 => Fault::Freeze(self.random_duration(FREEZE_DURATION) / 2),
            1 => Fault::Kill(downtime),
            2 | 3 => Fault::Stop(downtime),
            4 => Fault::StopThenKill(downtime),
            5 => Fault::Reload(5),
            _ => Fault::RestartSeries(3),
        }
    }

    fn plan_third_of_nodes(&mut self, at: Micros) {
        let mut nodes: Vec<usize> = (0..self.site.nodes).collect();
        nodes.shuffle(&mut self.rng);
        nodes.truncate(self.site.nodes / 3);
        let fault = self.random_node_fault();
        for node in nodes {
            let delay = self.random_duration(SERIES_INTERVAL);
            self.push(at + delay, Machine::Node(node), fault);
        }
    }

    fn plan_backend_fault(&mut self, at: Micros) {
        let node = self.rng.random_range(0..self.site.nodes);
        let fault = match self.rng.random_bool(0.5) {
            true => Fault::ReplaceBackend,
            false => Fault::CrashBackend,
        };
        self.push(at, Machine::Node(node), fault);
    }

    /// Every process is killed at one moment, and as many disks are lost as the site bears.
    fn plan_closing(&mut self, at: Micros) {
        let remaining = (0..self.next_spare).filter(|core| !self.replaced.contains(core));
        let mut cores: Vec<usize> = remaining.collect();
        cores.shuffle(&mut self.rng);
        for (position, core) in cores.into_iter().enumerate() {
            let downtime = self.random_duration((50 * MILLISECOND, SECOND));
            let fault = match position < self.site.machine_losses {
                true => Fault::LoseDisk(downtime),
                false => Fault::Kill(downtime),
            };
            self.push(at, Machine::Core(core), fault);
        }
        for node in 0..self.site.nodes {
            let downtime = self.random_duration((50 * MILLISECOND, SECOND));
            self.push(at, Machine::Node(node), Fault::Kill(downtime));
        }
    }

    /// Every process is killed at one moment; the disks remain.
    fn plan_everything_killed(&mut self, at: Micros) {
        self.plan_all_cores_killed(at);
        for node in 0..self.site.nodes {
            let downtime = self.random_duration((50 * MILLISECOND, SECOND));
            self.push(at, Machine::Node(node), Fault::Kill(downtime));
        }
    }

    /// All core machines are killed at one moment and come back with their disks.
    fn plan_all_cores_killed(&mut self, at: Micros) {
        let downtime = self.random_duration((50 * MILLISECOND, SECOND));
        let remaining = (0..self.next_spare).filter(|core| !self.replaced.contains(core));
        for core in remaining.collect::<Vec<_>>() {
            self.push(at, Machine::Core(core), Fault::Kill(downtime));
        }
    }
}
