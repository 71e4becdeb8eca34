//! Simulates servers that ask for pauses under several rules, and prints what each rule costs.

use clap::Parser;

#[path = "../tests/pause_simulation/mod.rs"]
mod pause_simulation;

use pause_simulation::Rule;
use pause_simulation::Scenario;
use pause_simulation::Trouble;

const RULES: [(&str, Rule); 5] = [
    ("ignore", Rule::Ignore),
    ("obey", Rule::Obey),
    ("obey and tell", Rule::ObeyAndTell),
    ("no slow start", Rule::NoSlowStart),
    ("policy", Rule::Policy),
];
const TROUBLES: [(&str, Trouble); 5] = [
    ("a fifth of the servers pause", Trouble::Share(0.2)),
    ("half of the servers pause", Trouble::Share(0.5)),
    ("all servers pause", Trouble::Share(1.0)),
    ("1.5 times the load", Trouble::Overload(1.5)),
    ("3 times the load", Trouble::Overload(3.0)),
];

#[derive(Debug)]
#[derive(Parser)]
#[command(about)]
struct Arguments {
    /// Number of simulations for each row.
    #[arg(long, default_value_t = 5)]
    runs: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 6)]
    hosts: usize,
    /// Number of servers, of which each runs 20 requests a second.
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Load in percent of what the servers can run.
    #[arg(long, default_value_t = 75.0)]
    load_percent: f64,
    /// Lengths of the pauses in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 2_000, 5_000])]
    pauses_ms: Vec<u64>,
}

fn main() {
    let arguments = Arguments::parse();
    let servers = f64::from(u32::try_from(arguments.servers).unwrap_or(u32::MAX));
    let requests_per_s = servers * 20.0 * arguments.load_percent / 100.0;
    for &pause_ms in &arguments.pauses_ms {
        for (title, trouble) in TROUBLES {
            println!("{title}, pauses of {pause_ms} ms");
            for (name, rule) in RULES {
                let scenario = Scenario {
                    rule,
                    trouble,
                    hosts: arguments.hosts,
                    servers: arguments.servers,
                    requests_per_s,
                    pause_ms,
                };
                print_row(name, scenario, arguments.runs);
            }
        }
    }
}

fn print_row(name: &str, scenario: Scenario, runs: u64) {
    let outcomes: Vec<_> =
        (0..runs).map(|seed| pause_simulation::simulate(scenario, seed)).collect();
    let trouble_ms = match scenario.trouble {
        Trouble::Share(_) => scenario.pause_ms,
        Trouble::Overload(_) => 5_000,
    };
    let mean = |value: &dyn Fn(&pause_simulation::Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>()
            / f64::from(u32::try_from(runs.max(1)).unwrap_or(u32::MAX))
    };
    let during = mean(&|it| it.served_between(0, trouble_ms));
    let after = mean(&|it| it.served_between(trouble_ms, trouble_ms + 2_000));
    let back_ms =
        outcomes.iter().map(|it| it.back_after_ms(trouble_ms)).collect::<Option<Vec<_>>>();
    let back_ms = back_ms.and_then(|it| it.into_iter().max());
    println!(
        "  {name:<13} served {during:.3} meanwhile, {after:.3} in the next 2 s, back after {back_ms:?} \
         ms; {:.2} declined for a request; at most {} within a pause; retries over the budget {}",
        mean(&|it| it.declined),
        outcomes.iter().map(|it| it.sends_within_pause).max().unwrap_or(0),
        outcomes.iter().map(|it| it.retries_over_budget).max().unwrap_or(0),
    );
}
