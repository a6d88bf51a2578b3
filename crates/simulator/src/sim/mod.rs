//! Core seats under virtual time: the real ordering machine, a made-up network and disks (design 9.1).

mod check;
pub mod count;
mod effects;
mod faults;
mod plan;
mod site;
mod site_blows;
mod site_calls;
mod site_core;
mod site_events;
mod site_judge;
mod site_plan;
mod site_runs;
mod tenure;
pub mod trial;
mod world;

pub use check::Findings;
pub use faults::{Fault, schedule};
pub use plan::{Counts, Plan};
pub use site::Site;
pub use site_plan::{Blow, SitePlan, Without, blows};
pub use world::{Node, World};
