//! Plans the addresses, zones and flags of the processes of a fleet (design 9.5).

use crate::deployment::Deployment;
use crate::fleet::{Fleet, Machine, ReplicaMachine};
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

/// Returns an address on a loopback host of this run, with a port that is free at the time of the call.
fn free_address(host: &str) -> Result<String, String> {
    let listener = TcpListener::bind(format!("{host}:0")).map_err(|error| error.to_string())?;
    listener
        .local_addr()
        .map(|address| address.to_string())
        .map_err(|error| error.to_string())
}

fn parse_host(host: &str) -> Result<crate::network::Host, String> {
    host.parse()
        .map_err(|_| format!("{host} is not an IP address"))
}

/// Starts a relay in front of a process. Returns the address on which the process is to listen, and the relay's address, at
/// which other processes reach the process.
fn relayed_address(
    network: &crate::network::Network,
    host: &str,
) -> Result<(String, String), String> {
    let listen_address = free_address(host)?;
    let listener = TcpListener::bind(format!("{host}:0")).map_err(|error| error.to_string())?;
    let advertised_address = listener
        .local_addr()
        .map_err(|error| error.to_string())?
        .to_string();
    listener
        .set_nonblocking(true)
        .map_err(|error| error.to_string())?;
    let listener =
        tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    let (network, target) = (
        network.clone(),
        listen_address
            .parse()
            .map_err(|_| "the listen address is not a socket address".to_string())?,
    );
    tokio::spawn(async move { network.relay(listener, target).await });
    Ok((listen_address, advertised_address))
}

/// Returns the command line arguments for pairs of flag and value.
fn flag_arguments(pairs: &[(&str, String)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(flag, value)| [format!("--{flag}"), value.clone()])
        .collect()
}

impl Fleet {
    /// Plans an empty machine for a replica. The replica keeps its id, and gets new addresses and a new folder.
    pub fn plan_replacement(&mut self, replica_index: usize) -> Result<(), String> {
        let host = self.replicas[replica_index].host.to_string();
        let ((listen_address, advertised_address), operators_address) =
            (relayed_address(&self.network, &host)?, free_address(&host)?);
        let folder = self
            .folder
            .join(format!("core-{replica_index}-{}", model::now()));
        let changed_flags = [
            ("--mates-address", listen_address),
            ("--advertised-address", advertised_address.clone()),
            ("--operators-address", operators_address.clone()),
            ("--folder", folder.display().to_string()),
        ];
        let replica = &mut self.replicas[replica_index];
        replica.arguments = crate::process::with_flags(&replica.arguments, &changed_flags);
        (replica.operators_address, replica.peer_address) = (operators_address, advertised_address);
        self.operator_addresses.send_replace(
            self.replicas
                .iter()
                .map(|replica| replica.operators_address.clone())
                .collect(),
        );
        Ok(())
    }

    /// Plans all processes of a site. Must be called within a runtime, because the relays between the machines are tasks.
    pub fn plan(
        deployment: Deployment,
        folder: PathBuf,
        seed: u64,
        corrupted_per_mille: u32,
        node_flags: &[String],
    ) -> Result<Fleet, String> {
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let id = std::process::id();
        let host =
            |machine: usize| format!("127.{}.{}.{}", 16 + id / 250 % 200, id % 250, machine + 1);
        let backends = deployment.backends();
        let replica_zones = (0..deployment.replica_count)
            .map(|replica_index| replica_index % deployment.zone_count);
        let zones = replica_zones
            .chain(backends.iter().map(|(_, _, zone)| *zone))
            .enumerate();
        let zones = zones
            .map(|(machine, zone)| Ok((parse_host(&host(machine))?, zone)))
            .collect::<Result<_, String>>()?;
        let network = crate::network::Network::new(zones, deployment.zone_delay_us);
        let addresses = (0..deployment.replica_count)
            .map(|replica_index| {
                Ok((
                    relayed_address(&network, &host(replica_index))?,
                    free_address(&host(replica_index))?,
                ))
            })
            .collect::<Result<Vec<_>, String>>()?;
        let seeds = addresses
            .iter()
            .take(3)
            .map(|((_, advertised_address), _)| advertised_address.clone())
            .collect::<Vec<_>>()
            .join(",")
            + ",";
        let replicas = addresses.iter().enumerate().map(
            |(replica_index, ((listen_address, advertised_address), operators_address))| {
                let arguments = flag_arguments(&[
                    ("name", format!("core-{replica_index}")),
                    (
                        "zone",
                        format!("z{}", replica_index % deployment.zone_count),
                    ),
                    ("seat", replica_index.to_string()),
                    ("seats", deployment.replica_count.to_string()),
                    ("mates-address", listen_address.clone()),
                    ("advertised-address", advertised_address.clone()),
                    ("operators-address", operators_address.clone()),
                    ("seeds", seeds.clone()),
                    (
                        "folder",
                        folder
                            .join(format!("core-{replica_index}"))
                            .display()
                            .to_string(),
                    ),
                ]);
                Ok(ReplicaMachine {
                    process: None,
                    arguments,
                    operators_address: operators_address.clone(),
                    peer_address: advertised_address.clone(),
                    host: parse_host(&host(replica_index))?,
                })
            },
        );
        let replicas = replicas.collect::<Result<Vec<_>, String>>()?;
        let rate = deployment.rate / backends.len() as f64;
        let machines = backends
            .iter()
            .enumerate()
            .map(|(index, (name, service, zone))| {
                let host = host(deployment.replica_count + index);
                let ((listen_address, advertised_address), local_address, listen) = (
                    relayed_address(&network, &host)?,
                    free_address(&host)?,
                    free_address(&host)?,
                );
                let node_arguments = flag_arguments(&[
                    ("name", format!("node-{name}")),
                    ("zone", format!("z{zone}")),
                    ("mates-address", listen_address.clone()),
                    ("advertised-address", advertised_address.clone()),
                    ("local-address", local_address.clone()),
                    ("seeds", seeds.clone()),
                ]);
                let node_arguments = node_arguments
                    .into_iter()
                    .chain(node_flags.iter().cloned())
                    .collect();
                let stand_in_arguments = flag_arguments(&[
                    ("name", name.clone()),
                    ("service", service.to_string()),
                    ("zone", format!("z{zone}")),
                    ("slots", deployment.slots.to_string()),
                    ("node", local_address.clone()),
                    ("listen", listen),
                    (
                        "history",
                        folder.join(format!("{name}.history")).display().to_string(),
                    ),
                    ("work", deployment.work_us.to_string()),
                    ("spoil", corrupted_per_mille.to_string()),
                    ("seed", (seed * 1_000 + index as u64).to_string()),
                    ("rate", rate.to_string()),
                    ("hot", "333".to_string()),
                    (
                        "sends",
                        serde_json::to_string(&deployment.client_requests(service))
                            .unwrap_or_default(),
                    ),
                ]);
                let stand_in_arguments = std::iter::once("understudy".to_string())
                    .chain(stand_in_arguments)
                    .collect();
                let host = parse_host(&host)?;
                Ok(Machine {
                    node: None,
                    node_arguments,
                    stand_in: None,
                    stand_in_arguments,
                    name: name.clone(),
                    local_address,
                    peer_address: advertised_address,
                    host,
                })
            });
        let machines = machines.collect::<Result<Vec<_>, String>>()?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(10))
            .build()
            .map_err(|error| error.to_string())?;
        let addresses = tokio::sync::watch::Sender::new(
            replicas
                .iter()
                .map(|replica: &ReplicaMachine| replica.operators_address.clone())
                .collect(),
        );
        Ok(Fleet {
            folder,
            deployment,
            replicas,
            machines,
            http,
            network,
            operator_addresses: addresses,
            added_backends: Vec::new(),
            simulated_disks: false,
        })
    }
}
