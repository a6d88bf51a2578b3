//! The log of one coordinator's instances, as known to a replica (design 3.3).

use std::collections::BTreeMap;
use std::iter::once;

use crate::instance_ranges::InstanceRanges;
use crate::messages::{Block, Instance, ProposalNumber, ReportedCommand, ReportedNoOps, Value};

/// A command with the number of the highest proposal in which this replica accepted it.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedValue {
    pub proposal_number: ProposalNumber,
    pub value: Value,
}

/// The known outcome of an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome<'log> {
    NoOp,
    Command(&'log Value),
}

/// The commands and no-ops that an acceptor reports with its promise.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromiseReport {
    pub commands: Vec<ReportedCommand>,
    pub accepted_noops: Vec<ReportedNoOps>,
}

/// The instances of one coordinator, as known to this replica. The ranges also span instances of
/// other coordinators, for which they have no meaning.
#[derive(Clone, Debug, Default)]
pub(crate) struct CoordinatorLog {
    /// The highest number promised; [`ProposalNumber::INITIAL`] where there is no entry.
    pub promised: InstanceRanges<ProposalNumber>,
    /// Accepted commands.
    pub accepted: BTreeMap<Instance, AcceptedValue>,
    /// Accepted proposals of no-op, except where `accepted` has a command with the same number.
    pub accepted_noops: InstanceRanges<ProposalNumber>,
    /// Commands known to be chosen.
    pub chosen: BTreeMap<Instance, Value>,
    /// Instances known to be no-ops.
    pub skipped: InstanceRanges<()>,
    /// The coordinator has sent all its suggestions below this instance on the current connection.
    /// `None` until the `Resync` of the connection.
    pub cursor: Option<Instance>,
}

impl CoordinatorLog {
    /// Returns the outcome of an instance; `None` if it is not known here.
    pub(crate) fn outcome(&self, instance: Instance) -> Option<Outcome<'_>> {
        match self.chosen.get(&instance) {
            Some(value) => Some(Outcome::Command(value)),
            None => self.skipped.contains(instance).then_some(Outcome::NoOp),
        }
    }

    /// Returns the highest number promised anywhere in a block.
    pub(crate) fn highest_promised(&self, (start, end): Block) -> ProposalNumber {
        let promises = self.promised.overlapping(start, end).into_iter();
        promises
            .map(|range| range.value)
            .max()
            .unwrap_or(ProposalNumber::INITIAL)
    }

    /// Promises a number for all instances in a block.
    pub(crate) fn promise(&mut self, (start, end): Block, proposal_number: ProposalNumber) {
        self.promised.set(start, end, proposal_number);
    }

    /// Accepts a command.
    pub(crate) fn accept(
        &mut self,
        instance: Instance,
        proposal_number: ProposalNumber,
        value: Value,
    ) {
        self.accepted.insert(
            instance,
            AcceptedValue {
                proposal_number,
                value,
            },
        );
    }

    /// Accepts no-op in a block, except for the commands accepted with the same number.
    pub(crate) fn accept_noops(&mut self, (start, end): Block, proposal_number: ProposalNumber) {
        self.accepted_noops.set(start, end, proposal_number);
    }

    /// Learns no-ops. Chosen commands are never overwritten: only the instances between them become
    /// no-ops.
    pub(crate) fn skip(&mut self, start: Instance, end: Instance) {
        let commands = self
            .chosen
            .range(start..end.max(start))
            .map(|(instance, _)| *instance);
        let commands: Vec<Instance> = commands.collect();
        let starts = once(start).chain(commands.iter().map(|instance| instance + 1));
        let ends = commands.iter().copied().chain(once(end));
        for (start, end) in starts.zip(ends) {
            self.skipped.set(start, end, ());
        }
    }

    /// Learns a command.
    pub(crate) fn choose(&mut self, instance: Instance, value: Value) {
        debug_assert!(
            !self.skipped.contains(instance),
            "instance {instance} is known to be a no-op but a command was chosen in it"
        );
        self.chosen.insert(instance, value);
    }

    /// Returns the first instance of the coordinator, from `from` on, whose outcome is unknown.
    /// `from` is an instance of the coordinator; `replica_count` is the distance to its next
    /// instance.
    pub(crate) fn first_unknown(&self, from: Instance, replica_count: u64) -> Instance {
        let mut instance = from;
        loop {
            if self.chosen.contains_key(&instance) {
                instance += replica_count;
            } else if let Some(range) = self.skipped.range_at(instance) {
                instance = first_step_at_or_above(range.end, instance, replica_count);
            } else {
                return instance;
            }
        }
    }

    /// Returns the first instance of the coordinator, from `from` on, that is not known to be a
    /// no-op. `from` is an instance of the coordinator.
    pub(crate) fn first_not_skipped(&self, from: Instance, replica_count: u64) -> Instance {
        let mut instance = from;
        while let Some(range) = self.skipped.range_at(instance) {
            instance = first_step_at_or_above(range.end, instance, replica_count);
        }
        instance
    }

    /// Returns the report that a promise must carry for a block. Known outcomes are reported as
    /// accepted with [`ProposalNumber::CHOSEN`].
    pub(crate) fn promise_report(&self, (start, end): Block) -> PromiseReport {
        let chosen = self.chosen.range(start..end);
        let chosen =
            chosen.map(|(instance, value)| (*instance, ProposalNumber::CHOSEN, value.clone()));
        let accepted = self.accepted.range(start..end);
        let accepted = accepted
            .filter(|(instance, _)| !self.chosen.contains_key(instance))
            .map(|(instance, accepted)| {
                (*instance, accepted.proposal_number, accepted.value.clone())
            });
        let skipped = self.skipped.overlapping(start, end).into_iter();
        let skipped = skipped.map(|range| (range.start, range.end, ProposalNumber::CHOSEN));
        let noops = self.accepted_noops.overlapping(start, end).into_iter();
        let noops = noops.map(|range| (range.start, range.end, range.value));
        PromiseReport {
            commands: chosen.chain(accepted).collect(),
            accepted_noops: noops.chain(skipped).collect(),
        }
    }

    /// Returns the commands known to be chosen in a block, ordered by instance.
    pub(crate) fn chosen_commands(
        &self,
        (start, end): Block,
    ) -> impl Iterator<Item = (Instance, &Value)> {
        let chosen = self.chosen.range(start..end);
        chosen.map(|(instance, value)| (*instance, value))
    }

    /// Returns the number of bytes of the commands known to be chosen in a block.
    pub(crate) fn chosen_bytes(&self, block: Block) -> usize {
        let values = self.chosen_commands(block);
        values.map(|(_, value)| value.len()).sum()
    }

    /// Returns the highest instance with an accepted or chosen command.
    pub(crate) fn highest_command_instance(&self) -> Option<Instance> {
        let accepted = self
            .accepted
            .last_key_value()
            .map(|(instance, _)| *instance);
        let chosen = self.chosen.last_key_value().map(|(instance, _)| *instance);
        accepted.max(chosen)
    }

    /// Removes all entries below `end`, which a snapshot covers.
    pub(crate) fn compact_below(&mut self, end: Instance) {
        self.promised.clear(0, end);
        self.accepted_noops.clear(0, end);
        self.skipped.clear(0, end);
        self.accepted = self.accepted.split_off(&end);
        self.chosen = self.chosen.split_off(&end);
    }
}

/// Returns the first of `from`, `from + step`, ... that is not below `bound`.
fn first_step_at_or_above(bound: Instance, from: Instance, step: u64) -> Instance {
    from + (bound - from).div_ceil(step) * step
}
