//! What clients and operators of a run saw, and what was done to the machines.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Micros;
use crate::site::Machine;

/// What a version of a route makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No such route: 404.
    Absent,
    /// It goes to this service, by its number in [`SERVICES`](crate::site::SERVICES).
    Service(usize),
}

/// One version of a route as an operator sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteVersion {
    /// The number of the version.
    pub version: u64,
    /// What it makes of requests.
    pub effect: Effect,
    /// When it was first sent.
    pub sent_at: Micros,
    /// When a call that carried it was acknowledged.
    pub acknowledged_at: Option<Micros>,
}

/// A route, by its name: where it is reached, and its versions in the order of their numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteHistory {
    /// Host of its requests.
    pub host: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Its versions so far.
    pub versions: Vec<RouteVersion>,
    /// Whether it is never changed during the run.
    pub is_stable: bool,
}

/// A request of a client at one node, and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The node that it was sent to.
    pub node: usize,
    /// The route that it asked for, by its name.
    pub route: String,
    /// When it was sent.
    pub sent_at: Micros,
    /// When the answer was whole.
    pub answered_at: Micros,
    /// What the answer shows to be in force.
    pub effect: Effect,
}

/// What a read of the configuration answered.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationRead {
    /// The core machine that answered.
    pub core: usize,
    /// When it was asked.
    pub sent_at: Micros,
    /// When the answer was whole.
    pub answered_at: Micros,
    /// Versions by route.
    pub versions: BTreeMap<String, u64>,
}

/// Something was done to a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineEvent {
    /// When.
    pub at: Micros,
    /// To which machine.
    pub machine: Machine,
    /// What.
    pub kind: EventKind,
}

/// What is done to machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The process was started; a new incarnation begins.
    Started,
    /// SIGTERM was sent.
    Terminated,
    /// SIGHUP was sent.
    Reloaded,
    /// It was killed.
    Killed,
    /// Its disk was emptied.
    DiskLost,
    /// It was frozen.
    Frozen,
    /// It runs again after a freeze.
    Resumed,
    /// The process ended though nobody had asked it to.
    Exited,
}

/// Something that no rule allows, seen while the run was on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An invalid call was acknowledged.
    InvalidCallAcknowledged {
        /// What was wrong with it.
        fault: String,
    },
    /// A valid call was refused.
    ValidCallRefused {
        /// The route, or one of the routes, that it carried.
        route: String,
        /// The status of the answer.
        status: u16,
    },
    /// A process ended by itself.
    ProcessFailed {
        /// Which one.
        machine: Machine,
        /// How, in the system's words.
        status: String,
    },
    /// A process still ran when its time for a graceful shutdown was over.
    GracefulStopTimedOut {
        /// Which one.
        machine: Machine,
    },
}

/// A valid call of an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRecord {
    /// When it was first sent.
    pub sent_at: Micros,
    /// How many routes it carried.
    pub routes: usize,
    /// When it was acknowledged, if it was.
    pub acknowledged_at: Option<Micros>,
}

/// Everything recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Routes by name.
    pub routes: BTreeMap<String, RouteHistory>,
    /// Requests whose answer shows what is in force.
    pub probes: Vec<Probe>,
    /// Answered reads of the configuration.
    pub reads: Vec<ConfigurationRead>,
    /// What was done to machines, in the order of time.
    pub events: Vec<MachineEvent>,
    /// Valid calls, acknowledged or not.
    pub calls: Vec<CallRecord>,
    /// When the run ended.
    pub ended_at: Micros,
    /// Violations seen at once.
    pub findings: Vec<Finding>,
    /// Answers by status; 0 for none.
    pub statuses: BTreeMap<u16, u64>,
    /// Processes that ended by a signal while the system was still loading them.
    pub ended_while_loading: usize,
}

impl Records {
    /// How long acknowledged calls took.
    pub fn acknowledgement_times(&self) -> Vec<Micros> {
        let calls = self.calls.iter();
        let times = calls.filter_map(|call| Some(call.acknowledged_at? - call.sent_at));
        times.collect()
    }
}

/// The records of a run that is on, shared by its tasks.
#[derive(Debug, Default)]
pub struct History {
    records: Mutex<Records>,
}

impl History {
    /// The records; nothing is awaited while they are held.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        // A task that panicked leaves records that are whole: each is one push.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a version was acknowledged.
    pub fn record_acknowledgement(&self, route: &str, version: u64, at: Micros) {
        let mut records = self.lock();
        let Some(route) = records.routes.get_mut(route) else {
            return;
        };
        let mut versions = route.versions.iter_mut();
        if let Some(held) = versions.find(|held| held.version == version) {
            held.acknowledged_at.get_or_insert(at);
        }
    }

    /// Records something done to a machine.
    pub fn record_machine_event(&self, at: Micros, machine: Machine, kind: EventKind) {
        self.lock().events.push(MachineEvent { at, machine, kind });
    }
}
