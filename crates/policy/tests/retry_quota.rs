//! Shares of the retry budget while hosts come and go.

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
