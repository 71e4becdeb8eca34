//! Decisions under overload, tested against a small simulated pool of engines.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_policy::admission;
use toucanwall_policy::escalation;
use toucanwall_policy::forecast;
use toucanwall_policy::placement;
use toucanwall_policy::retry_quota;
use toucanwall_routing::generation;
use toucanwall_routing::name;
use toucanwall_routing::server;

const TARGET_LATENCY_MS: u64 = 1_500;
const PROMPT_TOKENS: u64 = 4_000;
/// Prompt tokens that an engine with the smallest model reads per millisecond.
const TOKENS_PER_MS: u64 = 200;
/// Cost of a token with the large model relative to the small one, in percent.
const LARGE_MODEL_COST_PERCENT: u64 = 1_000;
const ENGINES: usize = 4;

/// Engines that read one prompt at a time.
struct Pool {
    /// When each engine has read all prompts that were sent to it.
    free_at_ms: [u64; ENGINES],
}

impl Pool {
    /// Queues a prompt at an engine; returns the time of the answer's first byte.
    fn read_prompt(&mut self, engine: usize, cost_percent: u64, now_ms: u64) -> u64 {
        let work_ms = PROMPT_TOKENS * cost_percent / 100 / TOKENS_PER_MS;
        let start_ms = self.free_at_ms[engine].max(now_ms);
        self.free_at_ms[engine] = start_ms + work_ms;
        self.free_at_ms[engine]
    }

    fn next_free_engine(&self) -> usize {
        (0..ENGINES).min_by_key(|engine| self.free_at_ms[*engine]).unwrap_or(0)
    }
}

fn models() -> [name::ModelName; 2] {
    ["small", "large"].map(name::ModelName::from)
}

/// Escalates every answer of low confidence, however busy the pool is.
fn escalates_if_unconfident(answer: escalation::ModelAnswer<'_>) -> bool {
    answer.confidence_percent.is_some_and(|percent| percent < 50)
}

fn escalates_by_policy(answer: escalation::ModelAnswer<'_>) -> bool {
    escalation::escalation_target(answer).is_some()
}

/// Number of answers in time if `requests_per_s` requests arrive each second for twenty seconds.
fn answers_in_time(requests_per_s: u64, escalates: fn(escalation::ModelAnswer<'_>) -> bool) -> u64 {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let mut pool = Pool { free_at_ms: [0; ENGINES] };
    let mut forecast = forecast::Forecast::new();
    let mut observations: collections::BTreeMap<u64, Vec<(u64, u64)>> =
        collections::BTreeMap::new();
    let models = models();
    let mut in_time = 0;
    for request in 0..requests_per_s * 20 {
        let now_ms = request * 1_000 / requests_per_s;
        let due_ms =
            observations.keys().copied().take_while(|at_ms| *at_ms <= now_ms).collect::<Vec<_>>();
        for at_ms in due_ms {
            for (units, latency_ms) in observations.remove(&at_ms).unwrap_or_default() {
                forecast.record(units, latency_ms, at_ms);
            }
        }
        let small_first_byte_ms = pool.read_prompt(pool.next_free_engine(), 100, now_ms);
        let engine = pool.next_free_engine();
        let wait_ms = pool.free_at_ms[engine].saturating_sub(now_ms);
        let units = wait_ms * TOKENS_PER_MS + PROMPT_TOKENS * LARGE_MODEL_COST_PERCENT / 100;
        let expected_ms = forecast.predict_ms(units, now_ms);
        let answer = escalation::ModelAnswer {
            models: &models,
            model: &models[0],
            confidence_percent: Some(rng.random_range(0..100)),
            elapsed_ms: small_first_byte_ms - now_ms,
            expected_ms,
            expected_rest_ms: None,
            remaining_ms: u64::MAX,
            target_latency_ms: TARGET_LATENCY_MS,
        };
        let first_byte_ms = if escalates(answer) {
            let large_first_byte_ms =
                pool.read_prompt(engine, LARGE_MODEL_COST_PERCENT, small_first_byte_ms);
            observations
                .entry(large_first_byte_ms)
                .or_default()
                .push((units, large_first_byte_ms - small_first_byte_ms));
            large_first_byte_ms
        } else {
            small_first_byte_ms
        };
        in_time += u64::from(first_byte_ms <= now_ms + TARGET_LATENCY_MS);
    }
    in_time
}

/// The small model's answers call for twice as many escalations as the pool has capacity for.
#[rstest]
fn requests_are_escalated_only_if_the_pool_can_answer_in_time() {
    let (naive_count, policy_count) =
        (answers_in_time(80, escalates_if_unconfident), answers_in_time(80, escalates_by_policy));
    assert!(
        policy_count * 2 > naive_count * 3,
        "answers in time: {policy_count}, without regard to load: {naive_count}"
    );
}

#[rstest]
fn all_requests_are_escalated_if_the_pool_has_spare_capacity() {
    assert_eq!(
        answers_in_time(15, escalates_by_policy),
        answers_in_time(15, escalates_if_unconfident)
    );
}

#[rstest]
fn forecast_expires_without_new_answers() {
    let mut forecast = forecast::Forecast::new();
    for at_ms in 0..50 {
        forecast.record(1_000, 100, at_ms);
    }
    assert_eq!(forecast.predict_ms(2_000, 100), Some(200));
    assert_eq!(forecast.predict_ms(2_000, 10_000), None);
}

fn servers(count: u16) -> Vec<Arc<server::BackendServer>> {
    (0..count)
        .map(|number| {
            Arc::new(server::BackendServer {
                id: format!("s-{number}").into(),
                service: "engines".into(),
                address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 9_000 + number)),
                data_centre: "dc".into(),
                version: "v1".into(),
                slots: 8,
                readiness: server::Readiness::Ready,
                started_unix_ms: None,
            })
        })
        .collect()
}

fn generation_request(shared_id: u64, own_id: u64) -> generation::GenerationRequest {
    let part = |id, tokens| generation::PromptPart { id, tokens };
    generation::GenerationRequest {
        prompt_tokens: 5_000,
        parts: vec![part(shared_id, 4_000), part(own_id, 1_000)],
        ..generation::GenerationRequest::default()
    }
}

fn choose(
    placement: &placement::Placement,
    generation: &generation::GenerationRequest,
    servers: &[Arc<server::BackendServer>],
    seed: u64,
) -> Option<Arc<server::BackendServer>> {
    let data_centre = name::DataCentre::from("dc");
    let request = placement::Request {
        generation: Some(generation),
        data_centre: &data_centre,
        in_flight_max: 100,
        relative_cost_percent: 100,
    };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    match placement.choose(request, servers, &collections::BTreeSet::new(), 0, &mut rng) {
        placement::Choice::Server { server, .. } => Some(server),
        placement::Choice::Full | placement::Choice::NoServer => None,
    }
}

/// All hosts send prompts that share a part to the same engine, without coordination.
#[rstest]
fn hosts_agree_on_the_engine_for_a_shared_part() {
    let servers = servers(12);
    for shared_id in 0..50 {
        let chosen: collections::BTreeSet<_> = (0..6)
            .map(|host| {
                let placement = placement::Placement::new();
                let generation = generation_request(shared_id, 1_000 + host);
                choose(&placement, &generation, &servers, host).map(|server| server.id.clone())
            })
            .collect();
        assert_eq!(chosen.len(), 1, "{chosen:?}");
    }
}

/// One shared part gets all the traffic, so that its engine becomes busy.
#[rstest]
fn hot_part_spreads_once_waiting_costs_more_than_reading_it_again() {
    let servers = servers(12);
    let mut placement = placement::Placement::new();
    let data_centre = name::DataCentre::from("dc");
    let mut used = collections::BTreeSet::new();
    for number in 0..60 {
        let generation = generation_request(7, 1_000 + number);
        let chosen = choose(&placement, &generation, &servers, number).expect("a suitable server");
        let request = placement::Request {
            generation: Some(&generation),
            data_centre: &data_centre,
            in_flight_max: 100,
            relative_cost_percent: 100,
        };
        placement.record_start(&chosen.id, request, 0);
        used.insert(chosen.id.clone());
    }
    assert!(used.len() >= 8, "{used:?}");
}

/// If every request fails at all hosts, the sum of their retries stays within the platform's
/// budget.
#[rstest]
#[case::few_hosts(6)]
#[case::many_hosts(89)]
#[case::one_request_per_host_in_three_seconds(300)]
fn retries_of_all_hosts_stay_within_the_budget(#[case] hosts: u64) {
    let limits = retry_quota::RetryLimits { ratio: 0.9, allowance: 52, window_ms: 10_000 };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(hosts);
    let mut quotas: Vec<_> =
        (0..hosts).map(|_| retry_quota::RetryQuota::new(limits, &mut rng)).collect();
    let mut retried_at_ms = Vec::new();
    let mut requested_at_ms = Vec::new();
    for now_ms in (0..30_000).step_by(10) {
        let quota = &mut quotas[usize::try_from(now_ms / 10 % hosts).unwrap_or(0)];
        quota.record_request(hosts, now_ms);
        requested_at_ms.push(now_ms);
        for _ in 0..3 {
            if quota.try_take(hosts, now_ms) {
                retried_at_ms.push(now_ms);
            }
        }
    }
    for end_ms in (0..30_000_u64).step_by(500) {
        let in_window = |at: &&u64| **at <= end_ms && **at + 10_000 > end_ms;
        let retries = retried_at_ms.iter().filter(in_window).count();
        let requests = requested_at_ms.iter().filter(in_window).count();
        assert!(retries * 10 <= requests * 9 + 520, "{retries} retries of {requests} requests");
    }
    assert!(retried_at_ms.len() > 1_000, "the budget allows retries: {}", retried_at_ms.len());
}

/// Forty requests per second are spread over the hosts, and half of them call for an escalation:
/// the part of the escalations that is allowed must not shrink as the number of hosts grows.
#[rstest]
#[case::few_hosts(6)]
#[case::one_request_per_host_in_two_seconds(89)]
#[case::one_request_per_host_in_seven_seconds(300)]
fn allowed_escalations_do_not_depend_on_the_number_of_hosts(#[case] hosts: u64) {
    let limits = retry_quota::RetryLimits { ratio: 0.9, allowance: 52, window_ms: 10_000 };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut quotas: Vec<_> =
        (0..hosts).map(|_| retry_quota::RetryQuota::new(limits, &mut rng)).collect();
    let (mut wanted, mut allowed) = (0_u64, 0_u64);
    for now_ms in (0..60_000).step_by(25) {
        let quota = &mut quotas[rng.random_range(0..usize::try_from(hosts).unwrap_or(1))];
        quota.record_request(hosts, now_ms);
        if rng.random_bool(0.5) {
            wanted += 1;
            allowed += u64::from(
                quota.escalation_retries(hosts, now_ms) > 0 && quota.try_take(hosts, now_ms),
            );
        }
    }
    assert!(allowed * 100 >= wanted * 60, "{allowed} of {wanted} escalations allowed");
}

/// Twice as many requests arrive as the pool can read, and callers wait three seconds at most.
#[rstest]
fn request_that_cannot_be_answered_in_time_is_refused_at_once() {
    const REMAINING_MS: u64 = 3_000;
    const REQUESTS: u64 = 400;
    const INTERVAL_MS: u64 = 25;

    let mut in_time = [0_u64; 2];
    let mut longest_wait_ms = 0;
    for (uses_forecast, in_time) in [false, true].into_iter().zip(&mut in_time) {
        let mut pool = Pool { free_at_ms: [0; ENGINES] };
        let mut forecast = forecast::Forecast::new();
        for request in 0..REQUESTS {
            let now_ms = request * INTERVAL_MS;
            let engine = pool.next_free_engine();
            let wait_ms = pool.free_at_ms[engine].saturating_sub(now_ms);
            let units = wait_ms * TOKENS_PER_MS + PROMPT_TOKENS * LARGE_MODEL_COST_PERCENT / 100;
            let expected_ms = uses_forecast.then(|| forecast.predict_ms(units, now_ms)).flatten();
            if admission::decide(expected_ms, REMAINING_MS) != admission::Decision::Admit {
                continue;
            }
            let first_byte_ms = pool.read_prompt(engine, LARGE_MODEL_COST_PERCENT, now_ms) - now_ms;
            forecast.record(units, first_byte_ms, now_ms);
            *in_time += u64::from(first_byte_ms <= REMAINING_MS);
            if uses_forecast {
                longest_wait_ms = longest_wait_ms.max(first_byte_ms);
            }
        }
    }
    let [without_refusals, with_refusals] = in_time;
    assert!(
        with_refusals * 2 > without_refusals * 3,
        "answers in time: {with_refusals}, without refusals: {without_refusals}"
    );
    assert!(longest_wait_ms <= REMAINING_MS, "an answer took {longest_wait_ms} ms");
}

#[rstest]
#[case::no_forecast(None, 1_000, admission::Decision::Admit)]
#[case::in_time(Some(900), 1_000, admission::Decision::Admit)]
#[case::late(Some(2_500), 1_000, admission::Decision::Refuse { retry_after_ms: 1_500 })]
#[case::slightly_late(Some(1_001), 1_000, admission::Decision::Refuse { retry_after_ms: 300 })]
fn refusal_states_when_to_retry(
    #[case] expected_ms: Option<u64>,
    #[case] remaining_ms: u64,
    #[case] decision: admission::Decision,
) {
    assert_eq!(admission::decide(expected_ms, remaining_ms), decision);
}

/// A faulty server may report any load.
#[rstest]
fn server_that_reports_the_largest_load_is_the_last_choice() {
    let servers = servers(2);
    let generation = generation_request(1, 2);
    let mut placement = placement::Placement::new();
    placement.record_load(&servers[0].id, u32::MAX, u32::MAX, None, 0);
    for seed in 0..20 {
        let chosen = choose(&placement, &generation, &servers, seed);
        assert_eq!(chosen.map(|it| it.id.clone()), Some(servers[1].id.clone()));
    }
}

/// A caller may state any number of tokens.
#[rstest]
fn request_that_states_the_largest_prompt_is_placed() {
    let servers = servers(2);
    let part = |id| generation::PromptPart { id, tokens: u64::MAX };
    let generation = generation::GenerationRequest {
        prompt_tokens: u64::MAX,
        parts: vec![part(1), part(2), part(3)],
        ..generation::GenerationRequest::default()
    };
    let data_centre = name::DataCentre::from("dc");
    let request = placement::Request {
        generation: Some(&generation),
        data_centre: &data_centre,
        in_flight_max: 100,
        relative_cost_percent: 1_000,
    };
    let mut placement = placement::Placement::new();
    for _ in 0..3 {
        let chosen = choose(&placement, &generation, &servers, 1).expect("a server");
        placement.record_start(&chosen.id, request, 0);
    }
}
