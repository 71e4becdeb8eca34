//! Randomised runs over a few hosts, each from a seed that replays exactly.

mod world;

use rstest::rstest;

/// Runs a range of seeds and shows the first one that violates something.
fn run_seeds(seeds: std::ops::Range<u64>, hardness: world::Hardness) -> world::Report {
    let mut total = world::Report::default();
    for seed in seeds {
        let (report, violations) = world::World::new(seed, hardness).run();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        total.add(report);
    }
    total
}

#[rstest]
#[case::calm(0..10, 0)]
#[case::lossy(100..130, 5)]
#[case::hard(200..230, 20)]
fn what_must_hold_holds(#[case] seeds: std::ops::Range<u64>, #[case] loss_percent: u32) {
    let hardness = world::Hardness { busy_ms: 40_000, heal_ms: 60_000, loss_percent };
    let report = run_seeds(seeds, hardness);
    assert!(report.answered > 0 && report.effects > 0, "the runs did nothing: {report:?}");
}
