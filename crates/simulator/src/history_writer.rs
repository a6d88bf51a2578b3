//! Writes the history records of the simulator process itself (design 9.5).

use crate::history::Record;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Appends records to one history file. Clones open the same file by its path.
#[derive(Clone, Debug)]
pub struct HistoryWriter(pub PathBuf);

impl HistoryWriter {
    /// Appends one record. A failed write is an error, because an incomplete history proves nothing.
    pub fn write(&self, record: &Record) -> Result<(), String> {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        let file = OpenOptions::new().create(true).append(true).open(&self.0);
        file.and_then(|mut file| Write::write_all(&mut file, line.as_bytes()))
            .map_err(|error| error.to_string())
    }
}

impl crate::fleet::Fleet {
    /// Returns a writer for the history of the simulator process.
    pub fn history_writer(&self) -> HistoryWriter {
        HistoryWriter(self.folder.join("rehearsal.history"))
    }

    /// Records that a backend was killed, after which it must receive no requests.
    pub fn record_leaving(&self, machine_index: usize) -> Result<(), String> {
        self.history_writer().write(&Record::BackendLeaving {
            backend: self.machines[machine_index].name.clone(),
            at: model::now(),
        })
    }

    /// Records that a fault was removed, which starts the time limit for recovery.
    pub fn record_healed(&self) -> Result<(), String> {
        self.history_writer()
            .write(&Record::FaultHealed { at: model::now() })
    }

    /// Records a route change, once when it is sent and once when it is accepted. Between the two the route may be served or
    /// not.
    pub fn record_route_change(
        &self,
        route: crate::deployment::RouteSpec,
        allowed: bool,
        accepted: bool,
    ) -> Result<(), String> {
        self.history_writer().write(&Record::RouteChange {
            client: route.0.into(),
            service: route.1.into(),
            path: route.2.into(),
            allowed,
            accepted,
            at: model::now(),
        })
    }
}
