//! What one seat knows about the instances of one coordinator (design 3.3).

use crate::words::{Block, Commands, Instance, Round, Value};

#[derive(Clone, Debug, Default)]
pub struct Share {
    pub promised: crate::Spans<Round>,
    pub accepted: std::collections::BTreeMap<Instance, (Round, Value)>,
    pub void: crate::Spans<Round>,
    pub chosen: std::collections::BTreeMap<Instance, Value>,
    pub skipped: crate::Spans<()>,
    /// How far the coordinator's word on this channel reaches; None before a resync.
    pub cursor: Option<Instance>,
}

impl Share {
    /// `Some(None)` is a no-op, `Some(Some(_))` a command, `None` not yet known here.
    pub fn outcome(&self, at: Instance) -> Option<Option<&Value>> {
        self.chosen.get(&at).map(Some).or_else(|| self.skipped.get(at).map(|_| None))
    }

    pub fn promised_over(&self, block: Block) -> Round {
        self.promised.over(block.0, block.1).into_iter().map(|(_, _, round)| round).max().unwrap_or(Round::FIRST)
    }

    /// Chosen commands are never overwritten: a skip only fills what lies between them.
    pub fn skip(&mut self, from: Instance, to: Instance) -> Vec<Block> {
        let cuts: Vec<Instance> = self.chosen.range(from..to.max(from)).map(|(at, _)| *at).collect();
        let starts = std::iter::once(from).chain(cuts.iter().map(|at| at + 1));
        let ends = cuts.iter().copied().chain(std::iter::once(to));
        let fresh: Vec<Block> = starts.zip(ends).filter(|(start, end)| start < end).collect();
        fresh.iter().for_each(|(start, end)| self.skipped.set(*start, *end, ()));
        fresh
    }

    pub fn choose(&mut self, at: Instance, value: Value) {
        debug_assert!(self.skipped.get(at).is_none(), "a skipped instance {at} was chosen with a command");
        self.chosen.insert(at, value);
    }

    /// First instance at or after `from`, in steps of `seats`, whose outcome is unknown.
    pub fn first_unknown(&self, from: Instance, seats: u64) -> Instance {
        let mut at = from;
        loop {
            at = match (self.chosen.contains_key(&at), self.skipped.span_at(at)) {
                (true, _) => at + seats,
                (false, Some((_, to, _))) => at + (to - at).div_ceil(seats) * seats,
                (false, None) => return at,
            };
        }
    }

    /// First instance at or after `from` that is not a known no-op.
    pub fn first_spoken(&self, from: Instance, seats: u64) -> Instance {
        let mut at = from;
        while let Some((_, to, _)) = self.skipped.span_at(at) {
            at += (to - at).div_ceil(seats) * seats;
        }
        at
    }

    /// What a promise must report: the highest round seen for each command, and voids.
    pub fn report(&self, block: Block) -> crate::machine::Report {
        let chosen = self.chosen.range(block.0..block.1).map(|(at, value)| (*at, Round::CHOSEN, value.clone()));
        let accepted =
            self.accepted.range(block.0..block.1).filter(|(at, _)| !self.chosen.contains_key(at)).map(|(at, (round, value))| (*at, *round, value.clone()));
        let skipped = self.skipped.over(block.0, block.1).into_iter().map(|(from, to, ())| (from, to, Round::CHOSEN));
        let voids = self.void.over(block.0, block.1).into_iter();
        (chosen.chain(accepted).collect(), voids.chain(skipped).collect())
    }

    pub fn commands_in(&self, block: Block) -> Commands {
        self.chosen.range(block.0..block.1).map(|(at, value)| (*at, value.clone())).collect()
    }

    pub fn highest(&self) -> Option<Instance> {
        let accepted = self.accepted.last_key_value().map(|(at, _)| *at);
        accepted.max(self.chosen.last_key_value().map(|(at, _)| *at))
    }

    pub fn cut_below(&mut self, floor: Instance) {
        self.promised.clear(0, floor);
        self.void.clear(0, floor);
        self.skipped.clear(0, floor);
        self.accepted = self.accepted.split_off(&floor);
        self.chosen = self.chosen.split_off(&floor);
    }
}
