//! Membership of the log: how replicas discover each other, how a machine is assigned a replica,
//! and how one disk replaces another (design 4.3, 4.4, 12).

pub mod bootstrap;
pub mod discovery;
mod replacement;
pub mod retirement;
