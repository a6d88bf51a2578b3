//! Core seats under virtual time: the real ordering machine, a made-up network and disks (design 9.1).

mod checks;
mod effects;
pub mod entry_cost;
mod faults;
mod plan;
mod replacement;
mod site;
mod site_attempts;
mod site_checks;
mod site_events;
mod site_faults;
mod site_plan;
mod site_replicas;
mod site_runs;
pub mod trial;
mod world;

pub use checks::Findings;
pub use faults::{Fault, schedule_faults};
pub use plan::{Counts, WorldPlan};
pub use site::Site;
pub use site_plan::{DisabledGuards, SiteFault, SitePlan, schedule_site_faults};
pub use world::{SimulatedReplica, World};
