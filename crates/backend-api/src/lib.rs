//! The HTTP interface of a node for the backends on its machine: they register, send heartbeats,
//! drain and deregister here, and [`BackendClient`] forwards requests to them (design 5.3). The
//! contract for authors of backends is `docs/operators/back-ends.md`.

#![deny(missing_docs)]

mod backend_client;
mod config;
mod heartbeat;
mod registration;
pub mod seal;

use salvo::Router;

pub use backend_client::BackendClient;
pub use config::BackendApiConfig;

use heartbeat::{Deregister, Drain, Heartbeat};
use registration::Register;

/// Header with the attempt id that the client set; it is the same in each attempt on a backend.
pub const ATTEMPT_ID_HEADER: &str = "x-gradeford-try";
/// Header with the number of earlier attempts of the request that may have run.
pub const ATTEMPT_ORDINAL_HEADER: &str = "x-gradeford-dispatch";
/// Header with the time that is left until the client's deadline, in microseconds.
pub const TIME_LEFT_HEADER: &str = "x-gradeford-wait";
/// Header with the client's service.
pub const CLIENT_HEADER: &str = "x-gradeford-sender";
/// Header with the service that the request is for.
pub const SERVICE_HEADER: &str = "x-gradeford-service";
/// Header with the incarnation of the backend that the request is for.
pub const INCARNATION_HEADER: &str = "x-gradeford-incarnation";
/// Header with the shard key of the request.
pub const SHARD_KEY_HEADER: &str = "x-gradeford-key";
/// Header with the fencing token of the lease that covers the shard key.
pub const FENCING_TOKEN_HEADER: &str = "x-gradeford-fence";
/// Response header with the seal; see [`seal`].
pub const SEAL_HEADER: &str = "x-gradeford-seal";

/// Returns the router for all requests of backends, below `/back-end`.
pub fn router(config: BackendApiConfig) -> Router {
    let deregister = Deregister {
        slot_owner: config.slot_owner.clone(),
    };
    let drain = Drain {
        slot_owner: config.slot_owner.clone(),
    };
    Router::with_path("back-end")
        .push(Router::with_path("register").post(Register {
            config: config.clone(),
        }))
        .push(Router::with_path("beat").post(Heartbeat { config }))
        .push(Router::with_path("drain").post(drain))
        .push(Router::with_path("sign-off").post(deregister))
}
