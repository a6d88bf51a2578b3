//! Records of a run: what clients and operators observed, and the faults injected into machines.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::Micros;
use crate::site::Machine;

/// How a version of a route handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The route doesn't exist; requests get status 404.
    Absent,
    /// Requests go to the service with this index in [`SERVICES`](crate::site::SERVICES).
    Service(usize),
}

/// One version of a route, as sent by an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteVersion {
    /// The version number.
    pub version: u64,
    /// How this version handles requests.
    pub effect: Effect,
    /// When the version was first sent.
    pub sent_at: Micros,
    /// When a call that contained the version was first acknowledged.
    pub acknowledged_at: Option<Micros>,
}

/// A route with its host, its path prefix and its versions in ascending order.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteHistory {
    /// Host of the requests that match the route.
    pub host: String,
    /// Path prefix of the requests that match the route.
    pub prefix: String,
    /// The versions sent so far.
    pub versions: Vec<RouteVersion>,
    /// Whether the route is never changed during the run.
    pub is_stable: bool,
}

/// A client's request to a node, and the effect that its answer shows.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The node that received the request.
    pub node: usize,
    /// Name of the requested route.
    pub route: String,
    /// When the request was sent.
    pub sent_at: Micros,
    /// When the answer was complete.
    pub answered_at: Micros,
    /// The effect that the answer shows to be in force.
    pub effect: Effect,
}

/// A request to the batch service and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchRequest {
    /// The node that received the request.
    pub node: usize,
    /// When the request was sent.
    pub sent_at: Micros,
    /// When it ended.
    pub ended_at: Micros,
    /// Length of its body, in bytes.
    pub body_length: usize,
    /// Length of the answer that it asked for, in bytes.
    pub answer_length: usize,
    /// How it ended.
    pub end: RequestEnd,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a complete answer of this status.
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// The client stopped waiting.
    GaveUp,
}

/// The answer to a read of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationRead {
    /// The core machine that answered.
    pub core: usize,
    /// When the read was sent.
    pub sent_at: Micros,
    /// When the answer was complete.
    pub answered_at: Micros,
    /// Version number of each route in the answer.
    pub versions: BTreeMap<String, u64>,
}

/// A fault injected into a machine, or the start or end of its process.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineEvent {
    /// When it happened.
    pub at: Micros,
    /// The machine.
    pub machine: Machine,
    /// What happened.
    pub kind: EventKind,
}

/// A kind of machine event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A process was started, which begins a new incarnation.
    Started,
    /// SIGTERM was sent.
    Terminated,
    /// SIGHUP was sent.
    Reloaded,
    /// The process was killed.
    Killed,
    /// The machine's disk was emptied.
    DiskLost,
    /// The process was stopped by SIGSTOP.
    Frozen,
    /// The process was continued by SIGCONT.
    Resumed,
    /// The process exited without being killed by the supervisor.
    Exited,
    /// The backend beside the node was told to end.
    BackendEnded,
}

/// A violation detected during the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// An invalid call was acknowledged.
    InvalidCallAcknowledged {
        /// What was invalid.
        fault: String,
    },
    /// A valid call was refused.
    ValidCallRefused {
        /// One of the routes in the call.
        route: String,
        /// The status of the answer.
        status: u16,
    },
    /// A process exited with a failure.
    ProcessFailed {
        /// The machine of the process.
        machine: Machine,
        /// The exit status, as text.
        status: String,
    },
    /// A process still ran when the timeout of its graceful shutdown had passed.
    GracefulStopTimedOut {
        /// The machine of the process.
        machine: Machine,
    },
}

/// A valid call by an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRecord {
    /// When the call was first sent.
    pub sent_at: Micros,
    /// Number of routes in the call.
    pub routes: usize,
    /// When the call was acknowledged, if it was.
    pub acknowledged_at: Option<Micros>,
}

/// Everything recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Routes by name.
    pub routes: BTreeMap<String, RouteHistory>,
    /// Requests whose answers show which version of a route is in force.
    pub probes: Vec<Probe>,
    /// Requests to the batch service.
    pub batch_requests: Vec<BatchRequest>,
    /// Reads of the configuration that were answered.
    pub reads: Vec<ConfigurationRead>,
    /// Machine events, in order of time.
    pub events: Vec<MachineEvent>,
    /// Valid calls, whether acknowledged or not.
    pub calls: Vec<CallRecord>,
    /// When the run ended.
    pub ended_at: Micros,
    /// Violations detected during the run.
    pub findings: Vec<Finding>,
    /// Number of client requests by answer status; status 0 means no answer.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of processes that were terminated by a signal before they had installed a handler for it.
    pub ended_while_loading: usize,
}

impl Records {
    /// Returns the time that each acknowledged call took.
    pub fn acknowledgement_times(&self) -> Vec<Micros> {
        let calls = self.calls.iter();
        let times = calls.filter_map(|call| Some(call.acknowledged_at? - call.sent_at));
        times.collect()
    }
}

/// The records of the current run, shared by its tasks.
#[derive(Debug, Default)]
pub struct History {
    records: Mutex<Records>,
}

impl History {
    /// Locks the records. Callers must not await while they hold the lock.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        // A task that panicked leaves consistent records, as each is added by a single push.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a version was acknowledged; a later acknowledgement doesn't replace the first.
    pub fn record_acknowledgement(&self, route: &str, version: u64, at: Micros) {
        let mut records = self.lock();
        let Some(route) = records.routes.get_mut(route) else {
            return;
        };
        let mut versions = route.versions.iter_mut();
        if let Some(existing) = versions.find(|existing| existing.version == version) {
            existing.acknowledged_at.get_or_insert(at);
        }
    }

    /// Records a machine event.
    pub fn record_machine_event(&self, at: Micros, machine: Machine, kind: EventKind) {
        self.lock().events.push(MachineEvent { at, machine, kind });
    }
}
