//! Test-only: values drawn by bolero's generators from a fixed seed, so that every run draws the same.
//! Bolero's own engine seeds all but its first case from the machine (design 9.9).

use bolero::generator::bolero_generator::driver::{Options, Rng};
use std::fmt::Debug;
use std::panic::AssertUnwindSafe;

const SEED: u64 = 20_111;

/// Calls `case` with `count` values; a failing case is named by its number and shown.
pub fn check_generated<T: bolero::generator::TypeGenerator + Debug>(count: u64, case: impl Fn(&T)) {
    (0..count).for_each(|number| {
        let random: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(SEED + number);
        let mut driver = Rng::new(random, &Options::default());
        let Some(value) = T::generate(&mut driver) else {
            return;
        };
        let passed = std::panic::catch_unwind(AssertUnwindSafe(|| case(&value)));
        if let Err(failure) = passed {
            eprintln!("drawn case {number} failed: {value:?}");
            std::panic::resume_unwind(failure);
        }
    });
}

#[cfg(test)]
mod tests {
    #[test]
    fn two_runs_draw_the_same_and_cases_differ() {
        let gather = || {
            let drawn = std::cell::RefCell::new(Vec::new());
            super::check_generated::<(u64, Vec<u8>)>(20, |value| {
                drawn.borrow_mut().push(value.clone())
            });
            drawn.into_inner()
        };
        let first = gather();
        assert_eq!(first, gather());
        assert!(first.windows(2).all(|pair| pair[0] != pair[1]));
    }
}
