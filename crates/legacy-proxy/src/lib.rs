//! The data plane: from a sender's own usher to the node beside the picked back end (design 5).

pub mod budget;
pub mod calls;
pub mod course;
pub mod far;
pub mod house;
mod house_judge;
mod house_pump;
pub mod house_task;
pub mod marks;
pub mod mates;
pub mod near;
pub mod picker;
pub mod server;
pub mod taken;
pub mod tries;

pub use far::{BackDoor, Far, Running};
pub use house::{House, HouseEnv};
pub use house_task::{HouseDesk, SenderId};
pub use near::{Ask, Near};
