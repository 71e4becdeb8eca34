//! Membership: replaced runs, pauses and suspicion.

use std::collections;
use std::net;
use std::sync::Arc;

use rstest::rstest;
use toucanwall_coordination::freshness;
use toucanwall_coordination::identity;
use toucanwall_coordination::membership;

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn info(id: u64, port: u16, started_ms: u64) -> identity::HostInfo {
    identity::HostInfo {
        id: identity::HostId(id),
        started_ms,
        peer_address: address(port),
        caller_address: address(port + 1_000),
        data_centre: Arc::from("dc"),
        region: Arc::from("region"),
    }
}

fn record(info: identity::HostInfo) -> membership::Record {
    membership::Record { info, incarnation: 0, status: membership::Status::Alive, leaving: false }
}

fn one_that_knows(others: Vec<membership::Record>) -> membership::Membership {
    let seeds = collections::BTreeSet::new();
    let mut members = membership::Membership::new(info(1, 1, 0), seeds, 7, 0);
    let message = membership::Message::Sync { records: others, wants_reply: false };
    members.receive(address(2), message, 0);
    members
}

#[rstest]
fn a_later_start_under_the_same_address_retires_the_earlier_one() {
    let mut members = one_that_knows(vec![record(info(2, 2, 10))]);
    let sync = |records| membership::Message::Sync { records, wants_reply: false };
    members.receive(address(2), sync(vec![record(info(3, 2, 20))]), 1);
    let status = |members: &membership::Membership, id| {
        members.members()[&identity::HostId(id)].record.status
    };
    assert_eq!(status(&members, 2), membership::Status::Dead);
    assert_eq!(status(&members, 3), membership::Status::Alive);
    // A late word that the earlier one lives changes nothing.
    let late = membership::Record { incarnation: 5, ..record(info(2, 2, 10)) };
    members.receive(address(9), sync(vec![late]), 2);
    assert_eq!(status(&members, 2), membership::Status::Dead);
}

#[rstest]
fn a_run_answers_pings_for_itself_alone() {
    let mut members = one_that_knows(Vec::new());
    let ping = |target| membership::Message::Ping {
        target: identity::HostId(target),
        nonce: 5,
        updates: Vec::new(),
    };
    let is_ack = |effects: &[membership::Effect]| {
        effects.iter().any(|effect| {
            matches!(
                effect,
                membership::Effect::Send { message: membership::Message::Ack { nonce: 5, .. }, .. }
            )
        })
    };
    assert!(is_ack(&members.receive(address(2), ping(1), 0)));
    assert!(!is_ack(&members.receive(address(2), ping(4), 0)));
}

#[rstest]
fn a_pause_is_noticed_before_anything_else_and_blames_nobody() {
    let mut members = one_that_knows(vec![record(info(2, 2, 10))]);
    let mut now_ms = 0;
    while members.members()[&identity::HostId(2)].record.status != membership::Status::Suspect {
        now_ms += 50;
        members.tick(now_ms);
        assert!(now_ms < 10_000, "a silent member is suspected");
    }
    let effects = members.detect_pause(now_ms + 60_000);
    assert_eq!(effects, [membership::Effect::Paused { gap_ms: 60_000 }]);
    members.tick(now_ms + 60_001);
    let status = members.members()[&identity::HostId(2)].record.status;
    assert_eq!(status, membership::Status::Suspect);
}

#[rstest]
fn only_the_platform_or_a_peer_that_kept_up_ends_a_cut_off() {
    let mut fresh = freshness::Freshness::new();
    assert_eq!(fresh.state(0, 4), freshness::State::Isolated);
    fresh.record_confirmation(1_000, 4);
    assert_eq!(fresh.state(2_000, 4), freshness::State::Fresh);
    let later_ms = 1_000 + freshness::ISOLATED_AFTER_MS + 1;
    fresh.record_contact(later_ms);
    assert_eq!(fresh.state(later_ms, 3), freshness::State::Unconfirmed);
    assert_eq!(fresh.state(later_ms, 2), freshness::State::Isolated);
    fresh.tick(later_ms, 2);
    // Hearing most hosts again is not enough: they may have been cut off as well.
    assert_eq!(fresh.state(later_ms, 4), freshness::State::Isolated);
    let told = freshness::Confirmation { age_ms: 30_000, peak_hosts: 4, peak_hosts_age_ms: 30_000 };
    fresh.record_peer_confirmation(told, later_ms);
    assert_eq!(fresh.state(later_ms, 4), freshness::State::Unconfirmed);
    fresh.invalidate(later_ms + 1);
    assert_eq!(fresh.state(later_ms + 2, 4), freshness::State::Isolated);
    fresh.record_confirmation(later_ms, 4);
    assert_eq!(fresh.state(later_ms + 2, 4), freshness::State::Isolated);
    fresh.record_confirmation(later_ms + 1, 4);
    assert_eq!(fresh.state(later_ms + 2, 4), freshness::State::Fresh);
}

#[rstest]
fn a_member_that_counts_as_dead_hears_of_it_and_refutes() {
    let mut members = one_that_knows(vec![record(info(2, 2, 10)), record(info(3, 3, 10))]);
    let dead = membership::Record { status: membership::Status::Dead, ..record(info(2, 2, 10)) };
    let sync = membership::Message::Sync { records: vec![dead], wants_reply: false };
    members.receive(address(3), sync, 0);
    let seeds = collections::BTreeSet::new();
    let mut doubted = membership::Membership::new(info(2, 2, 10), seeds, 9, 0);
    let mut answers = Vec::new();
    for now_ms in (0..5_000).step_by(50) {
        for effect in members.tick(now_ms) {
            if let membership::Effect::Send { to, message } = effect
                && to == address(2)
            {
                let bytes = format!("{message:?}").len();
                assert!(bytes < 2_000, "a probe is small: {bytes}");
                answers.extend(doubted.receive(address(1), message, now_ms));
            }
        }
    }
    for effect in answers {
        if let membership::Effect::Send { message, .. } = effect {
            members.receive(address(2), message, 5_000);
        }
    }
    let status = members.members()[&identity::HostId(2)].record.status;
    assert_eq!(status, membership::Status::Alive);
}
