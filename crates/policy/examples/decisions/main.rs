//! Compares decisions of the policy with naive ones on the same seeds.

mod balance;
mod cascade;
mod rollout;

use clap::Parser;

/// Measures decisions of the policy against naive ones.
#[derive(Debug)]
#[derive(Parser)]
struct Arguments {
    /// What to measure.
    #[arg(long, value_enum)]
    scenario: Scenario,
    /// Seeds, from 1 on; each row shows the median and the spread over them.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

/// A scenario to measure.
#[derive(Debug, Clone, Copy)]
#[derive(clap::ValueEnum)]
enum Scenario {
    /// Cost and latency of cascades.
    Cascade,
    /// Bad answers before a bad version is stopped.
    Rollout,
    /// Time to the first token with lagged load reports.
    Balance,
}

fn main() {
    let arguments = Arguments::parse();
    match arguments.scenario {
        Scenario::Cascade => cascade::run(arguments.seeds),
        Scenario::Rollout => rollout::run(arguments.seeds),
        Scenario::Balance => balance::run(arguments.seeds),
    }
}

/// Formats the median and the range of one figure over the seeds.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    format!("{median:.1} ({:.1} to {:.1})", values[0], values[values.len() - 1])
}

/// The given percentile of the values.
fn percentile(values: &mut [f64], percent: usize) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() * percent / 100).min(values.len() - 1)]
}
