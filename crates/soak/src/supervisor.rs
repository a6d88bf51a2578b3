//! Injects the planned faults into the processes of a run. Faults of different machines can overlap;
//! those of one machine are injected sequentially.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::sync::{Mutex, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Error;
use crate::backend::BackendCommand;
use crate::clock::{Clock, Micros};
use crate::history::{EventKind, Finding, History};
use crate::plan::{Fault, PlannedFault, ReplacementOrder};
use crate::process::Process;
use crate::site::{Machine, Site};

/// Interval between two checks for exited processes.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a process that exited is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a graceful shutdown, equal to `grace` in the settings file; SIGKILL follows.
const GRACEFUL_STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval between the signals or restarts of a series.
const SERIES_INTERVAL: Duration = Duration::from_millis(120);
/// Maximum number of core machines listed in a settings file.
const SEED_COUNT: usize = 3;

/// State of a machine, with its process if one runs.
struct MachineSlot {
    process: Option<Process>,
    /// Whether the process was sent SIGHUP or SIGTERM before it had installed a handler, while it was
    /// still being loaded.
    signalled_while_loading: bool,
    /// Whether the machine has been replaced or not been added yet.
    is_vacant: bool,
}

/// Starts, signals and kills the processes of a run.
pub struct Supervisor {
    site: Arc<Site>,
    clock: Clock,
    history: Arc<History>,
    program: PathBuf,
    slots: BTreeMap<Machine, Mutex<MachineSlot>>,
    backends: BTreeMap<usize, mpsc::Sender<BackendCommand>>,
    /// Core machines that operators can call, by number.
    cores: watch::Sender<Vec<usize>>,
}

impl Supervisor {
    /// Creates a supervisor; no process is started yet.
    pub fn new(
        site: Arc<Site>,
        clock: Clock,
        history: Arc<History>,
        program: PathBuf,
        backends: BTreeMap<usize, mpsc::Sender<BackendCommand>>,
    ) -> Supervisor {
        let cores = (0..site.cores + site.spare_cores).map(Machine::Core);
        let machines = cores.chain((0..site.nodes).map(Machine::Node));
        let slots = machines.map(|machine| {
            let slot = MachineSlot {
                process: None,
                signalled_while_loading: false,
                is_vacant: true,
            };
            (machine, Mutex::new(slot))
        });
        Supervisor {
            slots: slots.collect(),
            cores: watch::Sender::new((0..site.cores).collect()),
            site,
            clock,
            history,
            program,
            backends,
        }
    }

    /// Returns the core machines that operators can call.
    pub fn callable_cores(&self) -> watch::Receiver<Vec<usize>> {
        self.cores.subscribe()
    }

    /// Starts the processes of all nodes and initial core machines.
    ///
    /// # Errors
    ///
    /// If a settings file cannot be written or a process cannot be started.
    pub async fn start_all(&self) -> Result<(), Error> {
        for (machine, slot) in &self.slots {
            if matches!(machine, Machine::Core(core) if *core >= self.site.cores) {
                continue;
            }
            let mut slot = slot.lock().await;
            slot.is_vacant = false;
            self.start(*machine, &mut slot, true)?;
        }
        Ok(())
    }

    fn start(
        &self,
        machine: Machine,
        slot: &mut MachineSlot,
        first_boot: bool,
    ) -> Result<(), Error> {
        let seeds: Vec<usize> = self
            .cores
            .borrow()
            .iter()
            .take(SEED_COUNT)
            .copied()
            .collect();
        let settings = self.site.settings(machine, &seeds, first_boot);
        let path = self.site.settings_path(machine);
        fs::write(&path, settings.to_string()).map_err(Error::io("settings file"))?;
        let role = match machine {
            Machine::Core(core) => {
                let disk = self.site.disk(core);
                fs::create_dir_all(disk).map_err(Error::io("disk folder"))?;
                "core"
            }
            Machine::Node(_) => "node",
        };
        let log = self.site.log_path(machine);
        slot.process = Some(Process::start(&self.program, role, &path, &log)?);
        slot.signalled_while_loading = false;
        self.record(machine, EventKind::Started);
        Ok(())
    }

    fn record(&self, machine: Machine, kind: EventKind) {
        self.history
            .record_machine_event(self.clock.now(), machine, kind);
    }

    /// Restarts processes that exited without being stopped or killed, until the run ends.
    pub async fn restart_exited(self: Arc<Self>) {
        loop {
            sleep(EXIT_POLL_INTERVAL).await;
            for (machine, slot) in &self.slots {
                // A fault is being injected into the machine; its process is checked in a later round.
                let Ok(mut slot) = slot.try_lock() else {
                    continue;
                };
                let exit_status = slot.process.as_mut().and_then(Process::exit_status);
                let Some(status) = exit_status else { continue };
                self.record(*machine, EventKind::Exited);
                self.check_exit_status(*machine, &slot, status);
                sleep(RESTART_DELAY).await;
                // A failed start shows up as a machine that stays down.
                drop(self.start(*machine, &mut slot, false));
            }
        }
    }

    /// Records a finding if a process exited with a failure. Both a stopped process and a replica that
    /// finds itself replaced, which empties its disk, exit with success.
    fn check_exit_status(&self, machine: Machine, slot: &MachineSlot, status: ExitStatus) {
        if status.success() {
            return;
        }
        let mut records = self.history.lock();
        if slot.signalled_while_loading {
            records.ended_while_loading += 1;
            return;
        }
        let status = status.to_string();
        let finding = Finding::ProcessFailed { machine, status };
        records.findings.push(finding);
    }

    /// Injects all faults at their times, and returns once the last one is over.
    pub async fn inject_faults(self: Arc<Self>, faults: Vec<PlannedFault>) {
        let mut active_faults = JoinSet::new();
        for planned in faults {
            self.clock.sleep_until(planned.at).await;
            active_faults.spawn(self.clone().inject_fault(planned));
        }
        active_faults.join_all().await;
    }

    async fn inject_fault(self: Arc<Self>, planned: PlannedFault) {
        let machine = planned.machine;
        match planned.fault {
            Fault::ReplaceBackend => return self.command_backend(machine, BackendCommand::Replace),
            Fault::CrashBackend => return self.command_backend(machine, BackendCommand::Crash),
            _ => {}
        }
        let Some(slot) = self.slots.get(&machine) else {
            return;
        };
        let mut slot = slot.lock().await;
        if slot.is_vacant {
            return;
        }
        match planned.fault {
            Fault::Freeze(length) => self.freeze(machine, &mut slot, length).await,
            Fault::Kill(downtime) => {
                self.kill(machine, &mut slot);
                self.restart_after(machine, &mut slot, downtime).await;
            }
            Fault::Stop(downtime) => {
                self.stop(machine, &mut slot, GRACEFUL_STOP_TIMEOUT).await;
                self.restart_after(machine, &mut slot, downtime).await;
            }
            Fault::StopThenKill(after) => {
                self.stop(machine, &mut slot, Duration::from_micros(after))
                    .await;
                self.restart_after(machine, &mut slot, 0).await;
            }
            Fault::Reload(count) => {
                for _ in 0..count {
                    self.signal(machine, &mut slot, Signal::HUP, EventKind::Reloaded);
                    sleep(SERIES_INTERVAL).await;
                }
            }
            Fault::RestartSeries(count) => {
                for _ in 0..count {
                    self.kill(machine, &mut slot);
                    self.restart_after(machine, &mut slot, 0).await;
                    sleep(SERIES_INTERVAL).await;
                }
            }
            Fault::LoseDisk(downtime) => {
                self.kill(machine, &mut slot);
                self.empty_disk(machine);
                self.restart_after(machine, &mut slot, downtime).await;
            }
            Fault::Replace {
                spare,
                order,
                pause,
            } => {
                if order == ReplacementOrder::NewFirst {
                    self.add_core(spare).await;
                    sleep(Duration::from_micros(pause)).await;
                }
                self.kill(machine, &mut slot);
                slot.is_vacant = true;
                drop(slot);
                self.remove_core(machine);
                if order == ReplacementOrder::OldFirst {
                    sleep(Duration::from_micros(pause)).await;
                    self.add_core(spare).await;
                }
            }
            Fault::ReplaceBackend | Fault::CrashBackend => {}
        }
    }

    fn command_backend(&self, machine: Machine, command: BackendCommand) {
        if let Machine::Node(node) = machine
            && let Some(backend) = self.backends.get(&node)
        {
            self.record(machine, EventKind::BackendEnded);
            // The command is dropped if an earlier one is still pending.
            let _ = backend.try_send(command);
        }
    }

    fn signal(&self, machine: Machine, slot: &mut MachineSlot, signal: Signal, kind: EventKind) {
        if let Some(process) = &slot.process {
            self.record(machine, kind);
            let is_caught = [Signal::HUP, Signal::TERM].contains(&signal);
            slot.signalled_while_loading |= is_caught && !process.has_handler(signal);
            process.signal(signal);
        }
    }

    async fn freeze(&self, machine: Machine, slot: &mut MachineSlot, length: Micros) {
        self.signal(machine, slot, Signal::STOP, EventKind::Frozen);
        sleep(Duration::from_micros(length)).await;
        self.signal(machine, slot, Signal::CONT, EventKind::Resumed);
    }

    fn kill(&self, machine: Machine, slot: &mut MachineSlot) {
        self.record(machine, EventKind::Killed);
        slot.process = None;
    }

    /// Sends SIGTERM, and SIGKILL if the process still runs after `grace`.
    async fn stop(&self, machine: Machine, slot: &mut MachineSlot, grace: Duration) {
        self.signal(machine, slot, Signal::TERM, EventKind::Terminated);
        let Some(process) = slot.process.as_mut() else {
            return;
        };
        let exit_status = async {
            loop {
                if let Some(status) = process.exit_status() {
                    return status;
                }
                sleep(EXIT_POLL_INTERVAL / 5).await;
            }
        };
        let exit_status = tokio::time::timeout(grace, exit_status).await;
        match exit_status {
            Ok(status) => {
                self.record(machine, EventKind::Exited);
                self.check_exit_status(machine, slot, status);
            }
            Err(_) if grace == GRACEFUL_STOP_TIMEOUT => {
                let finding = Finding::GracefulStopTimedOut { machine };
                self.history.lock().findings.push(finding);
            }
            // The fault kills the process before its graceful shutdown is over.
            Err(_) => {}
        }
        self.kill(machine, slot);
    }

    async fn restart_after(&self, machine: Machine, slot: &mut MachineSlot, downtime: Micros) {
        sleep(Duration::from_micros(downtime)).await;
        // A failed start shows up as a machine that stays down.
        drop(self.start(machine, slot, false));
    }

    fn empty_disk(&self, machine: Machine) {
        if let Machine::Core(core) = machine {
            self.record(machine, EventKind::DiskLost);
            // The next start creates the folder again.
            drop(fs::remove_dir_all(self.site.disk(core)));
        }
    }

    /// Removes a core machine from the list that operators use.
    fn remove_core(&self, removed: Machine) {
        self.cores
            .send_modify(|cores| cores.retain(|core| Machine::Core(*core) != removed));
    }

    /// Starts a new core machine and adds it to the list that operators use.
    async fn add_core(&self, spare: usize) {
        self.cores.send_modify(|cores| cores.push(spare));
        let machine = Machine::Core(spare);
        if let Some(slot) = self.slots.get(&machine) {
            let mut slot = slot.lock().await;
            slot.is_vacant = false;
            drop(self.start(machine, &mut slot, false));
        }
    }
}
