//! Failure detection between nodes: each node sends heartbeats to its monitors on a ring, and a
//! monitor that receives no heartbeat of a node reports this to the log (design 5.10).

pub mod monitor;
pub mod ring;
