//! Between our own processes: validated `rkyv` frames over FIFO TCP (design 4.2).

mod conn;
mod cue;
mod frame;
mod hail;
mod short;
pub mod traffic;

pub use conn::{Conn, Sender};
pub use cue::{Cue, SaidCue, SaidTake, Take};
pub use frame::*;
pub use hail::{accept, dial};
pub use short::{Listener, Said, Speaker};

/// Spoken version; a mate with another is refused with both numbers.
pub const VERSION: u16 = 5;
/// The longest frame taken from a mate.
pub const FRAME_LIMIT: usize = 16 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    #[error("conn failed: {0}")]
    Conn(#[from] std::io::Error),
    #[error("conn closed")]
    Closed,
    #[error("a frame of {0} bytes is over the limit")]
    TooLong(usize),
    #[error("a frame that does not hold together")]
    Garbled,
    #[error("the mate speaks version {0}, this program {VERSION}")]
    Version(u16),
    #[error("refused by the mate: {0}")]
    Refused(String),
    #[error("no answer in time")]
    Slow,
}
