//! Bytes that an earlier build wrote, kept in files, against what this build writes.
//!
//! Included with `#[path]` by the byte tests of several crates; the files are below `tests/fixtures`
//! of the crate that includes it, one a variant, as hexadecimal digits.
//!
//! A format that changes on purpose is recorded anew with
//! `GRADEFORD_WRITE_FIXTURES=1 cargo test -p <crate> --test <file>`, which writes the files instead
//! of comparing them; the difference belongs into the commit that changes the format, with its reason.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};

const DIGITS_A_LINE: usize = 64;

/// The files of one family of values, such as all frames.
pub(crate) struct RecordedBytes {
    folder: PathBuf,
    checked: BTreeSet<String>,
    writes: bool,
}

impl RecordedBytes {
    pub(crate) fn for_family(family: &str) -> RecordedBytes {
        RecordedBytes {
            folder: Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("tests/fixtures")
                .join(family),
            checked: BTreeSet::new(),
            writes: env::var_os("GRADEFORD_WRITE_FIXTURES").is_some(),
        }
    }

    /// Asserts that `encoded` is what was recorded under this name, and returns the recorded bytes
    /// for decoding.
    pub(crate) fn check(&mut self, name: &str, encoded: &[u8]) -> Vec<u8> {
        let file = format!("{name}.hex");
        let path = self.folder.join(&file);
        assert!(
            self.checked.insert(file),
            "two values under the name {name}"
        );
        if self.writes {
            fs::create_dir_all(&self.folder).expect("the folder of fixtures");
            fs::write(&path, to_hex(encoded)).expect("a fixture is written");
        }
        let recorded = fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("no recorded bytes in {}: {error}", path.display()));
        assert_eq!(
            to_hex(encoded),
            recorded,
            "{name} is encoded otherwise than it was recorded"
        );
        from_hex(&recorded)
    }

    /// Asserts that no recorded value was left out.
    pub(crate) fn finish(self) {
        let entries = fs::read_dir(&self.folder).expect("the folder of fixtures");
        for entry in entries {
            let file = entry
                .expect("an entry")
                .file_name()
                .into_string()
                .expect("a plain name");
            if self.writes && !self.checked.contains(&file) {
                fs::remove_file(self.folder.join(&file)).expect("a stale fixture is removed");
                continue;
            }
            assert!(
                self.checked.contains(&file),
                "{file} is recorded and no value is left for it"
            );
        }
    }
}

pub(crate) fn to_hex(bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let lines = digits.as_bytes().chunks(DIGITS_A_LINE);
    lines
        .map(|line| format!("{}\n", String::from_utf8_lossy(line)))
        .collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits"))
        .collect()
}
