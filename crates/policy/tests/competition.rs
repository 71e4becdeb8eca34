//! Competition of requests for an overloaded service.

mod overload_simulation;

use overload_simulation::Outcome;
use overload_simulation::Rule;
use overload_simulation::Scenario;
use rstest::rstest;
use toucanwall_policy::competition;
use toucanwall_routing::name;

const SEEDS: u64 = 3;
const USUAL: Scenario = Scenario {
    kind_factors: [1.0; 3],
    organisation_factor: 1.0,
    is_impatient: false,
    priorities: [2, 1, 0],
};
/// Bulk requests of three times the usual rate.
const BURST_OF_BULK: Scenario = Scenario { kind_factors: [3.0, 1.0, 1.0], ..USUAL };
const MIXTURE: Scenario = Scenario {
    kind_factors: [2.0, 1.0, 1.0],
    organisation_factor: 7.5,
    is_impatient: true,
    priorities: [2, 1, 0],
};
/// Long streams that take up all slots; prompts are short, so that forecasts by prompt tokens err.
const BURST_OF_STREAMS: Scenario = Scenario { kind_factors: [1.0, 1.0, 40.0], ..USUAL };

const BUSY: competition::Load = competition::Load { running: 120, waiting: 20, places: 128 };

/// Mean outcomes of today's rule and of the competition.
fn compare(scenario: Scenario) -> (Outcome, Outcome) {
    let mean = |rule| {
        let outcomes = (0..SEEDS).map(|seed| overload_simulation::simulate(scenario, rule, seed));
        overload_simulation::mean(&outcomes.collect::<Vec<_>>())
    };
    let (deadline, competition) = (mean(Rule::Deadline), mean(Rule::Competition));
    println!("{scenario:?}\n  {deadline:.3?}\n  {competition:.3?}");
    (deadline, competition)
}

/// Guards against admission that lets the queue grow up to the deadline, so that most answers are late,
/// and against one that helps all at the cost of one kind, organisation or window.
#[rstest]
#[case::burst_of_bulk(BURST_OF_BULK)]
#[case::burst_of_bulk_with_one_priority(Scenario { priorities: [0; 3], ..BURST_OF_BULK })]
#[case::burst_of_urgent_bulk(Scenario { priorities: [0, 2, 1], ..BURST_OF_BULK })]
#[case::burst_of_normalise(Scenario { kind_factors: [1.0, 5.0, 1.0], ..USUAL })]
#[case::organisation(Scenario { organisation_factor: 7.5, ..USUAL })]
#[case::impatient_callers(Scenario { kind_factors: [2.0; 3], is_impatient: true, ..USUAL })]
#[case::mixture(MIXTURE)]
#[case::mixture_with_one_priority(Scenario { priorities: [0; 3], ..MIXTURE })]
fn competition_serves_more_value_than_deadlines_alone(#[case] scenario: Scenario) {
    let (deadline, competition) = compare(scenario);
    assert!(competition.value > deadline.value * 1.2, "value");
    assert!(competition.worst_windows > deadline.worst_windows * 1.5, "worst windows");
    assert!(competition.worst_kind > deadline.worst_kind * 1.2, "worst kind");
    assert!(competition.worst_organisation > deadline.worst_organisation * 1.2, "organisation");
    assert!(competition.urgent >= deadline.urgent, "urgent requests");
    assert!(competition.least_served >= 0.5, "starved: {}", competition.least_served);
}

/// Guards against rules that look at prompts only. The two worst windows get worse here (see
/// docs/design/admission.md), so they are not compared.
#[rstest]
fn burst_of_long_streams_is_served_better_but_for_the_worst_windows() {
    let (deadline, competition) = compare(BURST_OF_STREAMS);
    assert!(competition.value > deadline.value * 1.1, "value");
    assert!(competition.worst_kind > deadline.worst_kind * 1.2, "worst kind");
    assert!(competition.worst_organisation > deadline.worst_organisation * 1.1, "organisation");
    assert!(competition.least_served >= 0.5, "starved: {}", competition.least_served);
}

/// Guards against rejections on a usual day.
#[rstest]
fn nothing_is_rejected_at_the_usual_rate() {
    let (_, competition) = compare(USUAL);
    assert!(competition.rejections == 0 && competition.value > 0.99, "{competition:?}");
}

/// Guards against rejections by old load reports when the servers are half empty again.
#[rstest]
#[case::burst_of_bulk(BURST_OF_BULK)]
#[case::burst_of_streams(BURST_OF_STREAMS)]
#[case::organisation(Scenario { organisation_factor: 7.5, ..USUAL })]
#[case::mixture(MIXTURE)]
fn hardly_any_rejection_comes_while_half_of_the_places_are_free(#[case] scenario: Scenario) {
    let (_, competition) = compare(scenario);
    assert!(competition.rejections > 100, "nothing to compare");
    assert!(competition.early_rejections * 100 <= competition.rejections, "{competition:?}");
}

fn request(kind: &name::RouteName, priority: u32, expected_ms: u64) -> competition::Request<'_> {
    competition::Request {
        organisation: None,
        kind,
        priority,
        expected_ms: Some(expected_ms),
        target_left_ms: 1_000,
    }
}

fn is_admitted(decision: competition::Decision) -> bool {
    decision == competition::Decision::Admit
}

/// Guards against rejections that nothing calls for.
#[rstest]
#[case::long_queue(Some(1_500), BUSY, false)]
#[case::short_queue(Some(300), BUSY, true)]
#[case::no_forecast(None, BUSY, true)]
#[case::no_report(Some(1_500), competition::Load::default(), true)]
#[case::half_free(Some(1_500), competition::Load { running: 63, waiting: 0, places: 128 }, true)]
#[case::waiting(Some(1_500), competition::Load { running: 60, waiting: 40, places: 128 }, false)]
fn only_long_queues_of_busy_services_lead_to_rejections(
    #[case] expected_ms: Option<u64>,
    #[case] load: competition::Load,
    #[case] expected: bool,
) {
    let mut competition = competition::Competition::new();
    let kind = "bulk".into();
    // Other requests are admitted as rarely, so that the floor does not matter.
    for at_ms in 0..100 {
        competition.decide(request(&kind, 1, 1_500), || BUSY, at_ms);
    }
    let request = competition::Request { expected_ms, ..request(&kind, 1, 0) };
    assert_eq!(is_admitted(competition.decide(request, || load, 100)), expected);
}

/// Guards against a queue that is as long for urgent requests as for others.
#[rstest]
fn urgent_requests_are_admitted_to_longer_queues() {
    let mut competition = competition::Competition::new();
    let (urgent, other) = ("urgent".into(), "other".into());
    // Both kinds are admitted, so that neither is below its floor.
    for at_ms in 0..100 {
        competition.decide(request(&urgent, 0, 100), || BUSY, at_ms);
        competition.decide(request(&other, 2, 100), || BUSY, at_ms);
    }
    assert!(!is_admitted(competition.decide(request(&other, 2, 550), || BUSY, 100)));
    assert!(is_admitted(competition.decide(request(&urgent, 0, 550), || BUSY, 100)));
}

/// Guards against less urgent kinds that are not served at all while urgent ones are.
#[rstest]
fn kind_below_its_floor_ranks_as_the_most_urgent() {
    let mut competition = competition::Competition::new();
    let (urgent, other) = ("urgent".into(), "other".into());
    let (mut urgent_admitted, mut other_admitted) = (0, 0);
    for at_ms in 0..2_000 {
        let decision = competition.decide(request(&urgent, 0, 550), || BUSY, at_ms);
        urgent_admitted += u32::from(is_admitted(decision));
        let decision = competition.decide(request(&other, 2, 550), || BUSY, at_ms);
        other_admitted += u32::from(is_admitted(decision));
    }
    assert!(urgent_admitted == 2_000 && other_admitted < 1_000, "{other_admitted}");
    // A third is half of the admitted part of all, which is two thirds then.
    assert!(other_admitted > 600, "{other_admitted}");
}

/// Guards against an organisation that is left out because its priority is the lowest.
#[rstest]
fn organisation_below_its_floor_ranks_as_the_most_urgent() {
    let mut competition = competition::Competition::new();
    let (kind, large, small) = ("kind".into(), "large".into(), "small".into());
    let mut admitted = 0;
    for at_ms in 0..2_000 {
        let large = competition::Request { organisation: Some(&large), ..request(&kind, 0, 550) };
        competition.decide(large, || BUSY, at_ms);
        let small = competition::Request { organisation: Some(&small), ..request(&kind, 2, 550) };
        admitted += u32::from(is_admitted(competition.decide(small, || BUSY, at_ms)));
    }
    assert!((600..1_000).contains(&admitted), "{admitted}");
}

/// Guards against callers that come back while the queue is unchanged, and against all at once.
#[rstest]
#[case::urgent(0, 1_500, 1_000)]
#[case::less_urgent(2, 1_500, 2_000)]
#[case::long_queue(0, 5_000, 4_450)]
fn retry_after_grows_with_the_queue_and_falls_with_urgency(
    #[case] priority: u32,
    #[case] expected_ms: u64,
    #[case] retry_after_ms: u64,
) {
    let mut competition = competition::Competition::new();
    let kind = "bulk".into();
    for at_ms in 0..100 {
        competition.decide(request(&kind, priority, 5_000), || BUSY, at_ms);
    }
    let decision = competition.decide(request(&kind, priority, expected_ms), || BUSY, 100);
    assert_eq!(decision, competition::Decision::Reject { retry_after_ms });
}
