//! Golden-file tests (`tests/golden/`) for the operators' command line: its outputs, its exit codes, its
//! requests to a core and how it handles each answer. `GRADEFORD_WRITE_GOLDEN=1` regenerates the
//! files, see `crates/test-support/tests/golden_files/mod.rs`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use golden_files::{Volatile, compare, with_placeholders};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;

/// Runs the program with standard input and returns the arguments, the exit code and both outputs.
fn run_program(arguments: &[&str], input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradefordctl"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program can be started");
    // Writing fails if the program ends without reading its input, which is allowed.
    let _ = child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input.as_bytes());
    let process_output = child.wait_with_output().expect("the program ends");
    let [stdout, stderr] = [process_output.stdout, process_output.stderr]
        .map(|bytes| String::from_utf8(bytes).expect("valid UTF-8"));
    format!(
        "$ gradefordctl {}\nexit code {:?}\n--- out\n{stdout}--- err\n{stderr}\n",
        arguments.join(" "),
        process_output.status.code()
    )
}

/// Starts a stub core that gives one of the answers to each request in turn. The thread returns the
/// requests that it received.
fn start_stub_core(answers: Vec<(u16, &'static str)>) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let stub = thread::spawn(move || {
        let mut requests = String::new();
        for (status, answer) in answers {
            let (stream, _) = listener.accept().expect("a connection");
            let mut reader = BufReader::new(stream);
            let mut line = String::new();
            reader.read_line(&mut line).expect("a request");
            write!(requests, "> {}", line.replace("\r\n", "\n")).expect("text");
            let mut length = 0;
            loop {
                line.clear();
                reader.read_line(&mut line).expect("a header");
                let header = line.trim().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().expect("a length");
                }
                if header.starts_with("content-type:")
                    || header.starts_with("x-")
                    || header.starts_with("if-match")
                {
                    writeln!(requests, "> {header}").expect("text");
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).expect("a body");
            writeln!(requests, "> {}", String::from_utf8(body).expect("text")).expect("text");
            let head = format!(
                "HTTP/1.1 {status} Any\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            reader
                .into_inner()
                .write_all(format!("{head}{answer}").as_bytes())
                .expect("an answer");
        }
        requests
    });
    (address, stub)
}

/// Runs the program against a stub core and returns its output and the requests that the core
/// received.
fn run_against_stub(arguments: &[&str], input: &str, answers: &[(u16, &'static str)]) -> String {
    let (address, stub) = start_stub_core(answers.to_vec());
    let output = run_program(&[&["--core", &address], arguments].concat(), input);
    let requests = stub.join().expect("the stub core ends");
    format!("{output}--- asked\n{requests}\n").replace(&address, "<core>")
}

const ORDER: &str = r#"{"selector":{"from":["desk"],"service":"seat"},"wait_us":1000000}"#;

#[test]
fn help_and_version_output_is_unchanged() {
    compare("help.txt", &run_program(&["--help"], ""), &[]);
    compare(
        "version.txt",
        &run_program(&["--version"], ""),
        &[Volatile::Value(env!("CARGO_PKG_VERSION"), "version")],
    );
}

#[test]
fn usage_errors_keep_their_message_and_exit_code() {
    let core = ["--core", "127.0.0.1:1"];
    let invalid: [&[&str]; 16] = [
        &[],
        &["dance"],
        &["get", "order"],
        &["get", "lane", "x"],
        &["get", "order", "Bad Name"],
        &["standing", "more"],
        &["status", "more"],
        &["compare", "127.0.0.1:1"],
        &["apply"],
        &["apply", "/nonexistent"],
        &["edit", "order", "a"],
        &["edit", "speed", "a", "-"],
        &["delete", "order"],
        &["replace-seat", "one", "00"],
        &["get", "--speed"],
        &["get", "--base", "x"],
    ];
    let mut transcript = run_program(&["get"], "");
    for arguments in invalid {
        transcript.push_str(&run_program(&[&core, arguments].concat(), ""));
    }
    transcript.push_str(&run_program(&["--core", "127.0.0.1:1", "apply", "-"], "[]"));
    transcript.push_str(&run_program(
        &["--core", "127.0.0.1:1", "apply", "-"],
        "not JSON",
    ));
    compare("wrong_usage.txt", &transcript, &[]);
}

#[test]
fn commands_send_the_same_requests_as_before() {
    let desired = (200, r#"{"version":7,"groupings":{},"orders":{}}"#);
    let accepted = (200, r#"{"accepted":{"position":9,"version":8}}"#);
    let status = (
        200,
        r#"{"holders":{"0":"00000000000000aa","1":"00000000000000bb"}}"#,
    );
    let change = r#"{"edits":[{"drop_order":{"name":"a"}}]}"#;
    let complete_change = r#"{"id":"own","base":3,"edits":[]}"#;
    let transcript = [
        run_against_stub(&["get"], "", &[desired]),
        run_against_stub(&["get", "grouping", "a"], "", &[desired]),
        run_against_stub(&["get", "order", "a"], "", &[desired]),
        run_against_stub(&["standing"], "", &[(200, r#"{"position":1}"#)]),
        run_against_stub(&["status"], "", &[status]),
        with_placeholders(
            &run_against_stub(&["apply", "-"], change, &[desired, accepted]),
            &[Volatile::Field("id")],
        ),
        run_against_stub(&["apply", "-"], complete_change, &[accepted]),
        run_against_stub(
            &["apply", "-", "--id", "given", "--base", "5"],
            complete_change,
            &[accepted],
        ),
        run_against_stub(
            &["edit", "order", "a", "-", "--id", "given"],
            ORDER,
            &[desired, accepted],
        ),
        run_against_stub(
            &["edit", "grouping", "a", "-", "--id", "given", "--base", "5"],
            r#"{"service":"seat","zone":"z"}"#,
            &[accepted],
        ),
        run_against_stub(
            &["delete", "order", "a", "--id", "given", "--base", "5"],
            "",
            &[accepted],
        ),
        run_against_stub(
            &["delete", "grouping", "a", "--id", "given", "--base", "5"],
            "",
            &[accepted],
        ),
        run_against_stub(
            &["replace-seat", "1", "00000000000000cc"],
            "",
            &[status, accepted],
        ),
    ];
    compare("commands.txt", &transcript.concat(), &[]);
}

#[test]
fn every_kind_of_answer_keeps_its_exit_code() {
    let get = ["get", "order", "a"];
    let change = ["delete", "order", "a", "--id", "given", "--base", "5"];
    let transcript = [
        run_against_stub(&get, "", &[(404, r#"{"cause":"not_found","name":"a"}"#)]),
        run_against_stub(
            &get,
            "",
            &[(503, r#"{"cause":"no_majority","detail":"none"}"#)],
        ),
        run_against_stub(&change, "", &[(200, r#"{"unchanged":{"position":9}}"#)]),
        run_against_stub(
            &change,
            "",
            &[(409, r#"{"verdict":"not-run","cause":"id_reused"}"#)],
        ),
        run_against_stub(
            &change,
            "",
            &[(412, r#"{"verdict":"not-run","cause":"stale","version":8}"#)],
        ),
        run_against_stub(
            &change,
            "",
            &[(
                422,
                r#"{"verdict":"not-run","cause":"invalid","faults":[]}"#,
            )],
        ),
        run_against_stub(
            &change,
            "",
            &[(503, r#"{"verdict":"not-run","cause":"no_majority"}"#)],
        ),
        run_against_stub(
            &change,
            "",
            &[(503, r#"{"verdict":"may-have-run","cause":"no_answer"}"#)],
        ),
        run_against_stub(&change, "", &[(500, "no JSON")]),
        run_against_stub(
            &["apply", "-"],
            r#"{"edits":[]}"#,
            &[(503, r#"{"cause":"no_majority"}"#)],
        ),
        run_against_stub(&["replace-seat", "1", "00"], "", &[(503, "null")]),
    ];
    compare("answers.txt", &transcript.concat(), &[]);
}

#[test]
fn the_next_core_is_tried_after_one_without_a_majority() {
    let (first_address, first_stub) = start_stub_core(vec![(503, "{}")]);
    let (second_address, second_stub) = start_stub_core(vec![(200, r#"{"version":7}"#)]);
    let output = run_program(
        &[
            "--core",
            &format!("{first_address},{second_address}"),
            "get",
        ],
        "",
    );
    let requests = [first_stub, second_stub]
        .map(|stub| stub.join().expect("the stub core ends"))
        .concat();
    compare(
        "next_core.txt",
        &format!("{output}{requests}"),
        &[
            Volatile::Value(&first_address, "first"),
            Volatile::Value(&second_address, "second"),
        ],
    );
}

#[test]
fn an_unreachable_core_keeps_its_exit_code() {
    // No process listens on port 1 of the loopback address.
    // Omits the line that holds the text of the connection error.
    let output_without_error_text = |arguments: &[&str]| {
        run_program(arguments, "")
            .lines()
            .filter(|line| !line.contains("127.0.0.1:1: "))
            .collect::<Vec<_>>()
            .join("\n")
    };
    let get_output = output_without_error_text(&["--core", "127.0.0.1:1", "get"]);
    let compare_output = output_without_error_text(&["compare", "127.0.0.1:1", "127.0.0.1:1"]);
    compare(
        "unreachable.txt",
        &format!("{get_output}\n{compare_output}\n"),
        &[],
    );
}
