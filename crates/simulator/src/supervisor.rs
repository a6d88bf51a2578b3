//! Performs the steps of a scenario on a fleet (design 9.7).

use crate::fleet::Fleet;
use crate::process::Process;
use crate::scenario::{Step, Target};
use rustix::process::Signal;
use std::path::Path;
use std::time::Duration;

/// Performs the steps of a scenario on a running fleet.
pub struct Supervisor {
    pub fleet: Fleet,
    /// Number of route changes submitted so far.
    route_changes: u64,
    /// Frozen processes, with the time since which each is frozen. All of them are resumed at the end of the run.
    frozen: Vec<(Target, u64)>,
}

impl Supervisor {
    pub fn new(fleet: Fleet) -> Self {
        Supervisor {
            fleet,
            route_changes: 0,
            frozen: Vec::new(),
        }
    }

    fn process_slot(&mut self, target: Target) -> &mut Option<Process> {
        match target {
            Target::Replica(replica_index) => &mut self.fleet.replicas[replica_index].process,
            Target::Node(index) => &mut self.fleet.machines[index].node,
            Target::Backend(index) => &mut self.fleet.machines[index].stand_in,
        }
    }

    fn host(&self, target: Target) -> crate::network::Host {
        match target {
            Target::Replica(replica_index) => self.fleet.replicas[replica_index].host,
            Target::Node(index) | Target::Backend(index) => self.fleet.machines[index].host,
        }
    }

    fn start(&mut self, target: Target) -> Result<(), String> {
        match target {
            Target::Replica(replica_index) => self.fleet.start_replica(replica_index),
            Target::Node(index) => self.fleet.start_node(index),
            Target::Backend(index) => self.fleet.start_stand_in(index),
        }
    }

    fn kill(&mut self, target: Target) -> Result<(), String> {
        let killed = self
            .process_slot(target)
            .take()
            .map(|mut process| process.kill())
            .is_some();
        match target {
            Target::Backend(index) if killed => self.fleet.record_leaving(index),
            _ => Ok(()),
        }
    }

    /// Ends a process by SIGTERM and waits up to 20 seconds for its exit, as an operator does before a restart.
    async fn stop(&mut self, target: Target) {
        if let Some(mut process) = self.process_slot(target).take() {
            process.signal(Signal::TERM);
            let exited = async {
                while process.exit_status().is_none() {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            tokio::time::timeout(Duration::from_secs(20), exited)
                .await
                .unwrap_or_default();
        }
    }

    fn all_targets(&self) -> Vec<Target> {
        let replicas = (0..self.fleet.replicas.len()).map(Target::Replica);
        let machines = (0..self.fleet.machines.len())
            .flat_map(|index| [Target::Node(index), Target::Backend(index)]);
        replicas.chain(machines).collect()
    }

    fn hosts(&self) -> Vec<crate::network::Host> {
        self.fleet
            .replicas
            .iter()
            .map(|replica| replica.host)
            .chain(self.fleet.machines.iter().map(|machine| machine.host))
            .collect()
    }

    /// Performs one step. Records the end of a fault if the step ends one.
    pub async fn perform(&mut self, step: Step) -> Result<(), String> {
        let ends_fault = step.ends_fault();
        match step {
            Step::Kill(target) => self.kill(target)?,
            Step::Stop(target) => self.stop(target).await,
            Step::Start(target) => self.start(target)?,
            Step::Wipe(replica_index) => {
                self.destroy(replica_index)?;
                self.start(Target::Replica(replica_index))?;
            }
            Step::Replace(replica_index) => self.replace(replica_index).await?,
            Step::Freeze(target) => {
                self.frozen.push((target, model::now()));
                self.process_slot(target)
                    .iter()
                    .for_each(|process| process.signal(Signal::STOP));
            }
            Step::Unfreeze(target) => self.resume(target)?,
            Step::Isolate(target) => {
                let own_host = self.host(target);
                self.hosts()
                    .into_iter()
                    .filter(|host| *host != own_host)
                    .for_each(|host| {
                        self.fleet.network.cut(own_host, host);
                        self.fleet.network.cut(host, own_host);
                    });
            }
            Step::CutOutgoing(target) => {
                let own_host = self.host(target);
                self.hosts()
                    .into_iter()
                    .filter(|host| *host != own_host)
                    .for_each(|host| self.fleet.network.cut(own_host, host));
            }
            Step::Partition(minority) => {
                let (inside, outside): (Vec<_>, Vec<_>) = self
                    .fleet
                    .replicas
                    .iter()
                    .enumerate()
                    .partition(|(replica_index, _)| minority.contains(replica_index));
                inside
                    .iter()
                    .flat_map(|(_, first)| {
                        outside
                            .iter()
                            .map(move |(_, second)| (first.host, second.host))
                    })
                    .for_each(|(first, second)| {
                        self.fleet.network.cut(first, second);
                        self.fleet.network.cut(second, first);
                    });
            }
            Step::HealNetwork => self.fleet.network.heal(),
            Step::KillEverything => self
                .all_targets()
                .into_iter()
                .try_for_each(|target| self.kill(target))?,
            Step::StartEverything => self
                .all_targets()
                .into_iter()
                .try_for_each(|target| self.start(target))?,
            Step::KillAllReplicas => (0..self.fleet.replicas.len())
                .try_for_each(|replica_index| self.kill(Target::Replica(replica_index)))?,
            Step::StartAllReplicas => (0..self.fleet.replicas.len())
                .try_for_each(|replica_index| self.start(Target::Replica(replica_index)))?,
            Step::RemoveRoute => self.toggle_route(false).await?,
            Step::RestoreRoute => self.toggle_route(true).await?,
            Step::Reload(target) => self
                .process_slot(target)
                .iter()
                .for_each(|process| process.signal(Signal::HUP)),
            Step::ReuseAddress { backend, node } => {
                let other = self.other_service(backend);
                let address = self.fleet.backend_address(backend);
                self.fleet.add_backend(node, &other, address)?;
            }
            Step::AddBackend(node) => {
                let service = self.fleet.service_of(node);
                self.fleet.add_backend(node, &service, None)?;
            }
            Step::DrainAddedBackends => self
                .fleet
                .added_backends
                .iter()
                .for_each(|process| process.signal(Signal::TERM)),
            Step::StartHotKey => {
                self.fleet
                    .history_writer()
                    .write(&crate::history::Record::HotKeyStarted { at: model::now() })?;
                self.fleet
                    .machines
                    .iter()
                    .flat_map(|machine| &machine.stand_in)
                    .for_each(|process| process.signal(Signal::USR1));
            }
            Step::SetDisk(replica_index, disk_fault) => {
                self.set_disk_fault(replica_index, disk_fault)?
            }
            Step::LoseAfterAccept(replica_index) => self.lose_after_accept(replica_index).await?,
        }
        if ends_fault {
            self.fleet.record_healed()?;
        }
        Ok(())
    }

    /// Replaces a replica as an operator does: starts an empty machine, reads its identity, assigns it the replica id
    /// and waits until it is ready.
    async fn replace(&mut self, replica_index: usize) -> Result<(), String> {
        self.kill(Target::Replica(replica_index))?;
        self.fleet.plan_replacement(replica_index)?;
        self.start(Target::Replica(replica_index))?;
        let fleet = &self.fleet;
        let (new, other) = (
            fleet.replicas[replica_index].operators_address.clone(),
            fleet.replicas[(replica_index + 1) % fleet.replicas.len()]
                .operators_address
                .clone(),
        );
        fleet
            .wait_until("the empty replica returns its status", || async {
                fleet.get(&new, "/v1/status").await.is_some()
            })
            .await?;
        let status_of = |answer: Option<(u16, serde_json::Value)>| {
            answer
                .map(|(_, status)| status)
                .ok_or("a replica returned no status".to_string())
        };
        let (empty_status, other_status) = (
            status_of(fleet.get(&new, "/v1/status").await)?,
            status_of(fleet.get(&other, "/v1/status").await)?,
        );
        let request = serde_json::json!({ "seat": replica_index, "from": other_status["holders"][replica_index.to_string()], "to": empty_status["identity"] });
        let answer = fleet
            .http
            .post(format!("http://{other}/v1/seats"))
            .json(&request)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!(
                "the replacement was rejected: {}",
                answer.text().await.unwrap_or_default()
            ));
        }
        fleet.wait_until_ready(&[new]).await
    }

    /// Destroys a replica as soon as it has accepted a change. An empty replica at a new address replaces it.
    async fn lose_after_accept(&mut self, replica_index: usize) -> Result<(), String> {
        let operator = self.fleet.operator();
        let route_edit = self.first_route()?;
        let base = operator
            .read(replica_index)
            .await?
            .ok_or("the replica returned no version")?;
        let answer = operator
            .send(replica_index, "acked-then-lost", base, &[route_edit])
            .await?;
        self.destroy(replica_index)?;
        self.fleet.plan_replacement(replica_index)?;
        self.start(Target::Replica(replica_index))?;
        match answer {
            crate::operators::ChangeAnswer::Rejected(412, _)
            | crate::operators::ChangeAnswer::Accepted(..) => Ok(()),
            other => Err(format!("the change had an unexpected outcome: {other:?}")),
        }
    }

    /// Kills a replica and deletes its folder.
    fn destroy(&mut self, replica_index: usize) -> Result<(), String> {
        self.kill(Target::Replica(replica_index))?;
        std::fs::remove_dir_all(self.fleet.folder.join(format!("core-{replica_index}")))
            .map_err(|error| error.to_string())
    }

    fn set_disk_fault(
        &mut self,
        replica_index: usize,
        disk_fault: crate::disk::DiskFault,
    ) -> Result<(), String> {
        let folder =
            crate::process::flag_value(&self.fleet.replicas[replica_index].arguments, "--folder")
                .ok_or("the replica has no --folder argument")?;
        std::fs::write(Path::new(folder).join("fault"), disk_fault.file_text())
            .map_err(|error| error.to_string())
    }

    fn first_route(&self) -> Result<serde_json::Value, String> {
        self.fleet
            .deployment
            .edits()
            .into_iter()
            .find(|edit| edit.get("put_order").is_some())
            .ok_or("the site has no route".into())
    }

    /// Returns a service other than that of the backend with this index, if the site has one.
    fn other_service(&self, index: usize) -> String {
        let own_service = self.fleet.service_of(index);
        let mut others = self
            .fleet
            .deployment
            .services
            .iter()
            .map(|(service, _)| service.to_string());
        others
            .rfind(|service| *service != own_service)
            .unwrap_or(own_service.clone())
    }

    fn resume(&mut self, target: Target) -> Result<(), String> {
        let frozen_since = self
            .frozen
            .iter()
            .find(|(frozen_target, _)| *frozen_target == target)
            .map(|(_, frozen_since)| *frozen_since);
        self.frozen
            .retain(|(frozen_target, _)| *frozen_target != target);
        if let (Target::Node(index), Some(from)) = (target, frozen_since) {
            let node = self.fleet.machines[index].name.clone();
            self.fleet
                .history_writer()
                .write(&crate::history::Record::NodeStalled {
                    node,
                    from,
                    to: model::now(),
                })?;
        }
        self.process_slot(target)
            .iter()
            .for_each(|process| process.signal(Signal::CONT));
        Ok(())
    }

    /// Heals the network and resumes every frozen process.
    pub fn heal_all(&mut self) -> Result<(), String> {
        self.fleet.network.heal();
        self.frozen
            .clone()
            .into_iter()
            .try_for_each(|(target, _)| self.resume(target))
    }

    /// Removes or restores the first route, even if other operators change the desired state at the same time.
    async fn toggle_route(&mut self, allow: bool) -> Result<(), String> {
        self.route_changes += 1;
        let route_edit = self.first_route()?;
        let name = route_edit["put_order"]["name"].clone();
        let edit = if allow {
            route_edit
        } else {
            serde_json::json!({ "drop_order": { "name": name } })
        };
        self.fleet
            .record_route_change(self.fleet.deployment.routes[0], allow, false)?;
        self.fleet
            .operator()
            .submit_until_accepted(&format!("step-{}", self.route_changes), &[edit])
            .await?;
        self.fleet
            .record_route_change(self.fleet.deployment.routes[0], allow, true)
    }
}
