//! Contents under which servers ended.

use rstest::rstest;
use toucanwall_policy::crash_history;
use toucanwall_policy::crash_history::CrashHistory;
use toucanwall_policy::crash_history::Verdict;

const CONTENT: u64 = 7;
const OTHER_CONTENT: u64 = 8;

fn run(number: u64) -> crash_history::ServerRun {
    crash_history::ServerRun {
        server: format!("s-{}", number % 2).into(),
        started_unix_ms: Some(number),
    }
}

/// A history with this number of crashes under [`CONTENT`], one each millisecond.
fn history_with(crashes: u64) -> CrashHistory {
    let mut history = CrashHistory::new();
    for number in 0..crashes {
        assert!(history.record_crash(CONTENT, run(number), 0, number));
    }
    history
}

#[rstest]
#[case::none(0, false)]
#[case::two(2, false)]
#[case::three(3, true)]
#[case::four(4, true)]
fn content_is_blocked_after_three_crashes(#[case] crashes: u64, #[case] is_blocked: bool) {
    let history = history_with(crashes);
    let verdict = history.verdict(CONTENT, crashes);
    assert_eq!(matches!(verdict, Verdict::Blocked { .. }), is_blocked);
    assert_eq!(history.verdict(OTHER_CONTENT, crashes), Verdict::Allowed);
}

#[rstest]
fn crash_that_several_hosts_report_counts_once() {
    let mut history = history_with(2);
    assert!(!history.record_crash(CONTENT, run(1), 0, 10));
    assert_eq!(history.verdict(CONTENT, 10), Verdict::Allowed);
}

#[rstest]
fn block_ends_once_fewer_than_three_crashes_are_recent() {
    let history = history_with(3);
    let ttl_ms = crash_history::CRASH_TTL_MS;
    assert_eq!(history.verdict(CONTENT, 10), Verdict::Blocked { retry_after_ms: ttl_ms - 10 });
    assert!(matches!(history.verdict(CONTENT, ttl_ms - 1), Verdict::Blocked { .. }));
    assert_eq!(history.verdict(CONTENT, ttl_ms), Verdict::Allowed);
}

#[rstest]
fn success_clears_a_suspect() {
    let mut history = history_with(2);
    history.record_success(CONTENT);
    assert!(!history.record_crash(CONTENT, run(2), 0, 10), "no news for other hosts");
    assert_eq!(history.verdict(CONTENT, 10), Verdict::Allowed);
}

#[rstest]
fn content_that_ran_before_is_blocked_only_after_more_crashes() {
    let mut history = CrashHistory::new();
    history.record_success(CONTENT);
    for number in 0..5 {
        history.record_crash(CONTENT, run(number), 0, number);
        assert_eq!(history.verdict(CONTENT, number), Verdict::Allowed);
    }
    history.record_crash(CONTENT, run(5), 0, 5);
    assert!(matches!(history.verdict(CONTENT, 5), Verdict::Blocked { .. }));
}

#[rstest]
fn blocked_contents_outlast_a_flood_of_suspects() {
    let mut history = history_with(3);
    for content_hash in 1_000..40_000 {
        history.record_crash(content_hash, run(9), 0, 10);
    }
    assert!(matches!(history.verdict(CONTENT, 10), Verdict::Blocked { .. }));
}

#[rstest]
fn many_innocent_contents_push_out_no_blocked_one() {
    let mut history = history_with(3);
    for content in 1_000..40_000 {
        history.record_crash(content, run(9), 0, 1_000);
    }
    assert!(matches!(history.verdict(CONTENT, 1_000), Verdict::Blocked { .. }));
}

#[rstest]
fn crash_with_a_known_cause_is_held_against_no_content() {
    let mut history = history_with(3);
    history.excuse(&[run(1)]);
    assert!(!history.record_crash(CONTENT, run(1), 0, 10), "a late report of the same crash");
    assert_eq!(history.verdict(CONTENT, 10), Verdict::Allowed);
}

/// A request that crashes servers a second after its answer has begun was sent on without end.
#[rstest]
#[case::at_the_same_moment([1_000, 1_100, 900], true)]
#[case::at_unlike_moments([0, 1_000, 2_000], false)]
fn crashes_late_in_an_answer_count_if_they_agree(
    #[case] answered_ms: [u64; 3],
    #[case] is_blocked: bool,
) {
    let mut history = CrashHistory::new();
    for (number, answered_ms) in (0..).zip(answered_ms) {
        history.record_crash(CONTENT, run(number), answered_ms, number);
    }
    assert_eq!(matches!(history.verdict(CONTENT, 10), Verdict::Blocked { .. }), is_blocked);
}
