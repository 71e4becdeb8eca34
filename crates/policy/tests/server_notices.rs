//! What servers say of themselves.

use proptest::prelude::*;
use rstest::rstest;
use toucanwall_policy::server_notices::Acceptance;
use toucanwall_policy::server_notices::PauseChange;
use toucanwall_policy::server_notices::ServerNotices;
use toucanwall_routing::server;

const MINUTE_MS: u64 = 60_000;
/// Longest time after a pause until a host returns to the server.
const RETURN_SPREAD_MAX_MS: u64 = 100;

fn server(port: u16, started_unix_ms: Option<u64>) -> server::BackendServer {
    server::BackendServer {
        id: "s-1".into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "dc-1".into(),
        version: "v1".into(),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms,
    }
}

#[rstest]
#[case::same_run(server(80, Some(5)), Acceptance::Leaving)]
#[case::same_run_elsewhere(server(81, Some(5)), Acceptance::Leaving)]
#[case::earlier_run(server(80, Some(4)), Acceptance::Leaving)]
#[case::entry_without_a_start(server(80, None), Acceptance::Leaving)]
#[case::later_run(server(80, Some(6)), Acceptance::Accepts)]
#[case::later_run_elsewhere(server(81, Some(6)), Acceptance::Accepts)]
fn notice_holds_until_a_later_run(
    #[case] entry: server::BackendServer,
    #[case] expected: Acceptance,
) {
    let mut notices = ServerNotices::new(0);
    assert!(notices.record_leaving(&server(80, Some(5)), 0));
    assert_eq!(notices.acceptance(&entry, 0), expected);
}

#[rstest]
fn notice_of_an_earlier_run_does_not_concern_a_later_one() {
    let mut notices = ServerNotices::new(0);
    notices.record_leaving(&server(80, Some(5)), 0);
    notices.record_leaving(&server(80, Some(6)), 1);
    assert!(!notices.record_leaving(&server(80, Some(5)), 2), "an older notice is not new");
    assert_eq!(notices.acceptance(&server(80, Some(6)), 0), Acceptance::Leaving);
    assert_eq!(notices.acceptance(&server(80, Some(7)), 0), Acceptance::Accepts);
}

#[rstest]
fn draining_entry_is_not_accepted_without_a_notice() {
    let draining =
        server::BackendServer { readiness: server::Readiness::Draining, ..server(80, Some(5)) };
    assert_eq!(ServerNotices::new(0).acceptance(&draining, 0), Acceptance::Leaving);
}

/// An entry that vanished may be shown again by an older list.
#[rstest]
#[case::known_for_long(true, 60 * MINUTE_MS, Acceptance::Leaving)]
#[case::vanished_a_moment_ago(false, MINUTE_MS, Acceptance::Leaving)]
#[case::vanished_long_ago(false, 60 * MINUTE_MS, Acceptance::Accepts)]
fn notice_is_kept_while_an_entry_may_come_back(
    #[case] is_known: bool,
    #[case] now_ms: u64,
    #[case] expected: Acceptance,
) {
    let mut notices = ServerNotices::new(0);
    notices.record_leaving(&server(80, Some(5)), 0);
    notices.retain_known(|_| is_known, now_ms);
    assert_eq!(notices.acceptance(&server(80, Some(5)), now_ms), expected);
}

proptest! {
    /// In whatever order notices of runs arrive, no run that has said that it leaves is used again.
    #[test]
    fn run_that_has_left_never_accepts(runs in prop::collection::vec(0_u64..6, 1..20)) {
        let mut notices = ServerNotices::new(0);
        for (at_ms, run) in (0..).zip(&runs) {
            notices.record_leaving(&server(80, Some(*run)), at_ms);
            let latest = runs[..=usize::try_from(at_ms).unwrap_or(0)].iter().max().copied();
            for other in 0..6 {
                let expected = if Some(other) > latest { Acceptance::Accepts } else { Acceptance::Leaving };
                prop_assert_eq!(notices.acceptance(&server(80, Some(other)), at_ms), expected);
            }
        }
    }
}

fn pause_end_ms(
    notices: &ServerNotices,
    entry: &server::BackendServer,
    now_ms: u64,
) -> Option<u64> {
    match notices.acceptance(entry, now_ms) {
        Acceptance::Paused { until_ms } => Some(until_ms),
        Acceptance::Accepts | Acceptance::Leaving => None,
    }
}

#[rstest]
fn longer_pause_extends_a_shorter_one_and_not_the_reverse() {
    let (mut notices, entry) = (ServerNotices::new(0), server(80, Some(5)));
    assert_eq!(notices.record_pause(&entry, 1_000, 0), PauseChange::Begun);
    assert_eq!(notices.record_pause(&entry, 3_000, 100), PauseChange::Extended);
    let until_ms = pause_end_ms(&notices, &entry, 200);
    assert!(until_ms.is_some_and(|ms| ms >= 3_100), "{until_ms:?}");
    assert_eq!(notices.record_pause(&entry, 500, 200), PauseChange::Unchanged);
    assert_eq!(pause_end_ms(&notices, &entry, 200), until_ms);
    assert_eq!(notices.acceptance(&entry, 3_100 + RETURN_SPREAD_MAX_MS), Acceptance::Accepts);
    assert_eq!(notices.record_pause(&entry, 1_000, 9_000), PauseChange::Begun);
}

#[rstest]
fn pause_for_no_time_is_none() {
    let (mut notices, entry) = (ServerNotices::new(0), server(80, Some(5)));
    assert_eq!(notices.record_pause(&entry, 0, 7), PauseChange::Unchanged);
    assert_eq!(notices.acceptance(&entry, 7), Acceptance::Accepts);
}

#[rstest]
fn pause_longer_than_a_number_holds_does_not_end() {
    let (mut notices, entry) = (ServerNotices::new(0), server(80, Some(5)));
    notices.record_pause(&entry, u64::MAX, 7);
    assert_eq!(pause_end_ms(&notices, &entry, 60 * MINUTE_MS), Some(u64::MAX));
}

#[rstest]
#[case::same_run(server(80, Some(5)), true)]
#[case::same_run_elsewhere(server(81, Some(5)), true)]
#[case::entry_without_a_start(server(80, None), true)]
#[case::later_run(server(80, Some(6)), false)]
#[case::later_run_elsewhere(server(81, Some(6)), false)]
fn pause_concerns_one_run_of_a_server(
    #[case] entry: server::BackendServer,
    #[case] is_paused: bool,
) {
    let mut notices = ServerNotices::new(0);
    notices.record_pause(&server(80, Some(5)), 1_000, 0);
    assert_eq!(pause_end_ms(&notices, &entry, 1).is_some(), is_paused);
}

/// The response of an earlier run may arrive when a later one is known.
#[rstest]
fn word_of_an_earlier_run_does_not_concern_a_later_one() {
    let (mut notices, later) = (ServerNotices::new(0), server(80, Some(6)));
    notices.record_pause(&later, 1_000, 0);
    assert_eq!(notices.record_pause(&server(80, Some(5)), 9_000, 1), PauseChange::Unchanged);
    assert!(!notices.record_leaving(&server(80, Some(5)), 2));
    assert_eq!(notices.acceptance(&later, 1_000 + RETURN_SPREAD_MAX_MS), Acceptance::Accepts);
}

#[rstest]
fn later_run_that_asks_for_a_pause_inherits_nothing_from_an_earlier_one() {
    let (mut notices, later) = (ServerNotices::new(0), server(80, Some(6)));
    notices.record_pause(&server(80, Some(5)), 9_000, 0);
    notices.record_leaving(&server(80, Some(5)), 1);
    assert_eq!(notices.record_pause(&later, 1_000, 2), PauseChange::Begun);
    assert_eq!(notices.acceptance(&later, 1_002 + RETURN_SPREAD_MAX_MS), Acceptance::Accepts);
}

#[rstest]
fn paused_server_that_leaves_does_not_return() {
    let (mut notices, entry) = (ServerNotices::new(0), server(80, Some(5)));
    notices.record_pause(&entry, 1_000, 0);
    assert!(notices.record_leaving(&entry, 1));
    assert_eq!(notices.acceptance(&entry, 2), Acceptance::Leaving);
    notices.record_pause(&entry, 1_000, 3);
    assert_eq!(notices.acceptance(&entry, MINUTE_MS), Acceptance::Leaving);
}

#[rstest]
fn hosts_return_to_a_server_at_different_times() {
    let entry = server(80, Some(5));
    let ends = (0..50).map(|seed| {
        let mut notices = ServerNotices::new(seed);
        notices.record_pause(&entry, 2_000, 0);
        pause_end_ms(&notices, &entry, 1)
    });
    let ends: std::collections::BTreeSet<_> = ends.collect();
    assert!(ends.len() > 25, "{ends:?}");
    assert!(ends.iter().flatten().all(|ms| (2_000..=2_000 + RETURN_SPREAD_MAX_MS).contains(ms)));
}

proptest! {
    /// Whatever pauses a server asks for, it is not used before the latest of their ends.
    #[test]
    fn server_is_not_used_before_the_end_of_any_pause(
        pauses in prop::collection::vec((0_u64..5_000, 0_u64..9_000), 1..20),
    ) {
        let (mut notices, entry) = (ServerNotices::new(3), server(80, Some(5)));
        let (mut now_ms, mut latest_ms) = (0, 0);
        for (elapsed_ms, pause_ms) in pauses {
            now_ms += elapsed_ms;
            notices.record_pause(&entry, pause_ms, now_ms);
            latest_ms = latest_ms.max(now_ms + pause_ms);
            let is_accepted = notices.acceptance(&entry, now_ms) == Acceptance::Accepts;
            prop_assert!(!is_accepted || now_ms >= latest_ms);
        }
    }
}
