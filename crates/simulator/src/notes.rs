//! What the rehearsal itself writes into the histories (design 9.5).

use crate::history::Record;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Appends to one file; clones share it through the file system.
#[derive(Clone, Debug)]
pub struct Notebook(pub PathBuf);

impl Notebook {
    /// A note that cannot be written would make a history that proves nothing.
    pub fn note(&self, record: &Record) -> Result<(), String> {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        let book = OpenOptions::new().create(true).append(true).open(&self.0);
        book.and_then(|mut book| Write::write_all(&mut book, line.as_bytes()))
            .map_err(|error| error.to_string())
    }
}

impl crate::fleet::Fleet {
    pub fn notebook(&self) -> Notebook {
        Notebook(self.folder.join("rehearsal.history"))
    }

    /// A back end that was killed got its last work then.
    pub fn note_leaving(&self, at: usize) -> Result<(), String> {
        self.notebook().note(&Record::Leaving {
            by: self.machines[at].name.clone(),
            at: model::now(),
        })
    }

    /// The last fault is over: from here service has so long to come back.
    pub fn note_healed(&self) -> Result<(), String> {
        self.notebook().note(&Record::Healed { at: model::now() })
    }

    /// A lane about to change, and changed: between the two either state may hold.
    pub fn note_lane(
        &self,
        lane: crate::deployment::Lane,
        allowed: bool,
        accepted: bool,
    ) -> Result<(), String> {
        self.notebook().note(&Record::Lane {
            sender: lane.0.into(),
            service: lane.1.into(),
            path: lane.2.into(),
            allowed,
            accepted,
            at: model::now(),
        })
    }
}
