//! Performs the effects that a replica requests. The plan can crash a replica before any effect, by its number
//! (design 9.2).

use super::world::Event;

type ReplicaId = mencius::ReplicaId;

impl super::world::SimulatedReplica {
    /// Returns the number of records on the disk other than snapshots.
    pub fn records_beside_snapshot(&self) -> usize {
        self.disk
            .iter()
            .filter(|write| !matches!(write, mencius::Write::Snapshot { .. }))
            .count()
    }
}

impl super::World {
    /// Submits an entry at a replica, unless its process is down or frozen.
    pub fn submit(&mut self, replica_id: ReplicaId, value: mencius::Value) {
        if self.replicas[replica_id as usize].running.is_some()
            && !self.replicas[replica_id as usize].frozen
        {
            self.findings
                .record_submission(value.clone(), replica_id, self.now);
            self.step_replica(replica_id, mencius::Input::Submit(value));
        }
    }

    /// Requests a read at a replica, unless its process is down or frozen.
    pub fn read(&mut self, replica_id: ReplicaId, token: u64) {
        if self.replicas[replica_id as usize].running.is_some()
            && !self.replicas[replica_id as usize].frozen
        {
            self.findings.record_read_request(token);
            self.step_replica(replica_id, mencius::Input::ReadIndex(token));
        }
    }

    pub(crate) fn is_running(&self, replica_id: usize) -> bool {
        self.replicas[replica_id].running.is_some() && !self.replicas[replica_id].frozen
    }

    /// Performs the pending effects of a replica. The plan may crash the replica just before one of them.
    pub(super) fn perform_effects(&mut self, replica_id: ReplicaId) {
        let effects = self.replicas[replica_id as usize]
            .running
            .as_mut()
            .map(mencius::Replica::take_effects)
            .unwrap_or_default();
        for effect in effects {
            self.replicas[replica_id as usize].effect_count += 1;
            self.counts.effects += 1;
            if self.plan.crash_at
                == Some((replica_id, self.replicas[replica_id as usize].effect_count))
            {
                self.crash(replica_id);
                let now = self.now;
                self.schedule_fault(now + 700_000, super::Fault::Start(replica_id));
            }
            if self.replicas[replica_id as usize].running.is_none() {
                return;
            }
            self.perform_effect(replica_id, effect);
        }
    }

    fn perform_effect(&mut self, replica_id: ReplicaId, effect: mencius::Effect) {
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
                let (x, y) = (replica_id as usize, to as usize);
                let time = (self.now + self.draw(self.plan.network_delay))
                    .max(self.last_delivery[x][y] + 1);
                self.last_delivery[x][y] = time;
                let epoch = self.connection_epochs[x][y];
                self.schedule(
                    time,
                    Event::Deliver {
                        from: replica_id,
                        to,
                        epoch,
                        frame,
                    },
                );
            }
            mencius::Effect::Persist {
                ticket,
                writes,
                replace_journal,
            } => {
                self.counts.syncs += 1;
                let wait = if self.plan.acknowledges_unwritten {
                    0
                } else {
                    self.draw(self.plan.sync_delay)
                        + self.replicas[replica_id as usize].extra_sync_delay
                };
                let incarnation = self.replicas[replica_id as usize].incarnation;
                if self.plan.acknowledges_unwritten {
                    self.write_to_disk(replica_id);
                }
                self.replicas[replica_id as usize].unsynced =
                    Some((ticket, writes, replace_journal));
                let now = self.now;
                self.schedule(
                    now + wait,
                    Event::Synced {
                        replica_id,
                        incarnation,
                        ticket,
                    },
                );
            }
            mencius::Effect::Apply(instance, value) => {
                self.replicas[replica_id as usize]
                    .applied
                    .push((instance, value.clone()));
                self.observe_replacement(replica_id, instance, &value);
                self.findings.record_applied(
                    self.now,
                    replica_id,
                    instance,
                    &value,
                    self.plan.replica_count,
                );
                self.snapshot_when_due(replica_id, instance + 1);
            }
            mencius::Effect::NotChosen(value) => {
                let timeout = self.plan.caller_timeout;
                if self.findings.is_caller_waiting(&value, self.now, timeout) {
                    self.step_replica(replica_id, mencius::Input::Submit(value));
                }
            }
            mencius::Effect::InstallSnapshot { state, .. } => {
                self.replicas[replica_id as usize].applied =
                    rkyv::from_bytes::<Vec<(u64, Vec<u8>)>, rkyv::rancor::Error>(&state)
                        .unwrap_or_default();
                // The snapshot includes the replacements of replicas, so they are applied to the new state machine.
                self.replicas[replica_id as usize].state_machine = Default::default();
                let history = self.replicas[replica_id as usize].applied.clone();
                history.into_iter().for_each(|(instance, value)| {
                    self.observe_replacement(replica_id, instance, &value)
                });
            }
            mencius::Effect::ReadReady(token) => {
                let replica = &mut self.replicas[replica_id as usize];
                let applied = replica
                    .running
                    .as_ref()
                    .map(mencius::Replica::applied)
                    .unwrap_or(0);
                self.findings.record_read_proof(token, applied);
                self.proved_reads.push((token, replica_id));
            }
        }
    }

    fn snapshot_when_due(&mut self, replica_id: ReplicaId, through: mencius::Instance) {
        let replica = &mut self.replicas[replica_id as usize];
        replica.applied_since_snapshot += 1;
        let is_due = self.plan.snapshot_every > 0
            && replica.applied_since_snapshot >= self.plan.snapshot_every;
        // Instances before the replacement of a replica can be finished only by the disks that voted at that time. The replica
        // therefore takes a snapshot once the log is past the replacement, as the daemon's driver does.
        let is_past_replacement = self.plan.snapshot_after_replacement
            && replica
                .state_machine
                .replica_holders
                .values()
                .any(|(_, after)| (replica.snapshot_through..through).contains(after));
        if is_due || is_past_replacement {
            (replica.applied_since_snapshot, replica.snapshot_through) = (0, through);
            let state = rkyv::to_bytes::<rkyv::rancor::Error>(&replica.applied)
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            if let Some(running) = replica.running.as_mut() {
                running.step(
                    self.now,
                    mencius::Input::Snapshot {
                        next_instance: through,
                        state,
                    },
                );
            }
        }
    }

    pub(super) fn write_to_disk(&mut self, replica_id: ReplicaId) {
        let replica = &mut self.replicas[replica_id as usize];
        if let Some((_, writes, replace_journal)) = replica.unsynced.take() {
            if replace_journal {
                replica.disk.clear();
            }
            replica.disk.extend(writes);
        }
    }
}
