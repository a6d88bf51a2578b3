//! All of a site's processes on one machine, on loopback (design 9.5).

mod plan;

use crate::deployment::Deployment;
use crate::operators::ChangeAnswer;
use crate::process::Process;
use std::path::PathBuf;
use std::time::Duration;

pub struct ReplicaMachine {
    pub process: Option<Process>,
    pub arguments: Vec<String>,
    pub operators_address: String,
    pub peer_address: String,
    pub host: crate::network::Host,
}

pub struct Machine {
    pub node: Option<Process>,
    pub node_arguments: Vec<String>,
    pub stand_in: Option<Process>,
    pub stand_in_arguments: Vec<String>,
    pub name: String,
    pub local_address: String,
    pub peer_address: String,
    pub host: crate::network::Host,
}

pub struct Fleet {
    pub folder: PathBuf,
    pub deployment: Deployment,
    pub replicas: Vec<ReplicaMachine>,
    pub machines: Vec<Machine>,
    pub http: reqwest::Client,
    pub network: crate::network::Network,
    /// Where operators find each core seat.
    pub operator_addresses: tokio::sync::watch::Sender<Vec<String>>,
    /// Back ends that came later than the site: heirs of addresses, added ones.
    pub added_backends: Vec<Process>,
    /// Core seats run over disks that this rehearsal spoils.
    pub simulated_disks: bool,
}

impl Fleet {
    pub fn start_replica(&mut self, seat: usize) -> Result<(), String> {
        let core = &mut self.replicas[seat];
        // Over a made-up disk the seat is a stand-in, put together from the same library.
        let stand_in = self.simulated_disks.then(|| {
            [
                &["seat".to_string()][..],
                &core.arguments,
                &["--sync".into(), self.deployment.sync_us.to_string()],
            ]
            .concat()
        });
        let (program, arguments) = stand_in
            .map(|arguments| ("simulator", arguments))
            .unwrap_or_else(|| ("gradeford-core", core.arguments.clone()));
        core.process = Some(Process::start(
            &self.folder,
            &format!("core-{seat}"),
            program,
            &arguments,
        )?);
        Ok(())
    }

    pub fn start_node(&mut self, at: usize) -> Result<(), String> {
        let machine = &mut self.machines[at];
        machine.node = Some(Process::start(
            &self.folder,
            &format!("node-{}", machine.name),
            "gradeford-node",
            &machine.node_arguments,
        )?);
        Ok(())
    }

    pub fn start_stand_in(&mut self, at: usize) -> Result<(), String> {
        let machine = &mut self.machines[at];
        machine.stand_in = Some(Process::start(
            &self.folder,
            &machine.name,
            "simulator",
            &machine.stand_in_arguments,
        )?);
        Ok(())
    }

    /// Everything up, the site's orders accepted, every back end registered.
    pub async fn start(&mut self) -> Result<(), String> {
        (0..self.replicas.len()).try_for_each(|seat| self.start_replica(seat))?;
        let cores: Vec<String> = self
            .replicas
            .iter()
            .map(|core| core.operators_address.clone())
            .collect();
        self.wait_until_ready(&cores).await?;
        self.apply("site", 0, self.deployment.edits()).await?;
        (0..self.machines.len()).try_for_each(|at| self.start_node(at))?;
        let ushers: Vec<String> = self
            .machines
            .iter()
            .map(|machine| machine.local_address.clone())
            .collect();
        self.wait_until_ready(&ushers).await?;
        (0..self.machines.len()).try_for_each(|at| self.start_stand_in(at))?;
        self.wait_until_registered(self.machines.len()).await
    }

    pub async fn get(&self, address: &str, path: &str) -> Option<(u16, serde_json::Value)> {
        let response = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .await
            .ok()?;
        Some((response.status().as_u16(), response.json().await.ok()?))
    }

    pub fn service_of(&self, at: usize) -> String {
        crate::process::flag_value(&self.machines[at].stand_in_arguments, "--service")
            .cloned()
            .unwrap_or_default()
    }

    /// Where a machine's back end takes requests.
    pub fn backend_address(&self, at: usize) -> Option<String> {
        crate::process::flag_value(&self.machines[at].stand_in_arguments, "--listen").cloned()
    }

    pub fn operator(&self) -> crate::operators::Operator {
        crate::operators::Operator {
            addresses: self.operator_addresses.subscribe(),
            history: self.history_writer(),
            http: self.http.clone(),
        }
    }

    /// One more back end beside a machine's usher; with the address of another, or one of its own.
    pub fn add_backend(
        &mut self,
        beside: usize,
        service: &str,
        address: Option<String>,
    ) -> Result<(), String> {
        let name = format!("heir-{}", self.added_backends.len());
        let own = format!("{}:0", self.machines[beside].host);
        let history = self
            .folder
            .join(format!("{name}.history"))
            .display()
            .to_string();
        let changed = [
            ("--name", name.clone()),
            ("--service", service.to_string()),
            ("--listen", address.unwrap_or(own)),
            ("--history", history),
            ("--rate", "0".into()),
        ];
        let arguments =
            crate::process::with_flags(&self.machines[beside].stand_in_arguments, &changed);
        self.added_backends.push(Process::start(
            &self.folder,
            &name,
            "simulator",
            &arguments,
        )?);
        Ok(())
    }

    pub async fn version(&self) -> Result<u64, String> {
        for core in &self.replicas {
            if let Some((200, state)) = self.get(&core.operators_address, "/v1/desired").await {
                return state["version"]
                    .as_u64()
                    .ok_or_else(|| "no version".to_string());
            }
        }
        Err("no core seat told its version".into())
    }

    /// One atomic change through the first core seat that says for certain; its version and position.
    pub async fn apply(
        &self,
        id: &str,
        base: u64,
        edits: Vec<serde_json::Value>,
    ) -> Result<(u64, u64), String> {
        for seat in 0..self.replicas.len() {
            match self.operator().send(seat, id, base, &edits).await? {
                ChangeAnswer::Accepted(version, position) => return Ok((version, position)),
                ChangeAnswer::Rejected(status, told) if status < 500 => return Err(told),
                ChangeAnswer::Rejected(..) | ChangeAnswer::Unknown => {}
            }
        }
        Err("no core seat took the change".into())
    }

    /// Waits as long as it takes, up to a minute: a bound for broken runs, not a figure.
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        what: &str,
        holds: impl Fn() -> F,
    ) -> Result<(), String> {
        let waiting = async {
            while !holds().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(60), waiting)
            .await
            .map_err(|_| format!("never came: {what}"))
    }

    pub async fn wait_until_ready(&self, addresses: &[String]) -> Result<(), String> {
        for address in addresses {
            self.wait_until(&format!("{address} ready"), || async {
                matches!(self.get(address, "/ready").await, Some((200, _)))
            })
            .await?;
        }
        Ok(())
    }

    pub async fn wait_until_registered(&self, count: usize) -> Result<(), String> {
        self.wait_until("back ends registered", || async {
            let mut registered = 0;
            for core in &self.replicas {
                if let Some((200, standing)) =
                    self.get(&core.operators_address, "/v1/standing").await
                {
                    let back_ends = standing["standing"]["back_ends"]
                        .as_object()
                        .cloned()
                        .unwrap_or_default();
                    registered = back_ends
                        .values()
                        .filter(|held| held["phase"] == "registered")
                        .count();
                    break;
                }
            }
            registered >= count
        })
        .await
    }

    /// Stand-ins first, each in good order, so that histories are whole; then nodes, then the core.
    pub async fn stop(&mut self) {
        let all = [
            self.machines
                .iter_mut()
                .filter_map(|machine| machine.stand_in.take())
                .chain(self.added_backends.drain(..))
                .collect::<Vec<_>>(),
            self.machines
                .iter_mut()
                .filter_map(|machine| machine.node.take())
                .collect(),
            self.replicas
                .iter_mut()
                .filter_map(|core| core.process.take())
                .collect(),
        ];
        for mut group in all {
            group
                .iter()
                .for_each(|process| process.signal(rustix::process::Signal::TERM));
            let exit_status = async {
                while !group
                    .iter_mut()
                    .all(|process| process.exit_status().is_some())
                {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            tokio::time::timeout(Duration::from_secs(15), exit_status)
                .await
                .unwrap_or_default();
        }
    }
}
