//! A process under test. Only this module starts processes and signals them, always by the id of a
//! process that it started.

use std::env;
use std::fs::{self, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::Error;

const PROGRAM: &str = "gradeford-platform";
const SETTINGS_VARIABLE: &str = "GRADEFORD_NODE_FILE";
/// Field of `/proc/PID/status` that holds the mask of caught signals.
const CAUGHT_SIGNALS_FIELD: &str = "SigCgt:";

/// A child process, killed on drop.
pub struct Process {
    child: Child,
}

/// Finds the program under test: in the folder of the current executable, or in its parent, as test
/// executables are one folder deeper.
///
/// # Errors
///
/// [`Error::NotBuilt`] if the program is in neither folder.
pub fn find_program() -> Result<PathBuf, Error> {
    let own = env::current_exe().map_err(Error::io("own path"))?;
    let folders = own.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join(PROGRAM))
        .find(|path| path.exists())
        .ok_or_else(|| Error::NotBuilt(PROGRAM.into()))
}

impl Process {
    /// Starts the program in a role (`core` or `node`) with its settings file, and appends its log to the
    /// file `log`.
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

    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = Pid::from_raw(self.child.id() as i32) {
            // Fails if the process has ended meanwhile.
            let _ = kill_process(id, signal);
        }
    }

    /// Returns whether the process has a handler for `signal`, according to `/proc`. Until it has
    /// installed one, the signal's default action terminates it at once.
    pub fn has_handler(&self, signal: Signal) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let mask = status
            .lines()
            .find_map(|line| line.strip_prefix(CAUGHT_SIGNALS_FIELD));
        let mask = mask.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & (1 << (signal.as_raw() - 1)) != 0)
    }

    /// Returns the exit status, or `None` if the process still runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
