//! The control plane: the replicas of the log and their membership, the distribution of state
//! updates to the nodes, failure detection between nodes, and the reports of nodes to the log
//! (design 4, 5, 6, 11, 12).
#![deny(missing_docs)]

pub mod failure_detection;
pub mod membership;
pub mod replica;
pub mod status_reports;
pub mod updates;

pub use membership::bootstrap::BootstrapConfig;
pub use membership::discovery::KnownReplicas;
pub use replica::{ReplicaConfig, ReplicaHandle, ReplicaStatus};
pub use status_reports::{StatusReporter, StatusReporterConfig};
pub use updates::follower::{FollowerConfig, FollowerHandle};
pub use updates::subscriber::{Subscription, SubscriptionConfig};
pub use updates::verification::{SharedVerifiedState, VerifiedState};
pub use updates::view::View;
