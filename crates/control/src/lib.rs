//! The control plane: the core's owner of log and book, news and proofs, and a node's subscription
//! to them (design 4, 5, 6).

pub mod bootstrap;
pub mod discovery;
mod effects;
mod event_loop;
pub mod follower;
pub mod monitor;
mod peer_link;
pub mod publisher;
pub mod relay;
mod replacement;
pub mod replica;
pub mod retirement;
pub mod ring;
pub mod status_reports;
pub mod stream;
pub mod subscriber;
pub mod verification;
pub mod view;
pub mod zone_relay;

pub use bootstrap::BootstrapConfig;
pub use discovery::KnownReplicas;
pub use follower::{FollowerConfig, FollowerHandle, SharedVerifiedState, VerifiedState};
pub use replica::{ReplicaConfig, ReplicaHandle, ReplicaStatus};
pub use status_reports::{StatusReporter, StatusReporterConfig};
pub use subscriber::{Subscription, SubscriptionConfig};
pub use view::View;
