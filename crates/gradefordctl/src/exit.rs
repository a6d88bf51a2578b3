//! Exit codes of the program.

/// The command succeeded; for `compare`, the two states are alike.
pub(crate) const DONE: i32 = 0;
/// The core refused the command; for `compare`, the two states differ.
pub(crate) const REFUSED: i32 = 1;
/// The command line is wrong.
pub(crate) const USAGE: i32 = 2;
/// No replica answered or was able to serve the command, so nothing was changed.
pub(crate) const UNREACHABLE: i32 = 3;
/// It is unknown whether the change took effect.
pub(crate) const UNKNOWN: i32 = 4;
