//! Carrying out what a seat asks for, each effect a numbered point (design 9.2).

use super::world::Event;

type Seat = mencius::ReplicaId;

impl super::world::Node {
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
        if self.nodes[seat as usize].machine.is_some() && !self.nodes[seat as usize].frozen {
            self.findings.note_submitted(value.clone(), seat, self.now);
            self.feed(seat, mencius::Input::Submit(value));
        }
    }

    pub fn read(&mut self, seat: Seat, token: u64) {
        if self.nodes[seat as usize].machine.is_some() && !self.nodes[seat as usize].frozen {
            self.findings.read_asked(token);
            self.feed(seat, mencius::Input::ReadIndex(token));
        }
    }

    pub(crate) fn runs(&self, seat: usize) -> bool {
        self.nodes[seat].machine.is_some() && !self.nodes[seat].frozen
    }

    /// Each effect is a numbered point; a plan may crash the seat just before it is carried out.
    pub(super) fn carry_out(&mut self, seat: Seat) {
        let effects = self.nodes[seat as usize]
            .machine
            .as_mut()
            .map(mencius::Replica::take_effects)
            .unwrap_or_default();
        for effect in effects {
            self.nodes[seat as usize].points += 1;
            self.counts.points += 1;
            if self.plan.crash_at == Some((seat, self.nodes[seat as usize].points)) {
                self.crash(seat);
                let now = self.now;
                self.at_fault(now + 700_000, super::Fault::Start(seat));
            }
            if self.nodes[seat as usize].machine.is_none() {
                return;
            }
            self.carry_out_one(seat, effect);
        }
    }

    fn carry_out_one(&mut self, seat: Seat, effect: mencius::Effect) {
        match effect {
            mencius::Effect::Send(to, frame) => {
                self.counts.frames += 1;
                *self
                    .counts
                    .kinds
                    .entry(super::count::kind(&frame.message))
                    .or_default() += 1;
                self.counts.revocations +=
                    matches!(frame.message, mencius::Message::Prepare { .. }) as u64;
                let (x, y) = (seat as usize, to as usize);
                let time = (self.now + self.draw(self.plan.hop)).max(self.last_delivery[x][y] + 1);
                self.last_delivery[x][y] = time;
                let epoch = self.epochs[x][y];
                self.at(
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
                    self.draw(self.plan.sync) + self.nodes[seat as usize].disk_slow
                };
                let life = self.nodes[seat as usize].life;
                if self.plan.lying_disk {
                    self.keep(seat);
                }
                self.nodes[seat as usize].unsynced = Some((ticket, writes, afresh));
                let now = self.now;
                self.at(now + wait, Event::Synced { seat, life, ticket });
            }
            mencius::Effect::Apply(at, value) => {
                self.nodes[seat as usize].history.push((at, value.clone()));
                self.mind_replacement(seat, at, &value);
                self.findings
                    .applied(self.now, seat, at, &value, self.plan.seats);
                self.snapshot_when_due(seat, at + 1);
            }
            mencius::Effect::NotChosen(value) => {
                let patience = self.plan.caller_patience;
                if self.findings.waits_for(&value, self.now, patience) {
                    self.feed(seat, mencius::Input::Submit(value));
                }
            }
            mencius::Effect::InstallSnapshot { state, .. } => {
                self.nodes[seat as usize].history =
                    rkyv::from_bytes::<Vec<(u64, Vec<u8>)>, rkyv::rancor::Error>(&state)
                        .unwrap_or_default();
                // The state a snapshot stands for knows the holders too.
                self.nodes[seat as usize].book = Default::default();
                let history = self.nodes[seat as usize].history.clone();
                history
                    .into_iter()
                    .for_each(|(at, value)| self.mind_replacement(seat, at, &value));
            }
            mencius::Effect::ReadReady(token) => {
                let node = &mut self.nodes[seat as usize];
                let applied = node
                    .machine
                    .as_ref()
                    .map(mencius::Replica::applied)
                    .unwrap_or(0);
                self.findings.read_done(token, applied);
                self.done.push((token, seat));
            }
        }
    }

    fn snapshot_when_due(&mut self, seat: Seat, through: mencius::Instance) {
        let node = &mut self.nodes[seat as usize];
        node.since_snapshot += 1;
        let due = self.plan.snapshot_every > 0 && node.since_snapshot >= self.plan.snapshot_every;
        // As the daemon's driver does it: what lies below a change could be finished only by disks of that time.
        let handed_over = self.plan.snapshot_past_change
            && node
                .book
                .replica_holders
                .values()
                .any(|(_, after)| (node.snapshot_at..through).contains(after));
        if due || handed_over {
            (node.since_snapshot, node.snapshot_at) = (0, through);
            let state = rkyv::to_bytes::<rkyv::rancor::Error>(&node.history)
                .map(|bytes| bytes.to_vec())
                .unwrap_or_default();
            if let Some(machine) = node.machine.as_mut() {
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

    pub(super) fn keep(&mut self, seat: Seat) {
        let node = &mut self.nodes[seat as usize];
        if let Some((_, writes, afresh)) = node.unsynced.take() {
            if afresh {
                node.disk.clear();
            }
            node.disk.extend(writes);
        }
    }
}
