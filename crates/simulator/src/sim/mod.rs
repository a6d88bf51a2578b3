//! Core seats under virtual time: the real ordering machine, a made-up network and disks (design 9.1).

mod checks;
mod effects;
pub mod entry_cost;
mod faults;
mod plan;
mod replacement;
mod site;
pub mod trial;
mod world;

pub use checks::Findings;
pub use faults::{Fault, schedule_faults};
pub use plan::{Counts, WorldPlan};
pub use site::{DisabledGuards, Site, SiteFault, SitePlan, schedule_site_faults};
pub use world::{SimulatedReplica, World};
