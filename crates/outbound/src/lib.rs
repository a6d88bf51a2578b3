//! The near side: what senders ask, whom it goes to, and what they are answered (design 13).

mod calls;
mod course;
mod front;
mod listen;
mod mates;
mod picker;
mod purse;

pub use calls::{Calls, UnderWay};
pub use course::{Apron, Ask};
pub use front::{Front, FrontEnv};
pub use listen::{Heard, Loads, listen};
pub use mates::{Greet, Mates};
pub use picker::{PickEnv, Picks};
pub use purse::Purse;
