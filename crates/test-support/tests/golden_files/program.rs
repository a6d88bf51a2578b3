//! A daemon as its operator meets it: its outputs for a settings file and flags, and what it takes for its defaults.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;
use std::{env, fs, process, thread};

/// A daemon that says nothing for so long has failed the test.
const PATIENCE: Duration = Duration::from_secs(60);

pub(crate) struct Program {
    pub name: &'static str,
    pub path: &'static str,
}

/// An empty folder of this test alone.
pub(crate) fn create_test_folder(name: &str) -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = env::temp_dir().join(format!(
        "gradeford-witness-{name}-{}-{number}",
        process::id()
    ));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Flags, exit code and both outputs; the lines of the log, which are JSON, are left out.
pub(crate) fn run_transcript(program: &Program, words: &[&str]) -> String {
    let output = Command::new(program.path)
        .args(words)
        .output()
        .expect("it runs");
    let [out, err] =
        [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    let err: String = err
        .lines()
        .filter(|line| !line.starts_with('{'))
        .map(|line| format!("{line}\n"))
        .collect();
    format!(
        "$ {} {}\nexit code {:?}\n--- out\n{out}--- err\n{err}\n",
        program.name,
        words.join(" "),
        output.status.code()
    )
}

/// A settings file of one line a setting.
#[derive(Clone)]
pub(crate) struct Settings {
    lines: Vec<(String, String)>,
    changed: String,
}

impl Settings {
    pub(crate) fn new(lines: &[(&str, &str)]) -> Settings {
        let lines = lines
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()))
            .collect();
        Settings {
            lines,
            changed: String::new(),
        }
    }

    pub(crate) fn with(mut self, name: &str, value: &str) -> Settings {
        self.lines.retain(|(held, _)| held != name);
        self.lines.push((name.to_string(), value.to_string()));
        self.changed.push_str(&format!("{name} = {value}\n"));
        self
    }

    pub(crate) fn without(mut self, name: &str) -> Settings {
        self.lines.retain(|(held, _)| held != name);
        self.changed.push_str(&format!("no {name}\n"));
        self
    }

    fn text(&self) -> String {
        self.lines
            .iter()
            .map(|(name, value)| format!("{name} = {value}\n"))
            .collect()
    }

    /// What `--check` says of these settings.
    pub(crate) fn check_transcript(&self, program: &Program) -> String {
        self.check_transcript_with(program, &[])
    }

    pub(crate) fn check_transcript_with(&self, program: &Program, words: &[&str]) -> String {
        format!(
            "{}{}",
            self.changed,
            check_text_transcript(program, &self.text(), words)
        )
    }

    /// What the program says that cannot start with these settings.
    pub(crate) fn start_transcript(&self, program: &Program) -> String {
        format!("{}{}", self.changed, with_file(program, &self.text(), &[]))
    }
}

/// What `--check` says of a settings file of this text.
pub(crate) fn check_text_transcript(program: &Program, text: &str, words: &[&str]) -> String {
    with_file(program, text, &[&["--check"], words].concat())
}

fn with_file(program: &Program, text: &str, words: &[&str]) -> String {
    let folder = create_test_folder("settings");
    let file = folder.join("settings.toml").display().to_string();
    fs::write(&file, text).expect("a settings file");
    let told =
        run_transcript(program, &[&["--config", &file], words].concat()).replace(&file, "<file>");
    fs::remove_dir_all(folder).expect("clean");
    told
}

/// Runs the program with each setting left out and says whether it takes a reload with the supposed default, and one
/// with the value beside it, for a change.
pub(crate) fn defaults_report(
    program: &Program,
    folder: &Path,
    settings: &Settings,
    supposed: &[(&str, &str, &str)],
) -> String {
    let file = folder.join("settings.toml");
    let daemon = Daemon::start(program, &file, settings);
    let mut told = String::new();
    for (name, default, beside) in supposed {
        for value in [default, beside] {
            let changes = daemon.reload(&settings.clone().with(name, value));
            told.push_str(&format!(
                "{name} = {value}: {}\n",
                if changes {
                    "needs a restart"
                } else {
                    "as it was"
                }
            ));
            assert!(
                !daemon.reload(settings),
                "{name}: the first settings are as they were"
            );
        }
    }
    let code = daemon.stop();
    format!("{told}exit code after SIGTERM {code:?}\n")
}

/// A running daemon, ended with its owner.
struct Daemon {
    child: Child,
    lines: Receiver<String>,
    file: PathBuf,
}

impl Daemon {
    fn start(program: &Program, file: &Path, settings: &Settings) -> Daemon {
        fs::write(file, settings.text()).expect("a settings file");
        let mut child = Command::new(program.path)
            .arg("--config")
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let (sender, lines) = channel();
        // Reads to the end of the pipe, also when nobody listens any more: the program never waits for its reader.
        thread::spawn(move || {
            log.map_while(Result::ok)
                .for_each(|line| drop(sender.send(line)))
        });
        let daemon = Daemon {
            child,
            lines,
            file: file.to_path_buf(),
        };
        daemon.line("\"listening\"");
        daemon
    }

    /// The next line of the log that holds the word; none comes after the program ended.
    fn line(&self, word: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(PATIENCE)
                .unwrap_or_else(|error| panic!("no line with {word}: {error}"));
            if line.contains(word) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(sent.success(), "the daemon is there");
    }

    /// Whether the program says that these settings need a restart.
    fn reload(&self, settings: &Settings) -> bool {
        fs::write(&self.file, settings.text()).expect("a settings file");
        self.signal("-HUP");
        let line = self.line("settings read again");
        line.contains("\"restart_needed\":true")
    }

    fn stop(mut self) -> Option<i32> {
        self.signal("-TERM");
        self.child.wait().expect("it ends").code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Ended already, or a failed test leaves it behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
