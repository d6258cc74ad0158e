//! Property checks over generated values; a fixed seed repeats them on every run.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;

/// Seed of the generator.
const SEED: u64 = 20_261_204;
/// Size parameter of the generator: the maximum length of collections.
const SIZE: usize = 100;

/// Checks that a property holds for 200 generated values.
///
/// # Panics
///
/// Panics with a failing value, shrunk as far as possible, if it does not hold.
pub fn holds(property: impl Testable) {
    holds_times(200, property);
}

/// Checks that a property holds for `times` generated values.
///
/// # Panics
///
/// Panics with a failing value, shrunk as far as possible, if it does not hold.
pub fn holds_times(times: u64, property: impl Testable) {
    let generator = Gen::from_size_and_seed(SIZE, SEED);
    QuickCheck::new().rng(generator).tests(times).quickcheck(property);
}
