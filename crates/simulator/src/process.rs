//! Child processes of a run. The simulator ends only processes that it started itself, by their process id.

use std::fs::OpenOptions;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

/// Returns the argument that follows a flag.
pub fn flag_value<'a>(arguments: &'a [String], flag: &str) -> Option<&'a String> {
    arguments
        .iter()
        .position(|argument| argument == flag)
        .and_then(|index| arguments.get(index + 1))
}

/// Returns the arguments with the values of these flags replaced.
pub fn with_flags(arguments: &[String], flags: &[(&str, String)]) -> Vec<String> {
    flags
        .iter()
        .fold(arguments.to_vec(), |mut arguments, (flag, value)| {
            arguments
                .iter()
                .position(|argument| argument == flag)
                .into_iter()
                .for_each(|index| arguments[index + 1] = value.clone());
            arguments
        })
}

/// A child process, killed when dropped.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    /// Starts `program`, which must be in the build folder of this program. Its log goes to a file in the run's folder.
    pub fn start(
        folder: &Path,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> Result<Process, String> {
        let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
        // Test binaries are one folder deeper than programs.
        let folders = own_path
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

    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        if let Some(id) = rustix::process::Pid::from_raw(self.child.id() as i32) {
            rustix::process::kill_process(id, signal).unwrap_or_default();
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().unwrap_or_default();
        drop(self.child.wait());
    }

    /// Returns the exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
