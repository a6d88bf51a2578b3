//! The components of a replica's process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;

use control::ReplicaHandle;
use daemon::{Daemon, Error};
use http_util::HttpServer;
use operator_api::OperatorApi;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::settings::Settings;

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

/// Maximum time for pending operator requests to finish during shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// A running replica with its operators' API.
pub(crate) struct Core {
    accepting_work: Arc<AtomicBool>,
    http_server: HttpServer,
    /// Tasks that are cancelled when the process stops.
    tasks: JoinSet<()>,
}

impl Daemon for Core {
    type Settings = Settings;

    const PROGRAM: &'static str = "gradeford-core";
    const HELP: &'static str = HELP;

    async fn start(settings: &Settings, logger: &Logger) -> Result<Core, Error> {
        let peers = TcpListener::bind(&settings.mates_address)
            .await
            .map_err(Error::of_setting("mates_address"))?;
        let address = peers
            .local_addr()
            .map_err(Error::of_setting("mates_address"))?
            .to_string();
        let config = settings.replica_config(address.clone());
        let replica =
            ReplicaHandle::start(config, logger.clone()).map_err(Error::of_setting("folder"))?;
        let accepting_work = Arc::new(AtomicBool::new(true));
        let api = OperatorApi {
            replica: replica.clone(),
            accepting_work: accepting_work.clone(),
        };
        let http_server = HttpServer::start(&settings.operators_address, operator_api::router(api))
            .await
            .map_err(Error::of_setting("operators_address"))?;
        slog::info!(
            logger, "listening";
            "peers" => address, "operators" => http_server.address.to_string(),
        );
        let mut tasks = JoinSet::new();
        tasks.spawn(control::updates::server::listen(replica, peers));
        Ok(Core {
            accepting_work,
            http_server,
            tasks,
        })
    }

    async fn shut_down(mut self, _: &Settings) {
        self.accepting_work.store(false, Relaxed);
        self.http_server.stop(SHUTDOWN_TIMEOUT).await;
        self.tasks.shutdown().await;
    }
}
