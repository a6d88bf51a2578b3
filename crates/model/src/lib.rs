//! The words all parts of gradeford share: desired state, standing, terms, verdicts (design 2).

pub mod bill;
pub mod book;
pub mod check;
pub mod clock;
pub mod desired;
pub mod entry;
pub mod env;
pub mod incarnation;
pub mod log;
pub mod pack;
pub mod patch;
pub mod slice;
pub mod standing;
mod standing_rules;
pub mod terms;
pub mod verdict;

pub use bill::Bill;
pub use book::Book;
pub use clock::{Micros, now};
pub use desired::{Change, DesiredState, Edit, Grouping, Order, Selector};
pub use entry::{Act, Conflict, Entry, Outcome, SeatChange};
pub use incarnation::Incarnation;
pub use patch::Patch;
pub use slice::Slice;
pub use standing::{BackEnd, Node, Phase, Standing};
pub use verdict::{Cause, Trouble, Verdict};

/// Position in the log of effective entries: the version everything is fenced by.
pub type Position = u64;
pub type ServiceName = String;
pub type ZoneName = String;
pub type BackEndName = String;
pub type NodeName = String;
pub type Labels = std::collections::BTreeMap<String, String>;
