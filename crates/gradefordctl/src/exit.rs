//! The exit codes.

/// The command was carried out; of `compare`, that both are alike.
pub(crate) const DONE: i32 = 0;
/// The core refused the command; of `compare`, that the two differ.
pub(crate) const REFUSED: i32 = 1;
/// The command line is wrong.
pub(crate) const USAGE: i32 = 2;
/// No replica answered, so nothing was changed.
pub(crate) const UNREACHABLE: i32 = 3;
/// Whether the change took effect is not known.
pub(crate) const UNKNOWN: i32 = 4;
