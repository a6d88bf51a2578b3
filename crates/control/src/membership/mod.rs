//! Which disks hold the replicas: how they find each other, how a machine comes to a replica, and
//! how one disk takes the place of another (design 4.3, 4.4, 12).

pub mod bootstrap;
pub mod discovery;
mod replacement;
pub mod retirement;
