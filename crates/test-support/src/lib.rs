//! What the tests of several crates share: property tests with a fixed seed, in which bolero's
//! generators produce the same values in every run, and the handshake of a test's own process.
//!
//! Bolero's own test engine can't be used for the property tests, as it seeds all cases but the first
//! from the operating system's randomness (design 9.9).

use bolero::generator::bolero_generator::driver::{Options, Rng};
use std::fmt::Debug;
use std::panic::AssertUnwindSafe;
use transport::{Handshake, Purpose};

/// Returns the handshake of a process that is no replica and that peers cannot reach, for a connection
/// of this purpose. Tests change the fields on which they depend.
pub fn handshake(purpose: Purpose) -> Handshake {
    Handshake {
        purpose,
        node_name: "n0".into(),
        zone: "z0".into(),
        address: String::new(),
        incarnation: 1,
        replica: None,
        has_empty_disk: false,
        expected_disk: None,
        known_replicas: Vec::new(),
    }
}

/// Seed of the first case; each following case uses the next number.
const SEED: u64 = 20_111;

/// Calls `case` with `count` generated values. If a case panics, its number and its value are printed
/// before the panic is passed on.
pub fn check_generated<T: bolero::generator::TypeGenerator + Debug>(count: u64, case: impl Fn(&T)) {
    (0..count).for_each(|case_number| {
        let rng: rand::rngs::StdRng = rand::SeedableRng::seed_from_u64(SEED + case_number);
        let mut driver = Rng::new(rng, &Options::default());
        let Some(value) = T::generate(&mut driver) else {
            return;
        };
        let result = std::panic::catch_unwind(AssertUnwindSafe(|| case(&value)));
        if let Err(failure) = result {
            eprintln!("generated case {case_number} failed: {value:?}");
            std::panic::resume_unwind(failure);
        }
    });
}

#[cfg(test)]
mod tests {
    #[test]
    fn two_runs_generate_the_same_values_and_cases_differ() {
        let collect_values = || {
            let values = std::cell::RefCell::new(Vec::new());
            super::check_generated::<(u64, Vec<u8>)>(20, |value| {
                values.borrow_mut().push(value.clone())
            });
            values.into_inner()
        };
        let first_run = collect_values();
        assert_eq!(first_run, collect_values());
        assert!(first_run.windows(2).all(|pair| pair[0] != pair[1]));
    }
}
