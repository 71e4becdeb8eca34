//! Which version failed attempts count against.

use rstest::rstest;
use toucanwall_policy::attribution;
use toucanwall_policy::canary;

#[rstest]
#[case::given_up(&[canary::Side::Target], false, Some(canary::Side::Target))]
#[case::fails_on_both_versions(&[canary::Side::Target, canary::Side::Baseline], false, None)]
#[case::fails_on_two_old_servers(&[canary::Side::Baseline, canary::Side::Baseline], false, None)]
#[case::no_old_server_is_left(&[canary::Side::Target, canary::Side::Target], false, Some(canary::Side::Target))]
#[case::session_on_the_new_version(&[canary::Side::Target, canary::Side::Target], true, Some(canary::Side::Target))]
#[case::session_on_the_old_version(&[canary::Side::Baseline, canary::Side::Baseline], true, Some(canary::Side::Baseline))]
#[case::third_failure(&[canary::Side::Target, canary::Side::Baseline, canary::Side::Baseline], false, None)]
fn failures_of_a_request_count_once_at_most(
    #[case] failures: &[canary::Side],
    #[case] has_session: bool,
    #[case] expected: Option<canary::Side>,
) {
    let mut attribution = attribution::Attribution::default();
    for side in failures {
        attribution.record_failure(Some(*side), has_session);
    }
    assert_eq!(attribution.settle(), expected.map(Some));
    assert_eq!(attribution.settle(), None);
}

#[rstest]
fn new_version_is_avoided_only_after_it_has_failed() {
    let mut attribution = attribution::Attribution::default();
    assert!(!attribution.avoids_target());
    attribution.record_failure(Some(canary::Side::Target), false);
    assert!(attribution.avoids_target());
    let mut attribution = attribution::Attribution::default();
    attribution.record_failure(None, false);
    assert!(!attribution.avoids_target());
    assert_eq!(attribution.settle(), Some(None), "counts for the history of the service");
}
