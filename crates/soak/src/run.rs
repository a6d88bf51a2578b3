//! Executes one run, from the seed to the checker's verdict.

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
use crate::batch_client::BatchClient;
use crate::checker::{self, Verdict};
use crate::client::Client;
use crate::clock::{Clock, Micros, SECOND};
use crate::history::{History, Records};
use crate::operator::{ConfigurationClient, Operator, OperatorPace};
use crate::plan::{self, Profile};
use crate::process;
use crate::site::{Bounds, RECOVER, Site};
use crate::supervisor::Supervisor;

/// The run is aborted if the first configuration isn't acknowledged within this time, in seconds.
const FIRST_CONFIGURATION_TIMEOUT_S: u64 = 30;
const OPERATORS: usize = 2;
/// Number of pending commands for a backend; further ones are dropped.
const COMMAND_QUEUE_CAPACITY: usize = 1;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// Seed of all random choices in the plan, the clients and the operators.
    pub seed: u64,
    /// Number of core machines at the start.
    pub cores: usize,
    /// Number of nodes, each with a backend.
    pub nodes: usize,
    /// Number of zones.
    pub zones: usize,
    /// Maximum number of core machines that may be lost at the same time.
    pub machine_losses: usize,
    /// Duration of the run, in microseconds.
    pub duration: Micros,
    /// Selection of the faults.
    pub profile: Profile,
    /// Number of clients at each node.
    pub clients_per_node: usize,
    /// Longest pause of a client between two requests, in milliseconds.
    pub client_pause_ms: u64,
    /// Number of clients of the batch service at each node.
    pub batch_clients_per_node: usize,
    /// Rate and size of the operators' changes.
    pub pace: OperatorPace,
    /// Second number of all addresses.
    pub network: u8,
    /// Folder for settings, disks and logs.
    pub folder: PathBuf,
}

/// The result of a run.
pub struct Outcome {
    /// The checker's verdict.
    pub verdict: Verdict,
    /// The records that the checker examined.
    pub records: Records,
    /// The site, which holds the folder of the logs.
    pub site: Site,
}

/// Executes a run.
///
/// # Errors
///
/// If the harness itself fails, or the first configuration isn't acknowledged in time.
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

/// A run in progress.
struct Run {
    site: Arc<Site>,
    clock: Clock,
    history: Arc<History>,
    supervisor: Arc<Supervisor>,
    config_client: ConfigurationClient,
    /// Generates the seeds of clients and operators.
    rng: StdRng,
    tasks: JoinSet<()>,
}

impl Run {
    /// Prepares the run and starts the backends; the processes under test are not started yet.
    fn prepare(config: &RunConfig) -> Result<Run, Error> {
        let program = process::find_program()?;
        let site = Arc::new(site_from(config));
        // The processes would load the disks of an earlier run.
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
            for number in 0..config.batch_clients_per_node {
                let client = BatchClient {
                    site: self.site.clone(),
                    node,
                    number,
                    clock: self.clock,
                    history: self.history.clone(),
                    rng: StdRng::seed_from_u64(self.rng.random()),
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
        // Dropping the tasks drops the supervisor, which kills all processes.
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
        bounds: bounds_for(config.profile),
    }
}

/// Service may rest for longer only if more core machines are down at once than the site bears.
fn bounds_for(profile: Profile) -> Bounds {
    let bounds = Bounds::default();
    match profile {
        Profile::Overlap => Bounds {
            core_rest: RECOVER,
            ..bounds
        },
        _ => bounds,
    }
}
