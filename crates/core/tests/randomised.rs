//! Randomised simulations of a few hosts with faults; a seed always gives the same run.

mod simulation;

use rstest::rstest;

/// Runs the simulation with each seed and panics at the first one that violates an invariant.
fn run_seeds(seeds: std::ops::Range<u64>, settings: simulation::Settings) -> simulation::Report {
    let mut total = simulation::Report::default();
    for seed in seeds {
        let (report, violations) = simulation::Simulation::new(seed, settings).run();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        total.add(report);
    }
    total
}

#[rstest]
#[case::no_message_loss(0..10, 0)]
#[case::message_loss_of_5_percent(100..130, 5)]
#[case::message_loss_of_20_percent(200..230, 20)]
fn invariants_hold_under_faults(#[case] seeds: std::ops::Range<u64>, #[case] loss_percent: u32) {
    let settings =
        simulation::Settings { fault_phase_ms: 40_000, recovery_phase_ms: 60_000, loss_percent };
    let report = run_seeds(seeds, settings);
    assert!(
        report.answered > 0 && report.effects > 0,
        "no request was answered or executed: {report:?}"
    );
}
