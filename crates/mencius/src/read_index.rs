//! Linearizable reads through a quorum, an addition to the paper (design 3.9; ReadIndex in Raft).
//!
//! A replica asks a majority for the highest instance in which each accepted a command, and answers
//! the read once it has applied the log through the highest of these. Any command whose effect was
//! visible to a client before was accepted by a majority, so at least one of the responses covers
//! it. One round of messages serves all reads requested before the round started.

use std::collections::BTreeMap;
use std::mem::take;

use crate::messages::{Effect, Instance, Message, ReadToken, ReplicaId};
use crate::replica::Replica;
use crate::state::{ConfirmedReads, ReadIndexRound};

/// The reads of a replica that are not answered yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PendingReads {
    /// The number of reads that wait for the next round.
    pub waiting: usize,
    /// The number of reads in the current round.
    pub in_round: usize,
    /// For each finished round with unanswered reads, the instance that must be applied first.
    pub awaited_instances: Vec<Instance>,
}

impl Replica {
    pub(crate) fn request_read(&mut self, token: ReadToken) {
        self.reads.waiting.push(token);
        self.start_read_round();
    }

    /// Starts a round for the waiting reads, unless a round is already in progress.
    pub(crate) fn start_read_round(&mut self) {
        let idle = self.reads.current_round.is_none() && !self.reads.waiting.is_empty();
        if !idle || !self.has_caught_up() {
            return;
        }
        self.reads.last_token += 1;
        let token = self.reads.last_token;
        self.reads.current_round = Some(ReadIndexRound {
            token,
            requested_by: take(&mut self.reads.waiting),
            responses: BTreeMap::new(),
            sent_at: self.now,
        });
        self.send_to_peers(&Message::ReadIndexRequest { token });
        self.on_read_index_response(self.replica_id, token, self.highest_command_instance());
    }

    /// Repeats the requests of a round that is overdue: requests or responses may have been lost
    /// with a connection.
    pub(crate) fn retry_read_round(&mut self) {
        let Some(round) = &mut self.reads.current_round else {
            return;
        };
        if self.now < round.sent_at + self.config.stall_fetch_after {
            return;
        }
        round.sent_at = self.now;
        for peer in self.peer_ids() {
            self.request_read_index_of(peer);
        }
    }

    /// Sends the request of the current round to a peer that has not responded to it.
    pub(crate) fn request_read_index_of(&mut self, peer: ReplicaId) {
        let Some(round) = &self.reads.current_round else {
            return;
        };
        let token = round.token;
        if !round.responses.contains_key(&peer) {
            self.send(peer, Message::ReadIndexRequest { token });
        }
    }

    pub(crate) fn on_read_index_request(&mut self, from: ReplicaId, token: ReadToken) {
        if self.has_caught_up() {
            let highest_accepted = self.highest_command_instance();
            self.send(
                from,
                Message::ReadIndexResponse {
                    token,
                    highest_accepted,
                },
            );
        }
    }

    pub(crate) fn on_read_index_response(
        &mut self,
        from: ReplicaId,
        token: ReadToken,
        highest_accepted: Option<Instance>,
    ) {
        let majority = self.majority();
        let completed = self.reads.current_round.take_if(|round| {
            if round.token != token {
                return false;
            }
            round.responses.insert(from, highest_accepted);
            round.responses.len() >= majority
        });
        let Some(round) = completed else { return };
        let read_index = round.responses.into_values().max().flatten();
        self.reads.confirmed.push(ConfirmedReads {
            read_index,
            tokens: round.requested_by,
        });
        self.complete_reads();
        self.start_read_round();
    }

    /// Answers the confirmed reads whose read index is applied.
    pub(crate) fn complete_reads(&mut self) {
        let applied = self.applied;
        let is_applied =
            |reads: &ConfirmedReads| reads.read_index.is_none_or(|instance| instance < applied);
        let (ready, waiting): (Vec<_>, Vec<_>) = take(&mut self.reads.confirmed)
            .into_iter()
            .partition(is_applied);
        self.reads.confirmed = waiting;
        let tokens = ready.into_iter().flat_map(|reads| reads.tokens);
        self.effects.extend(tokens.map(Effect::ReadReady));
    }

    /// Returns the reads that are not answered yet, for status reports.
    pub fn pending_reads(&self) -> PendingReads {
        let round = self.reads.current_round.as_ref();
        PendingReads {
            waiting: self.reads.waiting.len(),
            in_round: round.map_or(0, |round| round.requested_by.len()),
            awaited_instances: self.read_indexes().collect(),
        }
    }

    /// Returns the highest instance that a read waits for or that is known to hold a command. If it
    /// is below `applied`, nothing is waiting to be applied.
    pub(crate) fn awaited_instance(&self) -> Option<Instance> {
        self.read_indexes()
            .max()
            .max(self.highest_command_instance())
    }

    fn read_indexes(&self) -> impl Iterator<Item = Instance> + '_ {
        self.reads
            .confirmed
            .iter()
            .filter_map(|reads| reads.read_index)
    }
}
