//! The core's program as golden files (`tests/golden/`): its pages, exit codes, settings and their defaults, and
//! `deploy/system.toml`. How the files are written anew stands at the head of
//! `crates/test-support/tests/golden_files/mod.rs`: `GRADEFORD_WRITE_GOLDEN=1`.

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
fn the_help_page_and_the_version_stay() {
    compare("help.txt", &run_transcript(&PROGRAM, &["--help"]), &[]);
    compare(
        "version.txt",
        &run_transcript(&PROGRAM, &["--version"]),
        &[Volatile::Value(env!("CARGO_PKG_VERSION"), "version")],
    );
}

#[test]
fn wrong_flags_keep_their_words_and_exit_code() {
    let wrong: [&[&str]; 7] = [
        &[],
        &["--speed", "9"],
        &["more"],
        &["--config"],
        &["--config", "/nonexistent"],
        &["--name"],
        &["--check", "--name", "a", "--speed"],
    ];
    let all: String = wrong
        .iter()
        .map(|words| run_transcript(&PROGRAM, words))
        .collect();
    compare("wrong_flags.txt", &all, &[]);
}

#[test]
fn every_setting_is_needed_or_has_a_default() {
    let mut all = required().check_transcript(&PROGRAM);
    for (name, _) in REQUIRED {
        all.push_str(&required().without(name).check_transcript(&PROGRAM));
    }
    compare("needed_settings.txt", &all, &[]);
}

#[test]
fn wrong_values_keep_their_words_and_right_ones_are_taken() {
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
    let mut all = String::new();
    for (name, values) in values {
        for value in values {
            all.push_str(&required().with(name, value).check_transcript(&PROGRAM));
        }
    }
    // Several faults are told in any order.
    let several = required()
        .with("seats", "2")
        .with("alpha", "0")
        .with("mates_address", "\"here\"")
        .check_transcript(&PROGRAM);
    let mut lines: Vec<&str> = several.lines().collect();
    lines.sort_unstable();
    all.push_str(&format!("{}\n", lines.join("\n")));
    compare("settings.txt", &all, &[]);
}

const TEN_SEEDS: &str = "[\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\",\"127.0.0.1:1\"]";

#[test]
fn a_flag_goes_before_the_file_and_keeps_its_reading() {
    let with = |words: &[&str]| required().check_transcript_with(&PROGRAM, words);
    let all = [
        with(&["--seats", "4"]),
        with(&["--name", "1", "--zone", "2"]),
        with(&["--seeds", "127.0.0.1:1,127.0.0.1:2,"]),
        with(&["--seeds", ""]),
        with(&["--seat", "true"]),
        with(&["--alpha", "many"]),
        with(&["--replace-after-us", "1"]),
        with(&["--replace_after_us", "1"]),
        with(&["--log-level", "loud"]),
    ];
    compare("flags.txt", &all.concat(), &[]);
}

#[test]
fn a_file_that_is_no_toml_keeps_its_words() {
    let all = [
        "name = ",
        "name\n",
        "name = \"a\"\nname = \"b\"",
        "[table]\nx = 1",
        "\u{0}",
    ]
    .map(|text| program::check_text_transcript(&PROGRAM, text, &[]));
    compare("wrong_files.txt", &all.concat(), &[]);
}

#[test]
fn what_cannot_start_keeps_its_exit_code() {
    let folder = program::create_test_folder("core-failed");
    let file = folder.join("file");
    fs::write(&file, "").expect("a file");
    // 192.0.2.1 is kept for documents: no machine has it.
    let foreign = "\"192.0.2.1:1\"";
    let inside = |path: &Path| format!("{:?}", path.join("disk"));
    let cases = [
        required()
            .with("mates_address", foreign)
            .with("folder", &inside(&folder)),
        required()
            .with("operators_address", foreign)
            .with("folder", &inside(&folder)),
        required().with("folder", &inside(&file)),
    ];
    let all: String = cases
        .into_iter()
        .map(|settings| settings.start_transcript(&PROGRAM))
        .collect();
    fs::remove_dir_all(&folder).expect("clean");
    compare(
        "failed.txt",
        &all,
        &[Volatile::Value(&folder.display().to_string(), "folder")],
    );
}

#[test]
fn every_default_stays() {
    let folder = program::create_test_folder("core-defaults");
    let settings = required().with("folder", &format!("{:?}", folder.join("disk")));
    // Each default, and a value beside it. A log level is taken up without a restart: `info` shows the lines read here.
    let defaults = [
        ("alpha", "20", "21"),
        ("tau_us", "50000", "50001"),
        ("beta", "100000", "100001"),
        ("snapshot_every", "500", "501"),
        ("replace_after_us", "3000000", "3000001"),
    ];
    let all = program::defaults_report(&PROGRAM, &folder, &settings, &defaults);
    fs::remove_dir_all(&folder).expect("clean");
    compare("defaults.txt", &all, &[]);
}

/// One line a value, by its path.
fn flattened(path: &str, value: &toml::Value) -> String {
    match value {
        toml::Value::Table(table) => table
            .iter()
            .map(|(key, value)| flattened(&format!("{path}.{key}"), value))
            .collect(),
        value => format!("{} = {value}\n", path.trim_start_matches('.')),
    }
}

#[test]
fn the_deployment_file_keeps_its_roles_and_commands() {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let text = fs::read_to_string(path).expect("deploy/system.toml");
    let table: toml::Table = text.parse().expect("TOML");
    compare(
        "system.txt",
        &flattened("", &toml::Value::Table(table)),
        &[],
    );
}
