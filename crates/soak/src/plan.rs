//! Generates the faults of a run from its seed.

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand::{Rng as _, SeedableRng as _};

use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::site::{Machine, Site};

/// Time of the first fault, by which the first configuration is in force.
pub const FIRST_FAULT_AT: Micros = 6 * SECOND;
/// No fault begins within this time before the end of the run.
const LAST_FAULT_BEFORE_END: Micros = 8 * SECOND;
/// Time from the closing fault to the end of the run; service may be interrupted for 15 seconds after
/// the fault.
const CLOSING_BEFORE_END: Micros = 18 * SECOND;
/// No fault begins within this time before the closing fault, so that every lost machine is back for
/// long enough not to count as lost any more.
const LAST_FAULT_BEFORE_CLOSING: Micros = 22 * SECOND;
/// Shortest and longest time between the beginnings of two faults.
const FAULT_INTERVAL: (Micros, Micros) = (100 * MILLISECOND, 2_500 * MILLISECOND);
/// Shortest and longest duration of a freeze: from freezes that end before the failure is suspected
/// to ones that last longer than the core needs to count as settled again.
const FREEZE_DURATION: (Micros, Micros) = (200 * MILLISECOND, 12 * SECOND);
/// Shortest and longest downtime of a process before its restart.
const DOWNTIME: (Micros, Micros) = (50 * MILLISECOND, 4 * SECOND);
/// Shortest and longest time between two restarts of a series; also the range of offsets at which the
/// faults of several nodes begin.
const SERIES_INTERVAL: (Micros, Micros) = (MILLISECOND, 300 * MILLISECOND);

/// Time from the beginning of a round of overlapping losses to that of the next one: the losses, the
/// time until service has to be back, and the time in which calls have to be acknowledged.
const OVERLAP_ROUND: Micros = 32 * SECOND;
/// Time from the beginning of a round to the loss of a disk; other machines are killed from the
/// beginning on.
const OVERLAP_LEAD: Micros = 1_500 * MILLISECOND;
/// Shortest and longest time between the end of a machine and the start of its replacement.
const OVERLAP_PAUSE: (Micros, Micros) = (500 * MILLISECOND, 4 * SECOND);
/// Shortest and longest downtime of a machine that is killed beside a replacement.
const OVERLAP_DOWNTIME: (Micros, Micros) = (200 * MILLISECOND, 4 * SECOND);
/// Shortest and longest time between two series of stops. A stop takes up to 6 seconds.
const STOP_INTERVAL: (Micros, Micros) = (9 * SECOND, 15 * SECOND);

/// A fault of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGSTOP, then SIGCONT after this duration.
    Freeze(Micros),
    /// SIGKILL, then a restart after this downtime.
    Kill(Micros),
    /// SIGTERM, then a restart this long after the process has ended.
    Stop(Micros),
    /// SIGTERM, then SIGKILL after this time, followed by an immediate restart.
    StopThenKill(Micros),
    /// This number of SIGHUPs.
    Reload(u8),
    /// This number of SIGKILLs, each followed by an immediate restart.
    RestartSeries(u8),
    /// SIGKILL, then a restart with an empty disk after this downtime.
    LoseDisk(Micros),
    /// SIGKILL without a restart; the new machine `spare` replaces this one with an empty disk.
    Replace {
        /// Number of the replacement.
        spare: usize,
        /// Which of the two machines is there without the other.
        order: ReplacementOrder,
        /// Time between the end of the one machine and the start of the other.
        pause: Micros,
    },
    /// The backend reports that it is draining, deregisters and ends; a new incarnation follows.
    ReplaceBackend,
    /// The backend ends without deregistering; a new incarnation follows.
    CrashBackend,
}

/// The order in which a machine is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementOrder {
    /// The new machine starts once the old one is gone.
    OldFirst,
    /// The new machine starts while the old one still runs.
    NewFirst,
}

/// A fault with its machine and the time at which it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When the fault begins.
    pub at: Micros,
    /// The affected machine.
    pub machine: Machine,
    /// The fault.
    pub fault: Fault,
}

/// The kinds of faults in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// No faults, only changes and traffic.
    Calm,
    /// All kinds of faults.
    Mixed,
    /// Long freezes of several core machines of one zone together.
    ZoneFreeze,
    /// All kinds of faults; near the end, all processes are killed together and the maximum number of
    /// core machines lose their disks.
    Closing,
    /// Rounds in which a core machine loses its disk or is replaced while others are killed, beyond
    /// the losses that the site bears at the same time. Only one disk is lost in a round.
    Overlap,
    /// Nodes are stopped and started again, several at a time, while requests queue.
    Stops,
}

impl Profile {
    /// Parses the name of a profile, as used on the command line.
    pub fn parse(name: &str) -> Option<Profile> {
        match name {
            "calm" => Some(Profile::Calm),
            "mixed" => Some(Profile::Mixed),
            "zone-freeze" => Some(Profile::ZoneFreeze),
            "closing" => Some(Profile::Closing),
            "overlap" => Some(Profile::Overlap),
            "stops" => Some(Profile::Stops),
            _ => None,
        }
    }
}

/// Generates the faults of a run, in order of time.
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
        Profile::Overlap => planner.plan_overlaps(duration),
        Profile::Stops => planner.plan_stops(end),
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

/// The period in which a core machine counts as lost.
struct LostCore {
    core: usize,
    from: Micros,
    until: Micros,
}

struct Planner<'site> {
    rng: StdRng,
    site: &'site Site,
    lost_cores: Vec<LostCore>,
    /// Number of the next core machine to add.
    next_spare: usize,
    /// Core machines that were replaced.
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

    /// Returns the core machines that can be lost in this period without exceeding the number of
    /// machines that may be lost at the same time; replaced machines are excluded.
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

    /// Records that a core machine counts as lost until it has caught up after its restart.
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
                let replace = Fault::Replace {
                    spare,
                    order: ReplacementOrder::OldFirst,
                    pause: 0,
                };
                (replace, downtime)
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

    /// Plans rounds of overlapping losses, each followed by the time after which service is back.
    fn plan_overlaps(&mut self, duration: Micros) {
        let mut at = FIRST_FAULT_AT;
        while at + OVERLAP_ROUND <= duration {
            self.plan_overlap(at);
            at += OVERLAP_ROUND;
        }
    }

    /// One core machine loses its disk or is replaced; one or two others are killed meanwhile.
    fn plan_overlap(&mut self, at: Micros) {
        let mut cores: Vec<usize> = (0..self.next_spare)
            .filter(|core| !self.replaced.contains(core))
            .collect();
        cores.shuffle(&mut self.rng);
        let Some(lost) = cores.pop() else { return };
        let pause = self.random_duration(OVERLAP_PAUSE);
        let has_spare = self.next_spare < self.site.cores + self.site.spare_cores;
        let fault = match self.rng.random_range(0..5) {
            0 => Fault::LoseDisk(pause),
            kind if has_spare => {
                let spare = self.next_spare;
                self.next_spare += 1;
                self.replaced.push(lost);
                let order = match kind {
                    1 | 2 => ReplacementOrder::OldFirst,
                    _ => ReplacementOrder::NewFirst,
                };
                Fault::Replace {
                    spare,
                    order,
                    pause,
                }
            }
            _ => Fault::LoseDisk(pause),
        };
        self.push(at + OVERLAP_LEAD, Machine::Core(lost), fault);
        let killed = self.rng.random_range(1..=2);
        for core in cores.into_iter().take(killed) {
            let begin = at + self.random_duration((0, OVERLAP_LEAD + OVERLAP_PAUSE.1));
            let downtime = self.random_duration(OVERLAP_DOWNTIME);
            self.push(begin, Machine::Core(core), Fault::Kill(downtime));
        }
    }

    /// Stops up to a third of the nodes at a time, with calm times in between.
    fn plan_stops(&mut self, end: Micros) {
        let mut at = FIRST_FAULT_AT;
        while at < end {
            let mut nodes: Vec<usize> = (0..self.site.nodes).collect();
            nodes.shuffle(&mut self.rng);
            let count = self.rng.random_range(1..=self.site.nodes.div_ceil(3));
            for node in nodes.into_iter().take(count) {
                let delay = self.random_duration(SERIES_INTERVAL);
                let downtime = self.random_duration(DOWNTIME) / 4;
                self.push(at + delay, Machine::Node(node), Fault::Stop(downtime));
            }
            at += self.random_duration(STOP_INTERVAL);
        }
    }

    /// Freezes as many core machines of one zone as may be lost at the same time.
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

    /// Kills every process at the same time; the maximum number of core machines lose their disks.
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

    /// Kills every process at the same time; the disks remain.
    fn plan_everything_killed(&mut self, at: Micros) {
        self.plan_all_cores_killed(at);
        for node in 0..self.site.nodes {
            let downtime = self.random_duration((50 * MILLISECOND, SECOND));
            self.push(at, Machine::Node(node), Fault::Kill(downtime));
        }
    }

    /// Kills the processes of all core machines at the same time; the disks remain.
    fn plan_all_cores_killed(&mut self, at: Micros) {
        let downtime = self.random_duration((50 * MILLISECOND, SECOND));
        let remaining = (0..self.next_spare).filter(|core| !self.replaced.contains(core));
        for core in remaining.collect::<Vec<_>>() {
            self.push(at, Machine::Core(core), Fault::Kill(downtime));
        }
    }
}
