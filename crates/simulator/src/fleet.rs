//! All of a site's processes on one machine, on loopback (design 9.5).

use crate::deployment::Deployment;
use crate::operators::Answer;
use crate::process::Process;
use std::path::PathBuf;
use std::time::Duration;

pub struct Core {
    pub process: Option<Process>,
    pub arguments: Vec<String>,
    pub operators: String,
    pub mates: String,
    pub host: crate::links::Host,
}

pub struct Machine {
    pub usher: Option<Process>,
    pub usher_arguments: Vec<String>,
    pub understudy: Option<Process>,
    pub understudy_arguments: Vec<String>,
    pub name: String,
    pub local: String,
    pub mates: String,
    pub host: crate::links::Host,
}

pub struct Fleet {
    pub folder: PathBuf,
    pub deployment: Deployment,
    pub cores: Vec<Core>,
    pub machines: Vec<Machine>,
    pub http: reqwest::Client,
    pub links: crate::links::Links,
    /// Where operators find each core seat.
    pub places: tokio::sync::watch::Sender<Vec<String>>,
    /// Back ends that came later than the site: heirs of addresses, added ones.
    pub added: Vec<Process>,
    /// Core seats run over disks that this rehearsal spoils.
    pub made_up_disks: bool,
}

impl Fleet {
    pub fn start_core(&mut self, seat: usize) -> Result<(), String> {
        let core = &mut self.cores[seat];
        // Over a made-up disk the seat is a stand-in, put together from the same library.
        let stand_in = self.made_up_disks.then(|| {
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

    pub fn start_usher(&mut self, at: usize) -> Result<(), String> {
        let machine = &mut self.machines[at];
        machine.usher = Some(Process::start(
            &self.folder,
            &format!("node-{}", machine.name),
            "gradeford-node",
            &machine.usher_arguments,
        )?);
        Ok(())
    }

    pub fn start_understudy(&mut self, at: usize) -> Result<(), String> {
        let machine = &mut self.machines[at];
        machine.understudy = Some(Process::start(
            &self.folder,
            &machine.name,
            "simulator",
            &machine.understudy_arguments,
        )?);
        Ok(())
    }

    /// Everything up, the site's orders accepted, every back end registered.
    pub async fn start(&mut self) -> Result<(), String> {
        (0..self.cores.len()).try_for_each(|seat| self.start_core(seat))?;
        let cores: Vec<String> = self
            .cores
            .iter()
            .map(|core| core.operators.clone())
            .collect();
        self.until_ready(&cores).await?;
        self.apply("site", 0, self.deployment.edits()).await?;
        (0..self.machines.len()).try_for_each(|at| self.start_usher(at))?;
        let ushers: Vec<String> = self
            .machines
            .iter()
            .map(|machine| machine.local.clone())
            .collect();
        self.until_ready(&ushers).await?;
        (0..self.machines.len()).try_for_each(|at| self.start_understudy(at))?;
        self.until_standing(self.machines.len()).await
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

    pub fn service(&self, at: usize) -> String {
        crate::process::flag(&self.machines[at].understudy_arguments, "--service")
            .cloned()
            .unwrap_or_default()
    }

    /// Where a machine's back end takes requests.
    pub fn listen(&self, at: usize) -> Option<String> {
        crate::process::flag(&self.machines[at].understudy_arguments, "--listen").cloned()
    }

    pub fn operator(&self) -> crate::operators::Operator {
        crate::operators::Operator {
            places: self.places.subscribe(),
            notebook: self.notebook(),
            http: self.http.clone(),
        }
    }

    /// One more back end beside a machine's usher; with the address of another, or one of its own.
    pub fn add_back_end(
        &mut self,
        beside: usize,
        service: &str,
        address: Option<String>,
    ) -> Result<(), String> {
        let name = format!("heir-{}", self.added.len());
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
            crate::process::changed(&self.machines[beside].understudy_arguments, &changed);
        self.added.push(Process::start(
            &self.folder,
            &name,
            "simulator",
            &arguments,
        )?);
        Ok(())
    }

    pub async fn version(&self) -> Result<u64, String> {
        for core in &self.cores {
            if let Some((200, state)) = self.get(&core.operators, "/v1/desired").await {
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
        for seat in 0..self.cores.len() {
            match self.operator().send(seat, id, base, &edits).await? {
                Answer::Accepted(version, position) => return Ok((version, position)),
                Answer::Refused(status, told) if status < 500 => return Err(told),
                Answer::Refused(..) | Answer::Unknown => {}
            }
        }
        Err("no core seat took the change".into())
    }

    /// Waits as long as it takes, up to a minute: a bound for broken runs, not a figure.
    pub async fn until<F: Future<Output = bool>>(
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

    pub async fn until_ready(&self, addresses: &[String]) -> Result<(), String> {
        for address in addresses {
            self.until(&format!("{address} ready"), || async {
                matches!(self.get(address, "/ready").await, Some((200, _)))
            })
            .await?;
        }
        Ok(())
    }

    pub async fn until_standing(&self, count: usize) -> Result<(), String> {
        self.until("back ends registered", || async {
            let mut registered = 0;
            for core in &self.cores {
                if let Some((200, standing)) = self.get(&core.operators, "/v1/standing").await {
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
                .filter_map(|machine| machine.understudy.take())
                .chain(self.added.drain(..))
                .collect::<Vec<_>>(),
            self.machines
                .iter_mut()
                .filter_map(|machine| machine.usher.take())
                .collect(),
            self.cores
                .iter_mut()
                .filter_map(|core| core.process.take())
                .collect(),
        ];
        for mut group in all {
            group
                .iter()
                .for_each(|process| process.signal(rustix::process::Signal::TERM));
            let ended = async {
                while !group.iter_mut().all(|process| process.ended().is_some()) {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            tokio::time::timeout(Duration::from_secs(15), ended)
                .await
                .unwrap_or_default();
        }
    }
}
