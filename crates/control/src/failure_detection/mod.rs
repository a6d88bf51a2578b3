//! How nodes watch over each other: each sends heartbeats to its monitors on a ring, and a monitor
//! that misses a node reports it to the log (design 5.10).

pub mod monitor;
pub mod ring;
