//! Simulates servers of uneven speed under several rules of placement, and prints how evenly each
//! rule spreads the load.

use std::thread;

use clap::Parser;

#[path = "../tests/load_simulation/mod.rs"]
mod load_simulation;

use load_simulation::Delivery;
use load_simulation::Outcome;
use load_simulation::Rule;
use load_simulation::Scenario;
use load_simulation::Speeds;

const RULES: [(&str, Rule); 6] = [
    ("random", Rule::Random),
    ("two choices", Rule::TwoChoices),
    ("without speed", Rule::WithoutSpeed),
    ("learned speed", Rule::LearnedSpeed),
    ("reported speed", Rule::ReportedSpeed),
    ("policy", Rule::Policy),
];

#[derive(Debug)]
#[derive(Parser)]
#[command(about)]
struct Arguments {
    /// Number of simulations for each row.
    #[arg(long, default_value_t = 3)]
    runs: u64,
    /// Numbers of hosts.
    #[arg(long, value_delimiter = ',', default_values_t = [6, 90, 300])]
    hosts: Vec<usize>,
    /// Times between two load reports in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 1_000])]
    reports_ms: Vec<u64>,
    /// Speeds of the servers: equal, uneven or disturbed.
    #[arg(long, value_delimiter = ',', default_values_t = ["equal".to_owned(), "uneven".to_owned(), "disturbed".to_owned()])]
    speeds: Vec<String>,
    /// Names of the rules to simulate; all if none is named.
    #[arg(long, value_delimiter = ',')]
    rules: Vec<String>,
    /// Load relative to the usual one.
    #[arg(long, default_value_t = 1.0)]
    load: f64,
}

fn main() {
    let arguments = Arguments::parse();
    let all = [Speeds::Equal, Speeds::Uneven, Speeds::Disturbed];
    let is_named = |speeds: &Speeds| {
        arguments.speeds.iter().any(|it| it.eq_ignore_ascii_case(&format!("{speeds:?}")))
    };
    for speeds in all.into_iter().filter(is_named) {
        for delivery in [Delivery::Broadcast, Delivery::Responses] {
            for &hosts in &arguments.hosts {
                for &report_ms in &arguments.reports_ms {
                    println!("{speeds:?}, {delivery:?}, {hosts} hosts, reports {report_ms} ms");
                    print_rows(&arguments, |rule| Scenario {
                        rule,
                        hosts,
                        speeds,
                        delivery,
                        report_ms,
                        load: arguments.load,
                    });
                }
            }
        }
    }
}

fn print_rows<F>(arguments: &Arguments, scenario: F)
where
    F: Fn(Rule) -> Scenario,
{
    let is_wanted =
        |name: &str| arguments.rules.is_empty() || arguments.rules.iter().any(|it| it == name);
    let rules: Vec<_> = RULES.into_iter().filter(|(name, _)| is_wanted(name)).collect();
    let outcomes: Vec<Vec<Outcome>> = thread::scope(|scope| {
        let threads: Vec<_> = rules
            .iter()
            .map(|(_, rule)| {
                let scenario = scenario(*rule);
                scope.spawn(move || {
                    let seeds = 0..arguments.runs;
                    seeds.map(|seed| load_simulation::simulate(scenario, seed)).collect()
                })
            })
            .collect();
        let joined =
            threads.into_iter().map(|it| it.join().expect("the simulation does not panic"));
        joined.collect()
    });
    for ((name, _), outcomes) in rules.iter().zip(&outcomes) {
        let mean = |value: fn(&Outcome) -> f64| {
            let runs = f64::from(u32::try_from(outcomes.len().max(1)).unwrap_or(u32::MAX));
            outcomes.iter().map(value).sum::<f64>() / runs
        };
        let small = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        let worst =
            |value: fn(&Outcome) -> u64| small(outcomes.iter().map(value).max().unwrap_or(0));
        println!(
            "  {name:<15} busiest/mean {:.2}, waiting p99 {:>5} ms, first event mean {:>5.0} p99 \
             {:>5} ms, in time {:.3}, cached {:.2}, speed error {:.0}",
            mean(|it| it.busiest_over_mean),
            worst(|it| it.waiting_p99_ms),
            mean(|it| it.first_event_mean_ms),
            worst(|it| it.first_event_p99_ms),
            mean(|it| it.in_time),
            mean(|it| it.cached),
            mean(|it| it.speed_error_percent),
        );
    }
}
