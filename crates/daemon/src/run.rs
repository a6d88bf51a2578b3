//! The life cycle of a program, from parsing its flags to its exit code.

use std::fmt::Display;
use std::process;

use model::logging::{self, LogLevelSwitch};
use model::settings::{self, CommandLine};
use slog::Logger;
use tokio::runtime::Runtime;

use crate::{DaemonSettings, Error, Signal, Signals, parsed_log_level};

/// Exit code of a program that ended with an error.
const FAILURE_EXIT_CODE: i32 = 1;

/// A program that runs until it receives a signal to stop.
pub trait Daemon: Sized {
    /// Settings of the program.
    type Settings: DaemonSettings;

    /// Name of the program in logs and messages.
    const PROGRAM: &'static str;
    /// Text that `--help` prints.
    const HELP: &'static str;

    /// Binds the program's addresses and starts its tasks.
    fn start(
        settings: &Self::Settings,
        logger: &Logger,
    ) -> impl Future<Output = Result<Self, Error>>;

    /// Stops the program gracefully.
    fn shut_down(self, settings: &Self::Settings) -> impl Future<Output = ()>;
}

/// Reads flags and settings, runs the program and returns once it has stopped. On failure the
/// process ends with one of the exit codes that `--help` lists.
pub fn run<D: Daemon>() {
    exit_on_error(D::PROGRAM, start_and_serve::<D>());
}

/// Installs the signal handlers before it reads flags and settings, because the default action of
/// SIGTERM and SIGHUP ends the process immediately.
fn start_and_serve<D: Daemon>() -> Result<(), Error> {
    let runtime = Runtime::new()?;
    let signals = {
        let _entered = runtime.enter();
        Signals::install()?
    };
    let names = D::Settings::SETTING_NAMES;
    let loaded = settings::load_settings_or_exit::<D::Settings>(D::PROGRAM, D::HELP, names);
    let Some((command_line, settings)) = loaded else {
        return Ok(());
    };
    runtime.block_on(serve_until_stopped::<D>(command_line, settings, signals))
}

/// Prints an error to standard error and ends the process with exit code 1; does nothing on
/// success.
pub fn exit_on_error<E: Display>(program: &str, outcome: Result<(), E>) {
    if let Err(error) = outcome {
        eprintln!("{program}: {error}");
        process::exit(FAILURE_EXIT_CODE);
    }
}

async fn serve_until_stopped<D: Daemon>(
    command_line: CommandLine,
    settings: D::Settings,
    mut signals: Signals,
) -> Result<(), Error> {
    let level_switch = LogLevelSwitch::new(parsed_log_level(settings.log_level()));
    let (logger, _flush_at_end) =
        logging::start_logger(D::PROGRAM, settings.name(), level_switch.clone());
    let daemon = D::start(&settings, &logger).await?;
    while signals.next().await == Signal::Reload {
        reload(&command_line, &settings, &level_switch, &logger);
    }
    slog::info!(logger, "stopping");
    daemon.shut_down(&settings).await;
    slog::info!(logger, "stopped");
    Ok(())
}

/// Reads the settings again and applies the log level. All other settings need a restart; whether
/// any of them changed is logged.
fn reload<S: DaemonSettings>(
    command_line: &CommandLine,
    running: &S,
    level_switch: &LogLevelSwitch,
    logger: &Logger,
) {
    match settings::load_settings::<S>(command_line) {
        Ok(reloaded) => {
            level_switch.set_level(parsed_log_level(reloaded.log_level()));
            let restart_needed = reloaded.with_log_level(running.log_level()) != *running;
            slog::info!(logger, "settings read again"; "restart_needed" => restart_needed);
        }
        Err(faults) => {
            slog::error!(logger, "invalid settings; the old ones stay in force"; "faults" => ?faults);
        }
    }
}
