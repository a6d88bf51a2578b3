//! Golden files: what the product writes outwards, compared byte for byte.
//!
//! A file stands in `tests/golden/` of the crate whose test compares it. `GRADEFORD_WRITE_GOLDEN=1 cargo test -p CRATE`
//! writes the files in place of comparing them; the change of a golden file is then read and committed like code.
//! Any other crate takes this module by its path, so that it needs no dependency.

use std::path::Path;

/// A part of a text that differs from run to run.
#[allow(dead_code, reason = "a test file may need one of them only")]
pub(crate) enum Volatile<'a> {
    /// This very text, wherever it stands, becomes `<NAME>`: the value, then the name.
    Value(&'a str, &'a str),
    /// The JSON value of each field of this name becomes `<NAME>`, as in `"position":<position>`.
    Field(&'a str),
}

/// Compares `text` with the golden file `name`, after its volatile parts were replaced by placeholders.
pub(crate) fn compare(name: &str, text: &str, volatile: &[Volatile]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let found = with_placeholders(text, volatile);
    if std::env::var_os("GRADEFORD_WRITE_GOLDEN").is_some_and(|value| value == "1") {
        std::fs::create_dir_all(path.parent().expect("a folder"))
            .expect("the folder of golden files");
        std::fs::write(&path, &found).expect("a golden file");
        return;
    }
    let golden = std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert!(
        golden == found,
        "{} differs.\n--- golden\n{golden}\n--- found\n{found}",
        path.display()
    );
}

/// Replaces each volatile part, in the order given.
pub(crate) fn with_placeholders(text: &str, volatile: &[Volatile]) -> String {
    volatile
        .iter()
        .fold(text.to_string(), |text, part| match part {
            Volatile::Value(value, name) => text.replace(value, &format!("<{name}>")),
            Volatile::Field(field) => field_replaced(&text, field),
        })
}

fn field_replaced(text: &str, field: &str) -> String {
    let key = format!("\"{field}\":");
    let mut pieces = text.split(&key);
    let mut replaced = pieces.next().unwrap_or_default().to_string();
    for piece in pieces {
        replaced.push_str(&format!("{key}<{field}>{}", &piece[value_length(piece)..]));
    }
    replaced
}

/// The bytes of the JSON value at the beginning of `text`.
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
