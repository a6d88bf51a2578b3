//! One run from its seed to its verdict.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::Error;
use crate::backend;
use crate::checker::{self, Verdict};
use crate::client::Client;
use crate::clock::{Clock, Micros, SECOND};
use crate::history::{History, Records};
use crate::operator::{ConfigurationClient, Operator, OperatorPace};
use crate::plan::{self, Profile};
use crate::process;
use crate::site::{Bounds, Site};
use crate::supervisor::Supervisor;

/// The first configuration is acknowledged within this, or the run is given up.
const FIRST_CONFIGURATION_TIMEOUT_S: u64 = 30;
const OPERATORS: usize = 2;
/// Orders that a backend may not have taken up yet.
const COMMAND_QUEUE_CAPACITY: usize = 1;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// Draws everything.
    pub seed: u64,
    /// Core machines.
    pub cores: usize,
    /// Nodes, each with a backend.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Core machines that may be lost at once.
    pub machine_losses: usize,
    /// How long it lasts, in microseconds.
    pub duration: Micros,
    /// Which faults.
    pub profile: Profile,
    /// Clients at each node.
    pub clients_per_node: usize,
    /// The longest pause of a client between two requests, in milliseconds.
    pub client_pause_ms: u64,
    /// How fast operators send changes.
    pub pace: OperatorPace,
    /// The second number of all addresses.
    pub network: u8,
    /// Folder for settings, disks and logs.
    pub folder: PathBuf,
}

/// What came of a run.
pub struct Outcome {
    /// What the checker says.
    pub verdict: Verdict,
    /// All that it read.
    pub records: Records,
    /// The site, with the places of the logs.
    pub site: Site,
}

/// Carries a run out.
///
/// # Errors
///
/// If the harness itself fails, or no configuration is ever taken.
pub async fn run(config: RunConfig) -> Result<Outcome, Error> {
    let mut run = Run::prepare(&config)?;
    run.supervisor.start_all().await?;
    run.tasks.spawn(run.supervisor.clone().restart_exited());
    run.send_first_configuration().await?;
    run.start_clients(&config);
    run.start_operators(&config);
    run.start_faults(&config);
    run.clock.sleep_until(config.duration).await;
    Ok(run.finish(&config).await)
}

/// A run that is on.
struct Run {
    site: Arc<Site>,
    clock: Clock,
    history: Arc<History>,
    supervisor: Arc<Supervisor>,
    config_client: ConfigurationClient,
    /// Draws the seeds of clients and operators.
    rng: StdRng,
    tasks: JoinSet<()>,
}

impl Run {
    /// Backends run, and nothing else yet.
    fn prepare(config: &RunConfig) -> Result<Run, Error> {
        let program = process::find_program()?;
        let site = Arc::new(site_from(config));
        // A disk of an earlier run would be taken for this one's.
        if site.folder.exists() {
            return Err(Error::FolderInUse(site.folder.clone()));
        }
        fs::create_dir_all(&site.folder).map_err(Error::io("folder of the run"))?;
        let clock = Clock::start();
        let history = Arc::new(History::default());
        let mut tasks = JoinSet::new();
        let mut commands = BTreeMap::new();
        for node in 0..site.nodes {
            let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
            commands.insert(node, sender);
            tasks.spawn(backend::run(site.clone(), node, clock, receiver));
        }
        let supervisor = Supervisor::new(site.clone(), clock, history.clone(), program, commands);
        let supervisor = Arc::new(supervisor);
        let config_client = ConfigurationClient {
            site: site.clone(),
            clock,
            history: history.clone(),
            cores: supervisor.callable_cores(),
        };
        Ok(Run {
            site,
            clock,
            history,
            supervisor,
            config_client,
            rng: StdRng::seed_from_u64(config.seed),
            tasks,
        })
    }

    async fn send_first_configuration(&self) -> Result<(), Error> {
        let first = self.config_client.send_first_configuration();
        let first = timeout(Duration::from_secs(FIRST_CONFIGURATION_TIMEOUT_S), first).await;
        first.map_err(|_| Error::NoFirstConfiguration(FIRST_CONFIGURATION_TIMEOUT_S))
    }

    fn start_clients(&mut self, config: &RunConfig) {
        for node in 0..self.site.nodes {
            for number in 0..config.clients_per_node {
                let client = Client {
                    site: self.site.clone(),
                    node,
                    number,
                    clock: self.clock,
                    history: self.history.clone(),
                    rng: StdRng::seed_from_u64(self.rng.random()),
                    max_pause_ms: config.client_pause_ms,
                };
                self.tasks.spawn(client.run());
            }
        }
    }

    fn start_operators(&mut self, config: &RunConfig) {
        for number in 0..OPERATORS {
            let seed = self.rng.random();
            let operator = Operator::new(self.config_client.clone(), number, config.pace, seed);
            self.tasks.spawn(operator.run());
        }
        let seed = self.rng.random();
        self.tasks
            .spawn(self.config_client.clone().poll_configuration(seed));
    }

    fn start_faults(&mut self, config: &RunConfig) {
        let faults = plan::generate(config.seed, &self.site, config.profile, config.duration);
        self.tasks
            .spawn(self.supervisor.clone().inject_faults(faults));
    }

    async fn finish(mut self, config: &RunConfig) -> Outcome {
        // With the tasks go the supervisor and all processes.
        self.tasks.shutdown().await;
        let mut records = self.history.lock().clone();
        records.ended_at = config.duration;
        let verdict = checker::check(&records, &self.site.bounds, self.site.cores);
        Outcome {
            verdict,
            records,
            site: Site::clone(&self.site),
        }
    }
}

fn site_from(config: &RunConfig) -> Site {
    Site {
        cores: config.cores,
        spare_cores: (config.duration / (20 * SECOND)) as usize,
        nodes: config.nodes,
        zones: config.zones,
        machine_losses: config.machine_losses,
        network: config.network,
        folder: config.folder.clone(),
        bounds: Bounds::default(),
    }
}
