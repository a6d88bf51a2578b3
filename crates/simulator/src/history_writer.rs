//! What the rehearsal itself writes into the histories (design 9.5).

use crate::history::Record;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Appends to one file; clones share it through the file system.
#[derive(Clone, Debug)]
pub struct HistoryWriter(pub PathBuf);

impl HistoryWriter {
    /// A note that cannot be written would make a history that proves nothing.
    pub fn write(&self, record: &Record) -> Result<(), String> {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        let book = OpenOptions::new().create(true).append(true).open(&self.0);
        book.and_then(|mut book| Write::write_all(&mut book, line.as_bytes()))
            .map_err(|error| error.to_string())
    }
}

impl crate::fleet::Fleet {
    pub fn history_writer(&self) -> HistoryWriter {
        HistoryWriter(self.folder.join("rehearsal.history"))
    }

    /// A back end that was killed got its last work then.
    pub fn record_leaving(&self, at: usize) -> Result<(), String> {
        self.history_writer().write(&Record::BackendLeaving {
            backend: self.machines[at].name.clone(),
            at: model::now(),
        })
    }

    /// The last fault is over: from here service has so long to come back.
    pub fn record_healed(&self) -> Result<(), String> {
        self.history_writer()
            .write(&Record::FaultHealed { at: model::now() })
    }

    /// A lane about to change, and changed: between the two either state may hold.
    pub fn record_route_change(
        &self,
        lane: crate::deployment::RouteSpec,
        allowed: bool,
        accepted: bool,
    ) -> Result<(), String> {
        self.history_writer().write(&Record::RouteChange {
            client: lane.0.into(),
            service: lane.1.into(),
            path: lane.2.into(),
            allowed,
            accepted,
            at: model::now(),
        })
    }
}
