//! Roll-outs: a sequential test compared with fixed steps and an error threshold.

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::sequential_test;

/// Number of roll-outs of a good version in one run, and of a bad one.
const ROLLOUTS: u32 = 400;
/// Number of answers, of either version, after which a roll-out ends if it was not stopped.
const MAX_ANSWERS: u64 = 5_000;
/// Share of the new version at each step of a roll-out, in percent.
const STEPS_PERCENT: [u32; 4] = [5, 25, 50, 100];
/// Number of answers of the new version that are evaluated at each fixed step.
const WINDOW: u64 = 200;
/// Bad answers of a good version, per thousand.
const GOOD_PER_MILLE: u32 = 20;
/// Bad answers of a bad version, per thousand.
const BAD_PER_MILLE: u32 = 100;

const PLAN: sequential_test::Plan = sequential_test::Plan {
    good_rate: 0.02,
    bad_rate: 0.1,
    false_stop_rate: 0.001,
    false_advance_rate: 0.005,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Fixed steps; stops if at least 5 % of the answers in a window are bad.
    FixedSteps,
    Sequential,
}

/// Prints the bad answers and the wrong verdicts of each strategy as a table.
pub fn run(seeds: u64) {
    println!(
        "| strategy | bad answers before the stop (mean) | bad versions not stopped, % | good versions stopped, % |"
    );
    println!("| --- | --: | --: | --: |");
    for strategy in [Strategy::FixedSteps, Strategy::Sequential] {
        let runs: Vec<[f64; 3]> = (1..=seeds).map(|seed| simulate(strategy, seed)).collect();
        let column =
            |index: usize| super::median_and_range(runs.iter().map(|run| run[index]).collect());
        println!("| {strategy:?} | {} | {} | {} |", column(0), column(1), column(2));
    }
}

/// Simulates one run; returns the mean number of bad answers before a stop, and the percentages of
/// bad versions not stopped and of good versions stopped.
fn simulate(strategy: Strategy, seed: u64) -> [f64; 3] {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let (mut bad_answers, mut missed, mut false_stops) = (0, 0, 0);
    for _ in 0..ROLLOUTS {
        let (bad, is_stopped) = simulate_rollout(strategy, BAD_PER_MILLE, &mut rng);
        bad_answers += bad;
        missed += u32::from(!is_stopped);
        let (_, is_stopped) = simulate_rollout(strategy, GOOD_PER_MILLE, &mut rng);
        false_stops += u32::from(is_stopped);
    }
    let percent = |count: u32| f64::from(count) * 100.0 / f64::from(ROLLOUTS);
    [f64::from(bad_answers) / f64::from(ROLLOUTS), percent(missed), percent(false_stops)]
}

/// Runs one roll-out; returns the bad answers that reached callers and whether it was stopped.
fn simulate_rollout<R>(strategy: Strategy, bad_per_mille: u32, rng: &mut R) -> (u32, bool)
where
    R: rand::Rng,
{
    let mut bad_answers = 0;
    let mut step = 0;
    let mut evidence = sequential_test::Evidence::default();
    for _ in 0..MAX_ANSWERS {
        if rng.random_range(0..100) >= STEPS_PERCENT[step] {
            continue;
        }
        let is_bad = rng.random_range(0..1_000) < bad_per_mille;
        bad_answers += u32::from(is_bad);
        evidence.add(is_bad);
        match evaluate(strategy, &evidence) {
            sequential_test::Verdict::Continue => {}
            sequential_test::Verdict::Stop => return (bad_answers, true),
            sequential_test::Verdict::Advance => {
                step = (step + 1).min(STEPS_PERCENT.len() - 1);
                evidence = sequential_test::Evidence::default();
            }
        }
    }
    (bad_answers, false)
}

fn evaluate(strategy: Strategy, evidence: &sequential_test::Evidence) -> sequential_test::Verdict {
    match strategy {
        Strategy::Sequential => evidence.evaluate(PLAN),
        Strategy::FixedSteps if evidence.answers < WINDOW => sequential_test::Verdict::Continue,
        // This threshold gives about as many false stops as the sequential test.
        Strategy::FixedSteps if evidence.bad * 1_000 >= evidence.answers * 50 => {
            sequential_test::Verdict::Stop
        }
        Strategy::FixedSteps => sequential_test::Verdict::Advance,
    }
}
