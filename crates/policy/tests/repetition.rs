//! Repeats of requests that cannot end before their deadlines.

use rstest::rstest;
use toucanwall_policy::escalation;
use toucanwall_policy::repetition;
use toucanwall_routing::name;

/// Guards against repeats that take the places of other requests and end after the caller has left,
/// and against leaving out those that end late but before the deadline.
#[rstest]
#[case::first_byte_in_time(Some(900), None, 1_000, repetition::Decision::Send)]
#[case::first_byte_too_late(Some(1_200), None, 1_000, repetition::Decision::Omit { excess_ms: 200 })]
#[case::stream_in_time(Some(400), Some(600), 1_000, repetition::Decision::Send)]
#[case::stream_too_late(Some(400), Some(700), 1_000, repetition::Decision::Omit { excess_ms: 100 })]
#[case::no_forecast(None, Some(5_000), 1_000, repetition::Decision::Send)]
fn only_repeats_that_miss_the_deadline_are_omitted(
    #[case] first_byte_ms: Option<u64>,
    #[case] rest_ms: Option<u64>,
    #[case] remaining_ms: u64,
    #[case] expected: repetition::Decision,
) {
    assert_eq!(repetition::decide(first_byte_ms, rest_ms, remaining_ms), expected);
}

/// Guards against resumed streams that are judged as if they started from the first event.
#[rstest]
#[case::whole(0, 340)]
#[case::resumed(25, 90)]
#[case::longer_than_usual(40, 0)]
fn rest_of_a_stream_is_the_events_that_are_left_at_the_usual_pace(
    #[case] received: u64,
    #[case] expected_ms: u64,
) {
    let mut pace = repetition::StreamPace::new();
    for _ in 0..20 {
        pace.record(35, 340, 0);
    }
    // Callers that read slowly.
    for _ in 0..10 {
        pace.record(35, 34_000, 0);
    }
    assert_eq!(pace.rest_ms(received, 100), Some(expected_ms));
}

/// Guards against decisions by one unusual stream, or by the pace of an earlier overload.
#[rstest]
fn pace_is_unknown_without_enough_recent_streams() {
    let mut pace = repetition::StreamPace::new();
    for _ in 0..7 {
        pace.record(35, 340, 0);
    }
    assert_eq!(pace.rest_ms(0, 0), None);
    pace.record(35, 340, 0);
    assert_eq!(pace.rest_ms(0, 9_999), Some(340));
    assert_eq!(pace.rest_ms(0, 10_000), None);
}

/// Guards against giving up the answer of the smallest model for one that ends after the deadline.
#[rstest]
#[case::in_time(Some(500), 1_000, true)]
#[case::stream_too_late(Some(900), 1_000, false)]
#[case::unknown_pace(None, 1_000, true)]
fn escalates_only_if_the_larger_model_can_end_in_time(
    #[case] expected_rest_ms: Option<u64>,
    #[case] remaining_ms: u64,
    #[case] expected: bool,
) {
    let models = [name::ModelName::from("small"), name::ModelName::from("large")];
    let answer = escalation::ModelAnswer {
        models: &models,
        model: &models[0],
        confidence_percent: Some(20),
        elapsed_ms: 100,
        expected_ms: Some(200),
        expected_rest_ms,
        remaining_ms,
        target_latency_ms: 1_000,
    };
    assert_eq!(escalation::escalation_target(answer).is_some(), expected);
}
