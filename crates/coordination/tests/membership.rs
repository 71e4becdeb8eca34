//! Tests of membership and freshness: replaced runs, pauses, suspicion and isolation.

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

fn membership_with(others: Vec<membership::Record>) -> membership::Membership {
    let seeds = collections::BTreeSet::new();
    let mut members = membership::Membership::new(info(1, 1, 0), seeds, 7, 0);
    let message = membership::Message::Sync { records: others, wants_reply: false };
    members.receive(address(2), message, 0);
    members
}

#[rstest]
fn later_run_at_same_address_replaces_earlier_run() {
    let mut members = membership_with(vec![record(info(2, 2, 10))]);
    let sync = |records| membership::Message::Sync { records, wants_reply: false };
    members.receive(address(2), sync(vec![record(info(3, 2, 20))]), 1);
    let status = |members: &membership::Membership, id| {
        members.members()[&identity::HostId(id)].record.status
    };
    assert_eq!(status(&members, 2), membership::Status::Dead);
    assert_eq!(status(&members, 3), membership::Status::Alive);
    // A delayed record that claims the earlier run is alive changes nothing.
    let delayed = membership::Record { incarnation: 5, ..record(info(2, 2, 10)) };
    members.receive(address(9), sync(vec![delayed]), 2);
    assert_eq!(status(&members, 2), membership::Status::Dead);
}

#[rstest]
fn run_answers_only_pings_addressed_to_it() {
    let mut members = membership_with(Vec::new());
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
fn pause_of_this_host_restarts_suspicion_timeouts() {
    let mut members = membership_with(vec![record(info(2, 2, 10))]);
    let mut now_ms = 0;
    while members.members()[&identity::HostId(2)].record.status != membership::Status::Suspect {
        now_ms += 50;
        members.tick(now_ms);
        assert!(now_ms < 10_000, "an unresponsive member must become suspected");
    }
    let effects = members.detect_pause(now_ms + 60_000);
    assert_eq!(effects, [membership::Effect::Paused { gap_ms: 60_000 }]);
    members.tick(now_ms + 60_001);
    let status = members.members()[&identity::HostId(2)].record.status;
    assert_eq!(status, membership::Status::Suspect);
}

#[rstest]
fn isolation_ends_only_by_platform_or_caught_up_peer() {
    let mut freshness = freshness::Freshness::new();
    assert_eq!(freshness.state(0, 4), freshness::State::Isolated);
    freshness.record_confirmation(1_000, 4);
    assert_eq!(freshness.state(2_000, 4), freshness::State::Fresh);
    let later_ms = 1_000 + freshness::ISOLATED_AFTER_MS + 1;
    freshness.record_contact(later_ms);
    assert_eq!(freshness.state(later_ms, 3), freshness::State::Unconfirmed);
    assert_eq!(freshness.state(later_ms, 2), freshness::State::Isolated);
    freshness.tick(later_ms, 2);
    // A majority of live hosts is not enough: they may have been isolated as well.
    assert_eq!(freshness.state(later_ms, 4), freshness::State::Isolated);
    let confirmation =
        freshness::Confirmation { age_ms: 30_000, peak_hosts: 4, peak_hosts_age_ms: 30_000 };
    freshness.record_peer_confirmation(confirmation, later_ms);
    assert_eq!(freshness.state(later_ms, 4), freshness::State::Unconfirmed);
    freshness.invalidate(later_ms + 1);
    assert_eq!(freshness.state(later_ms + 2, 4), freshness::State::Isolated);
    freshness.record_confirmation(later_ms, 4);
    assert_eq!(freshness.state(later_ms + 2, 4), freshness::State::Isolated);
    freshness.record_confirmation(later_ms + 1, 4);
    assert_eq!(freshness.state(later_ms + 2, 4), freshness::State::Fresh);
}

#[rstest]
fn member_wrongly_considered_dead_refutes_it() {
    let mut members = membership_with(vec![record(info(2, 2, 10)), record(info(3, 3, 10))]);
    let dead = membership::Record { status: membership::Status::Dead, ..record(info(2, 2, 10)) };
    let sync = membership::Message::Sync { records: vec![dead], wants_reply: false };
    members.receive(address(3), sync, 0);
    let seeds = collections::BTreeSet::new();
    let mut target = membership::Membership::new(info(2, 2, 10), seeds, 9, 0);
    let mut replies = Vec::new();
    for now_ms in (0..5_000).step_by(50) {
        for effect in members.tick(now_ms) {
            if let membership::Effect::Send { to, message } = effect
                && to == address(2)
            {
                let bytes = format!("{message:?}").len();
                assert!(bytes < 2_000, "probe is too large: {bytes} bytes");
                replies.extend(target.receive(address(1), message, now_ms));
            }
        }
    }
    for effect in replies {
        if let membership::Effect::Send { message, .. } = effect {
            members.receive(address(2), message, 5_000);
        }
    }
    let status = members.members()[&identity::HostId(2)].record.status;
    assert_eq!(status, membership::Status::Alive);
}
