//! The exit codes.

/// The command was carried out; of `compare`, that both are alike.
pub const DONE: i32 = 0;
/// The core refused the command; of `compare`, that the two differ.
pub const REFUSED: i32 = 1;
/// The command line is wrong.
pub const USAGE: i32 = 2;
/// No replica answered, so nothing was changed.
pub const UNREACHABLE: i32 = 3;
/// Whether the change took effect is not known.
pub const UNKNOWN: i32 = 4;
