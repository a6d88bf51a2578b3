//! Runs the control plane of many nodes in one process: real replicas of the log and real connections
//! over the loopback interface, but no client requests (docs/CAPACITY.md).

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

pub mod counted;
mod events;
pub mod flags;
mod meter;
mod node;
mod plan;
mod report;
mod seats;
mod site;
mod stages;
mod witness;

pub use plan::{FlagError, NodeParts, Plan};
pub use report::{Report, Stage};

/// Simulated links between regions, with the runtime that relays their connections.
pub(crate) type NetworkLinks = (crate::network::Network, Arc<tokio::runtime::Runtime>);

/// Limit for one wait. Only a broken run reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(300);

/// Polls `condition` until it holds and returns the time waited, in microseconds. `description` completes
/// the error message "timed out waiting until ...".
pub(crate) async fn wait_until(
    description: &str,
    condition: impl Fn() -> bool,
) -> Result<model::Microseconds, String> {
    let started_at = model::now();
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, poll)
        .await
        .map_err(|_| format!("timed out waiting until {description}"))?;
    Ok(model::now() - started_at)
}

/// Creates the simulated links if the plan has a delay or a partition between regions.
fn start_links(plan: &Plan) -> Result<Option<NetworkLinks>, String> {
    if !plan.has_links() {
        return Ok(None);
    }
    let hosts = (0..plan.replicas).map(|replica| (plan.host(replica), plan.region(replica)));
    let hosts = hosts
        .chain((0..plan.nodes).map(|node| (plan.host(plan.replicas + node), plan.region(node))));
    let links = crate::network::Network::new(hosts.collect(), plan.hop_us);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("links")
        .enable_all()
        .build();
    let runtime = Arc::new(runtime.map_err(|error| error.to_string())?);
    Ok(Some((links, runtime)))
}

/// Runs the stages of the plan in order. With `progress`, prints the current stage to stderr once a second.
pub async fn run(plan: Plan, progress: bool) -> Result<Report, String> {
    let (links, folder) = (start_links(&plan)?, plan.folder.clone());
    let progress_line = Arc::new(Mutex::new(String::new()));
    let printed_line = progress_line.clone();
    let printer = progress.then(|| {
        tokio::spawn(async move {
            loop {
                eprintln!(
                    "hollow: {}",
                    printed_line.lock().unwrap_or_else(PoisonError::into_inner)
                );
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        })
    });
    let report = stages::run_stages(plan, links.clone(), progress_line).await;
    printer.into_iter().for_each(|printer| printer.abort());
    // A runtime must not be dropped from within another runtime.
    drop(tokio::task::spawn_blocking(move || drop(links)).await);
    std::fs::remove_dir_all(folder).unwrap_or_default();
    report
}
