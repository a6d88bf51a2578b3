//! Incarnations: which process of a name, or which registration of a back end, is meant.
//!
//! No clock takes part. A process draws its incarnation and the log says which one is registered,
//! so incarnations of processes are compared for equality only.

/// One process of a node, or one registration of a back end; never used twice.
pub type Incarnation = u64;

/// Low bits of a registration's incarnation that are drawn; its epoch stands above them.
const RANDOM_BITS: u32 = 32;

/// Draws the incarnation of a process that starts: a number that no earlier process had.
///
/// Zero is never drawn, as it stands for "none registered".
pub fn draw() -> Incarnation {
    rand::random::<u64>().max(1)
}

/// Draws the incarnation of a back end that registers again.
///
/// Its epoch is one above that of `registered`, so it counts as later; the drawn part tells two
/// registrations on top of the same one apart.
pub fn successor(registered: Incarnation) -> Incarnation {
    let epoch = (registered >> RANDOM_BITS) + 1;
    (epoch << RANDOM_BITS) | u64::from(rand::random::<u32>())
}
