//! Properties over drawn values, the same values on every run.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Seed of all drawn values.
const SEED: u64 = 20_261_204;
/// Size of drawn collections.
const SIZE: usize = 100;

/// Checks that a property holds for drawn values, and shrinks what fails.
///
/// # Panics
///
/// Panics with the smallest values found for which it does not hold.
pub fn holds(property: impl Testable) {
    holds_times(200, property);
}

/// Checks that a property holds for `times` drawn values.
///
/// # Panics
///
/// Panics with the smallest values found for which it does not hold.
pub fn holds_times(times: u64, property: impl Testable) {
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(generator).tests(times).quickcheck(property);
}
