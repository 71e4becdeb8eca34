//! Requests at hosts that shut down.

use rstest::rstest;
use toucanwall_policy::shutdown::Decision;
use toucanwall_policy::shutdown::Durations;
use toucanwall_policy::shutdown::Repetition;
use toucanwall_policy::shutdown::decide;

#[rstest]
#[case::known_to_be_short(Some(100), 5_000, 2_000, Decision::Take)]
#[case::deadline_before_the_end(None, 1_000, 2_000, Decision::Take)]
#[case::unknown(None, 5_000, 2_000, Decision::Reject)]
#[case::known_to_be_long(Some(3_000), 5_000, 2_000, Decision::Reject)]
#[case::no_time_for_the_response(Some(1_990), 5_000, 2_000, Decision::Reject)]
#[case::longer_than_its_deadline(Some(9_000), 1_000, 2_000, Decision::Take)]
fn request_is_taken_if_it_is_finished_in_time(
    #[case] expected_ms: Option<u64>,
    #[case] deadline_ms: u64,
    #[case] end_ms: u64,
    #[case] expected: Decision,
) {
    assert_eq!(decide(expected_ms, deadline_ms, end_ms), expected);
}

#[rstest]
fn few_requests_tell_nothing() {
    let mut durations = Durations::default();
    for _ in 0..7 {
        durations.record(10);
    }
    assert_eq!(durations.expected_ms(Repetition::Allowed), None);
    durations.record(10);
    assert_eq!(durations.expected_ms(Repetition::Allowed), Some(10));
}

#[rstest]
fn requests_that_must_not_run_twice_are_expected_to_take_the_longest() {
    let mut durations = Durations::default();
    for took_ms in 1..=20 {
        durations.record(took_ms);
    }
    assert_eq!(durations.expected_ms(Repetition::Forbidden), Some(20));
    assert_eq!(durations.expected_ms(Repetition::Allowed), Some(18));
}

#[rstest]
fn old_requests_are_forgotten() {
    let mut durations = Durations::default();
    durations.record(9_000);
    for _ in 0..64 {
        durations.record(10);
    }
    assert_eq!(durations.expected_ms(Repetition::Forbidden), Some(10));
}
