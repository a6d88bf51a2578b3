//! The inbound side of a node: everything that reaches the backend beside it goes through here. One
//! task owns its slots, order and keys, so what it was never given is known never to have run
//! (design 13).
//!
//! A request passes these layers, each named for what it adds:
//!
//! 1. [`ConcurrencyLimiter`]: admission by slots, keys and drain; the handle on the owning task.
//! 2. [`AdmissionQueue`]: order by priority, load shedding by expected wait.
//! 3. [`OutlierDetector`]: ejection of a backend whose runs fail.
//! 4. [`BackendClient`]: HTTP into the backend over pooled connections.
//!
//! [`KeyDemand`] counts what shard keys are asked for, for those who place them.
#![deny(missing_docs)]

mod admission_queue;
mod backend_client;
mod concurrency_limiter;
mod connection_pool;
mod key_demand;
mod local_backend;
mod outlier_detection;

pub use admission_queue::{AdmissionQueue, QueuedRequest};
pub use backend_client::BackendClient;
pub use concurrency_limiter::{
    ConcurrencyLimiter, ConcurrencyLimiterConfig, DemandReport, ForwardOutcome,
};
pub use key_demand::KeyDemand;
pub use local_backend::{HeldKeys, LocalBackend};
pub use outlier_detection::{OutlierDetector, RunResult};
