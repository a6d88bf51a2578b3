//! What a node believes, and until when it may act on it (design 6.1).

use std::sync::Arc;

#[derive(Clone, Debug, Default)]
pub struct View {
    pub slice: Arc<model::StateSlice>,
    /// Proof holds until then, on the clock that counts suspend.
    pub fresh_until: model::Microseconds,
}

pub type SharedView = Arc<arc_swap::ArcSwap<View>>;

impl View {
    pub fn is_fresh(&self, now: model::Microseconds) -> bool {
        now < self.fresh_until
    }

    /// Versions never go back: older news is dropped, whoever brings it.
    pub fn with_update(&self, slice: model::StateSlice) -> Option<View> {
        let older = slice.position < self.slice.position;
        (!older).then(|| View {
            slice: Arc::new(slice),
            fresh_until: self.fresh_until,
        })
    }

    /// A proof counts from when it was asked, and only if what is held here is at least as new.
    pub fn with_proof(
        &self,
        asked: model::Microseconds,
        position: model::Position,
        bound: model::Microseconds,
    ) -> Option<View> {
        let held = position >= self.slice.position;
        let fresh_until = self.fresh_until.max(asked + bound);
        // News would have come before the proof: what is held here is what stands at `position`.
        let slice = match position > self.slice.position {
            true => Arc::new(model::StateSlice {
                position,
                ..(*self.slice).clone()
            }),
            false => self.slice.clone(),
        };
        held.then_some(View { slice, fresh_until })
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_view_never_slides_back_and_counts_from_the_asking() {
        let view = super::View::default();
        let at = |position| model::StateSlice {
            position,
            ..Default::default()
        };
        let view = view.with_update(at(5)).expect("newer news");
        assert!(view.with_update(at(4)).is_none());
        assert!(
            view.with_proof(100, 4, 50).is_none(),
            "a home that lags proves nothing"
        );
        let view = view.with_proof(100, 6, 50).expect("proof");
        assert!(
            view.with_update(at(5)).is_none(),
            "a proof moves the position on too"
        );
        assert!(view.is_fresh(149) && !view.is_fresh(150));
        let late = view.with_proof(90, 6, 50).expect("an older asking");
        assert_eq!(late.fresh_until, 150);
    }
}
