//! Golden-file tests (`tests/golden/`) for the command line, the exit codes and the settings of the
//! node program. `GRADEFORD_WRITE_GOLDEN=1` regenerates the files, see
//! `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;
#[path = "../../test-support/tests/golden_files/program.rs"]
mod program;

use golden_files::{Volatile, compare};
use program::{Program, Settings, run_transcript};
use std::fs;

const PROGRAM: Program = Program {
    name: "gradeford-node",
    path: env!("CARGO_BIN_EXE_gradeford-node"),
};

const REQUIRED: [(&str, &str); 5] = [
    ("name", "\"node\""),
    ("zone", "\"z\""),
    ("mates_address", "\"127.0.0.1:0\""),
    ("local_address", "\"127.0.0.1:0\""),
    ("seeds", "[\"127.0.0.1:1\"]"),
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
    let values: [(&str, &[&str]); 18] = [
        (
            "name",
            &[
                "\"\"",
                "1",
                "\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\"",
            ],
        ),
        ("zone", &["\"\"", "1"]),
        ("mates_address", &["\"here\"", "\"localhost:1\"", "1"]),
        ("local_address", &["\"here\"", "\"127.0.0.1\"", "1"]),
        ("advertised_address", &["\"here\"", "1"]),
        (
            "seeds",
            &["[]", "[\"a\"]", "\"127.0.0.1:1\"", "[1]", TEN_SEEDS],
        ),
        (
            "beat_every_us",
            &["49999", "50000", "1000000", "1000001", "\"x\""],
        ),
        (
            "beat_patience_us",
            &["199999", "200000", "2000000", "2000001", "\"x\""],
        ),
        (
            "freshness_us",
            &["299999", "300000", "1500000", "1500001", "\"x\""],
        ),
        (
            "ask_every_us",
            &["49999", "50000", "500000", "500001", "\"x\""],
        ),
        (
            "guard_us",
            &["49999", "50000", "5000000", "5000001", "\"x\""],
        ),
        ("extra_allowance", &["-1", "0", "10", "11", "\"x\""]),
        (
            "stop_patience_us",
            &["99999", "100000", "120000000", "120000001", "\"x\""],
        ),
        (
            "watch_every_us",
            &["49999", "50000", "1000000", "1000001", "\"x\""],
        ),
        (
            "watch_patience_us",
            &["199999", "200000", "5000000", "5000001", "\"x\""],
        ),
        ("homes", &["true", "false", "1", "\"x\""]),
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
        .with_setting("beat_every_us", "2")
        .with_setting("guard_us", "0")
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
        check_with_flags(&["--beat-every-us", "4"]),
        check_with_flags(&["--name", "1", "--zone", "2"]),
        check_with_flags(&["--seeds", "127.0.0.1:1,127.0.0.1:2,"]),
        check_with_flags(&["--seeds", ""]),
        check_with_flags(&["--homes", "false"]),
        check_with_flags(&["--homes", "no"]),
        check_with_flags(&["--guard-us", "many"]),
        check_with_flags(&["--guard_us", "50000"]),
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
    // 192.0.2.1 is reserved for documentation, so binding to it fails on every machine.
    let foreign_address = "\"192.0.2.1:1\"";
    let transcript: String = ["mates_address", "local_address"]
        .map(|name| {
            required()
                .with_setting(name, foreign_address)
                .start_transcript(&PROGRAM)
        })
        .concat();
    compare("failed.txt", &transcript, &[]);
}

#[test]
fn defaults_are_unchanged() {
    let temp_dir = program::create_temp_dir("node-defaults");
    // Each default with a neighbouring value. `log_level` is left out: it needs no restart, and the
    // test reads log lines of level `info`.
    let defaults = [
        ("beat_every_us", "300000", "299999"),
        ("beat_patience_us", "1200000", "1199999"),
        ("freshness_us", "1500000", "1499999"),
        ("ask_every_us", "250000", "249999"),
        ("guard_us", "250000", "249999"),
        ("extra_allowance", "1", "0"),
        ("stop_patience_us", "61000000", "60999999"),
        ("watch_every_us", "200000", "199999"),
        ("watch_patience_us", "1000000", "999999"),
        ("homes", "true", "false"),
    ];
    let transcript = program::defaults_report(&PROGRAM, &temp_dir, &required(), &defaults);
    fs::remove_dir_all(&temp_dir).expect("the directory can be removed");
    compare("defaults.txt", &transcript, &[]);
}
