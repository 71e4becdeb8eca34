//! Regions that requests are confined to.

use rstest::rstest;
use toucanwall_routing::name;
use toucanwall_routing::regions;

fn allowed(names: &[&str]) -> regions::AllowedRegions {
    names.iter().map(|name| name::Region::from(*name)).collect()
}

/// Guards against a data centre of unknown region that counts as allowed, and against a restriction
/// where none is configured.
#[rstest]
#[case::no_restriction(&[], Some("r"), true)]
#[case::no_restriction_and_unknown_region(&[], None, true)]
#[case::allowed(&["r", "s"], Some("s"), true)]
#[case::other(&["r", "s"], Some("t"), false)]
#[case::unknown_region(&["r"], None, false)]
fn region_is_allowed_if_it_is_listed(
    #[case] names: &[&str],
    #[case] region: Option<&str>,
    #[case] expected: bool,
) {
    let region = region.map(name::Region::from);
    assert_eq!(allowed(names).includes(region.as_ref()), expected);
}

/// Guards against an unrestricted route that lifts the restriction of another.
#[rstest]
#[case::both(&["r"], &["s"], &["r", "s"])]
#[case::first_only(&["r"], &[], &["r"])]
#[case::second_only(&[], &["s"], &["s"])]
#[case::neither(&[], &[], &[])]
fn regions_are_joined(#[case] first: &[&str], #[case] second: &[&str], #[case] joined: &[&str]) {
    assert_eq!(allowed(first).joined(&allowed(second)), allowed(joined));
}
