//! Simulates parts of prompts that crash servers under several rules, and prints what each rule costs;
//! draws the curves into an SVG file if one is named.

use std::error;
use std::num;
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

#[path = "../tests/crash_simulation/mod.rs"]
mod crash_simulation;

use crash_simulation::Outcome;
use crash_simulation::Rule;
use crash_simulation::Scenario;

const RATES_PER_S: [f64; 5] = [0.5, 1.0, 3.0, 5.0, 20.0];
const RULES: [(&str, Rule); 3] = [
    ("likelihood", Rule::Likelihood),
    ("count by part", Rule::CountByPart),
    ("count by request", Rule::CountByRequest),
];
const COLOURS: [style::RGBColor; 3] = [style::BLUE, style::RED, style::GREEN];
const PANEL_SIZE: (u32, u32) = (420, 320);

#[derive(Debug)]
#[derive(Parser)]
#[command(about)]
struct Arguments {
    /// Number of simulations for each point.
    #[arg(long, default_value_t = 40)]
    runs: u64,
    /// Number of hosts.
    #[arg(long, default_value_t = 6)]
    hosts: usize,
    /// Number of servers.
    #[arg(long, default_value_t = 12)]
    servers: usize,
    /// Requests per second that crash nothing.
    #[arg(long, default_value_t = 90.0)]
    sound_per_s: f64,
    /// Parts that crash servers, each with the rate of the point.
    #[arg(long, default_value_t = 1)]
    guilty_parts: u64,
    /// Servers that end for no reason, per second.
    #[arg(long, default_value_t = 0.0)]
    chance_crashes_per_s: f64,
    /// When servers crash under a part, relative to the head of the response: a time in
    /// milliseconds, negative before the head, or a range such as 0..1000.
    #[arg(long, default_value = "70", allow_hyphen_values = true, value_parser = parse_moment)]
    crash_moment: crash_simulation::CrashMoment,
    /// Part of the reports that arrive two seconds late.
    #[arg(long, default_value_t = 0.0)]
    late_reports: f64,
    /// Leave out the naive rules.
    #[arg(long)]
    likelihood_only: bool,
    /// SVG file for the curves.
    #[arg(long)]
    plot: Option<path::PathBuf>,
}

/// Means over the simulations of a point.
#[derive(Debug, Clone, Copy)]
struct Point {
    servers_lost: f64,
    late_sends: f64,
    sound_allowed: f64,
    sound_parts_blocked: f64,
    /// Fraction of the simulations with more late sends than allowed.
    over_limit: f64,
    /// Longest time from the fifth crash until all hosts reject the part, in milliseconds.
    blocked_after_ms: Option<u64>,
    entries_per_s_max: usize,
}

/// Requests with a part that may be sent late.
const LATE_SENDS_MAX: usize = 3;

fn main() -> Result<(), Box<dyn error::Error>> {
    let arguments = Arguments::parse();
    let mut curves = Vec::new();
    let rules = if arguments.likelihood_only { &RULES[..1] } else { &RULES[..] };
    for (name, rule) in rules.iter().copied() {
        let points = thread::scope(|scope| {
            let threads = RATES_PER_S.map(|rate_per_s| {
                let arguments = &arguments;
                scope.spawn(move || simulate(arguments, rule, rate_per_s))
            });
            threads.map(|thread| thread.join().expect("the simulation does not panic"))
        });
        println!("{name}, {} simulations a point", arguments.runs);
        for (rate_per_s, point) in RATES_PER_S.iter().zip(&points) {
            println!(
                "{rate_per_s:>6} a second: {:>5.1} servers lost, {:>6.1} late sends ({:.2} over the \
                 limit), {:.3} of the sound requests allowed, {:.2} sound parts blocked, rejected \
                 everywhere after {:?} ms, at most {} entries a second",
                point.servers_lost,
                point.late_sends,
                point.over_limit,
                point.sound_allowed,
                point.sound_parts_blocked,
                point.blocked_after_ms,
                point.entries_per_s_max,
            );
        }
        curves.push(points);
    }
    match &arguments.plot {
        Some(path) => draw(path, &curves).map_err(|error| error.to_string().into()),
        None => Ok(()),
    }
}

fn simulate(arguments: &Arguments, rule: Rule, rate_per_s: f64) -> Point {
    let scenario = Scenario {
        rule,
        hosts: arguments.hosts,
        servers: arguments.servers,
        sound_per_s: arguments.sound_per_s,
        guilty_per_s: rate_per_s,
        guilty_parts: arguments.guilty_parts,
        chance_crashes_per_s: arguments.chance_crashes_per_s,
        crash_moment: arguments.crash_moment,
        late_reports: arguments.late_reports,
        ..Scenario::default()
    };
    let outcomes: Vec<_> =
        (0..arguments.runs).map(|seed| crash_simulation::simulate(scenario, seed)).collect();
    let mean = |value: fn(&Outcome) -> f64| {
        let count = u32::try_from(outcomes.len().max(1)).unwrap_or(u32::MAX);
        outcomes.iter().map(value).sum::<f64>() / f64::from(count)
    };
    let times = outcomes.iter().map(|outcome| outcome.blocked_everywhere_ms);
    Point {
        servers_lost: mean(|it| approximate(it.servers_lost)),
        late_sends: mean(|it| approximate(it.late_sends)),
        sound_allowed: mean(|it| it.sound_allowed),
        sound_parts_blocked: mean(|it| approximate(it.sound_parts_blocked)),
        over_limit: mean(|it| if it.late_sends > LATE_SENDS_MAX { 1.0 } else { 0.0 }),
        blocked_after_ms: times
            .collect::<Option<Vec<_>>>()
            .and_then(|times| times.into_iter().max()),
        entries_per_s_max: outcomes.iter().map(|it| it.entries_per_s_max).max().unwrap_or(0),
    }
}

fn parse_moment(text: &str) -> Result<crash_simulation::CrashMoment, num::ParseIntError> {
    if let Some((from, to)) = text.split_once("..") {
        return Ok(crash_simulation::CrashMoment::Between(from.parse()?, to.parse()?));
    }
    let at_ms: i64 = text.parse()?;
    Ok(if at_ms < 0 {
        crash_simulation::CrashMoment::BeforeHead(at_ms.unsigned_abs())
    } else {
        crash_simulation::CrashMoment::AfterHead(at_ms.unsigned_abs())
    })
}

fn approximate(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn draw<'a>(
    path: &'a path::Path,
    curves: &[[Point; RATES_PER_S.len()]],
) -> Result<(), Box<dyn error::Error + 'a>> {
    let (width, height) = PANEL_SIZE;
    let area = plotters::backend::SVGBackend::new(path, (width * 2, height)).into_drawing_area();
    area.fill(&style::WHITE)?;
    let panels = area.split_evenly((1, 2));
    draw_panel(&panels[0], curves, "servers lost", 60.0, |point| point.servers_lost)?;
    draw_panel(&panels[1], curves, "sound requests allowed", 1.05, |point| point.sound_allowed)?;
    area.present()?;
    Ok(())
}

fn draw_panel<'a, F>(
    area: &drawing::DrawingArea<plotters::backend::SVGBackend<'a>, plotters::coord::Shift>,
    curves: &[[Point; RATES_PER_S.len()]],
    caption: &str,
    top: f64,
    value: F,
) -> Result<(), Box<dyn error::Error + 'a>>
where
    F: Fn(&Point) -> f64,
{
    let mut chart = chart::ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..20.0, 0.0..top)?;
    chart.configure_mesh().disable_mesh().x_desc("requests with the part, a second").draw()?;
    for (((name, _), curve), colour) in RULES.iter().zip(curves).zip(COLOURS) {
        let points = RATES_PER_S.into_iter().zip(curve.iter().map(&value));
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
