//! Whether a host notices that it no longer hears of changes.

use rstest::rstest;
use toucanwall_policy::freshness;
use toucanwall_policy::freshness::Check;
use toucanwall_policy::freshness::Verdict;
use toucanwall_routing::position;

const MAX_AGE_MS: u64 = 2_000;
const MAX_LAG_MS: u64 = 800;

/// Kinds of objects.
const FIRST: u8 = 1;
const SECOND: u8 = 2;

fn at(revision: u64) -> position::Position {
    let era = position::Era::try_from("1").expect("a number");
    position::Position::new(era, revision)
}

fn listed() -> freshness::Freshness<u8> {
    let mut freshness = freshness::Freshness::new(MAX_AGE_MS);
    freshness.record_answer(FIRST, at(5), MAX_LAG_MS, 0);
    freshness.record_answer(SECOND, at(7), MAX_LAG_MS, 0);
    freshness
}

/// Guards against silence that is taken for the absence of changes.
#[rstest]
fn kind_that_the_position_of_the_store_does_not_confirm_is_checked() {
    let mut freshness = listed();
    assert_eq!(freshness.record_position(at(7), 100), [(FIRST, at(5))]);
    let verdict = freshness.record_check(FIRST, at(5), Check::Unchanged(at(7)), 110);
    assert_eq!(verdict, Verdict::Confirmed(at(7)));
    assert_eq!(freshness.record_position(at(7), 1_100), []);
    assert_eq!(freshness.record_position(at(8), 2_100), [(FIRST, at(5)), (SECOND, at(7))]);
}

/// A change of one kind says nothing of another one.
#[rstest]
fn answer_about_one_kind_does_not_confirm_another() {
    let mut freshness = listed();
    freshness.record_answer(SECOND, at(9), MAX_LAG_MS, 50);
    assert_eq!(freshness.record_position(at(9), 100), [(FIRST, at(5))]);
}

#[rstest]
fn waiting_call_that_does_not_tell_of_a_change_in_time_is_lost() {
    let mut freshness = listed();
    assert_eq!(freshness.record_check(FIRST, at(5), Check::Changed, 100), Verdict::Pending);
    assert_eq!(freshness.next_check_ms(), Some(100 + MAX_LAG_MS));
    let just_before_ms = 100 + MAX_LAG_MS - 1;
    let verdict = freshness.record_check(FIRST, at(5), Check::Changed, just_before_ms);
    assert_eq!(verdict, Verdict::Pending);
    let verdict = freshness.record_check(FIRST, at(5), Check::Changed, 100 + MAX_LAG_MS);
    assert_eq!(verdict, Verdict::Lost);
    assert_eq!(freshness.known(FIRST), None);
    assert_eq!(freshness.known(SECOND), Some(at(7)));
}

#[rstest]
fn waiting_call_that_tells_of_the_change_is_not_lost() {
    let mut freshness = listed();
    assert_eq!(freshness.record_check(FIRST, at(5), Check::Changed, 100), Verdict::Pending);
    freshness.record_answer(FIRST, at(8), MAX_LAG_MS, 300);
    assert_eq!(freshness.next_check_ms(), None);
    // A check that was under way meanwhile.
    assert_eq!(freshness.record_check(FIRST, at(5), Check::Changed, 5_000), Verdict::Pending);
    assert_eq!(freshness.known(FIRST), Some(at(8)));
    assert_eq!(freshness.next_check_ms(), None);
}

/// A check may see a change before the waiting call, and a later one, stale, may not.
#[rstest]
fn kind_that_a_check_confirms_does_not_lag() {
    let mut freshness = listed();
    assert_eq!(freshness.record_check(FIRST, at(5), Check::Changed, 100), Verdict::Pending);
    let verdict = freshness.record_check(FIRST, at(5), Check::Unchanged(at(7)), 500);
    assert_eq!(verdict, Verdict::Confirmed(at(7)));
    assert_eq!(freshness.next_check_ms(), None);
}

/// Guards against a kind that is never confirmed because its checks are lost as well.
#[rstest]
fn kind_that_is_not_confirmed_for_long_is_lost() {
    let mut freshness = listed();
    assert_eq!(freshness.record_position(at(7), 1_000), [(FIRST, at(5))]);
    let unanswered = |freshness: &mut freshness::Freshness<u8>, kind, base, now_ms| {
        freshness.record_check(kind, base, Check::Unanswered, now_ms)
    };
    assert_eq!(unanswered(&mut freshness, FIRST, at(5), MAX_AGE_MS - 1), Verdict::Pending);
    assert_eq!(unanswered(&mut freshness, FIRST, at(5), MAX_AGE_MS), Verdict::Lost);
    // The other one was confirmed by the position of the store.
    assert_eq!(unanswered(&mut freshness, SECOND, at(7), 1_000 + MAX_AGE_MS - 1), Verdict::Pending);
    assert_eq!(unanswered(&mut freshness, SECOND, at(7), 1_000 + MAX_AGE_MS), Verdict::Lost);
}

/// A stale answer shows an earlier position.
#[rstest]
fn earlier_position_confirms_nothing() {
    let mut freshness = listed();
    assert_eq!(freshness.record_position(at(3), 1_500), []);
    let verdict = freshness.record_check(SECOND, at(7), Check::Unanswered, MAX_AGE_MS);
    assert_eq!(verdict, Verdict::Lost);
}

#[rstest]
fn unlisted_kind_is_not_checked() {
    let mut freshness = listed();
    freshness.forget(FIRST);
    assert_eq!(freshness.record_position(at(9), 100), [(SECOND, at(7))]);
    assert_eq!(freshness.all_known(), [(SECOND, at(7))]);
}
