//! Carries out the steps of a scenario on a fleet (design 9.7).

use crate::fleet::Fleet;
use crate::process::Process;
use crate::scenario::{Step, Target};
use rustix::process::Signal;
use std::path::Path;
use std::time::Duration;

pub struct Supervisor {
    pub fleet: Fleet,
    changes: u64,
    /// Frozen processes, so that none stays so at the end.
    frozen: Vec<(Target, u64)>,
}

impl Supervisor {
    pub fn new(fleet: Fleet) -> Self {
        Supervisor {
            fleet,
            changes: 0,
            frozen: Vec::new(),
        }
    }

    fn process_slot(&mut self, who: Target) -> &mut Option<Process> {
        match who {
            Target::Replica(seat) => &mut self.fleet.replicas[seat].process,
            Target::Node(at) => &mut self.fleet.machines[at].node,
            Target::Backend(at) => &mut self.fleet.machines[at].stand_in,
        }
    }

    fn host(&self, who: Target) -> crate::network::Host {
        match who {
            Target::Replica(seat) => self.fleet.replicas[seat].host,
            Target::Node(at) | Target::Backend(at) => self.fleet.machines[at].host,
        }
    }

    fn start(&mut self, who: Target) -> Result<(), String> {
        match who {
            Target::Replica(seat) => self.fleet.start_replica(seat),
            Target::Node(at) => self.fleet.start_node(at),
            Target::Backend(at) => self.fleet.start_stand_in(at),
        }
    }

    fn kill(&mut self, who: Target) -> Result<(), String> {
        let killed = self
            .process_slot(who)
            .take()
            .map(|mut process| process.kill())
            .is_some();
        match who {
            Target::Backend(at) if killed => self.fleet.record_leaving(at),
            _ => Ok(()),
        }
    }

    /// A planned end: waits until the process has gone, as whoever restarts it would.
    async fn stop(&mut self, who: Target) {
        if let Some(mut process) = self.process_slot(who).take() {
            process.signal(Signal::TERM);
            let gone = async {
                while process.ended().is_none() {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            tokio::time::timeout(Duration::from_secs(20), gone)
                .await
                .unwrap_or_default();
        }
    }

    fn all_targets(&self) -> Vec<Target> {
        let cores = (0..self.fleet.replicas.len()).map(Target::Replica);
        let machines =
            (0..self.fleet.machines.len()).flat_map(|at| [Target::Node(at), Target::Backend(at)]);
        cores.chain(machines).collect()
    }

    fn hosts(&self) -> Vec<crate::network::Host> {
        self.fleet
            .replicas
            .iter()
            .map(|core| core.host)
            .chain(self.fleet.machines.iter().map(|machine| machine.host))
            .collect()
    }

    pub async fn perform(&mut self, step: Step) -> Result<(), String> {
        let heals = step.heals();
        match step {
            Step::Kill(who) => self.kill(who)?,
            Step::Stop(who) => self.stop(who).await,
            Step::Start(who) => self.start(who)?,
            Step::Wipe(seat) => {
                self.destroy(seat)?;
                self.start(Target::Replica(seat))?;
            }
            Step::Replace(seat) => self.replace(seat).await?,
            Step::Freeze(who) => {
                self.frozen.push((who, model::now()));
                self.process_slot(who)
                    .iter()
                    .for_each(|process| process.signal(Signal::STOP));
            }
            Step::Unfreeze(who) => self.wake(who)?,
            Step::Isolate(who) => {
                let own = self.host(who);
                self.hosts()
                    .into_iter()
                    .filter(|host| *host != own)
                    .for_each(|host| {
                        self.fleet.network.cut(own, host);
                        self.fleet.network.cut(host, own);
                    });
            }
            Step::CutOutgoing(who) => {
                let own = self.host(who);
                self.hosts()
                    .into_iter()
                    .filter(|host| *host != own)
                    .for_each(|host| self.fleet.network.cut(own, host));
            }
            Step::Partition(few) => {
                let (inside, outside): (Vec<_>, Vec<_>) = self
                    .fleet
                    .replicas
                    .iter()
                    .enumerate()
                    .partition(|(seat, _)| few.contains(seat));
                inside
                    .iter()
                    .flat_map(|(_, one)| outside.iter().map(move |(_, two)| (one.host, two.host)))
                    .for_each(|(one, two)| {
                        self.fleet.network.cut(one, two);
                        self.fleet.network.cut(two, one);
                    });
            }
            Step::HealNetwork => self.fleet.network.heal(),
            Step::KillEverything => self
                .all_targets()
                .into_iter()
                .try_for_each(|who| self.kill(who))?,
            Step::StartEverything => self
                .all_targets()
                .into_iter()
                .try_for_each(|who| self.start(who))?,
            Step::KillAllReplicas => (0..self.fleet.replicas.len())
                .try_for_each(|seat| self.kill(Target::Replica(seat)))?,
            Step::StartAllReplicas => (0..self.fleet.replicas.len())
                .try_for_each(|seat| self.start(Target::Replica(seat)))?,
            Step::RemoveRoute => self.toggle_route(false).await?,
            Step::RestoreRoute => self.toggle_route(true).await?,
            Step::Reload(who) => self
                .process_slot(who)
                .iter()
                .for_each(|process| process.signal(Signal::HUP)),
            Step::ReuseAddress { from, beside } => {
                let other = self.other_service(from);
                let address = self.fleet.backend_address(from);
                self.fleet.add_backend(beside, &other, address)?;
            }
            Step::AddBackend(beside) => {
                let service = self.fleet.service_of(beside);
                self.fleet.add_backend(beside, &service, None)?;
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
            Step::SetDisk(seat, ill) => self.set_disk_fault(seat, ill)?,
            Step::LoseAfterAccept(seat) => self.lose_after_accept(seat).await?,
        }
        if heals {
            self.fleet.record_healed()?;
        }
        Ok(())
    }

    /// As an operator would: start it, read its disk's name, hand it the seat, wait until it is ready.
    async fn replace(&mut self, seat: usize) -> Result<(), String> {
        self.kill(Target::Replica(seat))?;
        self.fleet.plan_replacement(seat)?;
        self.start(Target::Replica(seat))?;
        let fleet = &self.fleet;
        let (new, other) = (
            fleet.replicas[seat].operators_address.clone(),
            fleet.replicas[(seat + 1) % fleet.replicas.len()]
                .operators_address
                .clone(),
        );
        fleet
            .until("the empty machine tells its disk", || async {
                fleet.get(&new, "/v1/status").await.is_some()
            })
            .await?;
        let told = |answer: Option<(u16, serde_json::Value)>| {
            answer
                .map(|(_, status)| status)
                .ok_or("no status".to_string())
        };
        let (fresh, held) = (
            told(fleet.get(&new, "/v1/status").await)?,
            told(fleet.get(&other, "/v1/status").await)?,
        );
        let ask = serde_json::json!({ "seat": seat, "from": held["holders"][seat.to_string()], "to": fresh["identity"] });
        let answer = fleet
            .http
            .post(format!("http://{other}/v1/seats"))
            .json(&ask)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!(
                "the replacement got {}",
                answer.text().await.unwrap_or_default()
            ));
        }
        fleet.until_ready(&[new]).await
    }

    /// An operator is told "accepted"; that very moment the machine burns. An empty one comes at a new address.
    async fn lose_after_accept(&mut self, seat: usize) -> Result<(), String> {
        let operator = self.fleet.operator();
        let put = self.first_route()?;
        let base = operator
            .read(seat)
            .await?
            .ok_or("the seat told no version")?;
        let answer = operator.send(seat, "acked-then-lost", base, &[put]).await?;
        self.destroy(seat)?;
        self.fleet.plan_replacement(seat)?;
        self.start(Target::Replica(seat))?;
        match answer {
            crate::operators::ChangeAnswer::Rejected(412, _)
            | crate::operators::ChangeAnswer::Accepted(..) => Ok(()),
            other => Err(format!("the change got {other:?}")),
        }
    }

    /// Power and disk go together.
    fn destroy(&mut self, seat: usize) -> Result<(), String> {
        self.kill(Target::Replica(seat))?;
        std::fs::remove_dir_all(self.fleet.folder.join(format!("core-{seat}")))
            .map_err(|error| error.to_string())
    }

    fn set_disk_fault(&mut self, seat: usize, ill: crate::disk::DiskFault) -> Result<(), String> {
        let folder = crate::process::flag_value(&self.fleet.replicas[seat].arguments, "--folder")
            .ok_or("the seat has no folder")?;
        std::fs::write(Path::new(folder).join("fault"), ill.file_text())
            .map_err(|error| error.to_string())
    }

    fn first_route(&self) -> Result<serde_json::Value, String> {
        self.fleet
            .deployment
            .edits()
            .into_iter()
            .find(|edit| edit.get("put_order").is_some())
            .ok_or("the site has no order".into())
    }

    fn other_service(&self, at: usize) -> String {
        let own = self.fleet.service_of(at);
        let mut others = self
            .fleet
            .deployment
            .services
            .iter()
            .map(|(service, _)| service.to_string());
        others
            .rfind(|service| *service != own)
            .unwrap_or(own.clone())
    }

    fn wake(&mut self, who: Target) -> Result<(), String> {
        let since = self
            .frozen
            .iter()
            .find(|(held, _)| *held == who)
            .map(|(_, since)| *since);
        self.frozen.retain(|(held, _)| *held != who);
        if let (Target::Node(at), Some(from)) = (who, since) {
            let by = self.fleet.machines[at].name.clone();
            self.fleet
                .history_writer()
                .write(&crate::history::Record::NodeStalled {
                    node: by,
                    from,
                    to: model::now(),
                })?;
        }
        self.process_slot(who)
            .iter()
            .for_each(|process| process.signal(Signal::CONT));
        Ok(())
    }

    /// Nothing stays frozen or cut.
    pub fn heal_all(&mut self) -> Result<(), String> {
        self.fleet.network.heal();
        self.frozen
            .clone()
            .into_iter()
            .try_for_each(|(who, _)| self.wake(who))
    }

    /// The first lane goes or comes back, whoever else changes things meanwhile.
    async fn toggle_route(&mut self, allow: bool) -> Result<(), String> {
        self.changes += 1;
        let put = self.first_route()?;
        let name = put["put_order"]["name"].clone();
        let edit = if allow {
            put
        } else {
            serde_json::json!({ "drop_order": { "name": name } })
        };
        self.fleet
            .record_route_change(self.fleet.deployment.routes[0], allow, false)?;
        self.fleet
            .operator()
            .submit_until_accepted(&format!("step-{}", self.changes), &[edit])
            .await?;
        self.fleet
            .record_route_change(self.fleet.deployment.routes[0], allow, true)
    }
}
