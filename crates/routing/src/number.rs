//! Whole numbers and numbers with a fraction.

use std::time;

/// The whole part of a number; zero for what is negative or none, the largest for what is too large.
#[must_use]
pub fn saturating_u64(number: f64) -> u64 {
    // A duration's seconds are the conversion of the standard library that says what does not fit.
    match time::Duration::try_from_secs_f64(number) {
        Ok(duration) => duration.as_secs(),
        Err(_) if number > 0.0 => u64::MAX,
        Err(_) => 0,
    }
}

/// A count with a fraction; counts of more than 32 bits are taken as the largest of these.
#[must_use]
pub fn saturating_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
