//! A core seat: orders the log, keeps it on disk, brings versions to the nodes (docs/operators/running.md).

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

mod settings;

const HELP: &str = "\
gradeford-core: a core seat of gradeford

usage: gradeford-core [--config FILE] [--SETTING VALUE ...] [--check]

  --config FILE   settings as TOML; a flag of the same name goes first
  --check         read and check the settings, then stop
  --help          this page
  --version       name and version

settings: name, zone, seat, seats, mates_address, operators_address, advertised_address,
  seeds, folder, alpha, tau_us, beta, snapshot_every, replace_after_us, log_level
SIGTERM stops it in good order, SIGHUP reads the settings again.
exit codes: 0 stopped as asked, 1 failed, 2 settings or flags at fault
";

fn main() {
    let Some((flags, env)) = model::settings::start_up::<settings::Settings>(
        "gradeford-core",
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
        eprintln!("gradeford-core: {trouble}");
        std::process::exit(1);
    }
}

async fn run(flags: model::settings::CommandLine, env: settings::Settings) -> Result<(), String> {
    let dial = model::logging::LogLevelSwitch::new(env.parsed_log_level());
    let (logger, _guard) = model::logging::start_logger("gradeford-core", &env.name, dial.clone());
    // Before anything else: a signal that comes early must not end the process.
    let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|error| error.to_string())?;
    let mut reload = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup())
        .map_err(|error| error.to_string())?;
    let told = |what: &str, error: &dyn Display| format!("{what}: {error}");
    let mates = tokio::net::TcpListener::bind(&env.mates_address)
        .await
        .map_err(|error| told("mates_address", &error))?;
    let address = mates
        .local_addr()
        .map_err(|error| told("mates_address", &error))?
        .to_string();
    let core = control::ReplicaHandle::start(env.replica_config(address.clone()), logger.clone())
        .map_err(|error| told("folder", &error))?;
    let staying = Arc::new(AtomicBool::new(true));
    let office = operator_api::OperatorApi {
        replica: core.clone(),
        accepting_work: staying.clone(),
    };
    let serving =
        http_util::HttpServer::start(&env.operators_address, operator_api::router(office))
            .await
            .map_err(|error| told("operators_address", &error))?;
    slog::info!(logger, "listening"; "mates" => address, "operators" => serving.address.to_string());
    tokio::spawn(control::updates::stream::listen(core, mates));
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
    staying.store(false, std::sync::atomic::Ordering::Relaxed);
    serving.stop(Duration::from_secs(5)).await;
    Ok(())
}
