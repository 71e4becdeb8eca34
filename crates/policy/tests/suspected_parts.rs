//! Parts of prompts that are suspected of crashing servers are tested at the price of few servers.

use std::iter;

use rstest::rstest;
use toucanwall_policy::crash_causes;
use toucanwall_policy::crash_causes::CrashCauses;
use toucanwall_policy::crash_causes::Progress;
use toucanwall_policy::crash_causes::Step;
use toucanwall_policy::crash_causes::Verdict;
use toucanwall_policy::crash_history;

const HOSTS: [&str; 8] = ["h-0", "h-1", "h-2", "h-3", "h-4", "h-5", "h-6", "h-7"];
const FIRST: u64 = 1;
const GUILTY: u64 = 2;
const OTHER: u64 = 3;
const INTERVAL_MS: u64 = 300;
/// Time after a crash after which the first host may test a part.
const PAUSE_MS: u64 = 1_000;
const BEGUN_MS: u64 = 60;
const BEGUN: Progress = Progress::Answering { since_ms: BEGUN_MS };
/// Time after which twice as many hosts may test a part that crashes servers as soon as it is begun.
const DOUBLING_MS: u64 = 1_000 + BEGUN_MS;

fn run(number: u64) -> crash_history::ServerRun {
    crash_history::ServerRun { server: "s-1".into(), started_unix_ms: Some(number) }
}

fn suspect(content_hash: u64, part: u64) -> crash_causes::Suspect {
    crash_causes::Suspect { content_hash, progress: BEGUN, parts: [FIRST, part].into() }
}

/// Records a crash at which a part was in flight beside requests that say nothing.
fn record_crash(causes: &mut CrashCauses, number: u64, part: u64) {
    let streaming = (1..=6).map(|other| crash_causes::Suspect {
        progress: Progress::Answering { since_ms: 400 * other },
        ..suspect(100 * other + number, 1_000 * other + number)
    });
    let suspects: Vec<_> = streaming.chain([suspect(number, part)]).collect();
    let at_ms = number * INTERVAL_MS;
    causes.record_crash(&run(number), at_ms, &suspects, at_ms);
}

fn host_after_crashes(name: &str, crashes: u64) -> CrashCauses {
    let mut causes = CrashCauses::new();
    causes.set_hosts(name, HOSTS);
    for number in 0..crashes {
        record_crash(&mut causes, number, GUILTY);
    }
    causes.advance((crashes - 1) * INTERVAL_MS, &mut rand::rng());
    causes
}

fn may_send(causes: &mut CrashCauses, now_ms: u64) -> bool {
    causes.advance(now_ms, &mut rand::rng());
    causes.verdict(&[FIRST, GUILTY]) == Verdict::Suspected
}

/// All hosts sent requests with a suspected part as soon as the pause after a crash was over.
#[rstest]
#[case::within_the_pause(PAUSE_MS - 1, 0)]
#[case::after_it(PAUSE_MS, 1)]
#[case::before_a_test_may_have_ended(PAUSE_MS + DOUBLING_MS - 1, 1)]
#[case::after_that(PAUSE_MS + DOUBLING_MS, 2)]
#[case::four_seconds_later(PAUSE_MS + 4_000, HOSTS.len())]
fn suspected_part_is_tested_by_few_hosts_at_first(#[case] waited_ms: u64, #[case] expected: usize) {
    let crashes = 3;
    let now_ms = (crashes - 1) * INTERVAL_MS + waited_ms;
    let may_send = |name: &&&str| may_send(&mut host_after_crashes(name, crashes), now_ms);
    assert_eq!(HOSTS.iter().filter(may_send).count(), expected);
}

#[rstest]
fn suspected_part_is_tested_by_one_request_at_a_time() {
    let now_ms = 60_000;
    let mut causes = host_after_crashes(HOSTS[0], 3);
    assert!(may_send(&mut causes, now_ms));
    causes.record_start(&[FIRST, GUILTY]);
    assert_eq!(causes.verdict(&[FIRST, GUILTY]), Verdict::Held);
    assert_eq!(causes.verdict(&[FIRST, OTHER]), Verdict::Allowed);
    causes.record_end(&[FIRST, GUILTY], 100, now_ms);
    // The server may have crashed, which is weighed first.
    assert_eq!(causes.verdict(&[FIRST, GUILTY]), Verdict::Held);
    assert!(may_send(&mut causes, now_ms + 100));
}

/// Several hosts sent a part that crashes servers late in its answers, before the first test had ended.
#[rstest]
#[case::within_a_test(2_000, 1)]
#[case::after_it(2_100, 2)]
fn long_tests_let_further_hosts_test_later(#[case] waited_ms: u64, #[case] expected: usize) {
    let now_ms = 2 * INTERVAL_MS + PAUSE_MS + waited_ms;
    let late = Progress::Answering { since_ms: 1_100 };
    let may_send = |name: &&&str| {
        let mut causes = CrashCauses::new();
        causes.set_hosts(name, HOSTS);
        for number in 0..3 {
            let others = (2..10).map(|other| suspect(100 * other + number, 1_000 * other + number));
            let cause = crash_causes::Suspect { progress: late, ..suspect(number, GUILTY) };
            let suspects: Vec<_> = others.chain([cause]).collect();
            let at_ms = number * INTERVAL_MS;
            causes.record_crash(&run(number), at_ms, &suspects, at_ms);
        }
        causes.advance(2 * INTERVAL_MS, &mut rand::rng());
        may_send(&mut causes, now_ms)
    };
    assert_eq!(HOSTS.iter().filter(may_send).count(), expected);
}

/// The pause and the doublings passed while all servers were down, and all hosts sent when the first was
/// back.
#[rstest]
fn one_host_tests_first_when_servers_are_back() {
    let back_ms = 60_000;
    let may_send = |name: &&&str| {
        let mut causes = host_after_crashes(name, 3);
        causes.confine(&[FIRST, OTHER], &mut Vec::<String>::new(), |id| id);
        causes.advance(back_ms, &mut rand::rng());
        causes.confine(&[FIRST, OTHER], &mut vec!["s-1".to_owned()], |id| id);
        may_send(&mut causes, back_ms + 100)
    };
    assert_eq!(HOSTS.iter().filter(may_send).count(), 1);
}

/// All servers of a small service crashed within a fifth of a second, which counted as too few moments to
/// suspect the part, and all hosts sent it when the servers were back.
#[rstest]
#[case::three_moments(50, Verdict::Held)]
#[case::failing_rack(5, Verdict::Allowed)]
fn frequent_part_is_tested_after_fast_crashes(#[case] interval_ms: u64, #[case] expected: Verdict) {
    let mut causes = CrashCauses::new();
    for number in 0..12 {
        let part = if number % 3 == 0 { GUILTY } else { 500 + number };
        causes.record_end(&[FIRST, part], 100, number);
    }
    for number in 0..5 {
        let guilty = (0..8).map(|other| suspect(1_000 * number + other, GUILTY));
        let others =
            (0..16).map(|other| suspect(9_000 * number + other, 600 + 16 * number + other));
        let suspects: Vec<_> = guilty.chain(others).collect();
        let at_ms = 100 + number * interval_ms;
        causes.record_crash(&run(number), at_ms, &suspects, at_ms);
    }
    causes.advance(700, &mut rand::rng());
    assert_eq!(causes.verdict(&[FIRST, GUILTY]), expected);
}

/// Hosts that knew of a crash under a test, but not yet which parts were in flight, sent the part again.
#[rstest]
#[case::while_reports_may_come(699, false)]
#[case::after_that(700, true)]
fn no_part_is_tested_right_after_a_crash(#[case] waited_ms: u64, #[case] expected: bool) {
    let crashed_ms = 60_000;
    let mut causes = host_after_crashes(HOSTS[0], 3);
    assert!(may_send(&mut causes, crashed_ms));
    causes.record_crash(&run(9), crashed_ms, &[suspect(90_000, OTHER)], crashed_ms);
    assert_eq!(may_send(&mut causes, crashed_ms + waited_ms), expected);
}

/// Callers that left before their server crashed let the next request follow at once.
#[rstest]
fn test_that_its_caller_gives_up_counts_as_running_for_a_while() {
    let now_ms = 60_000;
    let mut causes = host_after_crashes(HOSTS[0], 3);
    assert!(may_send(&mut causes, now_ms));
    causes.record_start(&[FIRST, GUILTY]);
    causes.record_given_up(&[FIRST, GUILTY], now_ms);
    causes.record_end(&[FIRST, GUILTY], 40, now_ms);
    assert!(!may_send(&mut causes, now_ms + 900));
    assert!(may_send(&mut causes, now_ms + 1_000));
}

/// Tests of two parts on the same server do not tell them apart.
#[rstest]
fn suspected_parts_are_tested_on_different_servers() {
    for part in 10..40 {
        let mut causes = CrashCauses::new();
        for number in 0..3 {
            record_crash(&mut causes, 2 * number, part);
            record_crash(&mut causes, 2 * number + 1, 100 + part);
        }
        causes.advance(60_000, &mut rand::rng());
        let mut server = |part: u64| {
            let mut servers: Vec<_> = (0..4).map(|number| format!("s-{number}")).collect();
            causes.confine(&[FIRST, part], &mut servers, |id| id);
            assert_eq!(servers.len(), 1, "part {part}");
            servers.remove(0)
        };
        assert_ne!(server(part), server(100 + part), "part {part}");
    }
}

/// A part with a large share of the requests gets no score, and was sent until it had crashed a dozen
/// servers.
#[rstest]
#[case::third_of_the_requests(3, Verdict::Held)]
#[case::nearly_all_requests(1, Verdict::Allowed)]
fn frequent_part_that_no_server_has_answered_is_tested(
    #[case] every: u64,
    #[case] expected: Verdict,
) {
    assert_eq!(host_with_frequent_part(every, None).verdict(&[FIRST, GUILTY]), expected);
}

/// Such a part crashed server after server under its tests, since its score stayed low.
#[rstest]
#[case::alone(None, true)]
#[case::beside_a_part_that_was_not_answered_either(Some(Rival { crashes: 6, requests: 8 }), false)]
#[case::under_the_test_of_a_part_with_a_higher_score(Some(Rival { crashes: 3, requests: 1 }), false)]
fn frequent_part_is_blocked_after_a_crash_under_its_test(
    #[case] rival: Option<Rival>,
    #[case] expected: bool,
) {
    let mut causes = host_with_frequent_part(3, rival);
    let other = rival.map(|_| OTHER);
    let suspects: Vec<_> =
        iter::once(GUILTY).chain(other).map(|part| suspect(90_000 + part, part)).collect();
    causes.record_crash(&run(9), 8_000, &suspects, 8_000);
    causes.advance(8_000, &mut rand::rng());
    causes.advance(8_000 + crash_causes::HOLD_MS, &mut rand::rng());
    assert_eq!(causes.blocked_parts().contains(&GUILTY), expected);
}

/// How [`OTHER`] is in flight beside the frequent part.
#[derive(Debug, Clone, Copy)]
struct Rival {
    /// Crashes at which it is, the last ones.
    crashes: u64,
    /// Requests with it at each.
    requests: u64,
}

/// Six crashes with a part that one in `every` requests has, and with a rival if there is one; all other
/// parts are answered.
fn host_with_frequent_part(every: u64, rival: Option<Rival>) -> CrashCauses {
    let mut causes = CrashCauses::new();
    for number in 0..300 {
        let part = match number % every {
            0 => GUILTY,
            1 if rival.is_some_and(|rival| rival.requests > 1) => OTHER,
            _ => 500 + number,
        };
        causes.record_end(&[FIRST, part], 100, number);
    }
    for number in 1..7 {
        let guilty = (0..8).map(|other| suspect(1_000 * number + other, GUILTY));
        let others = (0..8 * (every - 1)).map(|other| suspect(9_000 * number + other, 600 + other));
        let rival = rival.filter(|it| number > 6 - it.crashes).map_or(0, |it| it.requests);
        let rival = (0..rival).map(|other| suspect(500 * number + other, OTHER));
        let suspects: Vec<_> = guilty.chain(others).chain(rival).collect();
        let at_ms = 300 + number * INTERVAL_MS;
        causes.record_crash(&run(number), at_ms, &suspects, at_ms);
        for other in 0..8 * (every - 1) {
            causes.record_survival(&[FIRST, 600 + other], at_ms, crash_causes::WHOLE_ANSWER_MS);
        }
    }
    causes.advance(300 + 6 * INTERVAL_MS, &mut rand::rng());
    causes
}

/// A sound part that was blocked by mistake took the crashes out of the account of their cause.
#[rstest]
fn block_that_does_not_end_the_crashes_explains_nothing() {
    let mut causes = CrashCauses::new();
    for number in 0..4 {
        let suspects = [suspect(number, GUILTY), suspect(100 + number, OTHER)];
        let at_ms = number * INTERVAL_MS;
        causes.record_crash(&run(number), at_ms, &suspects, at_ms);
    }
    causes.record_block(OTHER, 4 * INTERVAL_MS);
    let mut steps = Vec::new();
    for number in 0..3 {
        let at_ms = 10_000 + number * INTERVAL_MS;
        let suspects = [suspect(200 + number, GUILTY), suspect(300 + number, 2_000 + number)];
        causes.record_crash(&run(200 + number), at_ms, &suspects, at_ms);
        steps.extend(causes.advance(at_ms, &mut rand::rng()));
    }
    steps.extend(causes.advance(20_000, &mut rand::rng()));
    let blocked = |step: &Step| match step {
        Step::Block { part, runs, .. } => Some((*part, runs.len())),
        Step::Clear { .. } => None,
    };
    assert_eq!(steps.iter().filter_map(blocked).collect::<Vec<_>>(), [(GUILTY, 7)]);
}

/// Sound requests were rejected, since their prompts begin like those of the cause.
#[rstest]
fn part_that_the_prompts_of_a_cause_begin_with_is_not_blocked() {
    const PARENT: u64 = 50;
    let mut causes = CrashCauses::new();
    // A host that has seen few other requests takes the cause for a frequent part.
    for number in 0..40 {
        causes.record_end(&[GUILTY], 100, number);
    }
    for number in 0..6 {
        let at_ms = number * INTERVAL_MS;
        let with_parts = |content_hash, parts: &[u64]| crash_causes::Suspect {
            content_hash,
            progress: BEGUN,
            parts: parts.into(),
        };
        let others =
            (2..20).map(|other| with_parts(100 * other + number, &[FIRST, 1_000 * other + number]));
        let cause = with_parts(number, &[PARENT, GUILTY]);
        let suspects: Vec<_> = others.chain([cause]).collect();
        causes.record_crash(&run(number), at_ms, &suspects, at_ms);
    }
    let mut steps = causes.advance(6 * INTERVAL_MS, &mut rand::rng());
    steps.extend(causes.advance(6 * INTERVAL_MS + crash_causes::HOLD_MS, &mut rand::rng()));
    assert!(!causes.blocked_parts().contains(&PARENT), "{steps:?}");
}

/// Servers crashed faster than answers end, so that no answer had begun after the latest crash.
#[rstest]
#[case::begun_before_the_first_crash(0, false)]
#[case::begun_after_the_first_crash(INTERVAL_MS + 1, true)]
fn answer_that_ends_between_crashes_clears_its_parts(
    #[case] begun_ms: u64,
    #[case] is_cleared: bool,
) {
    let mut causes = CrashCauses::new();
    causes.set_hosts(HOSTS[0], [HOSTS[0]]);
    for number in 1..7 {
        record_crash(&mut causes, number, GUILTY);
    }
    let now_ms = 7 * INTERVAL_MS;
    causes.record_survival(&[FIRST, GUILTY], begun_ms, crash_causes::WHOLE_ANSWER_MS);
    causes.advance(now_ms, &mut rand::rng());
    assert_eq!(causes.verdict(&[FIRST, GUILTY]) == Verdict::Allowed, is_cleared);
}
