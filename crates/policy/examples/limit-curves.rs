//! Prints how ways to keep a limit that a server names for all hosts together compare.
//!
//!     cargo run --release -p toucanwall-policy --example limit-curves

#[path = "../tests/limit_simulation/mod.rs"]
mod limit_simulation;

use limit_simulation::Callers;
use limit_simulation::Others;
use limit_simulation::Rule;
use limit_simulation::Scenario;
use limit_simulation::Trouble;

const SEEDS: u32 = 10;

fn main() {
    println!(
        "hosts  limit/s  callers  others    trouble   rule        seeds over  most over  used  messages/host/s  held after ms"
    );
    for (hosts, limit_per_s) in
        [(6, 2.2), (6, 10.0), (30, 2.2), (300, 0.5), (300, 2.2), (300, 20.0)]
    {
        for (callers, others, trouble, rule) in rows() {
            let scenario = Scenario {
                rule,
                others,
                trouble,
                callers,
                hosts,
                limit_per_s,
                demand_per_s: 10.0 * limit_per_s,
            };
            let figures: Vec<_> =
                (0..SEEDS).map(|seed| limit_simulation::run(scenario, u64::from(seed))).collect();
            let over = figures.iter().filter(|it| it.windows_over > 0).count();
            let most = figures.iter().map(|it| it.most_over).fold(f64::NEG_INFINITY, f64::max);
            let mean = |read: fn(&limit_simulation::Figures) -> f64| {
                figures.iter().map(read).sum::<f64>() / f64::from(SEEDS)
            };
            let held = figures.iter().map(|it| it.held_after_ms).max().unwrap_or(0);
            println!(
                "{hosts:5}  {limit_per_s:7.1}  {callers:7}  {others:8}  {trouble:8}  {rule:10}  {over:10}  {most:9.1}  {:4.2}  {:15.1}  {held:13}",
                mean(|it| it.used),
                mean(|it| it.messages_per_s),
                callers = format!("{callers:?}"),
                others = format!("{others:?}"),
                trouble = format!("{trouble:?}"),
                rule = format!("{rule:?}"),
            );
        }
    }
}

fn rows() -> Vec<(Callers, Others, Trouble, Rule)> {
    let rules = [Rule::Ignore, Rule::EachAlone, Rule::EqualParts, Rule::FixedFive, Rule::Policy];
    let mut rows: Vec<_> = rules
        .into_iter()
        .map(|rule| (Callers::Even, Others::TakeThem, Trouble::None, rule))
        .collect();
    rows.push((Callers::OneHost, Others::TakeThem, Trouble::None, Rule::FixedFive));
    rows.push((Callers::OneHost, Others::TakeThem, Trouble::None, Rule::Policy));
    rows.push((Callers::OneHost, Others::None, Trouble::None, Rule::Policy));
    rows.push((Callers::Even, Others::None, Trouble::None, Rule::Policy));
    for trouble in [
        Trouble::Kills,
        Trouble::Freezes,
        Trouble::Cuts,
        Trouble::Starts,
        Trouble::TwoViews,
        Trouble::Changes,
        Trouble::All,
    ] {
        rows.push((Callers::Even, Others::None, trouble, Rule::Policy));
    }
    rows
}
