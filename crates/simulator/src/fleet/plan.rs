//! Who runs where: addresses, zones, settings of a rehearsal's processes (design 9.5).

use crate::deployment::Deployment;
use crate::fleet::{Fleet, Machine, ReplicaMachine};
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

/// A port that was free a moment ago, on a loopback address of this run's own.
fn free_address(host: &str) -> Result<String, String> {
    let listener = TcpListener::bind(format!("{host}:0")).map_err(|error| error.to_string())?;
    listener
        .local_addr()
        .map(|address| address.to_string())
        .map_err(|error| error.to_string())
}

fn parse_host(host: &str) -> Result<crate::network::Host, String> {
    host.parse().map_err(|_| format!("{host} is no address"))
}

/// Where the process listens, and where others find it: the link stands between.
fn relayed_address(
    links: &crate::network::Network,
    host: &str,
) -> Result<(String, String), String> {
    let real = free_address(host)?;
    let listener = TcpListener::bind(format!("{host}:0")).map_err(|error| error.to_string())?;
    let known = listener
        .local_addr()
        .map_err(|error| error.to_string())?
        .to_string();
    listener
        .set_nonblocking(true)
        .map_err(|error| error.to_string())?;
    let listener =
        tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    let (links, target) = (
        links.clone(),
        real.parse().map_err(|_| "no address".to_string())?,
    );
    tokio::spawn(async move { links.relay(listener, target).await });
    Ok((real, known))
}

fn flag_words(pairs: &[(&str, String)]) -> Vec<String> {
    pairs
        .iter()
        .flat_map(|(flag, value)| [format!("--{flag}"), value.clone()])
        .collect()
}

impl Fleet {
    /// An empty machine for a seat: the same place in the order, another address, another folder.
    pub fn plan_replacement(&mut self, seat: usize) -> Result<(), String> {
        let host = self.replicas[seat].host.to_string();
        let ((mates, known), operators) =
            (relayed_address(&self.network, &host)?, free_address(&host)?);
        let folder = self.folder.join(format!("core-{seat}-{}", model::now()));
        let moved = [
            ("--mates-address", mates),
            ("--advertised-address", known.clone()),
            ("--operators-address", operators.clone()),
            ("--folder", folder.display().to_string()),
        ];
        let core = &mut self.replicas[seat];
        core.arguments = crate::process::with_flags(&core.arguments, &moved);
        (core.operators_address, core.peer_address) = (operators, known);
        self.operator_addresses.send_replace(
            self.replicas
                .iter()
                .map(|core| core.operators_address.clone())
                .collect(),
        );
        Ok(())
    }

    /// Must be called within a runtime: the links' relays are its tasks.
    pub fn plan(
        deployment: Deployment,
        folder: PathBuf,
        seed: u64,
        spoil: u32,
        usher_flags: &[String],
    ) -> Result<Fleet, String> {
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let id = std::process::id();
        let host =
            |machine: usize| format!("127.{}.{}.{}", 16 + id / 250 % 200, id % 250, machine + 1);
        let back_ends = deployment.backends();
        let core_zones = (0..deployment.replica_count).map(|seat| seat % deployment.zone_count);
        let zones = core_zones
            .chain(back_ends.iter().map(|(_, _, zone)| *zone))
            .enumerate();
        let zones = zones
            .map(|(machine, zone)| Ok((parse_host(&host(machine))?, zone)))
            .collect::<Result<_, String>>()?;
        let links = crate::network::Network::new(zones, deployment.zone_delay_us);
        let places = (0..deployment.replica_count)
            .map(|seat| {
                Ok((
                    relayed_address(&links, &host(seat))?,
                    free_address(&host(seat))?,
                ))
            })
            .collect::<Result<Vec<_>, String>>()?;
        let seeds = places
            .iter()
            .take(3)
            .map(|((_, known), _)| known.clone())
            .collect::<Vec<_>>()
            .join(",")
            + ",";
        let cores = places
            .iter()
            .enumerate()
            .map(|(seat, ((mates, known), operators))| {
                let arguments = flag_words(&[
                    ("name", format!("core-{seat}")),
                    ("zone", format!("z{}", seat % deployment.zone_count)),
                    ("seat", seat.to_string()),
                    ("seats", deployment.replica_count.to_string()),
                    ("mates-address", mates.clone()),
                    ("advertised-address", known.clone()),
                    ("operators-address", operators.clone()),
                    ("seeds", seeds.clone()),
                    (
                        "folder",
                        folder.join(format!("core-{seat}")).display().to_string(),
                    ),
                ]);
                Ok(ReplicaMachine {
                    process: None,
                    arguments,
                    operators_address: operators.clone(),
                    peer_address: known.clone(),
                    host: parse_host(&host(seat))?,
                })
            });
        let cores = cores.collect::<Result<Vec<_>, String>>()?;
        let rate = deployment.rate / back_ends.len() as f64;
        let machines = back_ends
            .iter()
            .enumerate()
            .map(|(at, (name, service, zone))| {
                let host = host(deployment.replica_count + at);
                let ((mates, known), local, listen) = (
                    relayed_address(&links, &host)?,
                    free_address(&host)?,
                    free_address(&host)?,
                );
                let usher_arguments = flag_words(&[
                    ("name", format!("node-{name}")),
                    ("zone", format!("z{zone}")),
                    ("mates-address", mates.clone()),
                    ("advertised-address", known.clone()),
                    ("local-address", local.clone()),
                    ("seeds", seeds.clone()),
                ]);
                let usher_arguments = usher_arguments
                    .into_iter()
                    .chain(usher_flags.iter().cloned())
                    .collect();
                let understudy_arguments = flag_words(&[
                    ("name", name.clone()),
                    ("service", service.to_string()),
                    ("zone", format!("z{zone}")),
                    ("slots", deployment.slots.to_string()),
                    ("node", local.clone()),
                    ("listen", listen),
                    (
                        "history",
                        folder.join(format!("{name}.history")).display().to_string(),
                    ),
                    ("work", deployment.work_us.to_string()),
                    ("spoil", spoil.to_string()),
                    ("seed", (seed * 1_000 + at as u64).to_string()),
                    ("rate", rate.to_string()),
                    ("hot", "333".to_string()),
                    (
                        "sends",
                        serde_json::to_string(&deployment.client_requests(service))
                            .unwrap_or_default(),
                    ),
                ]);
                let understudy_arguments = std::iter::once("understudy".to_string())
                    .chain(understudy_arguments)
                    .collect();
                let host = parse_host(&host)?;
                Ok(Machine {
                    node: None,
                    node_arguments: usher_arguments,
                    stand_in: None,
                    stand_in_arguments: understudy_arguments,
                    name: name.clone(),
                    local_address: local,
                    peer_address: known,
                    host,
                })
            });
        let machines = machines.collect::<Result<Vec<_>, String>>()?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(Duration::from_secs(10))
            .build()
            .map_err(|error| error.to_string())?;
        let places = tokio::sync::watch::Sender::new(
            cores
                .iter()
                .map(|core: &ReplicaMachine| core.operators_address.clone())
                .collect(),
        );
        Ok(Fleet {
            folder,
            deployment,
            replicas: cores,
            machines,
            http,
            network: links,
            operator_addresses: places,
            added_backends: Vec::new(),
            simulated_disks: false,
        })
    }
}
