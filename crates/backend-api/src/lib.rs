//! Back ends: how they register, beat, drain and sign off, and how a request reaches one (design 5.3).
//! The contract for their authors is `docs/operators/back-ends.md`.

mod backend_client;
mod registration;
pub mod seal;

pub use backend_client::BackendClient;
pub use registration::{BackendApiConfig, router};

pub const ATTEMPT_ID_HEADER: &str = "x-gradeford-try";
pub const ATTEMPT_ORDINAL_HEADER: &str = "x-gradeford-dispatch";
pub const TIME_LEFT_HEADER: &str = "x-gradeford-wait";
pub const CLIENT_HEADER: &str = "x-gradeford-sender";
pub const SERVICE_HEADER: &str = "x-gradeford-service";
pub const INCARNATION_HEADER: &str = "x-gradeford-incarnation";
pub const SHARD_KEY_HEADER: &str = "x-gradeford-key";
pub const FENCING_TOKEN_HEADER: &str = "x-gradeford-fence";
pub const SEAL_HEADER: &str = "x-gradeford-seal";
