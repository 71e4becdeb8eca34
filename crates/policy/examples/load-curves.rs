//! Simulates servers of uneven speed under several rules of placement, and prints how evenly each
//! rule spreads the load; draws the curves into an SVG file if one is named.

use std::collections;
use std::error;
use std::path;
use std::thread;

use clap::Parser;
use plotters::chart;
use plotters::drawing;
use plotters::drawing::IntoDrawingArea as _;
use plotters::element;
use plotters::series;
use plotters::style;
use plotters::style::Color as _;
use toucanwall_routing::number;

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

const COLOURS: [style::RGBColor; 6] =
    [style::RED, style::BLUE, style::GREEN, style::MAGENTA, style::BLACK, style::CYAN];
const PANEL_SIZE: (u32, u32) = (420, 320);

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
    /// SVG file for the curves.
    #[arg(long)]
    plot: Option<path::PathBuf>,
}

/// The rows of one panel: for each rule, the outcome by number of hosts.
#[derive(Debug)]
struct Group {
    title: String,
    curves: collections::BTreeMap<&'static str, Vec<(f64, Row)>>,
}

/// Means over the simulations of a row, and the worst of the percentiles.
#[derive(Debug, Clone, Copy)]
struct Row {
    busiest_over_mean: f64,
    waiting_p99_ms: f64,
    first_event_ms: f64,
    first_event_p99_ms: f64,
    in_time: f64,
    cached: f64,
    speed_error_percent: f64,
}

fn main() -> Result<(), Box<dyn error::Error>> {
    let arguments = Arguments::parse();
    let all = [Speeds::Equal, Speeds::Uneven, Speeds::Disturbed];
    let is_named = |speeds: &Speeds| {
        arguments.speeds.iter().any(|it| it.eq_ignore_ascii_case(&format!("{speeds:?}")))
    };
    let mut groups = Vec::new();
    for speeds in all.into_iter().filter(is_named) {
        for delivery in [Delivery::Broadcast, Delivery::Responses] {
            for &report_ms in &arguments.reports_ms {
                let title = format!("{speeds:?}, {delivery:?}, {report_ms} ms");
                let mut curves: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
                for &hosts in &arguments.hosts {
                    println!("{title}, {hosts} hosts");
                    let load = arguments.load;
                    let scenario =
                        |rule| Scenario { rule, hosts, speeds, delivery, report_ms, load };
                    for (name, row) in rows(&arguments, scenario) {
                        print_row(name, row);
                        curves.entry(name).or_default().push((approximate(hosts), row));
                    }
                }
                groups.push(Group { title, curves });
            }
        }
    }
    match &arguments.plot {
        Some(path) => draw(path, &groups).map_err(|error| error.to_string().into()),
        None => Ok(()),
    }
}

/// Simulates the wanted rules, each in a thread of its own.
fn rows<F>(arguments: &Arguments, scenario: F) -> Vec<(&'static str, Row)>
where
    F: Fn(Rule) -> Scenario,
{
    let is_wanted =
        |name: &str| arguments.rules.is_empty() || arguments.rules.iter().any(|it| it == name);
    thread::scope(|scope| {
        let threads: Vec<_> = RULES
            .into_iter()
            .filter(|(name, _)| is_wanted(name))
            .map(|(name, rule)| {
                let scenario = scenario(rule);
                let seeds = 0..arguments.runs;
                let outcomes = move || -> Vec<_> {
                    seeds.map(|seed| load_simulation::simulate(scenario, seed)).collect()
                };
                (name, scope.spawn(outcomes))
            })
            .collect();
        let joined = threads.into_iter().map(|(name, thread)| {
            (name, summarise(&thread.join().expect("the simulation does not panic")))
        });
        joined.collect()
    })
}

fn summarise(outcomes: &[Outcome]) -> Row {
    let mean = |value: fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / approximate(outcomes.len().max(1))
    };
    let worst = |value: fn(&Outcome) -> u64| {
        number::saturating_f64(outcomes.iter().map(value).max().unwrap_or(0))
    };
    Row {
        busiest_over_mean: mean(|it| it.busiest_over_mean),
        waiting_p99_ms: worst(|it| it.waiting_p99_ms),
        first_event_ms: mean(|it| it.first_event_mean_ms),
        first_event_p99_ms: worst(|it| it.first_event_p99_ms),
        in_time: mean(|it| it.in_time),
        cached: mean(|it| it.cached),
        speed_error_percent: mean(|it| it.speed_error_percent),
    }
}

fn print_row(name: &str, row: Row) {
    println!(
        "  {name:<15} busiest/mean {:.2}, waiting p99 {:>5} ms, first event mean {:>5.0} p99 {:>5} ms, \
         in time {:.3}, cached {:.2}, speed error {:.0}",
        row.busiest_over_mean,
        row.waiting_p99_ms,
        row.first_event_ms,
        row.first_event_p99_ms,
        row.in_time,
        row.cached,
        row.speed_error_percent,
    );
}

fn approximate(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn draw<'a>(path: &'a path::Path, groups: &[Group]) -> Result<(), Box<dyn error::Error + 'a>> {
    let (width, height) = PANEL_SIZE;
    let rows = u32::try_from(groups.len())?;
    let size = (width * 2, height * rows);
    let area = plotters::backend::SVGBackend::new(path, size).into_drawing_area();
    area.fill(&style::WHITE)?;
    let panels = area.split_evenly((groups.len(), 2));
    for (group, pair) in groups.iter().zip(panels.chunks(2)) {
        draw_panel(&pair[0], group, "busiest over mean", |row| row.busiest_over_mean)?;
        draw_panel(&pair[1], group, "p99 waiting, ms", |row| row.waiting_p99_ms)?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel<'a, F>(
    area: &drawing::DrawingArea<plotters::backend::SVGBackend<'a>, plotters::coord::Shift>,
    group: &Group,
    measure: &str,
    value: F,
) -> Result<(), Box<dyn error::Error + 'a>>
where
    F: Fn(&Row) -> f64,
{
    let points = || group.curves.values().flatten();
    let right = points().map(|(hosts, _)| *hosts).fold(1.0, f64::max);
    let top = points().map(|(_, row)| value(row)).fold(1.0, f64::max);
    let mut chart = chart::ChartBuilder::on(area)
        .caption(format!("{}: {measure}", group.title), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().disable_mesh().x_desc("hosts").draw()?;
    for ((name, curve), colour) in group.curves.iter().zip(COLOURS) {
        let points = curve.iter().map(|(hosts, row)| (*hosts, value(row)));
        chart
            .draw_series(series::LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| element::PathElement::new([(x, y), (x + 14, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(chart::SeriesLabelPosition::MiddleRight)
        .background_style(style::WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
