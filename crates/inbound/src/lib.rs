//! The inbound side of a node. All traffic to the backend beside the node passes through this
//! crate. One task owns the backend's slots, queue and shard keys, so a request that this task
//! never started is known not to have run (design 13).
//!
//! A request passes these layers:
//!
//! 1. [`ConcurrencyLimiter`]: admission by slots, shard keys and drain state. It is the handle of
//!    the owning task.
//! 2. [`AdmissionQueue`]: ordering by priority and load shedding by expected wait.
//! 3. [`OutlierDetector`]: ejection of a backend whose runs fail.
//! 4. [`BackendClient`]: HTTP requests to the backend over pooled connections.
//!
//! [`KeyDemand`] counts the requests for each shard key; shard placement uses these counts.
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
