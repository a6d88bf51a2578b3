//! What stand-ins saw, one JSON line each, and what must hold over all of it (design 9.5).

use std::collections::BTreeMap;
use std::path::Path;

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A back end began to run a request; written before anything else happens.
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
        /// Two live back ends may bear one name: an old one that slept, and its successor.
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
    /// A sender was told how its try ended; `again`: this was not its first arrival.
    #[serde(rename = "told")]
    ClientAnswered {
        #[serde(rename = "try_id")]
        attempt_id: String,
        asked: u64,
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
    /// A back end asked to be drained, or was killed, at this time.
    #[serde(rename = "leaving")]
    BackendLeaving {
        #[serde(rename = "by")]
        backend: String,
        at: u64,
    },
    /// An operator's change of a lane: sent, and (`accepted`) answered.
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
    /// An operator's change: what was sent, and what came back. Without a version and not refused: nobody knows.
    #[serde(rename = "change")]
    DesiredChange {
        id: String,
        edits: Vec<serde_json::Value>,
        asked: u64,
        at: u64,
        status: u16,
        version: Option<u64>,
        position: Option<u64>,
        refused: bool,
    },
    #[serde(rename = "read_back")]
    StateRead {
        asked: u64,
        at: u64,
        desired: serde_json::Value,
    },
    /// What a node said of itself.
    #[serde(rename = "seen")]
    NodeObserved {
        node: String,
        #[serde(rename = "life")]
        incarnation: u64,
        asked: u64,
        position: u64,
        fresh: bool,
    },
    /// A fault was taken away; the last of these is when recovery began.
    #[serde(rename = "healed")]
    FaultHealed { at: u64 },
    /// An usher dispatched a try again; from its log.
    #[serde(rename = "extra")]
    AttemptRepeated {
        node: String,
        service: String,
        at: u64,
    },
    /// A request meant for another service reached this back end, which refused it.
    Misrouted {
        #[serde(rename = "by")]
        backend: String,
        #[serde(rename = "meant_for")]
        intended_service: String,
        at: u64,
    },
    /// A machine's usher stood still: what it held it could not answer.
    #[serde(rename = "stood")]
    NodeStalled {
        #[serde(rename = "by")]
        node: String,
        from: u64,
        to: u64,
    },
    /// From here on one key swamps the rest.
    #[serde(rename = "heated")]
    HotKeyStarted { at: u64 },
}

#[derive(Debug, Default, serde::Serialize)]
pub struct Report {
    pub asked: usize,
    /// Second arrivals of the same tries.
    #[serde(rename = "again")]
    pub repeated: usize,
    pub served: usize,
    pub not_run: usize,
    pub may_have_run: usize,
    pub causes: BTreeMap<String, usize>,
    #[serde(rename = "figures")]
    pub measurements: crate::measurements::Measurements,
    /// Service to how long after the last fault it was served again.
    #[serde(rename = "back_us")]
    pub recovery_us: BTreeMap<String, u64>,
    /// What the scenario was to bring about and did not: nothing was proved about it.
    #[serde(rename = "not_provoked")]
    pub not_observed: Vec<String>,
    pub invariants: BTreeMap<String, Vec<String>>,
}

impl Report {
    pub fn holds(&self) -> bool {
        self.invariants.values().all(Vec::is_empty)
    }
}

pub fn read(folder: &Path) -> std::io::Result<Vec<Record>> {
    let files: Vec<_> = std::fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter(|file| file.path().extension().is_some_and(|end| end == "history"))
        .collect();
    // A killed process may leave its last line unfinished.
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

/// What ushers wrote down of extra dispatches, as their logs have it.
pub fn repeated_attempts(folder: &Path) -> std::io::Result<Vec<Record>> {
    let logs = std::fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter(|file| file.file_name().to_string_lossy().starts_with("node-"));
    let of = |line: &str| {
        let told: serde_json::Value = serde_json::from_str(line).ok()?;
        let text = |name: &str| told[name].as_str().map(str::to_string);
        Some(Record::AttemptRepeated {
            node: text("name")?,
            service: text("service")?,
            at: told["at"].as_u64()?,
        })
    };
    let texts = logs
        .map(|file| std::fs::read_to_string(file.path()))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(texts
        .iter()
        .flat_map(|text| text.lines())
        .filter(|line| line.contains("\"dispatched again\""))
        .filter_map(of)
        .collect())
}
