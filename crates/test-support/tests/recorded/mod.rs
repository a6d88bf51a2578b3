//! Compares the bytes that this build encodes with bytes recorded by an earlier build.
//!
//! Included with `#[path]` by the encoding tests of several crates. The recorded bytes are below
//! `tests/fixtures` of the including crate, as one file of hexadecimal digits for each variant.
//!
//! After an intended change of a format, `GRADEFORD_WRITE_FIXTURES=1 cargo test -p <crate> --test <file>`
//! writes the files instead of comparing them. Commit the changed files together with the change of the
//! format and its reason.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::path::{Path, PathBuf};

/// Hexadecimal digits in each line of a fixture.
const DIGITS_PER_LINE: usize = 64;

/// The recorded bytes of one family of values, such as all frames.
pub(crate) struct RecordedBytes {
    folder: PathBuf,
    /// Names of the files that were compared.
    checked: BTreeSet<String>,
    /// Whether the files are written before they are compared.
    write_mode: bool,
}

impl RecordedBytes {
    pub(crate) fn for_family(family: &str) -> RecordedBytes {
        RecordedBytes {
            folder: Path::new(env!("CARGO_MANIFEST_DIR"))
                .join("tests/fixtures")
                .join(family),
            checked: BTreeSet::new(),
            write_mode: env::var_os("GRADEFORD_WRITE_FIXTURES").is_some(),
        }
    }

    /// Asserts that `encoded` equals the bytes recorded under this name, and returns the recorded bytes
    /// for decoding.
    pub(crate) fn check(&mut self, name: &str, encoded: &[u8]) -> Vec<u8> {
        let file = format!("{name}.hex");
        let path = self.folder.join(&file);
        assert!(
            self.checked.insert(file),
            "two values are checked under the name {name}"
        );
        if self.write_mode {
            fs::create_dir_all(&self.folder).expect("the folder of fixtures can be created");
            fs::write(&path, to_hex(encoded)).expect("the fixture can be written");
        }
        let recorded = fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("no recorded bytes in {}: {error}", path.display()));
        assert_eq!(
            to_hex(encoded),
            recorded,
            "{name} is not encoded to the recorded bytes"
        );
        from_hex(&recorded)
    }

    /// Asserts that every recorded file was compared; while writing, removes the files that were not.
    pub(crate) fn finish(self) {
        let entries = fs::read_dir(&self.folder).expect("the folder of fixtures can be read");
        for entry in entries {
            let file = entry
                .expect("the folder entry can be read")
                .file_name()
                .into_string()
                .expect("the file name is UTF-8");
            if self.write_mode && !self.checked.contains(&file) {
                fs::remove_file(self.folder.join(&file)).expect("the stale fixture can be removed");
                continue;
            }
            assert!(
                self.checked.contains(&file),
                "{file} is recorded but no value was checked against it"
            );
        }
    }
}

pub(crate) fn to_hex(bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let lines = digits.as_bytes().chunks(DIGITS_PER_LINE);
    lines
        .map(|line| format!("{}\n", String::from_utf8_lossy(line)))
        .collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|index| {
            u8::from_str_radix(&digits[index..index + 2], 16).expect("two hexadecimal digits")
        })
        .collect()
}
