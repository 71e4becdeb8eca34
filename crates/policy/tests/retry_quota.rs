//! Shares of the retry budget while hosts come and go.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_policy::retry_quota;

const LIMITS: retry_quota::RetryLimits =
    retry_quota::RetryLimits { ratio: 0.0, allowance: 52, window_ms: 10_000 };
const HOSTS: u64 = 6;

/// Takes as many retries as the quota allows.
fn take_all(quota: &mut retry_quota::RetryQuota, hosts: u64, now_ms: u64) -> u64 {
    let mut taken = 0;
    while quota.try_take(hosts, now_ms) {
        taken += 1;
    }
    taken
}

#[rstest]
fn retries_stay_within_the_budget_when_hosts_are_lost() {
    for lost in 1..HOSTS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(lost);
        let new_quota = |_| retry_quota::RetryQuota::new(LIMITS, &mut rng);
        let mut quotas: Vec<_> = (0..HOSTS).map(new_quota).collect();
        let mut taken = 0;
        for quota in &mut quotas {
            taken += take_all(quota, HOSTS, 20_000);
        }
        // The entries of the lost hosts are removed within the window.
        let remaining = HOSTS - lost;
        for quota in quotas.iter_mut().take(usize::try_from(remaining).expect("a small number")) {
            taken += take_all(quota, remaining, 25_000);
        }
        assert!(taken <= LIMITS.allowance, "{taken} retries, {lost} hosts lost");
        // Afterwards the remaining hosts share the whole budget.
        let mut taken = 0;
        for quota in quotas.iter_mut().take(usize::try_from(remaining).expect("a small number")) {
            taken += take_all(quota, remaining, 50_000);
        }
        assert!((LIMITS.allowance / 2..=LIMITS.allowance).contains(&taken), "{taken} retries");
    }
}

const STARTING_LIMITS: retry_quota::RetryLimits =
    retry_quota::RetryLimits { ratio: 0.9, allowance: 52, window_ms: 10_000 };

/// How the processes of the hosts start.
#[derive(Debug, Clone, Copy)]
enum Start {
    /// Each host knows only itself for some seconds.
    Alone,
    /// All processes start again at the same moment, and again some seconds later.
    Again,
    /// The processes start again one after the other, one each second.
    InTurn,
}

/// Processes of hosts start with callers there at once, and every request fails. A process keeps
/// nothing of its former run, so it does not know what that run or the other hosts have used.
#[rstest]
fn retries_stay_within_the_budget_while_processes_start(
    #[values(Start::Alone, Start::Again, Start::InTurn)] start: Start,
    #[values(2, 8, 31)] requests_per_s: u64,
    #[values(6, 24)] hosts: u64,
) {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(hosts);
    let mut quotas: Vec<_> =
        (0..hosts).map(|_| (0, retry_quota::RetryQuota::new(STARTING_LIMITS, &mut rng))).collect();
    let (mut requested_at_ms, mut retried_at_ms) = (Vec::new(), Vec::new());
    for now_ms in (0..40_000).step_by(10) {
        for (index, (started_ms, quota)) in (0..).zip(&mut quotas) {
            let starts_again = match start {
                Start::Alone => false,
                Start::Again => [15_000, 18_000].contains(&now_ms),
                Start::InTurn => now_ms == 15_000 + index * 1_000,
            };
            if starts_again {
                *started_ms = now_ms;
                *quota = retry_quota::RetryQuota::new(STARTING_LIMITS, &mut rng);
            }
        }
        if now_ms % (1_000 / requests_per_s / 10 * 10) != 0 {
            continue;
        }
        requested_at_ms.push(now_ms);
        let index = rng.random_range(0..quotas.len());
        let (started_ms, quota) = &mut quotas[index];
        let is_alone = matches!(start, Start::Alone) && now_ms < 3_000;
        let known_hosts = if is_alone { 1 } else { hosts };
        quota.record_request(known_hosts, now_ms - *started_ms);
        for _ in 0..3 {
            if quota.try_take(known_hosts, now_ms - *started_ms) {
                retried_at_ms.push(now_ms);
            }
        }
    }
    let in_window = |times: &[u64], end_ms: u64| {
        times
            .iter()
            .filter(|at| **at <= end_ms && **at + STARTING_LIMITS.window_ms > end_ms)
            .count()
    };
    for end_ms in (0..40_000_u64).step_by(250) {
        let retries = in_window(&retried_at_ms, end_ms);
        let requests = [0, 5_000, 10_000]
            .map(|earlier_ms| in_window(&requested_at_ms, end_ms.saturating_sub(earlier_ms)));
        let requests = requests.into_iter().max().unwrap_or(0);
        let allowed = requests * 9 / 10 + usize::try_from(STARTING_LIMITS.allowance).unwrap_or(0);
        assert!(retries <= allowed, "{retries} retries of {requests} requests at {end_ms} ms");
    }
}
