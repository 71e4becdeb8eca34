//! Decisions under load, replayed against a small emulated pool of engines.

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

const TARGET_MS: u64 = 1_500;
const PROMPT_TOKENS: u64 = 4_000;
/// Prompt tokens that an engine reads in a millisecond with the smallest model.
const TOKENS_PER_MS: u64 = 200;
const LARGE_WEIGHT_PERCENT: u64 = 1_000;
const ENGINES: usize = 4;

/// Engines that read prompts one after the other; each entry is when the engine is free again.
struct Pool {
    free_at_ms: [u64; ENGINES],
}

impl Pool {
    /// Reads a prompt; returns when its first byte comes.
    fn read(&mut self, engine: usize, weight_percent: u64, now_ms: u64) -> u64 {
        let work_ms = PROMPT_TOKENS * weight_percent / 100 / TOKENS_PER_MS;
        let start_ms = self.free_at_ms[engine].max(now_ms);
        self.free_at_ms[engine] = start_ms + work_ms;
        self.free_at_ms[engine]
    }

    fn shortest(&self) -> usize {
        (0..ENGINES).min_by_key(|engine| self.free_at_ms[*engine]).unwrap_or(0)
    }
}

fn models() -> [name::ModelName; 2] {
    ["small", "large"].map(name::ModelName::from)
}

/// Asks the large model whenever the small one doubts its answer.
fn naive(step: escalation::ModelAnswer<'_>) -> bool {
    step.confidence_percent.is_some_and(|percent| percent < 50)
}

fn in_use(step: escalation::ModelAnswer<'_>) -> bool {
    escalation::escalation_target(step).is_some()
}

/// Answers in time out of a second's worth of requests each second, for twenty seconds.
fn answers_in_time(
    requests_per_s: u64,
    asks_large: fn(escalation::ModelAnswer<'_>) -> bool,
) -> u64 {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let mut pool = Pool { free_at_ms: [0; ENGINES] };
    let mut forecast = forecast::Forecast::new();
    let mut learns: collections::BTreeMap<u64, Vec<(u64, u64)>> = collections::BTreeMap::new();
    let models = models();
    let mut in_time = 0;
    for request in 0..requests_per_s * 20 {
        let now_ms = request * 1_000 / requests_per_s;
        let due = learns.keys().copied().take_while(|at| *at <= now_ms).collect::<Vec<_>>();
        for at_ms in due {
            for (units, took_ms) in learns.remove(&at_ms).unwrap_or_default() {
                forecast.record(units, took_ms, at_ms);
            }
        }
        let small_ms = pool.read(pool.shortest(), 100, now_ms);
        let engine = pool.shortest();
        let wait_ms = pool.free_at_ms[engine].saturating_sub(now_ms);
        let units = wait_ms * TOKENS_PER_MS + PROMPT_TOKENS * LARGE_WEIGHT_PERCENT / 100;
        let expected_ms = forecast.predict_ms(units, now_ms);
        let step = escalation::ModelAnswer {
            models: &models,
            model: &models[0],
            confidence_percent: Some(rng.random_range(0..100)),
            elapsed_ms: small_ms - now_ms,
            expected_ms,
            target_latency_ms: TARGET_MS,
        };
        let first_byte_ms = if asks_large(step) {
            let large_ms = pool.read(engine, LARGE_WEIGHT_PERCENT, small_ms);
            learns.entry(large_ms).or_default().push((units, large_ms - small_ms));
            large_ms
        } else {
            small_ms
        };
        in_time += u64::from(first_byte_ms <= now_ms + TARGET_MS);
    }
    in_time
}

/// Twice as many second runs are wanted as the pool can make.
#[rstest]
fn a_pool_under_pressure_is_asked_for_what_it_can_answer_in_time() {
    let (naive, in_use) = (answers_in_time(80, naive), answers_in_time(80, in_use));
    assert!(in_use * 2 > naive * 3, "in time: {in_use}, with the naive rule {naive}");
}

#[rstest]
fn a_pool_with_room_is_asked_as_before() {
    assert_eq!(answers_in_time(15, in_use), answers_in_time(15, naive));
}

#[rstest]
fn what_was_learned_is_forgotten_when_nothing_is_heard() {
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

fn generation(shared: u64, own: u64) -> generation::GenerationRequest {
    let part = |id, tokens| generation::PromptPart { id, tokens };
    generation::GenerationRequest {
        prompt_tokens: 5_000,
        parts: vec![part(shared, 4_000), part(own, 1_000)],
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
    let job = placement::Request {
        generation: Some(generation),
        data_centre: &data_centre,
        in_flight_max: 100,
        relative_cost_percent: 100,
    };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    match placement.choose(job, servers, &collections::BTreeSet::new(), 0, &mut rng) {
        placement::Choice::Server { server, .. } => Some(server),
        placement::Choice::Full | placement::Choice::NoServer => None,
    }
}

/// All hosts send prompts that share a part to the same engine, without telling each other.
#[rstest]
fn hosts_agree_on_the_engine_that_keeps_a_shared_part() {
    let servers = servers(12);
    for shared in 0..50 {
        let chosen: collections::BTreeSet<_> = (0..6)
            .map(|host| {
                let placement = placement::Placement::new();
                let generation = generation(shared, 1_000 + host);
                choose(&placement, &generation, &servers, host).map(|server| server.id.clone())
            })
            .collect();
        assert_eq!(chosen.len(), 1, "{chosen:?}");
    }
}

/// One shared part gets much of the traffic.
#[rstest]
fn a_hot_part_spreads_once_its_engine_is_busier_than_reading_costs() {
    let servers = servers(12);
    let mut placement = placement::Placement::new();
    let data_centre = name::DataCentre::from("dc");
    let mut used = collections::BTreeSet::new();
    for request in 0..60 {
        let generation = generation(7, 1_000 + request);
        let chosen = choose(&placement, &generation, &servers, request).expect("a server");
        let job = placement::Request {
            generation: Some(&generation),
            data_centre: &data_centre,
            in_flight_max: 100,
            relative_cost_percent: 100,
        };
        placement.record_start(&chosen.id, job, 0);
        used.insert(chosen.id.clone());
    }
    assert!(used.len() >= 8, "{used:?}");
}

/// Every request fails, on all hosts: the sum of repeats stays within the platform's budget.
#[rstest]
#[case::few_hosts(6)]
#[case::many_hosts(89)]
#[case::hosts_with_a_request_in_three_seconds(300)]
fn repeats_of_all_hosts_stay_within_the_budget(#[case] hosts: u64) {
    let allowance = retry_quota::RetryLimits { ratio: 0.9, allowance: 52, window_ms: 10_000 };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(hosts);
    let mut budgets: Vec<_> =
        (0..hosts).map(|_| retry_quota::RetryQuota::new(allowance, &mut rng)).collect();
    let mut repeated_at_ms = Vec::new();
    let mut requested_at_ms = Vec::new();
    for now_ms in (0..30_000).step_by(10) {
        let budget = &mut budgets[usize::try_from(now_ms / 10 % hosts).unwrap_or(0)];
        budget.record_request(now_ms);
        requested_at_ms.push(now_ms);
        for _ in 0..3 {
            if budget.try_take(hosts, now_ms) {
                repeated_at_ms.push(now_ms);
            }
        }
    }
    for end_ms in (0..30_000_u64).step_by(500) {
        let within = |at: &&u64| **at <= end_ms && **at + 10_000 > end_ms;
        let repeats = repeated_at_ms.iter().filter(within).count();
        let requests = requested_at_ms.iter().filter(within).count();
        assert!(repeats * 10 <= requests * 9 + 520, "{repeats} repeats of {requests} requests");
    }
    assert!(repeated_at_ms.len() > 1_000, "the budget is of use: {}", repeated_at_ms.len());
}

/// A second's worth of forty requests spread over more and more hosts, of which half are doubted: the
/// part of second runs that is made.
#[rstest]
#[case::few_hosts(6)]
#[case::hosts_with_half_a_request_a_second(89)]
#[case::hosts_with_a_request_in_seven_seconds(300)]
fn second_runs_do_not_depend_on_the_number_of_hosts(#[case] hosts: u64) {
    let allowance = retry_quota::RetryLimits { ratio: 0.9, allowance: 52, window_ms: 10_000 };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
    let mut budgets: Vec<_> =
        (0..hosts).map(|_| retry_quota::RetryQuota::new(allowance, &mut rng)).collect();
    let (mut doubted, mut made) = (0_u64, 0_u64);
    for now_ms in (0..60_000).step_by(25) {
        let budget = &mut budgets[rng.random_range(0..usize::try_from(hosts).unwrap_or(1))];
        budget.record_request(now_ms);
        if rng.random_bool(0.5) {
            doubted += 1;
            made += u64::from(
                budget.remaining_optional(hosts, now_ms) > 0 && budget.try_take(hosts, now_ms),
            );
        }
    }
    assert!(made * 100 >= doubted * 60, "{made} second runs of {doubted}");
}

/// Requests that wait three seconds at most, twice as many as the pool can read.
#[rstest]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    const LEFT_MS: u64 = 3_000;
    const REQUESTS: u64 = 400;
    const GAP_MS: u64 = 25;

    let mut served = [0_u64; 2];
    let mut longest_wait_ms = 0;
    for (uses_forecast, served) in [false, true].into_iter().zip(&mut served) {
        let mut pool = Pool { free_at_ms: [0; ENGINES] };
        let mut forecast = forecast::Forecast::new();
        for request in 0..REQUESTS {
            let now_ms = request * GAP_MS;
            let engine = pool.shortest();
            let wait_ms = pool.free_at_ms[engine].saturating_sub(now_ms);
            let units = wait_ms * TOKENS_PER_MS + PROMPT_TOKENS * LARGE_WEIGHT_PERCENT / 100;
            let expected_ms = uses_forecast.then(|| forecast.predict_ms(units, now_ms)).flatten();
            if admission::decide(expected_ms, LEFT_MS) != admission::Decision::Admit {
                continue;
            }
            let first_byte_ms = pool.read(engine, LARGE_WEIGHT_PERCENT, now_ms) - now_ms;
            forecast.record(units, first_byte_ms, now_ms);
            *served += u64::from(first_byte_ms <= LEFT_MS);
            if uses_forecast {
                longest_wait_ms = longest_wait_ms.max(first_byte_ms);
            }
        }
    }
    let [naive, refusing] = served;
    assert!(refusing * 2 > naive * 3, "in time: {refusing}, without refusals {naive}");
    assert!(longest_wait_ms <= LEFT_MS, "one waited {longest_wait_ms} ms in vain");
}

#[rstest]
#[case::unknown(None, 1_000, admission::Decision::Admit)]
#[case::in_time(Some(900), 1_000, admission::Decision::Admit)]
#[case::late(Some(2_500), 1_000, admission::Decision::Refuse { retry_after_ms: 1_500 })]
#[case::just_late(Some(1_001), 1_000, admission::Decision::Refuse { retry_after_ms: 300 })]
fn a_refusal_says_when_to_come_back(
    #[case] expected_ms: Option<u64>,
    #[case] left_ms: u64,
    #[case] verdict: admission::Decision,
) {
    assert_eq!(admission::decide(expected_ms, left_ms), verdict);
}
