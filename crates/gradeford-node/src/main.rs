//! A node beside back ends: serves them and their senders (docs/operators/running.md).

mod health;
mod node;
mod settings;

const HELP: &str = "\
gradeford-node: a gradeford node beside back ends

usage: gradeford-node [--config FILE] [--SETTING VALUE ...] [--check]

  --config FILE   settings as TOML; a flag of the same name goes first
  --check         read and check the settings, then stop
  --help          this page
  --version       name and version

settings: name, zone, mates_address, advertised_address, local_address, seeds, beat_every_us,
  beat_patience_us, freshness_us, ask_every_us, guard_us, extra_allowance, stop_patience_us, watch_every_us,
  watch_patience_us, homes, log_level
SIGTERM stops it once all that was passed on has ended, SIGHUP reads the settings again.
exit codes: 0 stopped as asked, 1 failed, 2 settings or flags at fault
";

fn main() {
    let Some((flags, env)) = model::settings::start_up::<settings::Settings>(
        "gradeford-node",
        HELP,
        settings::SETTING_NAMES,
    ) else {
        return;
    };
    let runtime = tokio::runtime::Runtime::new();
    let ended = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(run(flags, env)));
    if let Err(trouble) = ended {
        eprintln!("gradeford-node: {trouble}");
        std::process::exit(1);
    }
}

async fn run(flags: model::settings::CommandLine, env: settings::Settings) -> Result<(), String> {
    let dial = model::logging::LogLevelSwitch::new(env.parsed_log_level());
    let (logger, _guard) = model::logging::start_logger("gradeford-node", &env.name, dial.clone());
    // Before anything else: a signal that comes early must not end the process.
    let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| error.to_string())?;
    let mut reload = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())
        .map_err(|error| error.to_string())?;
    let node = node::Node::start(&env, &logger).await?;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = reload.recv() => match model::settings::load_settings::<settings::Settings>(&flags) {
                Ok(fresh) => {
                    dial.set_level(fresh.parsed_log_level());
                    // Only the log level is taken up while running; the rest needs a restart, and this says so.
                    let rest = settings::Settings { log_level: env.log_level.clone(), ..fresh };
                    slog::info!(logger, "settings read again"; "restart_needed" => rest != env);
                }
                Err(faults) => slog::error!(logger, "settings at fault, the old ones stay"; "faults" => ?faults),
            },
        }
    }
    slog::info!(logger, "stopping");
    node.stop(&env).await;
    slog::info!(logger, "stopped");
    Ok(())
}
