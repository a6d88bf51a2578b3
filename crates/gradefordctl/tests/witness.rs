//! The operators' command line as golden files (`tests/golden/`): its pages, its exit codes, what it asks of a core and
//! what it makes of each answer. How the files are written anew stands at the head of
//! `crates/test-support/tests/golden_files/mod.rs`: `GRADEFORD_WRITE_GOLDEN=1`.

#[path = "../../test-support/tests/golden_files/mod.rs"]
mod golden_files;

use golden_files::{Volatile, compare, with_placeholders};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::thread;

/// Arguments, standard input, then exit code and both outputs.
fn told(words: &[&str], input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradefordctl"))
        .args(words)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    // A program that ends before it reads closes the pipe: that is its right.
    let _ = child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input.as_bytes());
    let output = child.wait_with_output().expect("it ends");
    let [out, err] =
        [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    format!(
        "$ gradefordctl {}\nexit code {:?}\n--- out\n{out}--- err\n{err}\n",
        words.join(" "),
        output.status.code()
    )
}

/// A stand-in core that gives the answers in turn, each to one request, and writes down what it was asked.
fn stand_in(answers: Vec<(u16, &'static str)>) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let serving = thread::spawn(move || {
        let mut asked = String::new();
        for (status, answer) in answers {
            let (stream, _) = listener.accept().expect("a connection");
            let mut reader = BufReader::new(stream);
            let mut line = String::new();
            reader.read_line(&mut line).expect("a request");
            write!(asked, "> {}", line.replace("\r\n", "\n")).expect("text");
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
                    writeln!(asked, "> {header}").expect("text");
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).expect("a body");
            writeln!(asked, "> {}", String::from_utf8(body).expect("text")).expect("text");
            let head = format!(
                "HTTP/1.1 {status} Any\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            reader
                .into_inner()
                .write_all(format!("{head}{answer}").as_bytes())
                .expect("an answer");
        }
        asked
    });
    (address, serving)
}

/// One call against a stand-in core, with what that core was asked.
fn conversation(words: &[&str], input: &str, answers: &[(u16, &'static str)]) -> String {
    let (address, serving) = stand_in(answers.to_vec());
    let told = told(&[&["--core", &address], words].concat(), input);
    let asked = serving.join().expect("the stand-in");
    format!("{told}--- asked\n{asked}\n").replace(&address, "<core>")
}

const ORDER: &str = r#"{"selector":{"from":["desk"],"service":"seat"},"wait_us":1000000}"#;

#[test]
fn the_help_page_and_the_version_stay() {
    compare("help.txt", &told(&["--help"], ""), &[]);
    compare(
        "version.txt",
        &told(&["--version"], ""),
        &[Volatile::Value(env!("CARGO_PKG_VERSION"), "version")],
    );
}

#[test]
fn wrong_usage_keeps_its_words_and_exit_code() {
    let core = ["--core", "127.0.0.1:1"];
    let wrong: [&[&str]; 16] = [
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
    let mut all = told(&["get"], "");
    for words in wrong {
        all.push_str(&told(&[&core, words].concat(), ""));
    }
    all.push_str(&told(&["--core", "127.0.0.1:1", "apply", "-"], "[]"));
    all.push_str(&told(&["--core", "127.0.0.1:1", "apply", "-"], "not JSON"));
    compare("wrong_usage.txt", &all, &[]);
}

#[test]
fn each_command_keeps_what_it_asks_of_a_core() {
    let desired = (200, r#"{"version":7,"groupings":{},"orders":{}}"#);
    let accepted = (200, r#"{"accepted":{"position":9,"version":8}}"#);
    let status = (
        200,
        r#"{"holders":{"0":"00000000000000aa","1":"00000000000000bb"}}"#,
    );
    let site = r#"{"edits":[{"drop_order":{"name":"a"}}]}"#;
    let whole = r#"{"id":"own","base":3,"edits":[]}"#;
    let all = [
        conversation(&["get"], "", &[desired]),
        conversation(&["get", "grouping", "a"], "", &[desired]),
        conversation(&["get", "order", "a"], "", &[desired]),
        conversation(&["standing"], "", &[(200, r#"{"position":1}"#)]),
        conversation(&["status"], "", &[status]),
        with_placeholders(
            &conversation(&["apply", "-"], site, &[desired, accepted]),
            &[Volatile::Field("id")],
        ),
        conversation(&["apply", "-"], whole, &[accepted]),
        conversation(
            &["apply", "-", "--id", "given", "--base", "5"],
            whole,
            &[accepted],
        ),
        conversation(
            &["edit", "order", "a", "-", "--id", "given"],
            ORDER,
            &[desired, accepted],
        ),
        conversation(
            &["edit", "grouping", "a", "-", "--id", "given", "--base", "5"],
            r#"{"service":"seat","zone":"z"}"#,
            &[accepted],
        ),
        conversation(
            &["delete", "order", "a", "--id", "given", "--base", "5"],
            "",
            &[accepted],
        ),
        conversation(
            &["delete", "grouping", "a", "--id", "given", "--base", "5"],
            "",
            &[accepted],
        ),
        conversation(
            &["replace-seat", "1", "00000000000000cc"],
            "",
            &[status, accepted],
        ),
    ];
    compare("commands.txt", &all.concat(), &[]);
}

#[test]
fn each_kind_of_answer_keeps_its_exit_code() {
    let get = ["get", "order", "a"];
    let change = ["delete", "order", "a", "--id", "given", "--base", "5"];
    let all = [
        conversation(&get, "", &[(404, r#"{"cause":"not_found","name":"a"}"#)]),
        conversation(
            &get,
            "",
            &[(503, r#"{"cause":"no_majority","detail":"none"}"#)],
        ),
        conversation(&change, "", &[(200, r#"{"unchanged":{"position":9}}"#)]),
        conversation(
            &change,
            "",
            &[(409, r#"{"verdict":"not-run","cause":"id_reused"}"#)],
        ),
        conversation(
            &change,
            "",
            &[(412, r#"{"verdict":"not-run","cause":"stale","version":8}"#)],
        ),
        conversation(
            &change,
            "",
            &[(
                422,
                r#"{"verdict":"not-run","cause":"invalid","faults":[]}"#,
            )],
        ),
        conversation(
            &change,
            "",
            &[(503, r#"{"verdict":"not-run","cause":"no_majority"}"#)],
        ),
        conversation(
            &change,
            "",
            &[(503, r#"{"verdict":"may-have-run","cause":"no_answer"}"#)],
        ),
        conversation(&change, "", &[(500, "no JSON")]),
        conversation(
            &["apply", "-"],
            r#"{"edits":[]}"#,
            &[(503, r#"{"cause":"no_majority"}"#)],
        ),
        conversation(&["replace-seat", "1", "00"], "", &[(503, "null")]),
    ];
    compare("answers.txt", &all.concat(), &[]);
}

#[test]
fn the_next_core_is_asked_after_one_that_has_no_majority() {
    let (first, one) = stand_in(vec![(503, "{}")]);
    let (second, two) = stand_in(vec![(200, r#"{"version":7}"#)]);
    let told = told(&["--core", &format!("{first},{second}"), "get"], "");
    let asked = [one, two]
        .map(|serving| serving.join().expect("the stand-in"))
        .concat();
    compare(
        "next_core.txt",
        &format!("{told}{asked}"),
        &[
            Volatile::Value(&first, "first"),
            Volatile::Value(&second, "second"),
        ],
    );
}

#[test]
fn a_core_that_cannot_be_reached_keeps_its_exit_code() {
    // Nobody listens on port 1 of the loopback.
    let out = |words: &[&str]| {
        told(words, "")
            .lines()
            .filter(|line| !line.contains("127.0.0.1:1: "))
            .collect::<Vec<_>>()
            .join("\n")
    };
    let get = out(&["--core", "127.0.0.1:1", "get"]);
    let compared = out(&["compare", "127.0.0.1:1", "127.0.0.1:1"]);
    compare("unreachable.txt", &format!("{get}\n{compared}\n"), &[]);
}
