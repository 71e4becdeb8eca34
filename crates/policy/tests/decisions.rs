//! Decisions of the policy, each on its own.

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
    name::Name::try_from(text).expect("a name")
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
fn a_share_that_grows_draws_sessions_to_its_own_version_only() {
    let (before, after) = (model(&[("1", 90), ("2", 10)]), model(&[("1", 70), ("2", 30)]));
    let organisation = organisation();
    let mut on_new = 0;
    for session in 0..10_000 {
        let pick =
            |model| version_choice::select(&name("model"), model, &organisation, session).cloned();
        let (then, now) = (pick(&before), pick(&after));
        assert!(then == now || now == Some(name("2")), "session {session}");
        on_new += u32::from(now == Some(name("2")));
    }
    assert!((2_800..3_200).contains(&on_new), "{on_new}");
}

#[rstest]
fn two_different_crashes_convict_and_a_success_clears() {
    let mut poison = poison::PoisonTracker::new();
    assert_eq!(poison.record_crash(7, server(1), 0), poison::Status::Suspect);
    assert_eq!(poison.record_crash(7, server(1), 1), poison::Status::Suspect);
    assert!(poison.try_start(7) && !poison.try_start(7), "a suspect runs alone");
    assert_eq!(poison.record_crash(7, server(2), 2), poison::Status::Blocked);
    poison.record_success(7);
    assert_eq!(poison.status(7, 3), poison::Status::Blocked);
    assert_eq!(poison.status(7, 3 + poison::RECORD_TTL_MS), poison::Status::Clear);
    poison.record_crash(8, server(1), 0);
    poison.record_success(8);
    assert_eq!(poison.status(8, 1), poison::Status::Clear);
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
    let wanted = balance::Request {
        pool: "pool",
        item: None,
        prefix_hash: None,
        slots: 8,
        excluded: &excluded,
    };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        let choice = balancer.choose(wanted, 1, &mut rng);
        assert!(matches!(choice, balance::Choice::Server(address) if address != server(4)));
    }
}

#[rstest]
#[case::one(1)]
#[case::six(6)]
fn a_limit_holds_over_the_hosts(#[case] hosts: u64) {
    let mut limits: Vec<limit::RateLimiter> =
        (0..hosts).map(|_| limit::RateLimiter::new()).collect();
    let mut admitted = 0_u64;
    for now_ms in 0..10_000 {
        for host in &mut limits {
            let verdict = host.try_acquire(&name("org"), 60, hosts, now_ms);
            admitted += u64::from(verdict == limit::Decision::Admit);
        }
    }
    // Ten seconds at the limit and one burst.
    assert!((590..=660 + hosts).contains(&admitted), "{admitted}");
}

#[rstest]
fn retries_are_a_tenth_of_the_requests_and_a_few() {
    let mut budget = retry::RetryBudget::new();
    let mut retried = 0;
    for _ in 0..1_000 {
        budget.record_request();
        retried += u32::from(budget.try_spend());
    }
    assert!((100..=103).contains(&retried), "{retried}");
}

#[rstest]
fn a_cascade_goes_straight_to_the_strong_model_where_the_cheap_one_fails() {
    let kind = cascade::RequestKind {
        organisation: name("org"),
        cascade: name("chat"),
        class: Arc::from("draft"),
    };
    let stages = [
        cascade::StageInfo { cost_microcents_per_kilotoken: 20, answer_ms: 100 },
        cascade::StageInfo { cost_microcents_per_kilotoken: 100, answer_ms: 400 },
    ];
    let mut cascades = cascade::StageSelector::new();
    assert_eq!(cascades.select_start(&kind, &stages, 10_000), 0);
    assert_eq!(cascades.select_start(&kind, &stages, 450), 1, "two calls would come too late");
    for _ in 0..100 {
        cascades.record_rating(&kind, 0, false);
    }
    assert_eq!(cascades.select_start(&kind, &stages, 10_000), 1);
}

#[rstest]
#[case::bad(4, sequential_test::Verdict::Stop)]
#[case::good(100, sequential_test::Verdict::Advance)]
fn the_sequential_test_tells_a_bad_version_from_a_good_one(
    #[case] bad_every: u64,
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
        evidence.add(evidence.answers % bad_every == 0);
        assert!(evidence.answers < 1_000, "the test comes to an end");
    }
    assert_eq!(evidence.evaluate(plan), expected);
}
