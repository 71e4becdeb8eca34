//! Parts of prompts that crash servers are told from their neighbours.

mod crash_simulation;

use crash_simulation::CrashMoment;
use crash_simulation::Outcome;
use crash_simulation::Rule;
use crash_simulation::Scenario;
use rstest::rstest;
use toucanwall_policy::crash_causes;
use toucanwall_policy::crash_causes::CrashCauses;
use toucanwall_policy::crash_causes::Progress;
use toucanwall_policy::crash_causes::Step;
use toucanwall_policy::crash_causes::Verdict;
use toucanwall_policy::crash_history;

/// Requests with a part that may reach servers later than the contact time after its fifth crash.
const LATE_SENDS_MAX: usize = 3;
const FIRST: u64 = 1;
const GUILTY: u64 = 2;
const NEIGHBOUR: u64 = 3;
const INTERVAL_MS: u64 = 300;
/// Progress of an answer of which the head has just arrived.
const BEGUN: Progress = Progress::Answering { since_ms: 60 };
/// Progress of an answer that goes on.
const STREAMING: Progress = Progress::Answering { since_ms: 400 };

fn play(scenario: Scenario, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| crash_simulation::simulate(scenario, seed)).collect()
}

#[rstest]
#[case::rare(Scenario { guilty_per_s: 1.0, ..Scenario::default() }, 12)]
#[case::frequent(Scenario { guilty_per_s: 5.0, ..Scenario::default() }, 12)]
#[case::late_reports(Scenario { late_reports: 0.2, ..Scenario::default() }, 8)]
#[case::few_neighbours(Scenario { sound_parts: 2, ..Scenario::default() }, 8)]
#[case::three_hundred_hosts(
    Scenario { hosts: 300, servers: 600, sound_per_s: 1_200.0, ..Scenario::default() }, 1,
)]
fn guilty_part_is_blocked_and_its_neighbours_are_not(
    #[case] scenario: Scenario,
    #[case] seeds: u64,
) {
    for outcome in play(scenario, seeds) {
        assert!(outcome.late_sends <= LATE_SENDS_MAX, "{outcome:?}");
        assert!(outcome.sound_allowed >= 0.99, "{outcome:?}");
        assert_eq!(outcome.sound_parts_blocked, 0, "{outcome:?}");
        assert_eq!(outcome.guilty_parts_blocked, 1, "{outcome:?}");
    }
}

/// Few servers, all of which crash within a second or two: parts were suspected too late, and tested by
/// several hosts at the same time.
#[rstest]
#[case::a_second_after_the_head(CrashMoment::AfterHead(1_070), 5.0)]
#[case::a_second_after_the_head_and_frequent(CrashMoment::AfterHead(1_070), 20.0)]
#[case::at_any_moment(CrashMoment::Between(0, 1_000), 20.0)]
#[case::before_the_head(CrashMoment::BeforeHead(20), 20.0)]
fn guilty_part_is_blocked_after_all_servers_have_crashed(
    #[case] crash_moment: CrashMoment,
    #[case] guilty_per_s: f64,
) {
    let scenario = Scenario {
        servers: 8,
        sound_per_s: 33.0,
        guilty_per_s,
        crash_moment,
        ..Scenario::default()
    };
    for outcome in play(scenario, 8) {
        assert!(outcome.late_sends <= LATE_SENDS_MAX, "{outcome:?}");
        assert!(outcome.sound_allowed >= 0.5, "{outcome:?}");
        assert_eq!(outcome.sound_parts_blocked, 0, "{outcome:?}");
    }
}

#[rstest]
fn failing_rack_blocks_nothing() {
    let scenario =
        Scenario { guilty_parts: 0, rack_failure_at_ms: Some(2_500), ..Scenario::default() };
    for outcome in play(scenario, 12) {
        assert_eq!(outcome.sound_parts_blocked, 0, "{outcome:?}");
        assert!(outcome.sound_allowed >= 0.99, "{outcome:?}");
    }
}

#[rstest]
#[case::by_part(Rule::CountByPart)]
#[case::by_request(Rule::CountByRequest)]
fn simulation_shows_that_naive_rules_fail(#[case] rule: Rule) {
    let outcomes = play(Scenario { rule, ..Scenario::default() }, 4);
    let is_kept =
        |outcome: &Outcome| outcome.late_sends <= LATE_SENDS_MAX && outcome.sound_allowed >= 0.5;
    assert!(!outcomes.iter().any(is_kept), "{outcomes:?}");
}

fn run(number: u64) -> crash_history::ServerRun {
    crash_history::ServerRun { server: "s-1".into(), started_unix_ms: Some(number) }
}

fn suspect(content_hash: u64, progress: Progress, parts: &[u64]) -> crash_causes::Suspect {
    crash_causes::Suspect { content_hash, progress, parts: parts.into() }
}

/// Crashes under unlike requests with [`GUILTY`], beside others that stream.
fn causes_after(crashes: u64) -> CrashCauses {
    let mut causes = CrashCauses::new();
    for number in 0..crashes {
        record_crash(&mut causes, number);
    }
    causes
}

fn record_crash(causes: &mut CrashCauses, number: u64) {
    let suspects = [
        suspect(number, BEGUN, &[FIRST, GUILTY]),
        // Answers that are in flight by chance have come differently far.
        suspect(100 + number, Progress::Answering { since_ms: 300 * number }, &[FIRST, NEIGHBOUR]),
        suspect(200 + number, STREAMING, &[FIRST, 1_000 + number]),
        suspect(300 + number, Progress::Waiting, &[FIRST, 2_000 + number]),
    ];
    let at_ms = number * INTERVAL_MS;
    causes.record_crash(&run(number), at_ms, &suspects, at_ms);
}

fn advance(causes: &mut CrashCauses, now_ms: u64) -> Vec<Step> {
    causes.advance(now_ms, &mut rand::rng())
}

#[rstest]
fn part_is_held_and_then_blocked_for_good() {
    let mut causes = causes_after(6);
    let now_ms = 6 * INTERVAL_MS;
    assert_eq!(advance(&mut causes, now_ms), []);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Held);
    assert_eq!(causes.verdict(&[FIRST, NEIGHBOUR, 9]), Verdict::Allowed);
    let steps = advance(&mut causes, now_ms + crash_causes::HOLD_MS);
    assert!(matches!(&*steps, [Step::Block { part: GUILTY, runs, .. }] if runs.len() == 6));
    causes.forget_before(u64::MAX);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Blocked);
    assert_eq!(causes.verdict(&[FIRST, NEIGHBOUR, 9]), Verdict::Allowed);
}

#[rstest]
fn another_host_clears_a_part_that_is_held() {
    let mut causes = causes_after(6);
    let now_ms = 6 * INTERVAL_MS;
    advance(&mut causes, now_ms);
    let runs: Vec<_> = (0..6).map(run).collect();
    causes.record_clearance(GUILTY, &runs, crash_causes::WHOLE_ANSWER_MS);
    let steps = advance(&mut causes, now_ms + crash_causes::HOLD_MS);
    assert_eq!(steps, []);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Allowed);
    // A report of a crash that comes again does not bring it back.
    record_crash(&mut causes, 5);
    advance(&mut causes, now_ms + 2 * crash_causes::HOLD_MS);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Allowed);
}

#[rstest]
#[case::began_before(0, false)]
#[case::began_after(10 * INTERVAL_MS, true)]
fn answers_clear_parts_of_crashes_before_them(#[case] begun_ms: u64, #[case] is_cleared: bool) {
    let mut causes = CrashCauses::new();
    for number in 1..7 {
        record_crash(&mut causes, number);
    }
    // The neighbour was in flight at each crash as well.
    for part in [GUILTY, NEIGHBOUR] {
        causes.record_survival(&[FIRST, part], begun_ms, crash_causes::WHOLE_ANSWER_MS);
    }
    let now_ms = 10 * INTERVAL_MS;
    let mut steps = advance(&mut causes, now_ms);
    steps.extend(advance(&mut causes, now_ms + crash_causes::HOLD_MS));
    let blocks = steps.iter().filter(|step| matches!(step, Step::Block { .. })).count();
    let clears = steps.iter().filter(|step| matches!(step, Step::Clear { part: GUILTY, .. }));
    assert_eq!((blocks == 0, clears.count() == 1), (is_cleared, is_cleared), "{steps:?}");
}

#[rstest]
fn one_request_with_its_retries_convicts_no_part() {
    let mut causes = CrashCauses::new();
    for number in 0..8 {
        let suspects = [suspect(1, BEGUN, &[FIRST, GUILTY])];
        causes.record_crash(&run(number), number * INTERVAL_MS, &suspects, number * INTERVAL_MS);
    }
    let now_ms = 8 * INTERVAL_MS;
    advance(&mut causes, now_ms);
    assert_eq!(advance(&mut causes, now_ms + crash_causes::HOLD_MS), []);
}

#[rstest]
fn crash_that_several_hosts_report_counts_once() {
    let mut causes = causes_after(3);
    for number in 0..3 {
        record_crash(&mut causes, number);
        let own = [suspect(number, BEGUN, &[FIRST, GUILTY])];
        causes.record_crash(&run(number), number * INTERVAL_MS + 1, &own, 10 * INTERVAL_MS);
    }
    advance(&mut causes, 10 * INTERVAL_MS);
    assert_eq!(advance(&mut causes, 10 * INTERVAL_MS + crash_causes::HOLD_MS), []);
}

#[rstest]
fn crashes_of_a_blocked_part_are_held_against_no_other() {
    let mut causes = CrashCauses::new();
    causes.record_block(GUILTY, 0);
    for number in 0..8 {
        let at_ms = number * INTERVAL_MS;
        let suspects = [
            suspect(number, BEGUN, &[FIRST, GUILTY]),
            suspect(100 + number, BEGUN, &[FIRST, NEIGHBOUR]),
        ];
        assert!(causes.record_crash(&run(number), at_ms, &suspects, at_ms));
    }
    advance(&mut causes, 8 * INTERVAL_MS);
    assert_eq!(causes.verdict(&[FIRST, NEIGHBOUR, 9]), Verdict::Allowed);
}

#[rstest]
fn many_innocent_crashes_push_out_no_blocked_part() {
    let mut causes = causes_after(6);
    advance(&mut causes, 6 * INTERVAL_MS);
    advance(&mut causes, 6 * INTERVAL_MS + crash_causes::HOLD_MS);
    for number in 1_000..3_000 {
        let suspects = [suspect(number, BEGUN, &[number, number + 1])];
        causes.record_crash(&run(number), number, &suspects, number);
    }
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Blocked);
}

#[rstest]
fn operator_can_allow_a_part_again() {
    let mut causes = CrashCauses::new();
    causes.record_block(GUILTY, 0);
    causes.record_unblock(GUILTY);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Allowed);
}

#[rstest]
fn reports_with_impossible_times_are_weighed_like_others() {
    let mut causes = CrashCauses::new();
    for number in 0..6 {
        let suspects = [suspect(number, BEGUN, &[FIRST, GUILTY])];
        causes.record_crash(&run(number), u64::MAX - number % 2, &suspects, 0);
    }
    // Crashes at the same moment are no evidence.
    assert_eq!(advance(&mut causes, crash_causes::HOLD_MS), []);
    assert_eq!(advance(&mut causes, 2 * crash_causes::HOLD_MS), []);
}

#[rstest]
fn requests_that_wait_push_out_no_answer_that_has_begun() {
    let mut causes = CrashCauses::new();
    for number in 0..6 {
        let waiting = (0..100).map(|other| {
            let content = 1_000 + number * 100 + other;
            suspect(content, Progress::Waiting, &[FIRST, content])
        });
        let guilty = suspect(number, BEGUN, &[FIRST, GUILTY]);
        let suspects: Vec<_> = waiting.chain([guilty]).collect();
        causes.record_crash(&run(number), number * INTERVAL_MS, &suspects, number * INTERVAL_MS);
    }
    let now_ms = 6 * INTERVAL_MS;
    advance(&mut causes, now_ms);
    let steps = advance(&mut causes, now_ms + crash_causes::HOLD_MS);
    assert!(matches!(&*steps, [Step::Block { part: GUILTY, .. }]), "{steps:?}");
}

/// Each report that a part is blocked is written to the store.
#[rstest]
fn part_that_is_blocked_is_not_reported_again_after_later_crashes() {
    let mut causes = causes_after(6);
    let mut now_ms = 6 * INTERVAL_MS;
    advance(&mut causes, now_ms);
    now_ms += crash_causes::HOLD_MS;
    assert_eq!(advance(&mut causes, now_ms).len(), 1);
    for number in 7..12 {
        record_crash(&mut causes, number);
        advance(&mut causes, now_ms);
        now_ms += crash_causes::HOLD_MS;
        assert_eq!(advance(&mut causes, now_ms), [], "after crash {number}");
    }
}

/// A part that was in flight at all crashes is innocent of them if a server has answered it since.
#[rstest]
fn part_that_a_server_has_answered_since_the_crashes_is_not_rejected() {
    let mut causes = CrashCauses::new();
    for number in 1..7 {
        record_crash(&mut causes, number);
    }
    let now_ms = 10 * INTERVAL_MS;
    causes.record_survival(&[FIRST, GUILTY], now_ms, crash_causes::WHOLE_ANSWER_MS);
    advance(&mut causes, now_ms);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Allowed);
}

/// A part that crashes servers late was cleared by its own first events.
#[rstest]
#[case::shorter_than_the_crashes_took(300, true)]
#[case::longer(600, false)]
fn answer_clears_a_part_only_if_it_goes_on_longer_than_those_of_the_crashes(
    #[case] survived_ms: u64,
    #[case] is_suspect: bool,
) {
    let mut causes = CrashCauses::new();
    for number in 1..7 {
        let suspects = [
            suspect(number, STREAMING, &[FIRST, GUILTY]),
            suspect(100 + number, BEGUN, &[FIRST, 1_000 + number]),
            suspect(200 + number, Progress::Waiting, &[FIRST, 2_000 + number]),
        ];
        causes.record_crash(&run(number), number * INTERVAL_MS, &suspects, number * INTERVAL_MS);
    }
    let now_ms = 10 * INTERVAL_MS;
    causes.record_survival(&[FIRST, GUILTY], now_ms, survived_ms);
    advance(&mut causes, now_ms);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]) >= Verdict::Held, is_suspect);
}

/// The cause was dropped from the reports of servers that run many requests at a time.
#[rstest]
fn cause_that_waits_is_found_among_a_hundred_answers() {
    let mut causes = CrashCauses::new();
    for number in 0..8 {
        let others = (0..100).map(|other| {
            let content = 1_000 + number * 100 + other;
            suspect(content, STREAMING, &[FIRST, content])
        });
        let guilty = suspect(number, Progress::Waiting, &[FIRST, GUILTY]);
        let suspects: Vec<_> = others.chain([guilty]).collect();
        causes.record_crash(&run(number), number * INTERVAL_MS, &suspects, number * INTERVAL_MS);
    }
    let now_ms = 8 * INTERVAL_MS;
    advance(&mut causes, now_ms);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Held);
}

/// Hosts that learn of a crash pass no request with a strongly suspected part on for a while.
#[rstest]
fn strongly_suspected_part_is_paused_after_a_crash_and_then_confined() {
    let mut causes = causes_after(3);
    let now_ms = 2 * INTERVAL_MS;
    advance(&mut causes, now_ms);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Held);
    advance(&mut causes, now_ms + 1_000);
    assert_eq!(causes.verdict(&[FIRST, GUILTY, 9]), Verdict::Suspected);
    let confined = |causes: &mut CrashCauses, part: u64| {
        let mut servers: Vec<_> = (0..12).map(|number| format!("s-{number}")).collect();
        causes.confine(&[FIRST, part, 9], &mut servers, |id| id);
        servers.len()
    };
    assert!(confined(&mut causes, GUILTY) <= 4);
    assert_eq!(confined(&mut causes, 5_000), 12);
}
