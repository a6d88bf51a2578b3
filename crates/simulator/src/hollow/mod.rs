//! The control side of many nodes in one process: real conns over the loopback to real core seats, no requests
//! (docs/CAPACITY.md).

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

pub use plan::{Fault, Parts, Plan};
pub use report::{Report, Stage};

/// Links between regions, and the threads that carry them.
pub(crate) type Linked = (crate::network::Network, Arc<tokio::runtime::Runtime>);

/// Only a broken run meets this.
const PATIENCE: Duration = Duration::from_secs(300);

pub(crate) async fn until(
    what: &str,
    holds: impl Fn() -> bool,
) -> Result<model::Microseconds, String> {
    let began = model::now();
    let waits = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waits)
        .await
        .map_err(|_| format!("in vain: {what}"))?;
    Ok(model::now() - began)
}

fn links(plan: &Plan) -> Result<Option<Linked>, String> {
    if !plan.linked() {
        return Ok(None);
    }
    let hosts = (0..plan.seats).map(|seat| (plan.host(seat), plan.region(seat)));
    let hosts =
        hosts.chain((0..plan.nodes).map(|at| (plan.host(plan.seats + at), plan.region(at))));
    let links = crate::network::Network::new(hosts.collect(), plan.hop);
    let threads = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("links")
        .enable_all()
        .build();
    let threads = Arc::new(threads.map_err(|error| error.to_string())?);
    Ok(Some((links, threads)))
}

/// Plays the stages the plan names, one after the other. With `progress` a line a second says where it is.
pub async fn run(plan: Plan, progress: bool) -> Result<Report, String> {
    let (links, folder) = (links(&plan)?, plan.folder.clone());
    let told = Arc::new(Mutex::new(String::new()));
    let shown = told.clone();
    let line = progress.then(|| {
        tokio::spawn(async move {
            loop {
                eprintln!(
                    "hollow: {}",
                    shown.lock().unwrap_or_else(PoisonError::into_inner)
                );
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        })
    });
    let played = stages::all(plan, links.clone(), told).await;
    line.into_iter().for_each(|line| line.abort());
    // Threads of a runtime may not be ended from within another.
    drop(tokio::task::spawn_blocking(move || drop(links)).await);
    std::fs::remove_dir_all(folder).unwrap_or_default();
    played
}
