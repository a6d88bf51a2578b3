//! Runs all processes of a site on one machine, at loopback addresses (design 9.5).

mod plan;

use crate::deployment::Deployment;
use crate::operators::ChangeAnswer;
use crate::process::Process;
use std::path::PathBuf;
use std::time::Duration;

/// A simulated core machine with its replica of the log.
pub struct ReplicaMachine {
    pub process: Option<Process>,
    pub arguments: Vec<String>,
    pub operators_address: String,
    pub peer_address: String,
    pub host: crate::network::Host,
}

/// A simulated machine with a node and the stand-in backend beside it.
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

/// The processes of one site, the network between them and the folder of the run.
pub struct Fleet {
    pub folder: PathBuf,
    pub deployment: Deployment,
    pub replicas: Vec<ReplicaMachine>,
    pub machines: Vec<Machine>,
    pub http: reqwest::Client,
    pub network: crate::network::Network,
    /// Current operator address of each replica.
    pub operator_addresses: tokio::sync::watch::Sender<Vec<String>>,
    /// Backends that steps of the scenario added: those that take over an address, and additional ones.
    pub added_backends: Vec<Process>,
    /// Whether the replicas run over simulated disks, which the scenario can make faulty.
    pub simulated_disks: bool,
}

impl Fleet {
    /// Starts the process of a replica.
    pub fn start_replica(&mut self, replica_index: usize) -> Result<(), String> {
        let replica = &mut self.replicas[replica_index];
        // With a simulated disk the replica runs in the `simulator` program, which uses the same library as
        // `gradeford-core`.
        let stand_in = self.simulated_disks.then(|| {
            [
                &["seat".to_string()][..],
                &replica.arguments,
                &["--sync".into(), self.deployment.sync_us.to_string()],
            ]
            .concat()
        });
        let (program, arguments) = stand_in
            .map(|arguments| ("simulator", arguments))
            .unwrap_or_else(|| ("gradeford-core", replica.arguments.clone()));
        replica.process = Some(Process::start(
            &self.folder,
            &format!("core-{replica_index}"),
            program,
            &arguments,
        )?);
        Ok(())
    }

    /// Starts the node of a machine.
    pub fn start_node(&mut self, machine_index: usize) -> Result<(), String> {
        let machine = &mut self.machines[machine_index];
        machine.node = Some(Process::start(
            &self.folder,
            &format!("node-{}", machine.name),
            "gradeford-node",
            &machine.node_arguments,
        )?);
        Ok(())
    }

    /// Starts the stand-in backend of a machine.
    pub fn start_stand_in(&mut self, machine_index: usize) -> Result<(), String> {
        let machine = &mut self.machines[machine_index];
        machine.stand_in = Some(Process::start(
            &self.folder,
            &machine.name,
            "simulator",
            &machine.stand_in_arguments,
        )?);
        Ok(())
    }

    /// Starts all processes, applies the site's routes, and waits until every backend is registered.
    pub async fn start(&mut self) -> Result<(), String> {
        (0..self.replicas.len()).try_for_each(|replica_index| self.start_replica(replica_index))?;
        let replica_addresses: Vec<String> = self
            .replicas
            .iter()
            .map(|replica| replica.operators_address.clone())
            .collect();
        self.wait_until_ready(&replica_addresses).await?;
        self.apply("site", 0, self.deployment.edits()).await?;
        (0..self.machines.len()).try_for_each(|machine_index| self.start_node(machine_index))?;
        let node_addresses: Vec<String> = self
            .machines
            .iter()
            .map(|machine| machine.local_address.clone())
            .collect();
        self.wait_until_ready(&node_addresses).await?;
        (0..self.machines.len())
            .try_for_each(|machine_index| self.start_stand_in(machine_index))?;
        self.wait_until_registered(self.machines.len()).await
    }

    /// Sends a GET request. Returns the status and the JSON body, or `None` if the request fails.
    pub async fn get(&self, address: &str, path: &str) -> Option<(u16, serde_json::Value)> {
        let response = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .await
            .ok()?;
        Some((response.status().as_u16(), response.json().await.ok()?))
    }

    /// Returns the service of a machine's backend.
    pub fn service_of(&self, machine_index: usize) -> String {
        crate::process::flag_value(
            &self.machines[machine_index].stand_in_arguments,
            "--service",
        )
        .cloned()
        .unwrap_or_default()
    }

    /// Returns the address on which a machine's backend listens.
    pub fn backend_address(&self, machine_index: usize) -> Option<String> {
        crate::process::flag_value(&self.machines[machine_index].stand_in_arguments, "--listen")
            .cloned()
    }

    /// Returns an operator that records into this run's history.
    pub fn operator(&self) -> crate::operators::Operator {
        crate::operators::Operator {
            addresses: self.operator_addresses.subscribe(),
            history: self.history_writer(),
            http: self.http.clone(),
        }
    }

    /// Starts one more backend beside a machine's node, at the address of another backend or at a new one. The checker
    /// recognises added backends by the prefix of their name.
    pub fn add_backend(
        &mut self,
        machine_index: usize,
        service: &str,
        address: Option<String>,
    ) -> Result<(), String> {
        let name = format!("heir-{}", self.added_backends.len());
        let own_address = format!("{}:0", self.machines[machine_index].host);
        let history = self
            .folder
            .join(format!("{name}.history"))
            .display()
            .to_string();
        let changed_flags = [
            ("--name", name.clone()),
            ("--service", service.to_string()),
            ("--listen", address.unwrap_or(own_address)),
            ("--history", history),
            ("--rate", "0".into()),
        ];
        let arguments = crate::process::with_flags(
            &self.machines[machine_index].stand_in_arguments,
            &changed_flags,
        );
        self.added_backends.push(Process::start(
            &self.folder,
            &name,
            "simulator",
            &arguments,
        )?);
        Ok(())
    }

    /// Returns the version of the desired state from the first replica that answers.
    pub async fn version(&self) -> Result<u64, String> {
        for replica in &self.replicas {
            if let Some((200, state)) = self.get(&replica.operators_address, "/v1/desired").await {
                return state["version"]
                    .as_u64()
                    .ok_or_else(|| "a replica returned no version".to_string());
            }
        }
        Err("no replica returned its version".into())
    }

    /// Applies one atomic change through the first replica that answers with a definite outcome. Returns the version and the
    /// position of the change.
    pub async fn apply(
        &self,
        id: &str,
        base: u64,
        edits: Vec<serde_json::Value>,
    ) -> Result<(u64, u64), String> {
        for replica_index in 0..self.replicas.len() {
            match self
                .operator()
                .send(replica_index, id, base, &edits)
                .await?
            {
                ChangeAnswer::Accepted(version, position) => return Ok((version, position)),
                ChangeAnswer::Rejected(status, message) if status < 500 => return Err(message),
                ChangeAnswer::Rejected(..) | ChangeAnswer::Unknown => {}
            }
        }
        Err("no replica accepted the change".into())
    }

    /// Waits until the condition holds, for at most a minute. Only failed runs reach that limit.
    pub async fn wait_until<F: Future<Output = bool>>(
        &self,
        condition: &str,
        is_met: impl Fn() -> F,
    ) -> Result<(), String> {
        let polling = async {
            while !is_met().await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(60), polling)
            .await
            .map_err(|_| format!("not reached within 60 seconds: {condition}"))
    }

    /// Waits until every process at these addresses reports that it is ready.
    pub async fn wait_until_ready(&self, addresses: &[String]) -> Result<(), String> {
        for address in addresses {
            self.wait_until(&format!("{address} is ready"), || async {
                matches!(self.get(address, "/ready").await, Some((200, _)))
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the log holds `count` registered backends.
    pub async fn wait_until_registered(&self, count: usize) -> Result<(), String> {
        self.wait_until("the backends are registered", || async {
            let mut registered = 0;
            for replica in &self.replicas {
                if let Some((200, status)) =
                    self.get(&replica.operators_address, "/v1/standing").await
                {
                    let backends = status["standing"]["back_ends"]
                        .as_object()
                        .cloned()
                        .unwrap_or_default();
                    registered = backends
                        .values()
                        .filter(|backend| backend["phase"] == "registered")
                        .count();
                    break;
                }
            }
            registered >= count
        })
        .await
    }

    /// Stops all processes by SIGTERM: the stand-ins first, so that their histories are complete, then the nodes, then
    /// the replicas.
    pub async fn stop(&mut self) {
        let groups = [
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
                .filter_map(|replica| replica.process.take())
                .collect(),
        ];
        for mut processes in groups {
            processes
                .iter()
                .for_each(|process| process.signal(rustix::process::Signal::TERM));
            let all_exited = async {
                while !processes
                    .iter_mut()
                    .all(|process| process.exit_status().is_some())
                {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            tokio::time::timeout(Duration::from_secs(15), all_exited)
                .await
                .unwrap_or_default();
        }
    }
}
