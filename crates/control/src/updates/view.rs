//! What a node knows of the state machine, and until when it may act on it (design 6.1).

use std::sync::Arc;

use arc_swap::ArcSwap;
use model::{Microseconds, Position, StateSlice};

#[cfg(test)]
mod tests;

/// A slice of the state machine with the time until which it is proved.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest slice that was received.
    pub slice: Arc<StateSlice>,
    /// The node may act on the slice before this time, on the clock that counts suspend.
    pub fresh_until: Microseconds,
}

/// The present view, for readers in other tasks.
pub type SharedView = Arc<ArcSwap<View>>;

impl View {
    /// Whether the node may act on the slice now.
    pub fn is_fresh(&self, now: Microseconds) -> bool {
        now < self.fresh_until
    }

    /// The view with a newer slice. `None` if the slice is older than the one held: positions
    /// never go back, whoever sends them.
    pub fn with_update(&self, slice: StateSlice) -> Option<View> {
        if slice.position < self.slice.position {
            return None;
        }
        Some(View {
            slice: Arc::new(slice),
            fresh_until: self.fresh_until,
        })
    }

    /// The view with a proof, which counts from when it was requested and lasts for `bound`.
    /// `None` if the proof speaks of an older position than the one held.
    pub fn with_proof(
        &self,
        requested_at: Microseconds,
        position: Position,
        bound: Microseconds,
    ) -> Option<View> {
        if position < self.slice.position {
            return None;
        }
        // An update would have come before the proof: the slice held is the one at `position`.
        let slice = if position > self.slice.position {
            Arc::new(StateSlice {
                position,
                ..(*self.slice).clone()
            })
        } else {
            self.slice.clone()
        };
        Some(View {
            slice,
            fresh_until: self.fresh_until.max(requested_at + bound),
        })
    }
}
