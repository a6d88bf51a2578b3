//! What a node tells the placement coordinator of a backend's load (design 11.4).

use model::{BackendName, Microseconds, ServiceName};

/// Demand and speed of a backend, reported to the node that places its service's keys.
#[derive(Clone, Debug, Default, PartialEq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct LoadReport {
    /// Service of the backend.
    pub service: ServiceName,
    /// The backend reported on.
    pub backend: BackendName,
    /// Requests it may run at once.
    pub slots: u32,
    /// Mean time of a run there, in microseconds.
    pub mean_run_time: Microseconds,
    /// Runs that the mean is taken over.
    pub run_count: u32,
    /// Requests a second on each range of keys it holds: first key, last key, rate.
    pub demand: Vec<(u16, u16, f32)>,
    /// Requests that `demand` is estimated from, older ones counting less.
    pub demand_samples: f32,
    /// Its runs come to nothing, so outlier detection would eject it (design 13.8).
    pub unhealthy: bool,
}
