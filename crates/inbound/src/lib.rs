//! Beside a back end: everything that reaches it goes through here, so slots, order and keys are kept by one
//! owner, and what it was never given is known never to have run (design 13).

mod admission_queue;
mod backend_client;
mod concurrency_limiter;
mod connection_pool;
mod key_demand;
mod local_backend;
mod outlier_detection;

pub use admission_queue::{AdmissionQueue, QueuedRequest};
pub use backend_client::BackendClient;
pub use concurrency_limiter::{ConcurrencyLimiter, ConcurrencyLimiterConfig, Outcome};
pub use key_demand::KeyDemand;
pub use local_backend::{HeldKeys, LocalBackend};
pub use outlier_detection::{OutlierDetector, RunResult};
