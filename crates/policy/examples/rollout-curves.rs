//! Simulates roll-outs of versions with faults of different kind and strength, and prints which part
//! of them is reverted; draws the curves into an SVG file if one is named.

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
use toucanwall_routing::rollout;

#[path = "../tests/rollout_simulation/mod.rs"]
mod rollout_simulation;

use rollout_simulation::Fault;
use rollout_simulation::Scenario;
use rollout_simulation::Traffic;

/// Makes a fault of a strength from 0 to 1.
type FaultOfStrength = fn(f64) -> Fault;

const DURATIONS_MS: [u64; 3] = [8_000, 14_000, 24_000];
const STRENGTHS: [f64; 9] = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0];
const FAULTS: [(&str, FaultOfStrength); 4] = [
    ("slow", Fault::Slow),
    ("errors", Fault::Errors),
    ("one route", Fault::OneRoute),
    ("late", Fault::Late),
];
const COLOURS: [style::RGBColor; 4] = [style::BLUE, style::RED, style::GREEN, style::MAGENTA];
const PANEL_SIZE: (u32, u32) = (380, 320);

#[derive(Debug)]
#[derive(Parser)]
#[command(about)]
struct Arguments {
    /// Number of roll-outs for each point.
    #[arg(long, default_value_t = 200)]
    runs: u32,
    /// Requests per second to the service.
    #[arg(long, default_value_t = 31)]
    requests_per_s: u32,
    /// Number of hosts.
    #[arg(long, default_value_t = 6)]
    hosts: u64,
    /// Part of the requests that a bad version may get.
    #[arg(long, default_value_t = 0.15)]
    exposure_fraction: f64,
    /// Number of requests that a bad version may get in addition.
    #[arg(long, default_value_t = 30)]
    exposure_allowance: u64,
    /// Leaves out requests that fail on every version, and a route on which none answers in time.
    #[arg(long)]
    answerable: bool,
    /// SVG file for the curves.
    #[arg(long)]
    plot: Option<path::PathBuf>,
}

/// Part of the roll-outs that was reverted, for each fault and strength.
type Curves = Vec<Vec<f64>>;

fn main() -> Result<(), Box<dyn error::Error>> {
    let arguments = Arguments::parse();
    let results = thread::scope(|scope| {
        let threads = DURATIONS_MS.map(|duration_ms| {
            let arguments = &arguments;
            scope.spawn(move || simulate(arguments, duration_ms))
        });
        threads.map(|thread| thread.join().expect("the simulation does not panic"))
    });
    for (duration_ms, curves) in DURATIONS_MS.iter().zip(&results) {
        println!("reverted of {} roll-outs, duration {duration_ms} ms", arguments.runs);
        println!(
            "{:>10}{}",
            "strength",
            STRENGTHS.map(|strength| format!("{strength:>7}")).concat()
        );
        for ((name, _), curve) in FAULTS.iter().zip(curves) {
            let cells: Vec<_> = curve.iter().map(|part| format!("{part:>7.3}")).collect();
            println!("{name:>10}{}", cells.concat());
        }
    }
    match &arguments.plot {
        Some(path) => draw(path, &results).map_err(|error| error.to_string().into()),
        None => Ok(()),
    }
}

fn simulate(arguments: &Arguments, duration_ms: u64) -> Curves {
    let part_reverted = |fault| {
        let scenario = Scenario {
            requests_per_s: arguments.requests_per_s,
            hosts: arguments.hosts,
            duration_ms,
            exposure_fraction: arguments.exposure_fraction,
            exposure_allowance: arguments.exposure_allowance,
            fault,
            traffic: if arguments.answerable { Traffic::Answerable } else { Traffic::Mixed },
        };
        let outcomes =
            (0..arguments.runs).map(|seed| rollout_simulation::play(scenario, seed.into()));
        let reverted = outcomes.filter(|outcome| outcome.state == rollout::State::Reverted);
        f64::from(u32::try_from(reverted.count()).unwrap_or(u32::MAX)) / f64::from(arguments.runs)
    };
    let curve = |fault: FaultOfStrength| STRENGTHS.map(|strength| part_reverted(fault(strength)));
    FAULTS.iter().map(|(_, fault)| curve(*fault).to_vec()).collect()
}

fn draw<'a>(path: &'a path::Path, results: &[Curves]) -> Result<(), Box<dyn error::Error + 'a>> {
    let (width, height) = PANEL_SIZE;
    let panels = u32::try_from(DURATIONS_MS.len())?;
    let area =
        plotters::backend::SVGBackend::new(path, (width * panels, height)).into_drawing_area();
    area.fill(&style::WHITE)?;
    let areas = area.split_evenly((1, DURATIONS_MS.len()));
    for ((area, duration_ms), curves) in areas.iter().zip(DURATIONS_MS).zip(results) {
        draw_panel(area, duration_ms, curves)?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel<'a>(
    area: &drawing::DrawingArea<plotters::backend::SVGBackend<'a>, plotters::coord::Shift>,
    duration_ms: u64,
    curves: &Curves,
) -> Result<(), Box<dyn error::Error + 'a>> {
    let mut chart = chart::ChartBuilder::on(area)
        .caption(format!("{} s", duration_ms / 1_000), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..1.0, 0.0..1.0)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("strength of the fault")
        .y_desc("reverted")
        .draw()?;
    for (((name, _), curve), colour) in FAULTS.iter().zip(curves).zip(COLOURS) {
        let points = STRENGTHS.into_iter().zip(curve.iter().copied());
        chart
            .draw_series(series::LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| element::PathElement::new([(x, y), (x + 14, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(chart::SeriesLabelPosition::LowerRight)
        .background_style(style::WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
