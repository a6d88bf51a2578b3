//! Simulates the replicated log in virtual time. The replicas are the product's; network and disks are simulated
//! (design 9.1).

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
