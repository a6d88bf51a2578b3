//! Golden files: expected external output of the programs, compared byte for byte.
//!
//! A golden file is in `tests/golden/` of the crate whose test compares it. `GRADEFORD_WRITE_GOLDEN=1 cargo test -p
//! CRATE` writes the files instead of comparing them; review and commit a changed golden file like code.
//! Other crates include this module with `#[path]`, so that they need no dependency on this crate.

use std::path::Path;

/// A part of an output that differs from run to run and is replaced by a placeholder.
#[allow(dead_code, reason = "a test file may use only one of the variants")]
pub(crate) enum Volatile<'a> {
    /// Replaces every occurrence of a text by `<NAME>`: the text, then the name.
    Value(&'a str, &'a str),
    /// Replaces the JSON value of every field of this name by `<NAME>`, as in `"position":<position>`.
    Field(&'a str),
}

/// Compares `text` with the golden file `name`, after replacing the volatile parts by placeholders.
pub(crate) fn compare(name: &str, text: &str, volatile: &[Volatile]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let actual = with_placeholders(text, volatile);
    if std::env::var_os("GRADEFORD_WRITE_GOLDEN").is_some_and(|value| value == "1") {
        std::fs::create_dir_all(path.parent().expect("the path has a parent folder"))
            .expect("the folder of golden files can be created");
        std::fs::write(&path, &actual).expect("the golden file can be written");
        return;
    }
    let golden = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert!(
        golden == actual,
        "{} differs.\n--- golden\n{golden}\n--- actual\n{actual}",
        path.display()
    );
}

/// Replaces the volatile parts by placeholders, in the given order.
pub(crate) fn with_placeholders(text: &str, volatile: &[Volatile]) -> String {
    volatile
        .iter()
        .fold(text.to_string(), |text, part| match part {
            Volatile::Value(value, name) => text.replace(value, &format!("<{name}>")),
            Volatile::Field(field) => replace_field(&text, field),
        })
}

fn replace_field(text: &str, field: &str) -> String {
    let key = format!("\"{field}\":");
    let mut pieces = text.split(&key);
    let mut replaced = pieces.next().unwrap_or_default().to_string();
    for piece in pieces {
        replaced.push_str(&format!("{key}<{field}>{}", &piece[value_length(piece)..]));
    }
    replaced
}

/// Returns the length of the JSON value at the beginning of `text`, in bytes.
fn value_length(text: &str) -> usize {
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' | b'\n' if depth == 0 => return index,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
    }
    text.len()
}
