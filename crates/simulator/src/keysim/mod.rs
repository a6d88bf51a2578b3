//! Keys in virtual time: real grants, rows and placements; made-up nodes, back ends and news (design 11.4, 11.5).

mod blows;
mod judge;
mod line;
mod log;
mod node;
mod placing;
mod plan;
mod player;
mod stage;
mod telling;

pub use blows::{BLOWS, Blow, Struck, blows, draw};
pub use plan::{KeyPlan, Without};
pub use stage::Stage;

/// One simulated service from its beginning through the blows to its recovery; what was broken, and the stage.
pub fn play(plan: KeyPlan, struck: &[Struck]) -> (Vec<String>, Stage) {
    let end = struck
        .iter()
        .map(|(at, _, _, length)| at + length)
        .max()
        .unwrap_or(3_000_000)
        .max(3_000_000)
        + plan.recovery();
    let mut stage = Stage::new(plan);
    struck.iter().for_each(|blow| stage.strikes(*blow));
    stage.run_until(end);
    let broken = stage.close();
    (broken, stage)
}
