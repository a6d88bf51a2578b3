//! A process under test. Only this module starts and signals any, each by the id it was given.

use std::env;
use std::fs::{self, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::Error;

const PROGRAM: &str = "gradeford-platform";
const SETTINGS_VARIABLE: &str = "GRADEFORD_NODE_FILE";
/// Before the mask of caught signals in the status of a process.
const CAUGHT_SIGNALS_FIELD: &str = "SigCgt:";

/// A running process; it is killed when this is dropped.
pub struct Process {
    child: Child,
}

/// The program under test: beside this one, or one folder above it, as tests are one deeper.
///
/// # Errors
///
/// [`Error::NotBuilt`] if it is in neither place.
pub fn find_program() -> Result<PathBuf, Error> {
    let own = env::current_exe().map_err(Error::io("own path"))?;
    let folders = own.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join(PROGRAM))
        .find(|path| path.exists())
        .ok_or_else(|| Error::NotBuilt(PROGRAM.into()))
}

impl Process {
    /// Starts a role with its settings file; its log is appended to `log`.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if the log cannot be opened or the process cannot be started.
    pub fn start(program: &Path, role: &str, settings: &Path, log: &Path) -> Result<Self, Error> {
        let mut options = OpenOptions::new();
        let log = options.create(true).append(true).open(log);
        let log = log.map_err(Error::io("log file"))?;
        let child = Command::new(program)
            .arg(role)
            .env_clear()
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(Error::io(PROGRAM))?;
        Ok(Process { child })
    }

    /// Sends a signal; one that has ended already gets none.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.child.id() as i32) {
            // It may have ended meanwhile.
            let _ = kill_process(id, signal);
        }
    }

    /// Whether it catches a signal, as the system shows it: before that one ends it at once.
    pub fn has_handler(&self, signal: Signal) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let mask = status
            .lines()
            .find_map(|line| line.strip_prefix(CAUGHT_SIGNALS_FIELD));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & (1 << (signal.as_raw() - 1)) != 0)
    }

    /// How it ended, if it did.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if it has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
