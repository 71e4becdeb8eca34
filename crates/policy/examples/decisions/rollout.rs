//! Roll-outs: a sequential test against fixed steps with an error threshold.

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::sequential_test;

/// Roll-outs of one run.
const ROLLOUTS: u32 = 400;
/// Answers after which a roll-out that was not stopped is over.
const ANSWERS_MAX: u64 = 5_000;
/// Shares of a roll-out's steps, in percent.
const STEPS_PERCENT: [u32; 4] = [5, 25, 50, 100];
/// Answers of the new version that a naive step looks at.
const WINDOW: u64 = 200;
/// Bad answers of a good and of a bad version, in a thousand.
const GOOD_PER_MILLE: u32 = 20;
const BAD_PER_MILLE: u32 = 100;

const PLAN: sequential_test::Plan = sequential_test::Plan {
    good_rate: 0.02,
    bad_rate: 0.1,
    false_stop_rate: 0.001,
    false_advance_rate: 0.005,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// Fixed steps, stopped at twice the rate of a good version in a window.
    FixedSteps,
    Sequential,
}

/// Prints the table.
pub fn run(seeds: u64) {
    println!(
        "| strategy | bad answers before the stop (mean) | bad versions not stopped, % | good versions stopped, % |"
    );
    println!("| --- | --: | --: | --: |");
    for strategy in [Strategy::FixedSteps, Strategy::Sequential] {
        let runs: Vec<[f64; 3]> = (1..=seeds).map(|seed| one(strategy, seed)).collect();
        let column = |index: usize| super::spread(runs.iter().map(|run| run[index]).collect());
        println!("| {strategy:?} | {} | {} | {} |", column(0), column(1), column(2));
    }
}

fn one(strategy: Strategy, seed: u64) -> [f64; 3] {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let (mut bad_answers, mut missed, mut false_stops) = (0, 0, 0);
    for _ in 0..ROLLOUTS {
        let (bad, is_stopped) = roll_out(strategy, BAD_PER_MILLE, &mut rng);
        bad_answers += bad;
        missed += u32::from(!is_stopped);
        let (_, is_stopped) = roll_out(strategy, GOOD_PER_MILLE, &mut rng);
        false_stops += u32::from(is_stopped);
    }
    let of_all = |count: u32| f64::from(count) * 100.0 / f64::from(ROLLOUTS);
    [f64::from(bad_answers) / f64::from(ROLLOUTS), of_all(missed), of_all(false_stops)]
}

/// Runs one roll-out; returns the bad answers that reached callers and whether it was stopped.
fn roll_out<R>(strategy: Strategy, bad_per_mille: u32, rng: &mut R) -> (u32, bool)
where
    R: rand::Rng,
{
    let mut bad_answers = 0;
    let mut step = 0;
    let mut evidence = sequential_test::Evidence::default();
    for _ in 0..ANSWERS_MAX {
        if rng.random_range(0..100) >= STEPS_PERCENT[step] {
            continue;
        }
        let is_bad = rng.random_range(0..1_000) < bad_per_mille;
        bad_answers += u32::from(is_bad);
        evidence.add(is_bad);
        match judge(strategy, &evidence) {
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

fn judge(strategy: Strategy, evidence: &sequential_test::Evidence) -> sequential_test::Verdict {
    match strategy {
        Strategy::Sequential => evidence.evaluate(PLAN),
        Strategy::FixedSteps if evidence.answers < WINDOW => sequential_test::Verdict::Continue,
        // At the threshold that gives about as many false stops as the sequential test.
        Strategy::FixedSteps if evidence.bad * 1_000 >= evidence.answers * 50 => {
            sequential_test::Verdict::Stop
        }
        Strategy::FixedSteps => sequential_test::Verdict::Advance,
    }
}
