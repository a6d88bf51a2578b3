//! The bill and its followers in virtual time: the real ordering machines, the real desk of a core seat and the real
//! promptbook of a node; made up are network, disks, operators and the blows (design 11.6).

mod node;
mod plan;
mod seat;
mod stage;

pub use plan::{BLOWS, BillPlan, Blow, Struck, Without, draw};
pub use stage::{Stage, play};
