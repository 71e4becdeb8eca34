//! Conversions between integers and floating-point numbers.

use rstest::rstest;
use toucanwall_routing::number;

#[rstest]
#[case::fraction(1.9, 1)]
#[case::whole(2_000.0, 2_000)]
#[case::negative(-3.0, 0)]
#[case::nan(f64::NAN, 0)]
#[case::infinite(f64::INFINITY, u64::MAX)]
fn conversion_truncates_and_saturates(#[case] number: f64, #[case] expected: u64) {
    assert_eq!(number::saturating_u64(number), expected);
}
