//! The back ends beside a node: beats and ends, keys granted and let go, and who is to hold which (design 11).

mod beats;
mod casting;
mod desk;
mod duty;
mod facts;
mod keys;
mod node;
mod recalled;
mod registration;
mod watch;

pub use casting::{Ask, Cast, Part, cast, excess, stripes};
pub use desk::{Beat, BeatAnswer, Troupe, TroupeEnv};
pub use keys::{Grant, Keys, KeysEnv};
pub use node::{Node, NodeEnv};
pub use registration::{Registration, Standing};
