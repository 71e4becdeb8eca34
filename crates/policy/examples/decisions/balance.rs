//! Load balancing by hosts that receive load reports with a delay.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::balance;

const HOSTS: usize = 6;
const SERVERS: usize = 12;
/// Number of requests that a server runs at the same time; others wait in its queue.
const SLOTS: usize = 8;
/// Mean duration of an answer, in milliseconds.
const MEAN_ANSWER_MS: f64 = 400.0;
/// Utilisation of the whole pool, in percent.
const LOAD_PERCENT: f64 = 85.0;
/// Delay with which load reports reach the hosts, in milliseconds.
const REPORT_DELAY_MS: u64 = 500;
const SIMULATION_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
}

#[derive(Debug, Default)]
struct SimulatedServer {
    running: usize,
    /// Waiting requests: eight times the time of arrival, plus the index of the host.
    queue: collections::VecDeque<u64>,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Completion { host: usize, server: usize },
    ReportSent,
    ReportReceived { loads: Vec<u64> },
}

/// Prints the waiting times of each strategy as a table.
pub fn run(seeds: u64) {
    println!("| strategy | first token p50 ms | p95 ms | p99 ms |");
    println!("| --- | --: | --: | --: |");
    for strategy in
        [Strategy::Random, Strategy::RoundRobin, Strategy::LeastReported, Strategy::TwoChoices]
    {
        let mut runs: Vec<Vec<f64>> = (1..=seeds).map(|seed| simulate(strategy, seed)).collect();
        let mut column = |percent: usize| {
            super::median_and_range(
                runs.iter_mut().map(|run| super::percentile(run, percent)).collect(),
            )
        };
        println!("| {strategy:?} | {} | {} | {} |", column(50), column(95), column(99));
    }
}

/// Simulates one run; returns the time that each request waited before it ran, in milliseconds.
fn simulate(strategy: Strategy, seed: u64) -> Vec<f64> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<balance::Balancer> = (0..HOSTS).map(|_| balancer()).collect();
    let mut servers: Vec<SimulatedServer> =
        (0..SERVERS).map(|_| SimulatedServer::default()).collect();
    let mut reported_loads = vec![0; SERVERS];
    let mut events =
        collections::BTreeMap::from([((0, 0), Event::Arrival), ((1, 1), Event::ReportSent)]);
    let (mut sequence, mut request_number) = (2, 0_usize);
    let mut waits = Vec::new();
    while let Some(((now_ms, _), event)) = events.pop_first() {
        if now_ms > SIMULATION_MS {
            break;
        }
        let mut schedule = |at_ms: u64, event| {
            sequence += 1;
            events.insert((at_ms, sequence), event);
        };
        match event {
            Event::Arrival => {
                let slots = f64::from(u32::try_from(SERVERS * SLOTS).unwrap_or(0));
                let gap_ms = MEAN_ANSWER_MS / slots * 100.0 / LOAD_PERCENT;
                schedule(
                    now_ms + round_randomly(exponential(gap_ms, &mut rng), &mut rng),
                    Event::Arrival,
                );
                let host = rng.random_range(0..HOSTS);
                request_number += 1;
                let server = choose(
                    strategy,
                    &mut hosts[host],
                    &reported_loads,
                    request_number,
                    now_ms,
                    &mut rng,
                );
                hosts[host].record_start(address(server));
                if servers[server].running < SLOTS {
                    servers[server].running += 1;
                    waits.push(0.0);
                    let end_ms =
                        now_ms + round_randomly(exponential(MEAN_ANSWER_MS, &mut rng), &mut rng);
                    schedule(end_ms, Event::Completion { host, server });
                } else {
                    let packed_arrival = now_ms * 8 + u64::try_from(host).unwrap_or(0);
                    servers[server].queue.push_back(packed_arrival);
                }
            }
            Event::Completion { host, server } => {
                hosts[host].record_end(address(server), balance::Outcome::Success, now_ms);
                match servers[server].queue.pop_front() {
                    None => servers[server].running -= 1,
                    Some(packed_arrival) => {
                        let wait_ms =
                            u32::try_from(now_ms - packed_arrival / 8).unwrap_or(u32::MAX);
                        waits.push(f64::from(wait_ms));
                        let host = usize::try_from(packed_arrival % 8).unwrap_or(0);
                        let end_ms = now_ms
                            + round_randomly(exponential(MEAN_ANSWER_MS, &mut rng), &mut rng);
                        schedule(end_ms, Event::Completion { host, server });
                    }
                }
            }
            Event::ReportSent => {
                let load = |server: &SimulatedServer| server.running + server.queue.len();
                let loads = servers.iter().map(|s| u64::try_from(load(s)).unwrap_or(0)).collect();
                schedule(now_ms + REPORT_DELAY_MS, Event::ReportReceived { loads });
                schedule(now_ms + 100, Event::ReportSent);
            }
            Event::ReportReceived { loads } => {
                for host in &mut hosts {
                    for (server, load) in loads.iter().enumerate() {
                        host.record_load(address(server), *load, now_ms);
                    }
                }
                reported_loads = loads;
            }
        }
    }
    waits
}

fn choose<R>(
    strategy: Strategy,
    host: &mut balance::Balancer,
    loads: &[u64],
    request_number: usize,
    now_ms: u64,
    rng: &mut R,
) -> usize
where
    R: rand::Rng,
{
    match strategy {
        Strategy::Random => rng.random_range(0..SERVERS),
        Strategy::RoundRobin => request_number % SERVERS,
        Strategy::LeastReported => (0..SERVERS).min_by_key(|server| loads[*server]).unwrap_or(0),
        Strategy::TwoChoices => {
            let excluded = collections::BTreeSet::new();
            let request = balance::Request {
                pool: "pool",
                item: None,
                prefix_hash: None,
                slots: u64::MAX,
                excluded: &excluded,
            };
            match host.choose(request, now_ms, rng) {
                balance::Choice::Server(server) => usize::from(server.port() - 1),
                _ => 0,
            }
        }
    }
}

fn balancer() -> balance::Balancer {
    let mut balancer = balance::Balancer::new();
    for server in 0..SERVERS {
        balancer.put(balance::Server {
            address: address(server),
            pool: Arc::from("pool"),
            is_draining: false,
            loaded: collections::BTreeSet::new(),
        });
    }
    balancer
}

fn address(server: usize) -> net::SocketAddr {
    let port = u16::try_from(server + 1).unwrap_or(1);
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn exponential<R>(mean: f64, rng: &mut R) -> f64
where
    R: rand::Rng,
{
    let uniform: f64 = rng.random();
    -mean * (1.0 - uniform).ln()
}

/// Rounds up or down at random, so that the mean is preserved.
fn round_randomly<R>(value: f64, rng: &mut R) -> u64
where
    R: rand::Rng,
{
    let mut whole = 0_u64;
    let mut remainder = value;
    while remainder >= 1.0 {
        remainder -= 1.0;
        whole += 1;
    }
    whole + u64::from(rng.random_bool(remainder.clamp(0.0, 1.0)))
}
