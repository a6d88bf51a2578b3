//! Runs under way in the back end, by the name of their try, so that a call it makes for one of them is known (design 13.5).

#[derive(Default)]
pub struct Runs(std::collections::HashMap<String, u8>);

/// A call made for a run is named by its try, this, and a name of its own.
const OF_A_RUN: char = '.';

/// The try for which this one is made, as its name says.
pub fn parent(try_id: &str) -> Option<&str> {
    try_id.rsplit_once(OF_A_RUN).map(|(parent, _)| parent)
}

impl Runs {
    pub fn begins(&mut self, try_id: String, rank: u8) {
        self.0.insert(try_id, rank);
    }

    pub fn ended(&mut self, try_id: &str) {
        self.0.remove(try_id);
    }

    /// What a call for that run ranks: before all requests that rank as it does, as its refusal loses the run's work too.
    pub fn rank_of_call(&self, parent: &str) -> Option<u8> {
        self.0.get(parent).map(|rank| rank & !1)
    }
}

/// Ranks as operators write them, apart by two: between them go calls for runs.
pub fn rank(written: u8) -> u8 {
    written.min(126) * 2 + 1
}

#[cfg(test)]
mod tests {
    #[test]
    fn a_call_for_a_run_goes_before_its_equals_and_after_what_matters_more() {
        let mut runs = super::Runs::default();
        runs.begins("a1".into(), super::rank(2));
        let call = super::parent("a1.b7").and_then(|parent| runs.rank_of_call(parent)).expect("it runs");
        assert!(super::rank(1) < call && call < super::rank(2));
        runs.begins("a1.b7".into(), call);
        assert_eq!(super::parent("a1.b7.c").and_then(|parent| runs.rank_of_call(parent)), Some(call), "deeper ones as their first");
        runs.ended("a1");
        assert_eq!((runs.rank_of_call("a1"), super::parent("a1")), (None, None), "a name alone says nothing");
    }
}
