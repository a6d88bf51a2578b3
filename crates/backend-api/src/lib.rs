//! Backends: how they register, send heartbeats, drain and sign off at the node on their machine,
//! and how a request reaches one (design 5.3). The contract for their authors is
//! `docs/operators/back-ends.md`.

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

/// Header with a request's own name, the same in each attempt.
pub const ATTEMPT_ID_HEADER: &str = "x-gradeford-try";
/// Header that counts the attempts of a request that may have run, from 0.
pub const ATTEMPT_ORDINAL_HEADER: &str = "x-gradeford-dispatch";
/// Header with what is left of the client's wait, in microseconds.
pub const TIME_LEFT_HEADER: &str = "x-gradeford-wait";
/// Header with the client's service.
pub const CLIENT_HEADER: &str = "x-gradeford-sender";
/// Header with the service that is asked.
pub const SERVICE_HEADER: &str = "x-gradeford-service";
/// Header with the incarnation of the backend that is to run the request.
pub const INCARNATION_HEADER: &str = "x-gradeford-incarnation";
/// Header with the key of a sharded service's request.
pub const SHARD_KEY_HEADER: &str = "x-gradeford-key";
/// Header with the fencing token of the lease on the key's shard.
pub const FENCING_TOKEN_HEADER: &str = "x-gradeford-fence";
/// Header of the response with its seal, see [`seal`].
pub const SEAL_HEADER: &str = "x-gradeford-seal";

/// All routes for backends, below `/back-end`.
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
