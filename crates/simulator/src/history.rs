//! What stand-ins saw, one JSON line each, and what must hold over all of it (design 9.5).

use std::collections::BTreeMap;
use std::path::Path;

#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A back end began to run a request; written before anything else happens.
    Began {
        run: String,
        try_id: String,
        at: u64,
        by: String,
        life: u64,
        /// Two live back ends may bear one name: an old one that slept, and its successor.
        process: u32,
        service: String,
        meant_for: String,
        sender: String,
        path: String,
        key: Option<String>,
    },
    Ended {
        run: String,
        at: u64,
    },
    /// A sender was told how its try ended; `again`: this was not its first arrival.
    Told {
        try_id: String,
        asked: u64,
        at: u64,
        wait: u64,
        again: bool,
        by: String,
        service: String,
        target: String,
        path: String,
        key: Option<String>,
        status: u16,
        verdict: Option<String>,
        cause: Option<String>,
        come_back: bool,
        whole: bool,
    },
    /// A back end asked to be drained, or was killed, at this time.
    Leaving {
        by: String,
        at: u64,
    },
    /// An operator's change of a lane: sent, and (`accepted`) answered.
    Lane {
        sender: String,
        service: String,
        path: String,
        allowed: bool,
        accepted: bool,
        at: u64,
    },
    /// An operator's change: what was sent, and what came back. Without a version and not refused: nobody knows.
    Change {
        id: String,
        edits: Vec<serde_json::Value>,
        asked: u64,
        at: u64,
        status: u16,
        version: Option<u64>,
        position: Option<u64>,
        refused: bool,
    },
    ReadBack {
        asked: u64,
        at: u64,
        desired: serde_json::Value,
    },
    /// What a node said of itself.
    Seen {
        node: String,
        life: u64,
        asked: u64,
        position: u64,
        fresh: bool,
    },
    /// A fault was taken away; the last of these is when recovery began.
    Healed {
        at: u64,
    },
    /// An usher dispatched a try again; from its log.
    Extra {
        node: String,
        service: String,
        at: u64,
    },
    /// A request meant for another service reached this back end, which refused it.
    Misrouted {
        by: String,
        meant_for: String,
        at: u64,
    },
    /// A machine's usher stood still: what it held it could not answer.
    Stood {
        by: String,
        from: u64,
        to: u64,
    },
    /// From here on one key swamps the rest.
    Heated {
        at: u64,
    },
}

#[derive(Debug, Default, serde::Serialize)]
pub struct Report {
    pub asked: usize,
    /// Second arrivals of the same tries.
    pub again: usize,
    pub served: usize,
    pub not_run: usize,
    pub may_have_run: usize,
    pub causes: BTreeMap<String, usize>,
    pub figures: crate::figures::Figures,
    /// Service to how long after the last fault it was served again.
    pub back_us: BTreeMap<String, u64>,
    /// What the scenario was to bring about and did not: nothing was proved about it.
    pub not_provoked: Vec<String>,
    pub invariants: BTreeMap<String, Vec<String>>,
}

impl Report {
    pub fn held(&self) -> bool {
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
pub fn extras(folder: &Path) -> std::io::Result<Vec<Record>> {
    let logs = std::fs::read_dir(folder)?
        .filter_map(Result::ok)
        .filter(|file| file.file_name().to_string_lossy().starts_with("node-"));
    let of = |line: &str| {
        let told: serde_json::Value = serde_json::from_str(line).ok()?;
        let text = |name: &str| told[name].as_str().map(str::to_string);
        Some(Record::Extra {
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
