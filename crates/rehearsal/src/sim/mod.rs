//! Core seats under virtual time: the real ordering machine, a made-up network and disks (design 9.1).

mod check;
pub mod count;
mod effects;
mod faults;
mod mesh;
mod mesh_events;
mod mesh_plan;
mod plan;
mod tenure;
mod world;

pub use check::Findings;
pub use faults::{Fault, schedule};
pub use mesh::Mesh;
pub use mesh_plan::{MeshPlan, Strike};
pub use plan::{Counts, Plan};
pub use world::World;
