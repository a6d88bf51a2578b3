//! Carrying out what a seat asks for, each effect a numbered point (design 9.2).

use super::world::Event;

type Seat = mencius::ReplicaId;

impl super::world::SimulatedReplica {
    /// Records on the disk that are not a snapshot.
    pub fn records_beside_snapshot(&self) -> usize {
        self.disk
            .iter()
            .filter(|write| !matches!(write, mencius::Write::Snapshot { .. }))
            .count()
    }
}

impl super::World {
    pub fn submit(&mut self, seat: Seat, value: mencius::Value) {
        if self.replicas[seat as usize].replica.is_some() && !self.replicas[seat as usize].frozen {
            self.findings
                .record_submitted(value.clone(), seat, self.now);
            self.step_replica(seat, mencius::Input::Submit(value));
        }
    }

    pub fn read(&mut self, seat: Seat, token: u64) {
        if self.replicas[seat as usize].replica.is_some() && !self.replicas[seat as usize].frozen {
            self.findings.read_asked(token);
            self.step_replica(seat, mencius::Input::ReadIndex(token));
        }
    }

    pub(crate) fn is_running(&self, seat: usize) -> bool {
        self.replicas[seat].replica.is_some() && !self.replicas[seat].frozen
    }

    /// Each effect is a numbered point; a plan may crash the seat just before it is carried out.
    pub(super) fn perform_effects(&mut self, seat: Seat) {
        let effects = self.replicas[seat as usize]
            .replica
            .as_mut()
            .map(mencius::Replica::take_effects)
            .unwrap_or_default();
        for effect in effects {
            self.replicas[seat as usize].effect_count += 1;
            self.counts.effects += 1;
            if self.plan.crash_at == Some((seat, self.replicas[seat as usize].effect_count)) {
                self.crash(seat);
                let now = self.now;
                self.schedule_fault(now + 700_000, super::Fault::Start(seat));
            }
            if self.replicas[seat as usize].replica.is_none() {
                return;
            }
            self.perform_effect(seat, effect);
        }
    }

    fn perform_effect(&mut self, seat: Seat, effect: mencius::Effect) {
        match effect {
            mencius::Effect::Send(to, frame) => {
                self.counts.frames += 1;
                *self
                    .counts
                    .frames_by_kind
                    .entry(super::entry_cost::frame_kind(&frame.message))
                    .or_default() += 1;
                self.counts.revocations +=
                    matches!(frame.message, mencius::Message::Prepare { .. }) as u64;
                let (x, y) = (seat as usize, to as usize);
                let time = (self.now + self.draw(self.plan.network_delay))
                    .max(self.last_delivery[x][y] + 1);
                self.last_delivery[x][y] = time;
                let epoch = self.connection_epochs[x][y];
                self.schedule(
                    time,
                    Event::Deliver {
                        from: seat,
                        to,
                        epoch,
                        frame,
                    },
                );
            }
            mencius::Effect::Persist {
                ticket,
                writes,
                replace_journal: afresh,
            } => {
                self.counts.syncs += 1;
                let wait = if self.plan.lying_disk {
                    0
                } else {
                    self.draw(self.plan.sync_delay) + self.replicas[seat as usize].extra_sync_delay
                };
                let life = self.replicas[seat as usize].incarnation;
                if self.plan.lying_disk {
                    self.write_to_disk(seat);
                }
                self.replicas[seat as usize].unsynced = Some((ticket, writes, afresh));
                let now = self.now;
                self.schedule(now + wait, Event::Synced { seat, life, ticket });
            }
            mencius::Effect::Apply(at, value) => {
                self.replicas[seat as usize]
                    .applied
                    .push((at, value.clone()));
                self.observe_replacement(seat, at, &value);
                self.findings
                    .applied(self.now, seat, at, &value, self.plan.replica_count);
                self.snapshot_when_due(seat, at + 1);
            }
            mencius::Effect::NotChosen(value) => {
                let patience = self.plan.caller_patience;
                if self.findings.caller_waits(&value, self.now, patience) {
                    self.step_replica(seat, mencius::Input::Submit(value));
                }
            }
            mencius::Effect::InstallSnapshot { state, .. } => {
                self.replicas[seat as usize].applied =
                    rkyv::from_bytes::<Vec<(u64, Vec<u8>)>, rkyv::rancor::Error>(&state)
                        .unwrap_or_default();
                // The state a snapshot stands for knows the holders too.
                self.replicas[seat as usize].state_machine = Default::default();
                let history = self.replicas[seat as usize].applied.clone();
                history
                    .into_iter()
                    .for_each(|(at, value)| self.observe_replacement(seat, at, &value));
            }
            mencius::Effect::ReadReady(token) => {
                let node = &mut self.replicas[seat as usize];
                let applied = node
                    .replica
                    .as_ref()
                    .map(mencius::Replica::applied)
                    .unwrap_or(0);
                self.findings.read_done(token, applied);
                self.proved_reads.push((token, seat));
            }
        }
    }

    fn snapshot_when_due(&mut self, seat: Seat, through: mencius::Instance) {
        let node = &mut self.replicas[seat as usize];
        node.applied_since_snapshot += 1;
        let due =
            self.plan.snapshot_every > 0 && node.applied_since_snapshot >= self.plan.snapshot_every;
        // As the daemon's driver does it: what lies below a change could be finished only by disks of that time.
        let handed_over = self.plan.snapshot_past_change
            && node
                .state_machine
                .replica_holders
                .values()
                .any(|(_, after)| (node.snapshot_through..through).contains(after));
        if due || handed_over {
            (node.applied_since_snapshot, node.snapshot_through) = (0, through);
            let state = rkyv::to_bytes::<rkyv::rancor::Error>(&node.applied)
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            if let Some(machine) = node.replica.as_mut() {
                machine.step(
                    self.now,
                    mencius::Input::Snapshot {
                        next_instance: through,
                        state,
                    },
                );
            }
        }
    }

    pub(super) fn write_to_disk(&mut self, seat: Seat) {
        let node = &mut self.replicas[seat as usize];
        if let Some((_, writes, afresh)) = node.unsynced.take() {
            if afresh {
                node.disk.clear();
            }
            node.disk.extend(writes);
        }
    }
}
