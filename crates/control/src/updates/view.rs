//! The part of the state machine that a node has received, and the time until which the node may
//! act on it (design 6.1).

use std::sync::Arc;

use arc_swap::ArcSwap;
use model::{Microseconds, Position, StateSlice};

#[cfg(test)]
mod tests;

/// A slice of the state machine with the time until which its freshness is proved.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest slice received.
    pub slice: Arc<StateSlice>,
    /// The time before which the node may act on the slice, in microseconds of the clock that also
    /// runs while the machine is suspended.
    pub fresh_until: Microseconds,
}

/// The current view, for readers in other tasks.
pub type SharedView = Arc<ArcSwap<View>>;

impl View {
    /// Returns whether the node may act on the slice now.
    pub fn is_fresh(&self, now: Microseconds) -> bool {
        now < self.fresh_until
    }

    /// Returns the view with a newer slice, or `None` if the slice is older than the one held:
    /// positions never decrease, whichever upstream sends them.
    pub fn with_update(&self, slice: StateSlice) -> Option<View> {
        if slice.position < self.slice.position {
            return None;
        }
        Some(View {
            slice: Arc::new(slice),
            fresh_until: self.fresh_until,
        })
    }

    /// Returns the view with a freshness proof, which is valid for `bound` microseconds from the
    /// time of its request. Returns `None` if the proof is for an older position than the one held.
    pub fn with_proof(
        &self,
        requested_at: Microseconds,
        position: Position,
        bound: Microseconds,
    ) -> Option<View> {
        if position < self.slice.position {
            return None;
        }
        // An upstream sends updates before the proof that covers them. Without an update, the slice
        // at `position` has the same content as the slice held.
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
