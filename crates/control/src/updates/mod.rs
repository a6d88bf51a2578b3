//! Distribution of the replicated state to the nodes: replicas publish updates, and nodes receive
//! them and verify that they are current (design 5.9, 6, 11.3).
//!
//! Two states are distributed, each in its own way:
//!
//! - Every node *follows* a replica to receive the whole *cluster state* ([`publisher`],
//!   [`follower`], [`upstreams`], [`verification`]).
//! - A node *subscribes* to the slice of the older *state machine* that its services need, at a
//!   replica or through a relay in its zone ([`subscriber`], [`relay`], [`zone_relay`], [`view`]).
//!
//! [`server`] accepts the connections of both kinds at a replica.

pub mod follower;
pub mod publisher;
pub mod relay;
pub mod server;
pub mod subscriber;
pub mod upstreams;
pub mod verification;
pub mod view;
pub mod zone_relay;
