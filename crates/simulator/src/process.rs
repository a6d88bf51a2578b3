//! Processes of a rehearsal. Only this program starts any; it ends those it started, by id.

use std::fs::OpenOptions;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// The word behind a flag.
pub fn flag_value<'a>(arguments: &'a [String], flag: &str) -> Option<&'a String> {
    arguments
        .iter()
        .position(|held| held == flag)
        .and_then(|place| arguments.get(place + 1))
}

/// The same words, but for these flags.
pub fn with_flags(arguments: &[String], flags: &[(&str, String)]) -> Vec<String> {
    flags
        .iter()
        .fold(arguments.to_vec(), |mut arguments, (flag, value)| {
            arguments
                .iter()
                .position(|held| held == flag)
                .into_iter()
                .for_each(|place| arguments[place + 1] = value.clone());
            arguments
        })
}

pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// `program` stands beside this one; its log goes to a file in the run's folder.
    pub fn start(
        folder: &Path,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<Process, String> {
        let beside = std::env::current_exe().map_err(|error| error.to_string())?;
        // Tests live one folder deeper than programs.
        let folders = beside
            .ancestors()
            .skip(1)
            .take(2)
            .map(|folder| folder.join(program));
        let path = folders
            .into_iter()
            .find(|path| path.exists())
            .ok_or_else(|| format!("{program} is not built; run cargo build --workspace first"))?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        Ok(Process {
            name: name.to_string(),
            child,
        })
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        if let Some(id) = rustix::process::Pid::from_raw(self.child.id() as i32) {
            rustix::process::kill_process(id, signal).unwrap_or_default();
        }
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap_or_default();
        drop(self.child.wait());
    }

    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
