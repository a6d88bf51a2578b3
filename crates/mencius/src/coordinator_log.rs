//! What one seat knows about the instances of one coordinator (design 3.3).

use crate::messages::{Block, Commands, Instance, ProposalNumber, Value};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct CoordinatorLog {
    pub promised: crate::InstanceRanges<ProposalNumber>,
    pub accepted: BTreeMap<Instance, (ProposalNumber, Value)>,
    pub accepted_noops: crate::InstanceRanges<ProposalNumber>,
    pub chosen: BTreeMap<Instance, Value>,
    pub skipped: crate::InstanceRanges<()>,
    /// How far the coordinator's word on this channel reaches; None before a resync.
    pub cursor: Option<Instance>,
}

impl CoordinatorLog {
    /// `Some(None)` is a no-op, `Some(Some(_))` a command, `None` not yet known here.
    pub fn outcome(&self, at: Instance) -> Option<Option<&Value>> {
        self.chosen
            .get(&at)
            .map(Some)
            .or_else(|| self.skipped.get(at).map(|_| None))
    }

    pub fn highest_promised(&self, block: Block) -> ProposalNumber {
        self.promised
            .overlapping(block.0, block.1)
            .into_iter()
            .map(|(_, _, round)| round)
            .max()
            .unwrap_or(ProposalNumber::INITIAL)
    }

    /// Chosen commands are never overwritten: a skip only fills what lies between them.
    pub fn skip(&mut self, from: Instance, to: Instance) -> Vec<Block> {
        let cuts: Vec<Instance> = self
            .chosen
            .range(from..to.max(from))
            .map(|(at, _)| *at)
            .collect();
        let starts = std::iter::once(from).chain(cuts.iter().map(|at| at + 1));
        let ends = cuts.iter().copied().chain(std::iter::once(to));
        let fresh: Vec<Block> = starts
            .zip(ends)
            .filter(|(start, end)| start < end)
            .collect();
        fresh
            .iter()
            .for_each(|(start, end)| self.skipped.set(*start, *end, ()));
        fresh
    }

    pub fn choose(&mut self, at: Instance, value: Value) {
        debug_assert!(
            self.skipped.get(at).is_none(),
            "a skipped instance {at} was chosen with a command"
        );
        self.chosen.insert(at, value);
    }

    /// First instance at or after `from`, in steps of `seats`, whose outcome is unknown.
    pub fn first_unknown(&self, from: Instance, seats: u64) -> Instance {
        let mut at = from;
        loop {
            at = match (self.chosen.contains_key(&at), self.skipped.range_at(at)) {
                (true, _) => at + seats,
                (false, Some((_, to, _))) => at + (to - at).div_ceil(seats) * seats,
                (false, None) => return at,
            };
        }
    }

    /// First instance at or after `from` that is not a known no-op.
    pub fn first_not_skipped(&self, from: Instance, seats: u64) -> Instance {
        let mut at = from;
        while let Some((_, to, _)) = self.skipped.range_at(at) {
            at += (to - at).div_ceil(seats) * seats;
        }
        at
    }

    /// What a promise must report: the highest round seen for each command, and voids.
    pub fn promise_report(&self, block: Block) -> crate::replica::PromiseReport {
        let chosen = self
            .chosen
            .range(block.0..block.1)
            .map(|(at, value)| (*at, ProposalNumber::CHOSEN, value.clone()));
        let accepted = self
            .accepted
            .range(block.0..block.1)
            .filter(|(at, _)| !self.chosen.contains_key(at))
            .map(|(at, (round, value))| (*at, *round, value.clone()));
        let skipped = self
            .skipped
            .overlapping(block.0, block.1)
            .into_iter()
            .map(|(from, to, ())| (from, to, ProposalNumber::CHOSEN));
        let voids = self
            .accepted_noops
            .overlapping(block.0, block.1)
            .into_iter();
        (
            chosen.chain(accepted).collect(),
            voids.chain(skipped).collect(),
        )
    }

    pub fn chosen_commands(&self, block: Block) -> Commands {
        self.chosen
            .range(block.0..block.1)
            .map(|(at, value)| (*at, value.clone()))
            .collect()
    }

    pub fn highest_command(&self) -> Option<Instance> {
        let accepted = self.accepted.last_key_value().map(|(at, _)| *at);
        accepted.max(self.chosen.last_key_value().map(|(at, _)| *at))
    }

    pub fn compact_below(&mut self, floor: Instance) {
        self.promised.clear(0, floor);
        self.accepted_noops.clear(0, floor);
        self.skipped.clear(0, floor);
        self.accepted = self.accepted.split_off(&floor);
        self.chosen = self.chosen.split_off(&floor);
    }
}
