//! The replicas of a run: the product's own, each on a single thread as in its daemon, with its files on a
//! real disk.

use super::Plan;
use std::net::TcpListener;
use std::thread::Builder;

/// The running replicas, by replica id.
pub(super) struct Replicas {
    pub handles: Vec<control::ReplicaHandle>,
    pub addresses: Vec<String>,
    /// Dropping a sender ends the replica's thread.
    _stop_senders: Vec<tokio::sync::oneshot::Sender<()>>,
}

/// Binds a listener and returns it with the address to advertise. With links, that address is the one of a
/// relay in front of the listener.
pub(super) fn bind(
    host: crate::network::Host,
    links: Option<&super::NetworkLinks>,
) -> Result<(TcpListener, String), String> {
    let bind_any_port = || {
        let listener = TcpListener::bind((host, 0)).map_err(|error| error.to_string())?;
        listener
            .set_nonblocking(true)
            .map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        Ok::<_, String>((listener, address))
    };
    let (listener, target) = bind_any_port()?;
    let Some((links, relay_runtime)) = links else {
        return Ok((listener, target.to_string()));
    };
    let (relay_listener, relay_address) = bind_any_port()?;
    let links = links.clone();
    relay_runtime.spawn(async move {
        if let Ok(relay_listener) = tokio::net::TcpListener::from_std(relay_listener) {
            links.relay(relay_listener, target).await;
        }
    });
    Ok((listener, relay_address.to_string()))
}

/// Builds a single-threaded runtime.
pub(super) fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())
}

/// Starts the replicas on the first hosts of the plan and returns once every one of them votes.
pub(super) async fn start(
    plan: &Plan,
    links: Option<&super::NetworkLinks>,
) -> Result<Replicas, String> {
    let bound = (0..plan.replicas)
        .map(|replica| bind(plan.host(replica), links))
        .collect::<Result<Vec<_>, String>>()?;
    let addresses: Vec<String> = bound.iter().map(|(_, address)| address.clone()).collect();
    let started = bound
        .into_iter()
        .enumerate()
        .map(|(replica, (listener, address))| {
            let config = control::ReplicaConfig {
                name: format!("core-{replica}"),
                zone: plan.zone(replica),
                replica_id: replica as u16,
                replica_count: plan.replicas as u16,
                address,
                seeds: addresses.clone(),
                folder: plan.folder.join(format!("core-{replica}")),
                timing: Default::default(),
                snapshot_every_entries: 500,
                replace_after: 0,
                membership: None,
            };
            let (stop_sender, stopped) = tokio::sync::oneshot::channel();
            let (handle_sender, handle_receiver) = std::sync::mpsc::channel();
            let builder = Builder::new().name(config.name.clone());
            let run_replica = move || {
                let Ok(runtime) = runtime() else { return };
                runtime.block_on(async {
                    let handle =
                        control::ReplicaHandle::start(config, model::logging::discard_logger())
                            .map_err(|error| error.to_string());
                    let listener = tokio::net::TcpListener::from_std(listener)
                        .map_err(|error| error.to_string());
                    drop(handle_sender.send(handle.clone()));
                    if let (Ok(handle), Ok(listener)) = (handle, listener) {
                        tokio::select! {
                            _ = control::updates::server::listen(handle, listener) => {}
                            _ = stopped => {}
                        }
                    }
                });
            };
            builder
                .spawn(run_replica)
                .map_err(|error| error.to_string())?;
            Ok((
                handle_receiver
                    .recv()
                    .map_err(|error| error.to_string())??,
                stop_sender,
            ))
        });
    let (handles, stop_senders) = started
        .collect::<Result<Vec<(control::ReplicaHandle, _)>, String>>()?
        .into_iter()
        .unzip();
    let replicas = Replicas {
        handles,
        addresses,
        _stop_senders: stop_senders,
    };
    let all_vote = || {
        replicas
            .handles
            .iter()
            .all(|replica| replica.status.load().voting)
    };
    super::wait_until("every replica votes", all_vote).await?;
    Ok(replicas)
}

impl Replicas {
    /// Returns the table of known replicas, for processes that skip discovery.
    pub(super) fn known_replicas(&self, plan: &Plan) -> control::KnownReplicas {
        let known_replicas = control::membership::discovery::empty();
        let entries = self
            .handles
            .iter()
            .zip(&self.addresses)
            .map(|(handle, address)| {
                let (replica_id, disk_id) = (handle.replica_id(), handle.disk_id());
                transport::KnownReplica {
                    replica_id,
                    disk_id,
                    address: address.clone(),
                    zone: plan.zone(replica_id as usize),
                    start_count: 1,
                }
            });
        control::membership::discovery::merge(&known_replicas, entries.collect());
        known_replicas
    }
}
