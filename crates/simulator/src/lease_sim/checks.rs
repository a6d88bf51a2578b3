//! What must hold: one holder at a time, fences that grow, all keys held again (design 11.4, 11.5).

use model::Microseconds;
use model::cluster_state::ShardKey;

#[derive(Default)]
pub struct LeaseChecks {
    pub violations: Vec<String>,
    /// Rows taken up or renewed.
    pub ranges_taken: usize,
    /// Of these the ones that came with what their last holder had handed over.
    pub ranges_handed_over: usize,
}

impl LeaseChecks {
    pub(super) fn violation(&mut self, now: Microseconds, promise: &str, told: String) {
        if self.violations.len() < 40 {
            self.violations.push(format!("{promise}: at {now} {told}"));
        }
    }

    /// `taker` has just taken up or renewed what it holds.
    pub(super) fn check_holders(
        &mut self,
        now: Microseconds,
        players: &[super::backend::SimulatedBackend],
        taker: usize,
    ) {
        let own = players[taker].held(now);
        let others = players
            .iter()
            .zip(0..)
            .filter(|(player, at)| *at != taker && player.alive);
        let clash = others
            .flat_map(|(player, _)| player.held(now).into_iter().map(|row| (player.name(), row)))
            .find_map(|(name, (from, to, fence))| {
                let met = own
                    .iter()
                    .find(|(start, end, _)| *start <= to && from <= *end)?;
                Some(format!(
                    "{} holds {met:?}, {name} holds {:?}",
                    players[taker].name(),
                    (from, to, fence)
                ))
            });
        clash
            .into_iter()
            .for_each(|told| self.violation(now, "owner", told));
    }

    /// At the end, well after the last fault: every key has a holder, and everyone who is there holds some.
    pub(super) fn check_final_state(
        &mut self,
        now: Microseconds,
        players: &[super::backend::SimulatedBackend],
    ) {
        let mut held: Vec<(ShardKey, ShardKey)> = players
            .iter()
            .filter(|player| player.alive)
            .flat_map(|player| player.held(now))
            .map(|(from, to, _)| (from, to))
            .collect();
        held.sort();
        let reach = held.iter().fold(0u32, |reach, (from, to)| {
            if *from as u32 <= reach {
                reach.max(*to as u32 + 1)
            } else {
                reach
            }
        });
        if reach <= ShardKey::MAX as u32 {
            self.violation(now, "unheld", format!("nobody holds key {reach}: {held:?}"));
        }
        let idle = players
            .iter()
            .filter(|player| player.alive && player.held(now).is_empty())
            .map(super::backend::SimulatedBackend::name);
        let idle: Vec<String> = idle.collect();
        if !idle.is_empty() {
            self.violation(now, "idle", format!("{idle:?} live and hold nothing"));
        }
    }
}
