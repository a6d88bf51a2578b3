//! The load report that a node sends to the placement coordinator (design 11.4).

use model::{BackendName, Microseconds, ServiceName};

/// Demand and run times of a backend, reported to the node that coordinates the placement of its
/// service.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadReport {
    /// Service of the backend.
    pub service: ServiceName,
    /// Backend that the report describes.
    pub backend: BackendName,
    /// Number of requests that the backend runs concurrently.
    pub slots: u32,
    /// Mean run time of a request at the backend, in microseconds.
    pub mean_run_time: Microseconds,
    /// Number of runs in the mean.
    pub run_count: u32,
    /// Requests per second of each shard range that the backend holds: first key, last key, rate.
    pub demand: Vec<(u16, u16, f32)>,
    /// Weighted number of requests from which `demand` is estimated; older requests weigh less.
    pub demand_samples: f32,
    /// Whether so many of the backend's runs fail that outlier detection would eject the backend
    /// (design 13.8).
    pub unhealthy: bool,
}
