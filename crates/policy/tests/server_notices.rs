//! What servers say of themselves.

use proptest::prelude::*;
use rstest::rstest;
use toucanwall_policy::server_notices::Acceptance;
use toucanwall_policy::server_notices::ServerNotices;
use toucanwall_routing::server;

const MINUTE_MS: u64 = 60_000;

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
    let mut notices = ServerNotices::new();
    assert!(notices.record_leaving(&server(80, Some(5)), 0));
    assert_eq!(notices.acceptance(&entry), expected);
}

#[rstest]
fn notice_of_an_earlier_run_does_not_concern_a_later_one() {
    let mut notices = ServerNotices::new();
    notices.record_leaving(&server(80, Some(5)), 0);
    notices.record_leaving(&server(80, Some(6)), 1);
    assert!(!notices.record_leaving(&server(80, Some(5)), 2), "an older notice is not new");
    assert_eq!(notices.acceptance(&server(80, Some(6))), Acceptance::Leaving);
    assert_eq!(notices.acceptance(&server(80, Some(7))), Acceptance::Accepts);
}

#[rstest]
fn draining_entry_is_not_accepted_without_a_notice() {
    let draining =
        server::BackendServer { readiness: server::Readiness::Draining, ..server(80, Some(5)) };
    assert_eq!(ServerNotices::new().acceptance(&draining), Acceptance::Leaving);
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
    let mut notices = ServerNotices::new();
    notices.record_leaving(&server(80, Some(5)), 0);
    notices.retain_known(|_| is_known, now_ms);
    assert_eq!(notices.acceptance(&server(80, Some(5))), expected);
}

proptest! {
    /// In whatever order notices of runs arrive, no run that has said that it leaves is used again.
    #[test]
    fn run_that_has_left_never_accepts(runs in prop::collection::vec(0_u64..6, 1..20)) {
        let mut notices = ServerNotices::new();
        for (at_ms, run) in (0..).zip(&runs) {
            notices.record_leaving(&server(80, Some(*run)), at_ms);
            let latest = runs[..=usize::try_from(at_ms).unwrap_or(0)].iter().max().copied();
            for other in 0..6 {
                let expected = if Some(other) > latest { Acceptance::Accepts } else { Acceptance::Leaving };
                prop_assert_eq!(notices.acceptance(&server(80, Some(other))), expected);
            }
        }
    }
}
