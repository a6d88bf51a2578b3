//! A program from its flags to its exit code.

use std::fmt::Display;
use std::process;

use model::logging::{self, LogLevelSwitch};
use model::settings::{self, CommandLine};
use slog::Logger;
use tokio::runtime::Runtime;

use crate::{DaemonSettings, Error, Signal, Signals, parsed_log_level};

/// Exit code of a program that failed.
const FAILURE_EXIT_CODE: i32 = 1;

/// A program that runs until it is told to stop.
pub trait Daemon: Sized {
    /// Its settings.
    type Settings: DaemonSettings;

    /// Name of the program, in logs and messages.
    const PROGRAM: &'static str;
    /// The page that `--help` prints.
    const HELP: &'static str;

    /// Binds its addresses and starts its tasks.
    fn start(
        settings: &Self::Settings,
        logger: &Logger,
    ) -> impl Future<Output = Result<Self, Error>>;

    /// Stops in good order.
    fn shut_down(self, settings: &Self::Settings) -> impl Future<Output = ()>;
}

/// Reads flags and settings, runs the program and returns once it has stopped. Ends the process
/// with the exit codes of the help page if it fails.
pub fn run<D: Daemon>() {
    exit_on_error(D::PROGRAM, start_and_serve::<D>());
}

/// Catches signals before it reads flags and settings: until then one would end the process at once.
fn start_and_serve<D: Daemon>() -> Result<(), Error> {
    let runtime = Runtime::new()?;
    let signals = {
        let _entered = runtime.enter();
        Signals::install()?
    };
    let names = D::Settings::SETTING_NAMES;
    let start_up = settings::load_settings_or_exit::<D::Settings>(D::PROGRAM, D::HELP, names);
    let Some((command_line, settings)) = start_up else {
        return Ok(());
    };
    runtime.block_on(serve_until_stopped::<D>(command_line, settings, signals))
}

/// Ends the process with the exit code for failure, and the error on standard error, if there is one.
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

/// Takes up the log level while running; the rest needs a restart, which the log says.
fn reload<S: DaemonSettings>(
    command_line: &CommandLine,
    running: &S,
    level_switch: &LogLevelSwitch,
    logger: &Logger,
) {
    match settings::load_settings::<S>(command_line) {
        Ok(fresh) => {
            level_switch.set_level(parsed_log_level(fresh.log_level()));
            let restart_needed = fresh.with_log_level(running.log_level()) != *running;
            slog::info!(logger, "settings read again"; "restart_needed" => restart_needed);
        }
        Err(faults) => {
            slog::error!(logger, "settings at fault, the old ones stay"; "faults" => ?faults);
        }
    }
}
