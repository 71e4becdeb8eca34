//! Limits that servers name for all hosts together.

mod limit_simulation;

use std::net;

use limit_simulation::Callers;
use limit_simulation::Others;
use limit_simulation::Rule;
use limit_simulation::Scenario;
use limit_simulation::Trouble;
use rstest::rstest;
use toucanwall_policy::server_limits;
use toucanwall_policy::server_limits::Availability;
use toucanwall_policy::server_limits::Body;
use toucanwall_policy::server_limits::Change;
use toucanwall_policy::server_limits::Rate;
use toucanwall_policy::server_limits::ServerLimits;
use toucanwall_routing::name;
use toucanwall_routing::server;

const SEEDS: u64 = 6;
const SETTLING_MS: u64 = 3_000;
/// When the views of the hosts count as the same, in milliseconds.
const SETTLED_MS: u64 = 10_000;

fn server_run(started_unix_ms: u64) -> server::BackendServer {
    server::BackendServer {
        id: name::ServerId::from("server"),
        service: name::ServiceName::from("service"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: name::DataCentre::from("dc"),
        version: name::Version::from("v1"),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms: Some(started_unix_ms),
    }
}

fn host_names(count: usize) -> Vec<name::HostName> {
    (0..count).map(|number| name::HostName::from(format!("host-{number}").as_str())).collect()
}

/// Limits of each of several hosts that know all of them.
fn hosts(count: usize) -> Vec<ServerLimits> {
    let names = host_names(count);
    let limits_of = |(number, name): (usize, &name::HostName)| {
        let seed = u64::try_from(number).expect("a small number");
        let mut limits = ServerLimits::new(name.clone(), SETTLING_MS, seed);
        limits.set_hosts(names.clone(), false, 0);
        limits
    };
    names.iter().enumerate().map(limits_of).collect()
}

fn per_s(requests: u64) -> Rate {
    Rate::from_per_1000_s(requests * 1_000)
}

/// Requests that a host can send in a span if it always has some, one look each millisecond.
fn sends_within(limits: &mut ServerLimits, from_ms: u64, until_ms: u64) -> u64 {
    let server = server_run(1);
    let mut sends = 0;
    for now_ms in from_ms..until_ms {
        match limits.availability(&server, now_ms) {
            Availability::Exhausted => limits.record_demand(&server.id, 1, now_ms),
            _ => sends += u64::from(limits.take_permit(&server.id, now_ms).is_some()),
        }
    }
    sends
}

/// A host that is alone and has been told of a limit at [`SETTLED_MS`].
fn told_host(limit: Rate) -> ServerLimits {
    let mut limits = hosts(1).remove(0);
    let change = limits.record_response(&server_run(1), Some(limit), SETTLED_MS - 9, SETTLED_MS);
    assert_eq!(change, Change::Begun);
    limits
}

#[rstest]
fn requests_of_all_hosts_stay_within_the_limit(
    #[values((6, 2.2), (6, 10.0), (30, 2.2), (300, 0.5), (300, 2.2))] size: (usize, f64),
    #[values(
        Trouble::None,
        Trouble::Kills,
        Trouble::Freezes,
        Trouble::Cuts,
        Trouble::Starts,
        Trouble::TwoViews,
        Trouble::Changes,
        Trouble::All
    )]
    trouble: Trouble,
    #[values(Others::TakeThem, Others::None)] others: Others,
) {
    let (hosts, limit_per_s) = size;
    let demand_per_s = 10.0 * limit_per_s;
    let callers = Callers::Even;
    let scenario =
        Scenario { rule: Rule::Policy, others, trouble, callers, hosts, limit_per_s, demand_per_s };
    for seed in 0..SEEDS {
        let figures = limit_simulation::run(scenario, seed);
        assert_eq!(figures.windows_over, 0, "seed {seed}: {figures:?}");
    }
}

/// Without other servers, three fifths of a limit are used at least, and nearly all of it if the callers
/// are at one host.
#[rstest]
#[case::six_hosts(6, 2.2, Callers::Even, 0.8)]
#[case::six_hosts_higher_limit(6, 10.0, Callers::Even, 0.9)]
#[case::thirty_hosts(30, 2.2, Callers::Even, 0.6)]
#[case::three_hundred_hosts(300, 2.2, Callers::Even, 0.6)]
#[case::one_of_six_hosts(6, 2.2, Callers::OneHost, 0.9)]
#[case::one_of_three_hundred_hosts(300, 2.2, Callers::OneHost, 0.9)]
fn most_of_a_limit_is_used(
    #[case] hosts: usize,
    #[case] limit_per_s: f64,
    #[case] callers: Callers,
    #[case] least_used: f64,
) {
    let scenario = Scenario {
        rule: Rule::Policy,
        others: Others::None,
        trouble: Trouble::None,
        callers,
        hosts,
        limit_per_s,
        demand_per_s: 10.0 * limit_per_s,
    };
    for seed in 0..SEEDS {
        let used = limit_simulation::run(scenario, seed).used;
        assert!(used >= least_used, "seed {seed}: {used} of the limit used");
    }
}

#[rstest]
fn host_that_is_alone_sends_at_the_limit() {
    let mut limits = told_host(per_s(10));
    let sends = sends_within(&mut limits, SETTLED_MS, SETTLED_MS + 10_000);
    assert!((95..=102).contains(&sends), "{sends} requests in 10 s at 10 a second");
}

#[rstest]
fn hosts_whose_views_may_differ_send_less() {
    let mut limits = told_host(per_s(10));
    limits.set_hosts(host_names(1), true, SETTLED_MS);
    let sends = sends_within(&mut limits, SETTLED_MS, SETTLED_MS + 10_000);
    assert!((50..=60).contains(&sends), "{sends} requests in 10 s at 10 a second");
}

#[rstest]
fn views_count_as_the_same_only_a_while_after_a_change() {
    let mut limits = told_host(per_s(10));
    limits.set_hosts(host_names(2), false, SETTLED_MS);
    limits.set_hosts(host_names(1), false, SETTLED_MS);
    let sends = sends_within(&mut limits, SETTLED_MS, SETTLED_MS + SETTLING_MS);
    assert!(sends <= 20, "{sends} requests in 3 s at 10 a second");
}

#[rstest]
fn permits_are_not_saved_up() {
    let mut limits = told_host(per_s(10));
    sends_within(&mut limits, SETTLED_MS, SETTLED_MS + 1_000);
    let idle_until_ms = SETTLED_MS + 60_000;
    let sends = sends_within(&mut limits, idle_until_ms, idle_until_ms + 1_000);
    assert!(sends <= 13, "{sends} requests in 1 s at 10 a second");
}

#[rstest]
fn permit_expires() {
    let mut limits = told_host(per_s(10));
    let server = server_run(1);
    limits.record_demand(&server.id, 1, SETTLED_MS + 500);
    let permit = limits.take_permit(&server.id, SETTLED_MS + 500).expect("a permit");
    assert!(permit.is_valid(SETTLED_MS + 600));
    assert!(!permit.is_valid(SETTLED_MS + 1_500));
    limits.record_demand(&server.id, 1, SETTLED_MS + 2_000);
    assert!(limits.availability(&server, SETTLED_MS + 2_000) != Availability::Exhausted);
    assert_eq!(limits.availability(&server, SETTLED_MS + 3_500), Availability::Exhausted);
}

#[rstest]
fn zero_allows_a_rare_request() {
    let mut limits = told_host(per_s(0));
    let sends = sends_within(&mut limits, SETTLED_MS, SETTLED_MS + 30_000);
    assert!((1..=4).contains(&sends), "{sends} requests in 30 s");
}

/// A limit of 4 is named at 0 ms, in the response to a request of -10 ms; then another response follows.
#[rstest]
#[case::same(Some(4), 50, 60, Change::Unchanged)]
#[case::lower(Some(2), 50, 60, Change::Lowered)]
#[case::lower_of_an_earlier_request(Some(2), -20, 60, Change::Lowered)]
#[case::higher(Some(8), 50, 60, Change::Raised)]
#[case::higher_of_an_earlier_request(Some(8), -20, 60, Change::Unchanged)]
#[case::none(None, 50, 60, Change::Ended)]
#[case::none_of_an_earlier_request(None, -20, 60, Change::Unchanged)]
fn limit_follows_the_latest_response(
    #[case] named: Option<u64>,
    #[case] sent_ms: i64,
    #[case] received_ms: u64,
    #[case] expected: Change,
) {
    let mut limits = told_host(per_s(4));
    let sent_ms = SETTLED_MS.saturating_add_signed(sent_ms);
    let received_ms = SETTLED_MS + received_ms;
    let change = limits.record_response(&server_run(1), named.map(per_s), sent_ms, received_ms);
    assert_eq!(change, expected);
    let rate = match expected {
        Change::Unchanged => Some(per_s(4)),
        _ => named.map(per_s),
    };
    assert_eq!(limits.rate(&server_run(1).id), rate);
}

#[rstest]
fn news_from_before_the_end_of_a_limit_is_out_of_date() {
    let mut all = hosts(2);
    let mut other = all.remove(1);
    let mut limits = all.remove(0);
    let server = server_run(1);
    other.record_response(&server, Some(per_s(4)), SETTLED_MS, SETTLED_MS + 10);
    limits.record_response(&server, Some(per_s(4)), SETTLED_MS, SETTLED_MS + 10);
    let change = limits.record_response(&server, None, SETTLED_MS + 100, SETTLED_MS + 200);
    assert_eq!(change, Change::Ended);
    let (_, message) = other.take_messages(SETTLED_MS + 300).remove(0);
    let from = &host_names(2)[1];
    assert_eq!(limits.receive(from, &message, SETTLED_MS + 300), Change::Unchanged);
    assert_eq!(limits.rate(&server.id), None);
}

#[rstest]
fn later_run_has_no_limit_of_an_earlier_one() {
    let mut limits = told_host(per_s(0));
    let now_ms = SETTLED_MS + 1;
    assert_eq!(limits.availability(&server_run(1), now_ms), Availability::Exhausted);
    assert_eq!(limits.availability(&server_run(2), now_ms), Availability::Unlimited);
    assert_eq!(
        limits.record_response(&server_run(2), Some(per_s(4)), now_ms, now_ms),
        Change::Begun
    );
    let of_earlier_run = limits.record_response(&server_run(1), Some(per_s(1)), now_ms, now_ms);
    assert_eq!(of_earlier_run, Change::Unchanged);
    assert_eq!(limits.rate(&server_run(2).id), Some(per_s(4)));
}

/// Two hosts, of which the first has been told of a limit, and the permits that the second has issued.
fn permits_of_other_host() -> (ServerLimits, name::HostName, server_limits::Message) {
    let mut all = hosts(2);
    let mut other = all.remove(1);
    let mut limits = all.remove(0);
    let names = host_names(2);
    let server = server_run(1);
    limits.record_response(&server, Some(per_s(10)), SETTLED_MS, SETTLED_MS);
    let (_, notice) = limits.take_messages(SETTLED_MS).remove(0);
    other.receive(&names[0], &notice, SETTLED_MS);
    // By then both have a permit to issue, and the first host has used its own.
    let now_ms = SETTLED_MS + 1_000;
    limits.record_demand(&server.id, 1, now_ms);
    assert!(limits.take_permit(&server.id, now_ms).is_some());
    limits.record_demand(&server.id, 1, now_ms);
    let (_, request) = limits.take_messages(now_ms).remove(0);
    assert!(matches!(request.body, Body::PermitRequest(_)));
    other.receive(&names[0], &request, now_ms);
    let (_, permits) = other.take_messages(now_ms).remove(0);
    assert!(matches!(permits.body, Body::Permits(_)));
    (limits, names[1].clone(), permits)
}

#[rstest]
fn permits_of_another_host_are_used() {
    let (mut limits, from, permits) = permits_of_other_host();
    let now_ms = SETTLED_MS + 1_010;
    assert_eq!(limits.availability(&server_run(1), now_ms), Availability::Exhausted);
    limits.receive(&from, &permits, now_ms);
    assert_eq!(limits.availability(&server_run(1), now_ms), Availability::Permitted { permits: 1 });
}

#[rstest]
fn message_that_arrives_twice_counts_once() {
    let (mut limits, from, permits) = permits_of_other_host();
    let now_ms = SETTLED_MS + 1_010;
    limits.receive(&from, &permits, now_ms);
    limits.receive(&from, &permits, now_ms);
    assert_eq!(limits.availability(&server_run(1), now_ms), Availability::Permitted { permits: 1 });
}

#[rstest]
fn permits_that_arrive_late_are_of_no_use() {
    let (mut limits, from, permits) = permits_of_other_host();
    let now_ms = SETTLED_MS + 2_100;
    limits.receive(&from, &permits, now_ms);
    assert_eq!(limits.rate(&server_run(1).id), Some(per_s(10)));
    assert!(limits.take_permit(&server_run(1).id, now_ms).is_none());
}

#[rstest]
fn host_learns_of_the_end_of_a_limit_when_it_asks_for_permits() {
    let mut all = hosts(2);
    let mut other = all.remove(1);
    let mut limits = all.remove(0);
    let names = host_names(2);
    let server = server_run(1);
    for it in [&mut limits, &mut other] {
        it.record_response(&server, Some(per_s(1)), SETTLED_MS, SETTLED_MS);
        it.take_messages(SETTLED_MS);
    }
    other.record_response(&server, None, SETTLED_MS + 50, SETTLED_MS + 60);
    // The news is lost.
    other.take_messages(SETTLED_MS + 60);
    let now_ms = SETTLED_MS + 70;
    limits.record_demand(&server.id, 1, now_ms);
    let (_, request) = limits.take_messages(now_ms).remove(0);
    other.receive(&names[0], &request, now_ms);
    let (to, notice) = other.take_messages(now_ms).remove(0);
    assert_eq!(to, names[0]);
    assert_eq!(limits.receive(&names[1], &notice, now_ms), Change::Ended);
}

#[rstest]
fn all_hosts_hear_of_a_limit_from_each_other() {
    let names = host_names(100);
    let mut all = hosts(100);
    let server = server_run(1);
    all[0].record_response(&server, Some(per_s(1)), SETTLED_MS, SETTLED_MS);
    let mut sent = 0;
    loop {
        let outbox = |limits: &mut ServerLimits| limits.take_messages(SETTLED_MS);
        let messages: Vec<_> = names.iter().zip(all.iter_mut().map(outbox)).collect();
        if messages.iter().all(|(_, messages)| messages.is_empty()) {
            break;
        }
        for (from, messages) in messages {
            sent += messages.len();
            for (to, message) in messages {
                let to = names.iter().position(|name| *name == to).expect("a known host");
                all[to].receive(from, &message, SETTLED_MS);
            }
        }
    }
    let told = all.iter().filter(|limits| limits.rate(&server.id).is_some()).count();
    assert!(told >= 90, "{told} of 100 hosts know of the limit");
    assert!(sent <= 500, "{sent} messages");
}

/// A message in which a host asks for a permit.
fn permit_request(number: u64, priority: u32) -> server_limits::Message {
    server_limits::Message {
        server: server_run(1).id,
        run: toucanwall_policy::server_run::ServerRun::of(&server_run(1)),
        observation: server_limits::Observation {
            limit: Some(per_s(2)),
            received_age_ms: 0,
            sent_age_ms: 10,
        },
        body: Body::PermitRequest(server_limits::PermitRequest { number, wanted: 1, priority }),
    }
}

/// The message that issues a permit on a request.
fn permits_for(request: &server_limits::Message) -> server_limits::Message {
    let Body::PermitRequest(server_limits::PermitRequest { number, .. }) = request.body else {
        panic!("not a permit request: {request:?}");
    };
    let body = Body::Permits(server_limits::Permits { number, issued: 1 });
    server_limits::Message { body, ..request.clone() }
}

/// An issuer among three hosts that know of a limit, and the names of the others.
fn issuer_of_three() -> (ServerLimits, Vec<name::HostName>) {
    let mut names = host_names(3);
    for (number, mut limits) in hosts(3).into_iter().enumerate() {
        limits.record_response(&server_run(1), Some(per_s(2)), SETTLED_MS, SETTLED_MS);
        limits.take_messages(SETTLED_MS);
        if limits.is_issuer(&server_run(1).id) {
            names.remove(number);
            return (limits, names);
        }
    }
    panic!("no host is an issuer");
}

fn hosts_with_permits(
    messages: &[(name::HostName, server_limits::Message)],
) -> Vec<name::HostName> {
    let permits = messages.iter().filter(|(_, it)| matches!(it.body, Body::Permits(_)));
    permits.map(|(host, _)| host.clone()).collect()
}

#[rstest]
#[case::urgent_first((0, 0), (2, 5), 0)]
#[case::urgent_first_though_earlier((0, 0), (1, 20), 0)]
#[case::latest_of_the_same_priority((1, 0), (1, 20), 1)]
fn most_urgent_and_then_latest_request_gets_the_permit(
    #[case] first: (u32, u64),
    #[case] second: (u32, u64),
    #[case] expected: usize,
) {
    let (mut issuer, others) = issuer_of_three();
    // The permit that has accrued goes to a request before.
    let now_ms = SETTLED_MS + 5_000;
    issuer.receive(&others[0], &permit_request(1, 1), now_ms);
    issuer.take_messages(now_ms);
    let now_ms = now_ms + 900;
    issuer.receive(&others[0], &permit_request(2, first.0), now_ms + first.1);
    issuer.receive(&others[1], &permit_request(2, second.0), now_ms + second.1);
    let messages = issuer.take_messages(now_ms + 60);
    assert_eq!(hosts_with_permits(&messages), [others[expected].clone()]);
}

#[rstest]
fn request_that_has_gone_elsewhere_gets_no_permit() {
    let (mut issuer, others) = issuer_of_three();
    issuer.receive(&others[0], &permit_request(1, 1), SETTLED_MS + 10);
    let messages = issuer.take_messages(SETTLED_MS + 2_000);
    assert_eq!(hosts_with_permits(&messages), []);
}

#[rstest]
fn host_that_is_not_registered_issues_nothing() {
    let (mut issuer, others) = issuer_of_three();
    issuer.set_hosts(others.clone(), false, SETTLED_MS + 5_000);
    assert!(!issuer.is_issuer(&server_run(1).id));
    issuer.receive(&others[0], &permit_request(1, 1), SETTLED_MS + 9_000);
    let messages = issuer.take_messages(SETTLED_MS + 9_000);
    assert_eq!(hosts_with_permits(&messages), []);
}

#[rstest]
fn old_news_is_not_passed_on() {
    let mut limits = hosts(9).remove(0);
    let mut message = permit_request(1, 1);
    message.observation.received_age_ms = 5_000;
    limits.receive(&host_names(9)[1], &message, SETTLED_MS);
    assert_eq!(limits.rate(&server_run(1).id), Some(per_s(2)));
    let messages = limits.take_messages(SETTLED_MS);
    assert!(messages.iter().all(|(_, it)| it.body != Body::Notice), "{messages:?}");
}

/// Only a few requests wait, and a single one once permit requests yield nothing.
#[rstest]
fn requests_wait_only_with_a_prospect() {
    let mut limits = hosts(3).remove(0);
    let id = server_run(1).id;
    assert_eq!(limits.max_waiting(&id), 0);
    limits.record_response(&server_run(1), Some(per_s(4)), SETTLED_MS, SETTLED_MS);
    assert_eq!(limits.max_waiting(&id), 5);
    for now_ms in (SETTLED_MS..SETTLED_MS + 220).step_by(10) {
        limits.record_demand(&id, 1, now_ms);
        limits.take_messages(now_ms);
    }
    assert_eq!(limits.max_waiting(&id), 1);
}

/// A host that gets nothing asks less and less often, and again at once after a permit.
#[rstest]
fn host_asks_less_often_while_it_gets_nothing() {
    let mut limits = hosts(3).remove(0);
    let id = server_run(1).id;
    limits.record_response(&server_run(1), Some(per_s(1)), SETTLED_MS, SETTLED_MS);
    let mut asked_ms = std::collections::BTreeSet::new();
    for now_ms in SETTLED_MS..SETTLED_MS + 900 {
        limits.record_demand(&id, 1, now_ms);
        let messages = limits.take_messages(now_ms);
        if messages.iter().any(|(_, it)| matches!(it.body, Body::PermitRequest(_))) {
            asked_ms.insert(now_ms - SETTLED_MS);
        }
    }
    assert_eq!(asked_ms.into_iter().collect::<Vec<_>>(), [0, 100, 300, 700]);
}

#[rstest]
fn permits_that_have_been_received_are_not_asked_for_again() {
    let mut limits = hosts(3).remove(0);
    let id = server_run(1).id;
    limits.record_response(&server_run(1), Some(per_s(1)), SETTLED_MS, SETTLED_MS);
    limits.record_demand(&id, 1, SETTLED_MS);
    let mut messages = limits.take_messages(SETTLED_MS);
    messages.retain(|(_, it)| matches!(it.body, Body::PermitRequest(_)));
    let (issuer, request) = messages.remove(0);
    limits.receive(&issuer, &permits_for(&request), SETTLED_MS + 10);
    for now_ms in SETTLED_MS + 10..SETTLED_MS + 190 {
        let messages = limits.take_messages(now_ms);
        let mut bodies = messages.iter().map(|(_, message)| message.body);
        assert!(!bodies.any(|body| matches!(body, Body::PermitRequest(_))));
    }
}

#[rstest]
fn permits_are_void_after_the_end_of_a_limit() {
    let mut limits = told_host(per_s(10));
    let server = server_run(1);
    let now_ms = SETTLED_MS + 1_000;
    limits.record_demand(&server.id, 1, now_ms);
    limits.record_response(&server, None, now_ms, now_ms);
    assert_eq!(limits.availability(&server, now_ms), Availability::Unlimited);
    limits.record_response(&server, Some(per_s(10)), now_ms, now_ms);
    assert_eq!(limits.availability(&server, now_ms), Availability::Exhausted);
}

#[rstest]
fn host_asks_as_often_as_before_once_it_gets_a_permit() {
    let mut limits = hosts(3).remove(0);
    let id = server_run(1).id;
    limits.record_response(&server_run(1), Some(per_s(1)), SETTLED_MS, SETTLED_MS);
    let mut asked_ms = std::collections::BTreeSet::new();
    let mut asked = None;
    for now_ms in SETTLED_MS..SETTLED_MS + 400 {
        limits.record_demand(&id, 1, now_ms);
        for (issuer, message) in limits.take_messages(now_ms) {
            if matches!(message.body, Body::PermitRequest(_)) {
                asked_ms.insert(now_ms - SETTLED_MS);
                asked = Some((issuer, message));
            }
        }
        if let Some((issuer, request)) = asked.take_if(|_| now_ms == SETTLED_MS + 150) {
            limits.receive(&issuer, &permits_for(&request), now_ms);
        }
    }
    assert_eq!(asked_ms.into_iter().collect::<Vec<_>>(), [0, 100, 250, 350]);
}
