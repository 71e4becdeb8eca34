//! Saturating conversions between integers and floating-point numbers.

use std::time;

/// Truncates to an integer; negative numbers and NaN become zero, too large numbers [`u64::MAX`].
#[must_use]
pub fn saturating_u64(number: f64) -> u64 {
    // The conversion in `Duration` is the one of the standard library that reports overflow.
    match time::Duration::try_from_secs_f64(number) {
        Ok(duration) => duration.as_secs(),
        Err(_) if number > 0.0 => u64::MAX,
        Err(_) => 0,
    }
}

/// Converts an integer; values above [`u32::MAX`] become [`u32::MAX`].
#[must_use]
pub fn saturating_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
