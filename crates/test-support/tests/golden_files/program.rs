//! Runs a daemon's program for golden files: its outputs for flags and settings files, and the default values of its
//! settings.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use std::{env, fs, process, thread};

/// Maximum time to wait for the next line of a daemon's log.
const LOG_LINE_TIMEOUT: Duration = Duration::from_secs(60);

/// The program under test: its name in transcripts and the path of its executable.
pub(crate) struct Program {
    pub name: &'static str,
    pub path: &'static str,
}

/// Creates an empty temporary directory that no other test uses.
pub(crate) fn create_temp_dir(name: &str) -> PathBuf {
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    let temp_dir = env::temp_dir().join(format!(
        "gradeford-golden-{name}-{}-{number}",
        process::id()
    ));
    fs::create_dir_all(&temp_dir).expect("the temporary directory can be created");
    temp_dir
}

/// Runs the program and returns its arguments, its exit code and both outputs as text. Log lines, which are JSON, are
/// left out.
pub(crate) fn run_transcript(program: &Program, arguments: &[&str]) -> String {
    let output = Command::new(program.path)
        .args(arguments)
        .output()
        .expect("the program can be run");
    let [stdout, stderr] = [output.stdout, output.stderr]
        .map(|bytes| String::from_utf8(bytes).expect("the output is UTF-8"));
    let stderr: String = stderr
        .lines()
        .filter(|line| !line.starts_with('{'))
        .map(|line| format!("{line}\n"))
        .collect();
    format!(
        "$ {} {}\nexit code {:?}\n--- out\n{stdout}--- err\n{stderr}\n",
        program.name,
        arguments.join(" "),
        output.status.code()
    )
}

/// The content of a settings file, with one line for each setting.
#[derive(Clone)]
pub(crate) struct Settings {
    lines: Vec<(String, String)>,
    /// The settings that were set or removed since `new`, one line each; transcripts begin with them.
    changes: String,
}

impl Settings {
    pub(crate) fn new(lines: &[(&str, &str)]) -> Settings {
        let lines = lines
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        Settings {
            lines,
            changes: String::new(),
        }
    }

    /// Adds a setting or replaces its value.
    pub(crate) fn with_setting(mut self, name: &str, value: &str) -> Settings {
        self.lines.retain(|(existing, _)| existing != name);
        self.lines.push((name.to_string(), value.to_string()));
        self.changes.push_str(&format!("{name} = {value}\n"));
        self
    }

    pub(crate) fn without_setting(mut self, name: &str) -> Settings {
        self.lines.retain(|(existing, _)| existing != name);
        self.changes.push_str(&format!("no {name}\n"));
        self
    }

    fn to_toml(&self) -> String {
        self.lines
            .iter()
            .map(|(name, value)| format!("{name} = {value}\n"))
            .collect()
    }

    /// Returns the transcript of `--check` with these settings.
    pub(crate) fn check_transcript(&self, program: &Program) -> String {
        self.check_transcript_with(program, &[])
    }

    /// Returns the transcript of `--check` with these settings and further arguments.
    pub(crate) fn check_transcript_with(&self, program: &Program, arguments: &[&str]) -> String {
        format!(
            "{}{}",
            self.changes,
            check_text_transcript(program, &self.to_toml(), arguments)
        )
    }

    /// Returns the transcript of a program that fails to start with these settings.
    pub(crate) fn start_transcript(&self, program: &Program) -> String {
        format!(
            "{}{}",
            self.changes,
            transcript_with_file(program, &self.to_toml(), &[])
        )
    }
}

/// Returns the transcript of `--check` with a settings file of this content and further arguments.
pub(crate) fn check_text_transcript(program: &Program, text: &str, arguments: &[&str]) -> String {
    transcript_with_file(program, text, &[&["--check"], arguments].concat())
}

fn transcript_with_file(program: &Program, text: &str, arguments: &[&str]) -> String {
    let temp_dir = create_temp_dir("settings");
    let file = temp_dir.join("settings.toml").display().to_string();
    fs::write(&file, text).expect("the settings file can be written");
    let transcript = run_transcript(program, &[&["--config", &file], arguments].concat())
        .replace(&file, "<file>");
    fs::remove_dir_all(temp_dir).expect("the temporary directory can be removed");
    transcript
}

/// Checks the expected defaults of settings. The daemon runs without them; for each one, the report says whether a
/// reload that sets the expected default needs a restart, and whether one that sets another value does. `expected`
/// holds the name, the default and another value of each setting.
pub(crate) fn defaults_report(
    program: &Program,
    temp_dir: &Path,
    settings: &Settings,
    expected: &[(&str, &str, &str)],
) -> String {
    let file = temp_dir.join("settings.toml");
    let daemon = Daemon::start(program, &file, settings);
    let mut report = String::new();
    for (name, default, other) in expected {
        for value in [default, other] {
            let needs_restart = daemon.reload(&settings.clone().with_setting(name, value));
            report.push_str(&format!(
                "{name} = {value}: {}\n",
                if needs_restart {
                    "needs a restart"
                } else {
                    "as it was"
                }
            ));
            assert!(
                !daemon.reload(settings),
                "{name}: a reload with the first settings needs no restart"
            );
        }
    }
    let exit_code = daemon.stop();
    format!("{report}exit code after SIGTERM {exit_code:?}\n")
}

/// A running daemon that is killed on drop.
struct Daemon {
    child: Child,
    log_lines: Receiver<String>,
    settings_file: PathBuf,
}

impl Daemon {
    fn start(program: &Program, file: &Path, settings: &Settings) -> Daemon {
        fs::write(file, settings.to_toml()).expect("the settings file can be written");
        let mut child = Command::new(program.path)
            .arg("--config")
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon can be started");
        let log = BufReader::new(child.stderr.take().expect("standard error is a pipe")).lines();
        let (sender, log_lines) = channel();
        // Reads the pipe to its end even after the receiver is dropped, so that the daemon never blocks on a full pipe.
        thread::spawn(move || {
            log.map_while(Result::ok)
                .for_each(|line| drop(sender.send(line)))
        });
        let daemon = Daemon {
            child,
            log_lines,
            settings_file: file.to_path_buf(),
        };
        daemon.wait_for_log_line("\"listening\"");
        daemon
    }

    /// Returns the next line of the log that contains `text`; panics if the daemon ends or the timeout passes first.
    fn wait_for_log_line(&self, text: &str) -> String {
        loop {
            let line = self
                .log_lines
                .recv_timeout(LOG_LINE_TIMEOUT)
                .unwrap_or_else(|error| panic!("no log line with {text}: {error}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let kill_status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill can be run");
        assert!(kill_status.success(), "the signal is delivered");
    }

    /// Reloads the settings and returns whether the daemon reports that they need a restart.
    fn reload(&self, settings: &Settings) -> bool {
        fs::write(&self.settings_file, settings.to_toml())
            .expect("the settings file can be written");
        self.signal("-HUP");
        let line = self.wait_for_log_line("settings read again");
        line.contains("\"restart_needed\":true")
    }

    /// Sends SIGTERM and returns the exit code.
    fn stop(mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().expect("the daemon ends").code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Fails if the daemon has ended already; after a failed test it is still running.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
