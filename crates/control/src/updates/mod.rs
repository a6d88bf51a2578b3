//! How changes of the state reach the nodes: replicas publish them, nodes follow a replica and
//! verify what they received (design 5.9, 6, 11.3).
//!
//! Two forms stand side by side. Of the *cluster state* every node follows the whole
//! ([`publisher`], [`follower`], [`verification`]). Of the earlier *state machine* a node
//! subscribes to the slice that its services need, directly or through a relay in its zone
//! ([`server`], [`subscriber`], [`relay`], [`zone_relay`], [`view`]).

pub mod follower;
pub mod publisher;
pub mod relay;
pub mod server;
pub mod subscriber;
pub mod upstreams;
pub mod verification;
pub mod view;
pub mod zone_relay;
