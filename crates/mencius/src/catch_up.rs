//! Catch-up: retransmission on a new connection and to a replica that is behind (paper 4.5; design
//! 3.5).
//!
//! Implicit skips are sound only on an unbroken FIFO channel (paper 4.1, 4.4). Each new connection
//! therefore begins with a `Hello` that states which outcomes the sender knows. The peer responds
//! with a `Resync` and everything that the sender may have missed. Cursors received before the
//! `Resync` are ignored.

use crate::coordinator_log::Outcome;
use crate::messages::{Commands, Effect, Instance, Message, Micros, ReplicaId, Value};
use crate::replica::Replica;
use crate::state::SentOutcomes;

/// The number of bytes of outcomes for each [`RESEND_DELAY`] of waiting before they are sent again.
/// Fewer bytes are sent again on every request.
const RESEND_DELAY_BYTES: usize = 32 * 1024;
/// The time to transfer and process [`RESEND_DELAY_BYTES`] of outcomes on a narrow link and a slow
/// processor, in microseconds.
const RESEND_DELAY: Micros = 100_000;
/// The maximum number of commands in one message of outcomes.
const MAX_OUTCOMES_PER_MESSAGE: usize = 512;
/// The number of bytes of commands after which a message of outcomes ends. It exceeds this by less
/// than one command, so that the message fits into a frame whatever a replica has missed.
pub(crate) const MAX_OUTCOME_BYTES: usize = 1024 * 1024;

impl Replica {
    /// Handles the messages by which a peer catches up or lets this replica catch up.
    pub(crate) fn handle_catch_up_message(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Hello {
                learned_below,
                applied,
            } => self.on_hello(from, learned_below, applied),
            Message::Resync { from: start } => self.on_resync(from, start),
            Message::FetchOutcomes { from: start } => self.send_outcomes(from, start),
            Message::Outcomes { block, commands } => self.on_outcomes(from, block, commands),
            Message::Snapshot {
                next_instance,
                state,
            } => self.on_snapshot(next_instance, state),
            other => debug_assert!(false, "unexpected message for catch-up: {other:?}"),
        }
    }

    pub(crate) fn on_connection_opened(&mut self, peer: ReplicaId) {
        self.peer_mut(peer).connected = true;
        self.peer_mut(peer).sent_outcomes = None;
        self.log_of_mut(peer).cursor = None;
        self.record_contact(peer);
        let learned_below = self.first_unknown_of(peer, self.compaction_point);
        self.send(
            peer,
            Message::Hello {
                learned_below,
                applied: self.applied,
            },
        );
        self.request_read_index_of(peer);
    }

    pub(crate) fn on_connection_closed(&mut self, peer: ReplicaId) {
        self.peer_mut(peer).connected = false;
        self.log_of_mut(peer).cursor = None;
        self.batch.frames.retain(|frame| frame.to != peer);
        if let Some(batch) = &mut self.persisting {
            batch.frames.retain(|frame| frame.to != peer);
        }
        // Also drop frames that are released but not yet taken: the next connection may lead to a
        // later incarnation of the peer.
        self.effects
            .retain(|effect| !matches!(effect, Effect::Send(to, _) if *to == peer));
    }

    fn on_hello(&mut self, from: ReplicaId, learned_below: Instance, applied: Instance) {
        self.peer_mut(from).applied = applied;
        if applied < self.applied {
            self.send_outcomes(from, applied);
        }
        // Suggestions of an earlier disk of this replica are not repeated by this disk: the other
        // replicas provide their outcomes.
        let start = learned_below
            .max(self.compaction_point)
            .max(self.voting_range_start);
        self.send_with_cursor(from, start, Message::Resync { from: start });
        self.repeat_own_suggestions(from, start);
        self.send(from, Message::Skip);
    }

    /// Repeats, in order, the own suggestions from `start` on that are not known to be no-ops, each
    /// with its original cursor.
    fn repeat_own_suggestions(&mut self, to: ReplicaId, start: Instance) {
        let coordinator = self.replica_id;
        let accepted = self.log_of(coordinator).accepted.range(start..);
        let suggested: Vec<(Instance, Value)> = accepted
            .map(|(instance, accepted)| (*instance, accepted.value.clone()))
            .collect();
        for (instance, value) in suggested {
            match self.log_of(coordinator).outcome(instance) {
                Some(Outcome::Command(_)) => {
                    let block = (instance, instance + 1);
                    let commands = vec![(instance, value)];
                    let message = Message::Chosen {
                        coordinator,
                        block,
                        commands,
                    };
                    self.send_with_cursor(to, instance, message);
                }
                // A suggestion that lost to no-op needs no message, like the unused instances
                // around it.
                Some(Outcome::NoOp) => {}
                None => {
                    let cursor = instance + self.replica_count;
                    self.send_with_cursor(to, cursor, Message::Suggest { instance, value });
                }
            }
        }
    }

    fn on_resync(&mut self, from: ReplicaId, start: Instance) {
        // Unknown outcomes below `start` arrive as a snapshot or as outcomes; they must not be
        // derived from the cursor.
        self.log_of_mut(from).cursor = Some(start);
    }

    /// Sends the known outcomes from `from` on: the snapshot if `from` is compacted away, then the
    /// applied instances, then the range of known outcomes of each coordinator above them. Each
    /// message is bounded; the peer requests the outcomes after a full one.
    pub(crate) fn send_outcomes(&mut self, to: ReplicaId, from: Instance) {
        if to == self.replica_id || self.sent_recently(to, from) {
            return;
        }
        if from < self.compaction_point {
            self.send_snapshot(to);
        }
        let start = from.max(self.compaction_point);
        let end = self.applied.max(start);
        let (commands, sent_below) = bounded(self.chosen_commands_of_all(start, end), end);
        let mut bytes = value_bytes(&commands) + self.snapshot_bytes_at(start);
        if start < sent_below {
            self.send(
                to,
                Message::Outcomes {
                    block: (start, sent_below),
                    commands,
                },
            );
        }
        if sent_below == end {
            bytes += self.send_known_ranges(to, end);
        }
        let delay = RESEND_DELAY * (bytes / RESEND_DELAY_BYTES) as Micros;
        let resend_not_before = self.now + delay;
        self.peer_mut(to).sent_outcomes = Some(SentOutcomes {
            from,
            resend_not_before,
        });
    }

    /// Returns whether the outcomes from `from` on were sent so recently that they may still be in
    /// transit. A peer on a narrow link repeats its request often and must not be sent the same
    /// outcomes each time.
    fn sent_recently(&self, to: ReplicaId, from: Instance) -> bool {
        self.peer(to)
            .sent_outcomes
            .is_some_and(|sent| sent.from == from && self.now < sent.resend_not_before)
    }

    fn send_snapshot(&mut self, to: ReplicaId) {
        if let Some(snapshot) = self.snapshot.clone() {
            let next_instance = snapshot.next_instance;
            self.send(
                to,
                Message::Snapshot {
                    next_instance,
                    state: snapshot.state,
                },
            );
        }
    }

    /// Returns the size of the snapshot in bytes if it ends at `instance`, otherwise 0.
    fn snapshot_bytes_at(&self, instance: Instance) -> usize {
        let snapshot = self.snapshot.as_ref();
        let snapshot = snapshot.filter(|snapshot| snapshot.next_instance == instance);
        snapshot.map_or(0, |snapshot| snapshot.state.len())
    }

    /// Returns the chosen commands of all coordinators, ordered by instance.
    fn chosen_commands_of_all(&self, start: Instance, end: Instance) -> Vec<(Instance, &Value)> {
        let logs = self.coordinator_logs.iter();
        let mut commands: Vec<(Instance, &Value)> = logs
            .flat_map(|log| log.chosen_commands((start, end)))
            .collect();
        commands.sort_unstable_by_key(|(instance, _)| *instance);
        commands
    }

    /// Sends the range of known outcomes of each coordinator above the first gap, as the peer may
    /// lack them. Returns the number of bytes of the commands sent.
    fn send_known_ranges(&mut self, to: ReplicaId, from: Instance) -> usize {
        let mut bytes = 0;
        for coordinator in self.replica_ids() {
            let start = self.first_coordinated_from(coordinator, from);
            let end = self
                .log_of(coordinator)
                .first_unknown(start, self.replica_count);
            if start < end {
                let commands = self.log_of(coordinator).chosen_commands((start, end));
                let (commands, end) = bounded(commands, end);
                let block = (start, end);
                bytes += value_bytes(&commands);
                self.send(
                    to,
                    Message::Chosen {
                        coordinator,
                        block,
                        commands,
                    },
                );
            }
        }
        bytes
    }
}

fn value_bytes(commands: &Commands) -> usize {
    commands.iter().map(|(_, value)| value.len()).sum()
}

/// Returns the commands, which are ordered by instance, of one message, and the instance below which
/// the message ends: `end`, or that of the first command which it does not hold.
fn bounded<'log>(
    commands: impl IntoIterator<Item = (Instance, &'log Value)>,
    end: Instance,
) -> (Commands, Instance) {
    let mut held = Commands::new();
    for (instance, value) in commands {
        if is_full(&held) {
            return (held, instance);
        }
        held.push((instance, value.clone()));
    }
    (held, end)
}

/// Returns whether a message with these commands holds no more of them.
pub(crate) fn is_full(commands: &Commands) -> bool {
    commands.len() >= MAX_OUTCOMES_PER_MESSAGE || value_bytes(commands) >= MAX_OUTCOME_BYTES
}
