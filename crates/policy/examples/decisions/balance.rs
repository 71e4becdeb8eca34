//! Balancing: hosts that see the servers' load late.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::balance;

const HOSTS: usize = 6;
const SERVERS: usize = 12;
/// Requests that a server runs at a time; others wait in its queue.
const SLOTS: usize = 8;
/// Mean time of an answer, in milliseconds.
const ANSWER_MS: f64 = 400.0;
/// Load of the whole pool, in percent.
const LOAD_PERCENT: f64 = 85.0;
/// Age of the load reports that hosts see, in milliseconds.
const LAG_MS: u64 = 500;
const RUN_MS: u64 = 120_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Random,
    RoundRobin,
    LeastReported,
    TwoChoices,
}

#[derive(Debug, Default)]
struct FakeServer {
    running: usize,
    queue: collections::VecDeque<u64>,
}

#[derive(Debug)]
enum Happening {
    Arrive,
    End { host: usize, server: usize },
    Report,
    Reported { loads: Vec<u64> },
}

/// Prints the table.
pub fn run(seeds: u64) {
    println!("| strategy | first token p50 ms | p95 ms | p99 ms |");
    println!("| --- | --: | --: | --: |");
    for strategy in
        [Strategy::Random, Strategy::RoundRobin, Strategy::LeastReported, Strategy::TwoChoices]
    {
        let mut runs: Vec<Vec<f64>> = (1..=seeds).map(|seed| one(strategy, seed)).collect();
        let mut column = |percent: usize| {
            super::spread(runs.iter_mut().map(|run| super::percentile(run, percent)).collect())
        };
        println!("| {strategy:?} | {} | {} | {} |", column(50), column(95), column(99));
    }
}

/// Times that requests waited before they ran, in milliseconds.
fn one(strategy: Strategy, seed: u64) -> Vec<f64> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<balance::Balancer> = (0..HOSTS).map(|_| balancer()).collect();
    let mut servers: Vec<FakeServer> = (0..SERVERS).map(|_| FakeServer::default()).collect();
    let mut reported = vec![0; SERVERS];
    let mut queue =
        collections::BTreeMap::from([((0, 0), Happening::Arrive), ((1, 1), Happening::Report)]);
    let (mut order, mut turn) = (2, 0_usize);
    let mut waits = Vec::new();
    while let Some(((now_ms, _), happening)) = queue.pop_first() {
        if now_ms > RUN_MS {
            break;
        }
        let mut push = |at_ms: u64, happening| {
            order += 1;
            queue.insert((at_ms, order), happening);
        };
        match happening {
            Happening::Arrive => {
                let slots = f64::from(u32::try_from(SERVERS * SLOTS).unwrap_or(0));
                let gap_ms = ANSWER_MS / slots * 100.0 / LOAD_PERCENT;
                push(now_ms + round(exponential(gap_ms, &mut rng), &mut rng), Happening::Arrive);
                let host = rng.random_range(0..HOSTS);
                turn += 1;
                let server = choose(strategy, &mut hosts[host], &reported, turn, now_ms, &mut rng);
                hosts[host].record_start(address(server));
                if servers[server].running < SLOTS {
                    servers[server].running += 1;
                    waits.push(0.0);
                    let end_ms = now_ms + round(exponential(ANSWER_MS, &mut rng), &mut rng);
                    push(end_ms, Happening::End { host, server });
                } else {
                    let tagged = now_ms * 8 + u64::try_from(host).unwrap_or(0);
                    servers[server].queue.push_back(tagged);
                }
            }
            Happening::End { host, server } => {
                hosts[host].record_end(address(server), balance::Outcome::Success, now_ms);
                match servers[server].queue.pop_front() {
                    None => servers[server].running -= 1,
                    Some(tagged) => {
                        let waited = u32::try_from(now_ms - tagged / 8).unwrap_or(u32::MAX);
                        waits.push(f64::from(waited));
                        let host = usize::try_from(tagged % 8).unwrap_or(0);
                        let end_ms = now_ms + round(exponential(ANSWER_MS, &mut rng), &mut rng);
                        push(end_ms, Happening::End { host, server });
                    }
                }
            }
            Happening::Report => {
                let load = |server: &FakeServer| server.running + server.queue.len();
                let loads = servers.iter().map(|s| u64::try_from(load(s)).unwrap_or(0)).collect();
                push(now_ms + LAG_MS, Happening::Reported { loads });
                push(now_ms + 100, Happening::Report);
            }
            Happening::Reported { loads } => {
                for host in &mut hosts {
                    for (server, load) in loads.iter().enumerate() {
                        host.record_load(address(server), *load, now_ms);
                    }
                }
                reported = loads;
            }
        }
    }
    waits
}

fn choose<R>(
    strategy: Strategy,
    host: &mut balance::Balancer,
    reported: &[u64],
    turn: usize,
    now_ms: u64,
    rng: &mut R,
) -> usize
where
    R: rand::Rng,
{
    match strategy {
        Strategy::Random => rng.random_range(0..SERVERS),
        Strategy::RoundRobin => turn % SERVERS,
        Strategy::LeastReported => (0..SERVERS).min_by_key(|server| reported[*server]).unwrap_or(0),
        Strategy::TwoChoices => {
            let excluded = collections::BTreeSet::new();
            let wanted = balance::Request {
                pool: "pool",
                item: None,
                prefix_hash: None,
                slots: u64::MAX,
                excluded: &excluded,
            };
            match host.choose(wanted, now_ms, rng) {
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
    let unit: f64 = rng.random();
    -mean * (1.0 - unit).ln()
}

/// Rounds to a whole number, up or down by chance, so that means are kept.
fn round<R>(value: f64, rng: &mut R) -> u64
where
    R: rand::Rng,
{
    let mut whole = 0_u64;
    let mut rest = value;
    while rest >= 1.0 {
        rest -= 1.0;
        whole += 1;
    }
    whole + u64::from(rng.random_bool(rest.clamp(0.0, 1.0)))
}
