//! Incarnations: which process of a name, or which registration of a back end, is meant.
//!
//! No clock takes part. A process draws its incarnation and the log says which one is registered (`Report::Node`), so
//! incarnations of processes are compared for equality only.

/// One process of a node, or one registration of a back end; never used twice.
pub type Incarnation = u64;

/// Bits of a registration's incarnation that are drawn; its epoch stands above them.
const RANDOM_BITS: u32 = 32;

/// For a process that starts: a number that no earlier process had. Zero is never drawn, it stands for "none".
pub fn draw() -> Incarnation {
    rand::random::<u64>().max(1)
}

/// For a back end that registers anew: an epoch above the one that the log has, and a drawn part, so that two
/// registrations on top of the same one differ.
pub fn successor(registered: Incarnation) -> Incarnation {
    let epoch = (registered >> RANDOM_BITS) + 1;
    (epoch << RANDOM_BITS) | u64::from(rand::random::<u32>())
}
