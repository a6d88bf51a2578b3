//! Golden-file tests (`tests/golden/`) for the command line, the exit codes and the settings of the
//! core program, and for `deploy/system.toml`. `GRADEFORD_WRITE_GOLDEN=1` regenerates the files, see
//! `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;
#[path = "../../test-support/tests/golden_files/program.rs"]
mod program;

use golden_files::{Volatile, compare};
use program::{Program, Settings, run_transcript};
use std::fs;
use std::path::{Path, PathBuf};

const PROGRAM: Program = Program {
    name: "gradeford-core",
    path: env!("CARGO_BIN_EXE_gradeford-core"),
};

const REQUIRED: [(&str, &str); 8] = [
    ("name", "\"core\""),
    ("zone", "\"z\""),
    ("seat", "0"),
    ("seats", "1"),
    ("mates_address", "\"127.0.0.1:0\""),
    ("operators_address", "\"127.0.0.1:0\""),
    ("seeds", "[\"127.0.0.1:1\"]"),
    ("folder", "\"/nonexistent/gradeford\""),
];

fn required() -> Settings {
    Settings::new(&REQUIRED)
}

#[test]
fn help_and_version_output_is_unchanged() {
    compare("help.txt", &run_transcript(&PROGRAM, &["--help"]), &[]);
    compare(
        "version.txt",
        &run_transcript(&PROGRAM, &["--version"]),
        &[Volatile::Value(env!("CARGO_PKG_VERSION"), "version")],
    );
}

#[test]
fn invalid_flags_keep_their_message_and_exit_code() {
    let invalid: [&[&str]; 7] = [
        &[],
        &["--speed", "9"],
        &["more"],
        &["--config"],
        &["--config", "/nonexistent"],
        &["--name"],
        &["--check", "--name", "a", "--speed"],
    ];
    let transcript: String = invalid
        .iter()
        .map(|arguments| run_transcript(&PROGRAM, arguments))
        .collect();
    compare("wrong_flags.txt", &transcript, &[]);
}

#[test]
fn every_setting_is_required_or_has_a_default() {
    let mut transcript = required().check_transcript(&PROGRAM);
    for (name, _) in REQUIRED {
        transcript.push_str(&required().without_setting(name).check_transcript(&PROGRAM));
    }
    compare("needed_settings.txt", &transcript, &[]);
}

#[test]
fn invalid_values_keep_their_messages_and_valid_ones_are_accepted() {
    let values: [(&str, &[&str]); 16] = [
        (
            "name",
            &[
                "\"\"",
                "1",
                "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"",
            ],
        ),
        ("zone", &["\"\"", "1"]),
        ("seat", &["9", "8", "-1", "\"one\"", "65536"]),
        ("seats", &["0", "2", "3", "5", "7", "9", "11", "\"three\""]),
        ("mates_address", &["\"here\"", "\"localhost:1\"", "1"]),
        ("operators_address", &["\"here\"", "\"127.0.0.1\"", "1"]),
        ("advertised_address", &["\"here\"", "1"]),
        (
            "seeds",
            &["[]", "[\"a\"]", "\"127.0.0.1:1\"", "[1]", TEN_SEEDS],
        ),
        ("folder", &["1", "\"\""]),
        ("alpha", &["0", "1", "100000", "100001", "\"x\""]),
        ("tau_us", &["999", "1000", "1000000", "1000001", "\"x\""]),
        ("beta", &["99", "100", "125000", "125001", "\"x\""]),
        (
            "snapshot_every",
            &["9", "10", "1000000", "1000001", "\"x\""],
        ),
        (
            "replace_after_us",
            &[
                "0",
                "1",
                "499999",
                "500000",
                "3600000000",
                "3600000001",
                "\"x\"",
            ],
        ),
        (
            "log_level",
            &[
                "\"critical\"",
                "\"error\"",
                "\"warning\"",
                "\"info\"",
                "\"debug\"",
                "\"trace\"",
                "\"loud\"",
                "1",
            ],
        ),
        ("speed", &["1"]),
    ];
    let mut transcript = String::new();
    for (name, values) in values {
        for value in values {
            transcript.push_str(
                &required()
                    .with_setting(name, value)
                    .check_transcript(&PROGRAM),
            );
        }
    }
    // The order in which several faults are reported is not fixed.
    let several_faults = required()
        .with_setting("seats", "2")
        .with_setting("alpha", "0")
        .with_setting("mates_address", "\"here\"")
        .check_transcript(&PROGRAM);
    let mut lines: Vec<&str> = several_faults.lines().collect();
    lines.sort_unstable();
    transcript.push_str(&format!("{}\n", lines.join("\n")));
    compare("settings.txt", &transcript, &[]);
}

const TEN_SEEDS: &str = "[\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\"]";

#[test]
fn flags_override_the_file_and_are_parsed_as_before() {
    let check_with_flags =
        |arguments: &[&str]| required().check_transcript_with(&PROGRAM, arguments);
    let transcript = [
        check_with_flags(&["--seats", "4"]),
        check_with_flags(&["--name", "1", "--zone", "2"]),
        check_with_flags(&["--seeds", "127.0.0.1:1,127.0.0.1:2,"]),
        check_with_flags(&["--seeds", ""]),
        check_with_flags(&["--seat", "true"]),
        check_with_flags(&["--alpha", "many"]),
        check_with_flags(&["--replace-after-us", "1"]),
        check_with_flags(&["--replace_after_us", "1"]),
        check_with_flags(&["--log-level", "loud"]),
    ];
    compare("flags.txt", &transcript.concat(), &[]);
}

#[test]
fn invalid_toml_keeps_its_messages() {
    let transcript = [
        "name = ",
        "name\n",
        "name = \"a\"\nname = \"b\"",
        "[table]\nx = 1",
        "\u{0}",
    ]
    .map(|text| program::check_text_transcript(&PROGRAM, text, &[]));
    compare("wrong_files.txt", &transcript.concat(), &[]);
}

#[test]
fn failures_at_start_keep_their_exit_code() {
    let temp_dir = program::create_temp_dir("core-failed");
    let file = temp_dir.join("file");
    fs::write(&file, "").expect("the file can be written");
    // 192.0.2.1 is reserved for documentation, so binding to it fails on every machine.
    let foreign_address = "\"192.0.2.1:1\"";
    let disk_setting_in = |path: &Path| format!("{:?}", path.join("disk"));
    let cases = [
        required()
            .with_setting("mates_address", foreign_address)
            .with_setting("folder", &disk_setting_in(&temp_dir)),
        required()
            .with_setting("operators_address", foreign_address)
            .with_setting("folder", &disk_setting_in(&temp_dir)),
        required().with_setting("folder", &disk_setting_in(&file)),
    ];
    let transcript: String = cases
        .into_iter()
        .map(|settings| settings.start_transcript(&PROGRAM))
        .collect();
    fs::remove_dir_all(&temp_dir).expect("the directory can be removed");
    compare(
        "failed.txt",
        &transcript,
        &[Volatile::Value(&temp_dir.display().to_string(), "folder")],
    );
}

#[test]
fn defaults_are_unchanged() {
    let temp_dir = program::create_temp_dir("core-defaults");
    let settings = required().with_setting("folder", &format!("{:?}", temp_dir.join("disk")));
    // Each default with a neighbouring value. `log_level` is left out: it needs no restart, and the
    // test reads log lines of level `info`.
    let defaults = [
        ("alpha", "20", "21"),
        ("tau_us", "50000", "50001"),
        ("beta", "100000", "100001"),
        ("snapshot_every", "500", "501"),
        ("replace_after_us", "3000000", "3000001"),
    ];
    let transcript = program::defaults_report(&PROGRAM, &temp_dir, &settings, &defaults);
    fs::remove_dir_all(&temp_dir).expect("the directory can be removed");
    compare("defaults.txt", &transcript, &[]);
}

/// Formats a TOML value as one `path = value` line for each value that is not a table.
fn flatten(path: &str, value: &toml::Value) -> String {
    match value {
        toml::Value::Table(table) => table
            .iter()
            .map(|(key, value)| flatten(&format!("{path}.{key}"), value))
            .collect(),
        value => format!("{} = {value}\n", path.trim_start_matches('.')),
    }
}

#[test]
fn the_deployment_file_is_unchanged() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let text = fs::read_to_string(path).expect("deploy/system.toml");
    let table: toml::Table = text.parse().expect("valid TOML");
    compare("system.txt", &flatten("", &toml::Value::Table(table)), &[]);
}
