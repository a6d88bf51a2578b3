//! Records that the stand-ins write to history files, one JSON object per line, and the report of a run (design 9.5).

use std::collections::BTreeMap;
use std::path::Path;

/// One line of a history file. Times are in microseconds of the clock `model::now`.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A backend began to run a request. Written before the backend does any work for the request.
    #[serde(rename = "began")]
    RunBegan {
        run: String,
        #[serde(rename = "try_id")]
        attempt_id: String,
        at: u64,
        #[serde(rename = "by")]
        backend: String,
        #[serde(rename = "life")]
        incarnation: u64,
        /// Process id. A frozen process and its successor are two live backends with the same name.
        process: u32,
        service: String,
        #[serde(rename = "meant_for")]
        intended_service: String,
        #[serde(rename = "sender")]
        client: String,
        path: String,
        key: Option<String>,
    },
    #[serde(rename = "ended")]
    RunEnded { run: String, at: u64 },
    /// A client received the result of an attempt. `repeated` is set for every send of the attempt but the first.
    #[serde(rename = "told")]
    AnswerReceived {
        #[serde(rename = "try_id")]
        attempt_id: String,
        /// Time at which the request was sent.
        #[serde(rename = "asked")]
        sent_at: u64,
        /// Time at which the answer arrived.
        at: u64,
        #[serde(rename = "wait")]
        wait_us: u64,
        #[serde(rename = "again")]
        repeated: bool,
        #[serde(rename = "by")]
        client: String,
        service: String,
        target: String,
        path: String,
        key: Option<String>,
        status: u16,
        #[serde(rename = "verdict")]
        execution_status: Option<String>,
        #[serde(rename = "cause")]
        error_kind: Option<String>,
        #[serde(rename = "come_back")]
        has_retry_after: bool,
        #[serde(rename = "whole")]
        complete: bool,
    },
    /// A backend announced that it is draining, or was killed.
    #[serde(rename = "leaving")]
    BackendLeaving {
        #[serde(rename = "by")]
        backend: String,
        at: u64,
    },
    /// An operator's change of a route. Written when the change is sent, and again with `accepted` set when it is accepted.
    #[serde(rename = "lane")]
    RouteChange {
        #[serde(rename = "sender")]
        client: String,
        service: String,
        path: String,
        allowed: bool,
        accepted: bool,
        at: u64,
    },
    /// An operator's change and its answer. Without a version and with `rejected` unset, the outcome is unknown.
    #[serde(rename = "change")]
    DesiredChange {
        id: String,
        edits: Vec<serde_json::Value>,
        /// Time at which the request was sent.
        #[serde(rename = "asked")]
        sent_at: u64,
        /// Time at which the answer arrived.
        at: u64,
        status: u16,
        version: Option<u64>,
        position: Option<u64>,
        #[serde(rename = "refused")]
        rejected: bool,
    },
    /// The desired state that a replica returned to an operator.
    #[serde(rename = "read_back")]
    StateRead {
        /// Time at which the request was sent.
        #[serde(rename = "asked")]
        sent_at: u64,
        /// Time at which the answer arrived.
        at: u64,
        desired: serde_json::Value,
    },
    /// The status that a node reported.
    #[serde(rename = "seen")]
    NodeObserved {
        node: String,
        #[serde(rename = "life")]
        incarnation: u64,
        /// Time at which the request was sent.
        #[serde(rename = "asked")]
        sent_at: u64,
        position: u64,
        fresh: bool,
    },
    /// A fault was removed; recovery is measured from the last of these records.
    #[serde(rename = "healed")]
    FaultHealed { at: u64 },
    /// A node dispatched an attempt again. Read from the node's log.
    #[serde(rename = "extra")]
    AttemptRepeated {
        node: String,
        service: String,
        at: u64,
    },
    /// A request for another service reached this backend, which rejected it.
    Misrouted {
        #[serde(rename = "by")]
        backend: String,
        #[serde(rename = "meant_for")]
        intended_service: String,
        at: u64,
    },
    /// A node's process was frozen and could not answer the requests that it held.
    #[serde(rename = "stood")]
    NodeStalled {
        #[serde(rename = "by")]
        node: String,
        from: u64,
        to: u64,
    },
    /// Clients began to send most keyed requests with one hot key.
    #[serde(rename = "heated")]
    HotKeyStarted { at: u64 },
}

/// Counts, measurements and violated invariants of one run.
#[derive(Debug, Default, serde::Serialize)]
pub struct Report {
    /// Attempts that clients sent, each counted once.
    #[serde(rename = "asked")]
    pub attempts: usize,
    /// Repeated sends of the same attempts.
    #[serde(rename = "again")]
    pub repeated: usize,
    pub served: usize,
    pub not_run: usize,
    pub may_have_run: usize,
    pub causes: BTreeMap<String, usize>,
    #[serde(rename = "figures")]
    pub measurements: crate::measurements::Measurements,
    /// Time from the last fault until each service was served again, in microseconds.
    #[serde(rename = "back_us")]
    pub recovery_us: BTreeMap<String, u64>,
    /// Situations that the scenario must produce and that were not observed, so that the run did not test them.
    #[serde(rename = "not_provoked")]
    pub not_observed: Vec<String>,
    /// Violations per invariant.
    pub invariants: BTreeMap<String, Vec<String>>,
}

impl Report {
    /// Returns whether no invariant was violated.
    pub fn has_no_violations(&self) -> bool {
        self.invariants.values().all(Vec::is_empty)
    }
}

/// Reads the records of all history files in a folder.
pub fn read(folder: &Path) -> std::io::Result<Vec<Record>> {
    let files: Vec<_> = std::fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter(|file| {
            file.path()
                .extension()
                .is_some_and(|extension| extension == "history")
        })
        .collect();
    // A killed process may leave its last line incomplete; such a line does not parse and is skipped.
    let lines = files
        .into_iter()
        .map(|file| std::fs::read_to_string(file.path()))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(lines
        .iter()
        .flat_map(|text| text.lines())
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect())
}

/// Reads the repeated dispatches from the logs of the nodes in a folder.
pub fn repeated_attempts(folder: &Path) -> std::io::Result<Vec<Record>> {
    let logs = std::fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter(|file| file.file_name().to_string_lossy().starts_with("node-"));
    let parse_entry = |line: &str| {
        let entry: serde_json::Value = serde_json::from_str(line).ok()?;
        let text = |name: &str| entry[name].as_str().map(str::to_string);
        Some(Record::AttemptRepeated {
            node: text("name")?,
            service: text("service")?,
            at: entry["at"].as_u64()?,
        })
    };
    let texts = logs
        .map(|file| std::fs::read_to_string(file.path()))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(texts
        .iter()
        .flat_map(|text| text.lines())
        .filter(|line| line.contains("\"dispatched again\""))
        .filter_map(parse_entry)
        .collect())
}
