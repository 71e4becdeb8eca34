//! Cascades: kinds of request that a cheap model passes more or less often.

use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_document::name;
use toucanwall_policy::cascade;

/// Requests of one run.
const REQUESTS: u32 = 20_000;
/// Share of the requests, and how often the cheap model passes, in percent, by kind.
const KINDS: [(&str, u32, u32); 3] = [("chat", 60, 96), ("summary", 25, 75), ("draft", 15, 8)];
const CHEAP: cascade::StageInfo =
    cascade::StageInfo { cost_microcents_per_kilotoken: 40, answer_ms: 600 };
const STRONG: cascade::StageInfo =
    cascade::StageInfo { cost_microcents_per_kilotoken: 400, answer_ms: 2_400 };
/// Part of the cheap answers that get a rating in time to learn from, in percent.
const RATED_PERCENT: u32 = 60;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    AlwaysStrong,
    CheapFirst,
    FixedBySize,
    Learned,
}

/// Prints the table.
pub fn run(seeds: u64) {
    println!("| strategy | cost, % of always strong | p95 latency ms | answers at the target, % |");
    println!("| --- | --: | --: | --: |");
    for strategy in
        [Strategy::AlwaysStrong, Strategy::CheapFirst, Strategy::FixedBySize, Strategy::Learned]
    {
        let runs: Vec<[f64; 3]> = (1..=seeds).map(|seed| one(strategy, seed)).collect();
        let column = |index: usize| super::spread(runs.iter().map(|run| run[index]).collect());
        println!("| {strategy:?} | {} | {} | {} |", column(0), column(1), column(2));
    }
}

fn one(strategy: Strategy, seed: u64) -> [f64; 3] {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut cascades = cascade::StageSelector::new();
    let (mut cost, mut met) = (0, 0);
    let mut latencies = Vec::new();
    for _ in 0..REQUESTS {
        let (class, pass_percent) = draw_kind(rng.random_range(0..100));
        let kind = kind(class);
        let passes_cheap = rng.random_range(0..100) < pass_percent;
        let passes_strong = rng.random_range(0..100) < 97;
        let is_rated = rng.random_range(0..100) < RATED_PERCENT;
        let start = match strategy {
            Strategy::AlwaysStrong => 1,
            Strategy::CheapFirst => 0,
            Strategy::FixedBySize => usize::from(class == "draft"),
            Strategy::Learned => cascades.select_start(&kind, &[CHEAP, STRONG], 60_000),
        };
        let mut latency_ms = 0;
        let mut passes = false;
        if start == 0 {
            cost += CHEAP.cost_microcents_per_kilotoken;
            latency_ms += CHEAP.answer_ms * rng.random_range(50..200) / 100;
            passes = passes_cheap;
            if is_rated {
                cascades.record_rating(&kind, 0, passes_cheap);
            }
        }
        if !passes {
            cost += STRONG.cost_microcents_per_kilotoken;
            latency_ms += STRONG.answer_ms * rng.random_range(50..200) / 100;
            passes = passes_strong;
        }
        met += u32::from(passes);
        latencies.push(f64::from(u32::try_from(latency_ms).unwrap_or(u32::MAX)));
    }
    let always_strong = f64::from(REQUESTS) * 400.0;
    let cost = f64::from(u32::try_from(cost).unwrap_or(u32::MAX));
    [
        cost * 100.0 / always_strong,
        super::percentile(&mut latencies, 95),
        f64::from(met) * 100.0 / f64::from(REQUESTS),
    ]
}

fn draw_kind(lot: u32) -> (&'static str, u32) {
    let mut below = 0;
    for (class, share, pass_percent) in KINDS {
        below += share;
        if lot < below {
            return (class, pass_percent);
        }
    }
    ("chat", 100)
}

fn kind(class: &str) -> cascade::RequestKind {
    let name = |text| name::Name::try_from(text).expect("a name");
    cascade::RequestKind {
        organisation: name("org"),
        cascade: name("cascade"),
        class: Arc::from(class),
    }
}
