//! Incarnations: they distinguish the processes of one name and the registrations of one backend.
//!
//! They do not depend on a clock. A process draws a random incarnation and the log records which
//! one is registered, so the incarnations of processes are compared only for equality.

/// The identifier of one process of a node or of one registration of a backend; never reused.
pub type Incarnation = u64;

/// Number of low bits of a registration's incarnation that are random; the higher bits hold its
/// epoch.
const RANDOM_BITS: u32 = 32;

/// Draws the incarnation of a starting process: a random number that no earlier process had.
///
/// Zero is never drawn, because it means "none registered".
pub fn draw() -> Incarnation {
    rand::random::<u64>().max(1)
}

/// Draws the incarnation of a backend that registers again.
///
/// Its epoch is one above that of `registered`, so it counts as later. The random bits distinguish
/// two registrations that replace the same one.
pub fn successor(registered: Incarnation) -> Incarnation {
    let epoch = (registered >> RANDOM_BITS) + 1;
    (epoch << RANDOM_BITS) | u64::from(rand::random::<u32>())
}
