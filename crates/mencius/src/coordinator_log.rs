//! What one replica knows about the instances of one coordinator (design 3.3).

use std::collections::BTreeMap;
use std::iter::once;

use crate::instance_ranges::InstanceRanges;
use crate::messages::{
    Block, Commands, Instance, ProposalNumber, ReportedCommand, ReportedNoOps, Value,
};

/// A command with the highest proposal that it was accepted in here.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedValue {
    pub proposal_number: ProposalNumber,
    pub value: Value,
}

/// What came of an instance, where that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Outcome<'log> {
    NoOp,
    Command(&'log Value),
}

/// What an acceptor reports with its promise.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromiseReport {
    pub commands: Vec<ReportedCommand>,
    pub accepted_noops: Vec<ReportedNoOps>,
}

/// The instances of one coordinator, as this replica knows them. Instances of other coordinators
/// lie within the ranges and mean nothing there.
#[derive(Clone, Debug, Default)]
pub(crate) struct CoordinatorLog {
    /// The highest number promised; where there is none, [`ProposalNumber::INITIAL`] holds.
    pub promised: InstanceRanges<ProposalNumber>,
    /// Accepted commands.
    pub accepted: BTreeMap<Instance, AcceptedValue>,
    /// Accepted proposals of no-op, but where `accepted` has a command of the same number.
    pub accepted_noops: InstanceRanges<ProposalNumber>,
    /// Commands known to be chosen.
    pub chosen: BTreeMap<Instance, Value>,
    /// Instances known to be no-ops.
    pub skipped: InstanceRanges<()>,
    /// Below it the coordinator has suggested on this connection all that it ever will. `None`
    /// until the connection's resync.
    pub cursor: Option<Instance>,
}

impl CoordinatorLog {
    /// `None` while the outcome is not known here.
    pub(crate) fn outcome(&self, instance: Instance) -> Option<Outcome<'_>> {
        match self.chosen.get(&instance) {
            Some(value) => Some(Outcome::Command(value)),
            None => self.skipped.contains(instance).then_some(Outcome::NoOp),
        }
    }

    /// The highest number promised anywhere in a block.
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

    /// Accepts no-op in a block, but for the commands accepted under the same number.
    pub(crate) fn accept_noops(&mut self, (start, end): Block, proposal_number: ProposalNumber) {
        self.accepted_noops.set(start, end, proposal_number);
    }

    /// Learns no-ops. Chosen commands are never overwritten: a skip fills what lies between them.
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
            "instance {instance} is a no-op and was chosen with a command"
        );
        self.chosen.insert(instance, value);
    }

    /// The first instance of the coordinator whose outcome is unknown. `from` is an instance of
    /// the coordinator to begin at, `replica_count` the distance to its next.
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

    /// The first instance of the coordinator that is not a known no-op, from one of its instances.
    pub(crate) fn first_not_skipped(&self, from: Instance, replica_count: u64) -> Instance {
        let mut instance = from;
        while let Some(range) = self.skipped.range_at(instance) {
            instance = first_step_at_or_above(range.end, instance, replica_count);
        }
        instance
    }

    /// What a promise must report of a block. Known outcomes are reported as accepted in
    /// [`ProposalNumber::CHOSEN`].
    pub(crate) fn promise_report(&self, (start, end): Block) -> PromiseReport {
        let chosen = self.chosen.range(start..end);
        let chosen = chosen.map(|(at, value)| (*at, ProposalNumber::CHOSEN, value.clone()));
        let accepted = self.accepted.range(start..end);
        let accepted = accepted
            .filter(|(at, _)| !self.chosen.contains_key(at))
            .map(|(at, accepted)| (*at, accepted.proposal_number, accepted.value.clone()));
        let skipped = self.skipped.overlapping(start, end).into_iter();
        let skipped = skipped.map(|range| (range.start, range.end, ProposalNumber::CHOSEN));
        let noops = self.accepted_noops.overlapping(start, end).into_iter();
        let noops = noops.map(|range| (range.start, range.end, range.value));
        PromiseReport {
            commands: chosen.chain(accepted).collect(),
            accepted_noops: noops.chain(skipped).collect(),
        }
    }

    /// The commands known to be chosen in a block.
    pub(crate) fn chosen_commands(&self, (start, end): Block) -> Commands {
        self.chosen
            .range(start..end)
            .map(|(at, value)| (*at, value.clone()))
            .collect()
    }

    /// The highest instance with an accepted or chosen command.
    pub(crate) fn highest_command(&self) -> Option<Instance> {
        let accepted = self
            .accepted
            .last_key_value()
            .map(|(instance, _)| *instance);
        let chosen = self.chosen.last_key_value().map(|(instance, _)| *instance);
        accepted.max(chosen)
    }

    /// Forgets what lies below `end`, as a snapshot covers it.
    pub(crate) fn compact_below(&mut self, end: Instance) {
        self.promised.clear(0, end);
        self.accepted_noops.clear(0, end);
        self.skipped.clear(0, end);
        self.accepted = self.accepted.split_off(&end);
        self.chosen = self.chosen.split_off(&end);
    }
}

/// The first of `from`, `from + step`, ... that is not below `bound`.
fn first_step_at_or_above(bound: Instance, from: Instance, step: u64) -> Instance {
    from + (bound - from).div_ceil(step) * step
}
