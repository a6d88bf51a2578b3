//! Core seats of a hollow site: the product's own, each on one thread as its daemon runs, over a real disk.

use super::Plan;
use std::net::TcpListener;
use std::thread::Builder;

pub(super) struct Seats {
    pub cores: Vec<control::ReplicaHandle>,
    pub places: Vec<String>,
    /// Dropped, the seat's thread ends.
    _running: Vec<tokio::sync::oneshot::Sender<()>>,
}

/// A listener and where it is found: with links, a relay stands before it.
pub(super) fn bind(
    host: crate::network::Host,
    links: Option<&super::Linked>,
) -> Result<(TcpListener, String), String> {
    let bound = || {
        let listener = TcpListener::bind((host, 0)).map_err(|error| error.to_string())?;
        listener
            .set_nonblocking(true)
            .map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        Ok::<_, String>((listener, address))
    };
    let (own, target) = bound()?;
    let Some((links, relays)) = links else {
        return Ok((own, target.to_string()));
    };
    let (before, known) = bound()?;
    let links = links.clone();
    relays.spawn(async move {
        if let Ok(before) = tokio::net::TcpListener::from_std(before) {
            links.relay(before, target).await;
        }
    });
    Ok((own, known.to_string()))
}

pub(super) fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())
}

/// Seats come first of the site's hosts. Returns once every seat votes.
pub(super) async fn start(plan: &Plan, links: Option<&super::Linked>) -> Result<Seats, String> {
    let bound = (0..plan.seats)
        .map(|seat| bind(plan.host(seat), links))
        .collect::<Result<Vec<_>, String>>()?;
    let places: Vec<String> = bound.iter().map(|(_, address)| address.clone()).collect();
    let started = bound
        .into_iter()
        .enumerate()
        .map(|(seat, (listener, address))| {
            let env = control::ReplicaConfig {
                name: format!("core-{seat}"),
                zone: plan.zone(seat),
                replica_id: seat as u16,
                replica_count: plan.seats as u16,
                address,
                seeds: places.clone(),
                folder: plan.folder.join(format!("core-{seat}")),
                timing: Default::default(),
                snapshot_every_entries: 500,
                replace_after: 0,
                membership: None,
            };
            let (running, ends) = tokio::sync::oneshot::channel();
            let (told, hears) = std::sync::mpsc::channel();
            let thread = Builder::new().name(env.name.clone());
            let sits = move || {
                let Ok(runtime) = runtime() else { return };
                runtime.block_on(async {
                    let core = control::ReplicaHandle::start(env, model::logging::discard_logger())
                        .map_err(|error| error.to_string());
                    let listener = tokio::net::TcpListener::from_std(listener)
                        .map_err(|error| error.to_string());
                    drop(told.send(core.clone()));
                    if let (Ok(core), Ok(listener)) = (core, listener) {
                        tokio::select! {
                            _ = control::updates::server::listen(core, listener) => {}
                            _ = ends => {}
                        }
                    }
                });
            };
            thread.spawn(sits).map_err(|error| error.to_string())?;
            Ok((hears.recv().map_err(|error| error.to_string())??, running))
        });
    let (cores, running) = started
        .collect::<Result<Vec<(control::ReplicaHandle, _)>, String>>()?
        .into_iter()
        .unzip();
    let seats = Seats {
        cores,
        places,
        _running: running,
    };
    let voting = || seats.cores.iter().all(|core| core.status.load().voting);
    super::until("every seat votes", voting).await?;
    Ok(seats)
}

impl Seats {
    /// For processes that need not ask around.
    pub(super) fn known(&self, plan: &Plan) -> control::KnownReplicas {
        let known = control::membership::discovery::empty();
        let told = self.cores.iter().zip(&self.places).map(|(core, address)| {
            let (seat, identity) = (core.replica_id(), core.disk_id());
            transport::KnownReplica {
                replica_id: seat,
                disk_id: identity,
                address: address.clone(),
                zone: plan.zone(seat as usize),
                start_count: 1,
            }
        });
        control::membership::discovery::merge(&known, told.collect());
        known
    }
}
