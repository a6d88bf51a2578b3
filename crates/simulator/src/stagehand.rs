//! Carries out the steps of a scenario on a fleet (design 9.7).

use crate::fleet::Fleet;
use crate::process::Process;
use crate::scenario::{Step, Who};
use rustix::process::Signal;
use std::path::Path;
use std::time::Duration;

pub struct Stagehand {
    pub fleet: Fleet,
    changes: u64,
    /// Frozen processes, so that none stays so at the end.
    frozen: Vec<(Who, u64)>,
}

impl Stagehand {
    pub fn new(fleet: Fleet) -> Self {
        Stagehand {
            fleet,
            changes: 0,
            frozen: Vec::new(),
        }
    }

    fn place(&mut self, who: Who) -> &mut Option<Process> {
        match who {
            Who::Core(seat) => &mut self.fleet.cores[seat].process,
            Who::Usher(at) => &mut self.fleet.machines[at].usher,
            Who::BackEnd(at) => &mut self.fleet.machines[at].understudy,
        }
    }

    fn host(&self, who: Who) -> crate::links::Host {
        match who {
            Who::Core(seat) => self.fleet.cores[seat].host,
            Who::Usher(at) | Who::BackEnd(at) => self.fleet.machines[at].host,
        }
    }

    fn start(&mut self, who: Who) -> Result<(), String> {
        match who {
            Who::Core(seat) => self.fleet.start_core(seat),
            Who::Usher(at) => self.fleet.start_usher(at),
            Who::BackEnd(at) => self.fleet.start_understudy(at),
        }
    }

    fn kill(&mut self, who: Who) -> Result<(), String> {
        let killed = self
            .place(who)
            .take()
            .map(|mut process| process.kill())
            .is_some();
        match who {
            Who::BackEnd(at) if killed => self.fleet.note_leaving(at),
            _ => Ok(()),
        }
    }

    /// A planned end: waits until the process has gone, as whoever restarts it would.
    async fn stop(&mut self, who: Who) {
        if let Some(mut process) = self.place(who).take() {
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

    fn everyone(&self) -> Vec<Who> {
        let cores = (0..self.fleet.cores.len()).map(Who::Core);
        let machines =
            (0..self.fleet.machines.len()).flat_map(|at| [Who::Usher(at), Who::BackEnd(at)]);
        cores.chain(machines).collect()
    }

    fn hosts(&self) -> Vec<crate::links::Host> {
        self.fleet
            .cores
            .iter()
            .map(|core| core.host)
            .chain(self.fleet.machines.iter().map(|machine| machine.host))
            .collect()
    }

    pub async fn take(&mut self, step: Step) -> Result<(), String> {
        let heals = step.heals();
        match step {
            Step::Kill(who) => self.kill(who)?,
            Step::Stop(who) => self.stop(who).await,
            Step::Start(who) => self.start(who)?,
            Step::Wipe(seat) => {
                self.burn(seat)?;
                self.start(Who::Core(seat))?;
            }
            Step::Replace(seat) => self.replace(seat).await?,
            Step::Freeze(who) => {
                self.frozen.push((who, model::now()));
                self.place(who)
                    .iter()
                    .for_each(|process| process.signal(Signal::STOP));
            }
            Step::Wake(who) => self.wake(who)?,
            Step::Isolate(who) => {
                let own = self.host(who);
                self.hosts()
                    .into_iter()
                    .filter(|host| *host != own)
                    .for_each(|host| {
                        self.fleet.links.cut(own, host);
                        self.fleet.links.cut(host, own);
                    });
            }
            Step::Mute(who) => {
                let own = self.host(who);
                self.hosts()
                    .into_iter()
                    .filter(|host| *host != own)
                    .for_each(|host| self.fleet.links.cut(own, host));
            }
            Step::Split(few) => {
                let (inside, outside): (Vec<_>, Vec<_>) = self
                    .fleet
                    .cores
                    .iter()
                    .enumerate()
                    .partition(|(seat, _)| few.contains(seat));
                inside
                    .iter()
                    .flat_map(|(_, one)| outside.iter().map(move |(_, two)| (one.host, two.host)))
                    .for_each(|(one, two)| {
                        self.fleet.links.cut(one, two);
                        self.fleet.links.cut(two, one);
                    });
            }
            Step::Mend => self.fleet.links.mend(),
            Step::KillEverything => self
                .everyone()
                .into_iter()
                .try_for_each(|who| self.kill(who))?,
            Step::StartEverything => self
                .everyone()
                .into_iter()
                .try_for_each(|who| self.start(who))?,
            Step::KillCore => {
                (0..self.fleet.cores.len()).try_for_each(|seat| self.kill(Who::Core(seat)))?
            }
            Step::StartCore => {
                (0..self.fleet.cores.len()).try_for_each(|seat| self.start(Who::Core(seat)))?
            }
            Step::Forbid => self.change(false).await?,
            Step::Allow => self.change(true).await?,
            Step::Reload(who) => self
                .place(who)
                .iter()
                .for_each(|process| process.signal(Signal::HUP)),
            Step::Inherit { from, beside } => {
                let other = self.other_service(from);
                let address = self.fleet.listen(from);
                self.fleet.add_back_end(beside, &other, address)?;
            }
            Step::Add(beside) => {
                let service = self.fleet.service(beside);
                self.fleet.add_back_end(beside, &service, None)?;
            }
            Step::DrainAdded => self
                .fleet
                .added
                .iter()
                .for_each(|process| process.signal(Signal::TERM)),
            Step::Heat => {
                self.fleet
                    .notebook()
                    .note(&crate::history::Record::Heated { at: model::now() })?;
                self.fleet
                    .machines
                    .iter()
                    .flat_map(|machine| &machine.understudy)
                    .for_each(|process| process.signal(Signal::USR1));
            }
            Step::Disk(seat, ill) => self.spoil(seat, ill)?,
            Step::AckThenLose(seat) => self.ack_then_lose(seat).await?,
        }
        if heals {
            self.fleet.note_healed()?;
        }
        Ok(())
    }

    /// As an operator would: start it, read its disk's name, hand it the seat, wait until it is ready.
    async fn replace(&mut self, seat: usize) -> Result<(), String> {
        self.kill(Who::Core(seat))?;
        self.fleet.plan_core_again(seat)?;
        self.start(Who::Core(seat))?;
        let fleet = &self.fleet;
        let (new, other) = (
            fleet.cores[seat].operators.clone(),
            fleet.cores[(seat + 1) % fleet.cores.len()]
                .operators
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
    async fn ack_then_lose(&mut self, seat: usize) -> Result<(), String> {
        let operator = self.fleet.operator();
        let put = self.first_order()?;
        let base = operator
            .read(seat)
            .await?
            .ok_or("the seat told no version")?;
        let answer = operator.send(seat, "acked-then-lost", base, &[put]).await?;
        self.burn(seat)?;
        self.fleet.plan_core_again(seat)?;
        self.start(Who::Core(seat))?;
        match answer {
            crate::operators::Answer::Refused(412, _) | crate::operators::Answer::Accepted(..) => {
                Ok(())
            }
            other => Err(format!("the change got {other:?}")),
        }
    }

    /// Power and disk go together.
    fn burn(&mut self, seat: usize) -> Result<(), String> {
        self.kill(Who::Core(seat))?;
        std::fs::remove_dir_all(self.fleet.folder.join(format!("core-{seat}")))
            .map_err(|error| error.to_string())
    }

    fn spoil(&mut self, seat: usize, ill: crate::disk::Ill) -> Result<(), String> {
        let folder = crate::process::flag(&self.fleet.cores[seat].arguments, "--folder")
            .ok_or("the seat has no folder")?;
        std::fs::write(Path::new(folder).join("fault"), ill.word())
            .map_err(|error| error.to_string())
    }

    fn first_order(&self) -> Result<serde_json::Value, String> {
        self.fleet
            .deployment
            .edits()
            .into_iter()
            .find(|edit| edit.get("put_order").is_some())
            .ok_or("the site has no order".into())
    }

    fn other_service(&self, at: usize) -> String {
        let own = self.fleet.service(at);
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

    fn wake(&mut self, who: Who) -> Result<(), String> {
        let since = self
            .frozen
            .iter()
            .find(|(held, _)| *held == who)
            .map(|(_, since)| *since);
        self.frozen.retain(|(held, _)| *held != who);
        if let (Who::Usher(at), Some(from)) = (who, since) {
            let by = self.fleet.machines[at].name.clone();
            self.fleet.notebook().note(&crate::history::Record::Stood {
                by,
                from,
                to: model::now(),
            })?;
        }
        self.place(who)
            .iter()
            .for_each(|process| process.signal(Signal::CONT));
        Ok(())
    }

    /// Nothing stays frozen or cut.
    pub fn settle(&mut self) -> Result<(), String> {
        self.fleet.links.mend();
        self.frozen
            .clone()
            .into_iter()
            .try_for_each(|(who, _)| self.wake(who))
    }

    /// The first lane goes or comes back, whoever else changes things meanwhile.
    async fn change(&mut self, allow: bool) -> Result<(), String> {
        self.changes += 1;
        let put = self.first_order()?;
        let name = put["put_order"]["name"].clone();
        let edit = if allow {
            put
        } else {
            serde_json::json!({ "drop_order": { "name": name } })
        };
        self.fleet
            .note_lane(self.fleet.deployment.lanes[0], allow, false)?;
        self.fleet
            .operator()
            .insist(&format!("step-{}", self.changes), &[edit])
            .await?;
        self.fleet
            .note_lane(self.fleet.deployment.lanes[0], allow, true)
    }
}
