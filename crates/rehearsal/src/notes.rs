//! What the rehearsal itself writes into the histories (design 9.5).

use crate::history::Record;

impl crate::fleet::Fleet {
    fn note(&self, record: &Record) -> Result<(), String> {
        let line = serde_json::to_string(record).unwrap_or_default() + "\n";
        let path = self.folder.join("rehearsal.history");
        let book = std::fs::OpenOptions::new().create(true).append(true).open(path);
        book.and_then(|mut book| std::io::Write::write_all(&mut book, line.as_bytes())).map_err(|error| error.to_string())
    }

    /// A back end that was killed got its last work then.
    pub fn note_leaving(&self, at: usize) -> Result<(), String> {
        self.note(&Record::Leaving { by: self.machines[at].name.clone(), at: playbill::now() })
    }

    /// A lane about to change, and changed: between the two either state may hold.
    pub fn note_lane(&self, lane: crate::deployment::Lane, allowed: bool, accepted: bool) -> Result<(), String> {
        self.note(&Record::Lane { sender: lane.0.into(), service: lane.1.into(), path: lane.2.into(), allowed, accepted, at: playbill::now() })
    }
}
