//! Back ends: how they register, beat, drain and sign off, and how a request reaches one (design 5.3).
//! The contract for their authors is `docs/operators/back-ends.md`.

mod door;
mod rooms;
pub mod seal;

pub use door::Door;
pub use rooms::{GreenroomEnv, router};

pub const TRY: &str = "x-gradeford-try";
pub const DISPATCH: &str = "x-gradeford-dispatch";
pub const WAIT: &str = "x-gradeford-wait";
pub const SENDER: &str = "x-gradeford-sender";
pub const SERVICE: &str = "x-gradeford-service";
pub const INCARNATION: &str = "x-gradeford-incarnation";
pub const KEY: &str = "x-gradeford-key";
pub const FENCE: &str = "x-gradeford-fence";
pub const SEAL: &str = "x-gradeford-seal";
