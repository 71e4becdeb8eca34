//! Tests of single routing decisions.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_document::document;
use toucanwall_document::name;
use toucanwall_policy::balance;
use toucanwall_policy::cascade;
use toucanwall_policy::limit;
use toucanwall_policy::poison;
use toucanwall_policy::retry;
use toucanwall_policy::sequential_test;
use toucanwall_policy::version_choice;

fn name(text: &str) -> name::Name {
    name::Name::try_from(text).expect("valid name")
}

fn server(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn model(shares: &[(&str, u64)]) -> document::Model {
    document::Model {
        pool: name("pool"),
        cost_microcents_per_kilotoken: 1,
        versions: shares
            .iter()
            .map(|(version, share_percent)| {
                (
                    name(version),
                    document::Version { share_percent: *share_percent, withdrawn: false },
                )
            })
            .collect(),
    }
}

fn organisation() -> document::Organisation {
    document::Organisation {
        key_sha256: Arc::from(""),
        models: [name("model")].into(),
        versions: collections::BTreeMap::new(),
        cascades: collections::BTreeSet::new(),
        services: collections::BTreeSet::new(),
        requests_per_s: 1,
    }
}

#[rstest]
fn growing_share_moves_sessions_only_to_its_version() {
    let (before, after) = (model(&[("1", 90), ("2", 10)]), model(&[("1", 70), ("2", 30)]));
    let organisation = organisation();
    let mut on_new_version = 0;
    for session in 0..10_000 {
        let select =
            |model| version_choice::select(&name("model"), model, &organisation, session).cloned();
        let (selected_before, selected_after) = (select(&before), select(&after));
        assert!(
            selected_before == selected_after || selected_after == Some(name("2")),
            "session {session}"
        );
        on_new_version += u32::from(selected_after == Some(name("2")));
    }
    assert!((2_800..3_200).contains(&on_new_version), "{on_new_version}");
}

#[rstest]
fn crashes_of_two_servers_block_content_and_a_success_clears_a_suspect() {
    let mut tracker = poison::PoisonTracker::new();
    assert_eq!(tracker.record_crash(7, server(1), 0), poison::Status::Suspect);
    assert_eq!(tracker.record_crash(7, server(1), 1), poison::Status::Suspect);
    assert!(tracker.try_start(7) && !tracker.try_start(7), "suspect requests run one at a time");
    assert_eq!(tracker.record_crash(7, server(2), 2), poison::Status::Blocked);
    tracker.record_success(7);
    assert_eq!(tracker.status(7, 3), poison::Status::Blocked);
    assert_eq!(tracker.status(7, 3 + poison::RECORD_TTL_MS), poison::Status::Clear);
    tracker.record_crash(8, server(1), 0);
    tracker.record_success(8);
    assert_eq!(tracker.status(8, 1), poison::Status::Clear);
}

#[rstest]
fn ejection_never_empties_a_pool() {
    let mut balancer = balance::Balancer::new();
    for port in 1..=4 {
        balancer.put(balance::Server {
            address: server(port),
            pool: Arc::from("pool"),
            is_draining: port == 4,
            loaded: collections::BTreeSet::new(),
        });
        for _ in 0..3 {
            balancer.record_start(server(port));
            balancer.record_end(server(port), balance::Outcome::Failed, 0);
        }
    }
    let excluded = collections::BTreeSet::new();
    let request = balance::Request {
        pool: "pool",
        item: None,
        prefix_hash: None,
        slots: 8,
        excluded: &excluded,
    };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let choice = balancer.choose(request, 1, &mut rng);
        assert!(matches!(choice, balance::Choice::Server(address) if address != server(4)));
    }
}

#[rstest]
#[case::one_host(1)]
#[case::six_hosts(6)]
fn rate_limit_holds_across_hosts(#[case] hosts: u64) {
    let mut limiters: Vec<limit::RateLimiter> =
        (0..hosts).map(|_| limit::RateLimiter::new()).collect();
    let mut admitted = 0_u64;
    for now_ms in 0..10_000 {
        for limiter in &mut limiters {
            let decision = limiter.try_acquire(&name("org"), 60, hosts, now_ms);
            admitted += u64::from(decision == limit::Decision::Admit);
        }
    }
    // Ten seconds at the limit, and one burst.
    assert!((590..=660 + hosts).contains(&admitted), "{admitted}");
}

#[rstest]
fn retry_budget_is_a_tenth_of_the_requests_plus_a_few() {
    let mut budget = retry::RetryBudget::new();
    let mut retried = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retried += u32::from(budget.try_spend());
    }
    assert!((100..=103).contains(&retried), "{retried}");
}

#[rstest]
fn cascade_starts_at_the_strong_model_if_the_cheap_one_fails() {
    let kind = cascade::RequestKind {
        organisation: name("org"),
        cascade: name("chat"),
        class: Arc::from("draft"),
    };
    let stages = [
        cascade::StageInfo { cost_microcents_per_kilotoken: 20, answer_ms: 100 },
        cascade::StageInfo { cost_microcents_per_kilotoken: 100, answer_ms: 400 },
    ];
    let mut selector = cascade::StageSelector::new();
    assert_eq!(selector.select_start(&kind, &stages, 10_000), 0);
    assert_eq!(selector.select_start(&kind, &stages, 450), 1, "two calls would miss the deadline");
    for _ in 0..100 {
        selector.record_rating(&kind, 0, false);
    }
    assert_eq!(selector.select_start(&kind, &stages, 10_000), 1);
}

#[rstest]
#[case::bad_version(4, sequential_test::Verdict::Stop)]
#[case::good_version(100, sequential_test::Verdict::Advance)]
fn sequential_test_distinguishes_bad_from_good_versions(
    #[case] bad_interval: u64,
    #[case] expected: sequential_test::Verdict,
) {
    let plan = sequential_test::Plan {
        good_rate: 0.02,
        bad_rate: 0.1,
        false_stop_rate: 0.01,
        false_advance_rate: 0.01,
    };
    let mut evidence = sequential_test::Evidence::default();
    while evidence.evaluate(plan) == sequential_test::Verdict::Continue {
        evidence.add(evidence.answers % bad_interval == 0);
        assert!(evidence.answers < 1_000, "the test reaches a verdict");
    }
    assert_eq!(evidence.evaluate(plan), expected);
}
