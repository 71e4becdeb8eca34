//! Retries of real hosts, counted at the servers that they reach.

use std::collections;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::proxy;

mod gateway_fleet;

use gateway_fleet::GatewayFleet;

const HOST_COUNT: usize = 5;
const SERVER_COUNT: usize = 3;
const CALLER_COUNT: u64 = 12;
/// Retries that are allowed in each window; there is no part that grows with the requests.
const RETRY_ALLOWANCE: u64 = 60;
const RETRY_WINDOW: time::Duration = time::Duration::from_secs(10);
const DURATION: time::Duration = time::Duration::from_secs(24);
/// Pause of a caller between two requests: together they would be retried several times as often as
/// allowed.
const CALLER_PAUSE: time::Duration = time::Duration::from_millis(20);

/// What happens to the hosts meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// Single hosts are killed and start again.
    Restarts,
    /// All hosts are killed and start again.
    AllRestart,
    /// As `AllRestart`, and hosts cannot reach the store at first.
    AllRestartWithoutStore,
    /// Single hosts are frozen for a while.
    Pauses,
}

/// What callers ask for, and so why requests are sent again.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    /// Requests that fail or are declined.
    Reads,
    /// Streams that are resumed.
    Streams,
    /// Streams of which the answers are escalated to a larger model.
    Escalations,
}

impl Load {
    fn service(self) -> &'static str {
        if self == Self::Reads { "desk" } else { "engines" }
    }

    fn request(
        self,
        fleet: &GatewayFleet,
        host: usize,
        id: &str,
    ) -> gateway_fleet::PreparedRequest {
        let any_model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
        match self {
            Self::Reads => fleet.prepare_request(host, "GET", "/read/x", id),
            Self::Streams => fleet.prepare_request(host, "POST", "/chat/x", id),
            Self::Escalations => {
                fleet.prepare_request_with(host, "POST", "/chat/x", id, &any_model)
            }
        }
    }
}

type Fleet = Arc<tokio::sync::RwLock<GatewayFleet>>;

async fn run_caller(load: Load, fleet: Fleet, is_finished: Arc<atomic::AtomicBool>, caller: u64) {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(caller);
    let mut number = 0;
    while !is_finished.load(atomic::Ordering::Relaxed) {
        number += 1;
        let host = rng.random_range(0..HOST_COUNT);
        let id = format!("c{caller}-{number}");
        let request = load.request(&*fleet.read().await, host, &id);
        // Nearly all requests fail, and hosts are restarted.
        let _response = tokio::time::timeout(time::Duration::from_secs(5), request.send()).await;
        tokio::time::sleep(CALLER_PAUSE).await;
    }
}

async fn cause(trouble: Trouble, fleet: &Fleet, store: &proxy::Proxy) {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let until = tokio::time::Instant::now() + DURATION;
    while tokio::time::Instant::now() < until {
        let host = rng.random_range(0..HOST_COUNT);
        let pause_ms = match trouble {
            Trouble::None => 1_000,
            Trouble::Restarts => {
                fleet.write().await.restart(host);
                rng.random_range(300..1_500)
            }
            Trouble::AllRestart | Trouble::AllRestartWithoutStore => {
                let is_cut = trouble == Trouble::AllRestartWithoutStore;
                store.set_mode(if is_cut { proxy::Mode::Reset } else { proxy::Mode::Forward });
                for index in 0..HOST_COUNT {
                    fleet.write().await.restart(index);
                }
                tokio::time::sleep(time::Duration::from_millis(500)).await;
                store.set_mode(proxy::Mode::Forward);
                rng.random_range(2_000..6_000)
            }
            Trouble::Pauses => {
                fleet.read().await.signal(host, "STOP");
                tokio::time::sleep(time::Duration::from_millis(700)).await;
                fleet.read().await.signal(host, "CONT");
                500
            }
        };
        tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
    }
}

/// The largest number of arrivals within a window beyond the first one of each request.
fn most_retries(servers: &[backend::Backend]) -> usize {
    let mut arrivals: Vec<_> = servers.iter().flat_map(backend::Backend::arrivals).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = collections::BTreeSet::new();
    let retries: Vec<_> = arrivals
        .into_iter()
        .filter(|arrival| !seen.insert(arrival.attempt_id.clone()))
        .map(|arrival| arrival.at)
        .collect();
    let within_window = |start: usize| {
        retries[start..].iter().take_while(|at| **at < retries[start] + RETRY_WINDOW).count()
    };
    (0..retries.len()).map(within_window).max().unwrap_or(0)
}

/// Also when hosts start together, know no others yet or have forgotten what they used before.
#[rstest]
#[case::no_trouble(Trouble::None, Load::Reads, backend::Behaviour::Fail)]
#[case::no_trouble_and_lost_answers(Trouble::None, Load::Reads, backend::Behaviour::DropResponse)]
#[case::restarts(Trouble::Restarts, Load::Reads, backend::Behaviour::Fail)]
#[case::restarts_and_lost_answers(Trouble::Restarts, Load::Reads, backend::Behaviour::DropResponse)]
#[case::all_restart(Trouble::AllRestart, Load::Reads, backend::Behaviour::Fail)]
#[case::all_restart_without_store(
    Trouble::AllRestartWithoutStore,
    Load::Reads,
    backend::Behaviour::Fail
)]
#[case::pauses(Trouble::Pauses, Load::Reads, backend::Behaviour::Fail)]
#[case::declined(Trouble::None, Load::Reads, backend::Behaviour::Decline)]
#[case::servers_pause(Trouble::None, Load::Reads, backend::Behaviour::ask_for_pause("0.3"))]
#[case::servers_pause_and_restarts(
    Trouble::Restarts,
    Load::Reads,
    backend::Behaviour::ask_for_pause("0.3")
)]
#[case::resumed_streams(
    Trouble::Restarts,
    Load::Streams,
    backend::Behaviour::TruncateStream { after: 1 }
)]
#[case::declined_streams(Trouble::None, Load::Streams, backend::Behaviour::Decline)]
#[case::escalations(
    Trouble::None,
    Load::Escalations,
    backend::Behaviour::LowConfidenceStream { last: 3 }
)]
#[tokio::test(flavor = "multi_thread")]
async fn retries_of_all_hosts_stay_within_the_allowance(
    #[case] trouble: Trouble,
    #[case] load: Load,
    #[case] behaviour: backend::Behaviour,
) {
    let mut fleet = GatewayFleet::prepare().await;
    let store = proxy::Proxy::start(fleet.store.address).await;
    fleet.store_address = store.address;
    fleet.retry_allowance = Some(RETRY_ALLOWANCE);
    let configuration = match load {
        Load::Escalations => gateway_fleet::cascade_configuration(2),
        Load::Reads | Load::Streams => gateway_fleet::configuration(2),
    };
    fleet.store.put("config", "main", &configuration);
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let server = backend::Backend::start(&format!("s-{number}"), behaviour.clone()).await;
        fleet.register(load.service(), &server, "ready");
        servers.push(server);
    }
    for _ in 0..HOST_COUNT {
        fleet.add_ready_host().await;
    }
    let fleet = Arc::new(tokio::sync::RwLock::new(fleet));
    let is_finished = Arc::new(atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (fleet, is_finished) = (Arc::clone(&fleet), Arc::clone(&is_finished));
            tokio::spawn(run_caller(load, fleet, is_finished, caller))
        })
        .collect();
    cause(trouble, &fleet, &store).await;
    is_finished.store(true, atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("a caller does not panic");
    }
    let arrivals: usize = servers.iter().map(|server| server.arrivals().len()).sum();
    let retries = most_retries(&servers);
    println!("{trouble:?}, {load:?}: {arrivals} arrivals, at most {retries} retries in a window");
    assert!(retries > 0, "requests are retried");
    assert!(retries <= usize::try_from(RETRY_ALLOWANCE).expect("a small number"));
}
