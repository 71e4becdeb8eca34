//! Conversions between whole numbers and numbers with a fraction.

use rstest::rstest;
use toucanwall_routing::number;

#[rstest]
#[case::fraction(1.9, 1)]
#[case::whole(2_000.0, 2_000)]
#[case::negative(-3.0, 0)]
#[case::none(f64::NAN, 0)]
#[case::infinite(f64::INFINITY, u64::MAX)]
fn the_whole_part_is_taken(#[case] number: f64, #[case] wanted: u64) {
    assert_eq!(number::saturating_u64(number), wanted);
}
