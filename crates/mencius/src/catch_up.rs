//! A channel's first words. Implicit skips are sound only on an unbroken channel, so each new
//! one starts by sending again whatever the mate may have missed (paper 4.5; design 3.5).

use crate::messages::*;

/// What so many bytes take on a narrow link and a slow processor; less is sent again whenever it is asked for.
const RESEND_DELAY: Micros = 100_000;
const RESEND_DELAY_BYTES: usize = 32 * 1024;
pub(crate) const MAX_OUTCOMES_PER_MESSAGE: usize = 512;

impl crate::Replica {
    pub(crate) fn on_connection_opened(&mut self, mate: ReplicaId) {
        self.peers[mate as usize].connected = true;
        self.peers[mate as usize].sent_outcomes = (0, 0);
        self.coordinator_logs[mate as usize].cursor = None;
        self.record_contact(mate);
        let know = self.coordinator_logs[mate as usize].first_unknown(
            self.first_coordinated_from(mate, self.compaction_point),
            self.replica_count,
        );
        let applied = self.applied;
        self.send(
            mate,
            Message::Hello {
                learned_below: know,
                applied,
            },
        );
        // A read set out while this mate was away: whoever waits for it need not wait for the next asking.
        let asks = self
            .reads
            .current_round
            .as_ref()
            .filter(|round| !round.responses.contains_key(&mate))
            .map(|round| round.token);
        asks.into_iter()
            .for_each(|token| self.send(mate, Message::ReadIndexRequest { token }));
    }

    pub(crate) fn on_connection_closed(&mut self, mate: ReplicaId) {
        self.peers[mate as usize].connected = false;
        self.coordinator_logs[mate as usize].cursor = None;
        self.batch_frames.retain(|(to, _)| *to != mate);
        if let Some((_, frames)) = self.persisting.as_mut() {
            frames.retain(|(to, _)| *to != mate);
        }
        // Nor what is released and not carried out yet: the next channel may lead to a later life of that seat.
        self.effects
            .retain(|effect| !matches!(effect, Effect::Send(to, _) if *to == mate));
    }

    pub(crate) fn on_hello(&mut self, from: ReplicaId, know: Instance, applied: Instance) {
        self.peers[from as usize].applied = applied;
        if applied < self.applied {
            self.send_outcomes(from, applied);
        }
        // What an earlier holder of this seat said is not this disk's to tell: others do.
        let start = know.max(self.compaction_point).max(self.voting_range_start);
        self.send_with_cursor(from, start, Message::Resync { from: start });
        let spoken: Vec<(Instance, Value)> = self.coordinator_logs[self.replica_id as usize]
            .accepted
            .range(start..)
            .map(|(at, (_, value))| (*at, value.clone()))
            .collect();
        spoken.into_iter().for_each(|(instance, value)| {
            match self.coordinator_logs[self.replica_id as usize]
                .outcome(instance)
                .map(|outcome| outcome.is_some())
            {
                Some(true) => {
                    let block = (instance, instance + 1);
                    let commands = vec![(instance, value)];
                    self.send_with_cursor(
                        from,
                        instance,
                        Message::Chosen {
                            coordinator: self.replica_id,
                            block,
                            commands,
                        },
                    )
                }
                // A lost suggestion is a no-op like the unused instances around it.
                Some(false) => {}
                None => self.send_with_cursor(
                    from,
                    instance + self.replica_count,
                    Message::Suggest { instance, value },
                ),
            }
        });
        self.send(from, Message::Skip);
    }

    pub(crate) fn on_resync(&mut self, from: ReplicaId, start: Instance) {
        // What lies below and is not known here comes by snapshot or run, never from the cursor.
        self.coordinator_logs[from as usize].cursor = Some(start);
    }

    /// All outcomes from `start` on, as far as they are known without a gap.
    pub(crate) fn send_outcomes(&mut self, to: ReplicaId, start: Instance) {
        // It may still be on its way: a mate on a narrow link asks often, and must not be sent the same each time.
        if to == self.replica_id
            || self.peers[to as usize].sent_outcomes.0 == start + 1
                && self.now < self.peers[to as usize].sent_outcomes.1
        {
            return;
        }
        if let Some((through, state)) = self
            .snapshot
            .clone()
            .filter(|_| start < self.compaction_point)
        {
            self.send(
                to,
                Message::Snapshot {
                    next_instance: through,
                    state,
                },
            );
        }
        let asked = start;
        let start = start.max(self.compaction_point);
        let end = self.applied.max(start);
        let mut commands: Commands = self
            .coordinator_logs
            .iter()
            .flat_map(|share| share.chosen_commands((start, end)))
            .collect();
        commands.sort_by_key(|(at, _)| *at);
        let cut = commands
            .get(MAX_OUTCOMES_PER_MESSAGE)
            .map(|(at, _)| *at)
            .unwrap_or(end);
        commands.truncate(MAX_OUTCOMES_PER_MESSAGE);
        let mut bytes: usize = commands.iter().map(|(_, value)| value.len()).sum::<usize>()
            + self
                .snapshot
                .as_ref()
                .filter(|(through, _)| *through == start)
                .map(|(_, state)| state.len())
                .unwrap_or(0);
        if start < cut {
            self.send(
                to,
                Message::Outcomes {
                    block: (start, cut),
                    commands,
                },
            );
        }
        // Beyond the gap, each owner's known stretch may still be what the asker lacks.
        self.replica_ids().into_iter().for_each(|owner| {
            let from = self.first_coordinated_from(owner, end);
            let known =
                self.coordinator_logs[owner as usize].first_unknown(from, self.replica_count);
            if from < known && cut == end {
                let commands = self.coordinator_logs[owner as usize].chosen_commands((from, known));
                bytes += commands.iter().map(|(_, value)| value.len()).sum::<usize>();
                self.send(
                    to,
                    Message::Chosen {
                        coordinator: owner,
                        block: (from, known),
                        commands,
                    },
                );
            }
        });
        self.peers[to as usize].sent_outcomes = (
            asked + 1,
            self.now + RESEND_DELAY * (bytes / RESEND_DELAY_BYTES) as Micros,
        );
    }
}
