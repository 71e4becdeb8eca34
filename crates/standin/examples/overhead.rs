//! Measures the latency that a host adds to streamed responses, compared with calling the engine
//! directly.

use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use clap::Parser;
use http_body_util::BodyExt as _;

type Body = http_body_util::Full<bytes::Bytes>;
type Connector = hyper_util::client::legacy::connect::HttpConnector;
type Client = hyper_util::client::legacy::Client<Connector, Body>;
type Histogram = hdrhistogram::Histogram<u64>;

/// Compares a host with the engine behind it, in turns within one run.
#[derive(Debug, Clone)]
#[derive(Parser)]
struct Arguments {
    /// The engine.
    #[arg(long)]
    direct: net::SocketAddr,
    /// The host.
    #[arg(long)]
    host: net::SocketAddr,
    /// The organisation's key.
    #[arg(long)]
    key: String,
    /// The model, and the version that the engine has.
    #[arg(long, default_value = "kite-small")]
    model: String,
    /// What the engine is asked for directly.
    #[arg(long, default_value = "kite-small@2026-09")]
    item: String,
    /// Requests a second.
    #[arg(long, default_value_t = 2_000)]
    rate: u64,
    /// Length of one turn, in seconds.
    #[arg(long, default_value_t = 3)]
    turn_s: u64,
    /// Turns of each side.
    #[arg(long, default_value_t = 3)]
    turns: u64,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 4)]
    tokens: u64,
}

/// Latencies of one target, in microseconds.
#[derive(Debug)]
struct Latencies {
    first_event: Histogram,
    between_events: Histogram,
    failed: u64,
}

type SharedLatencies = Arc<Mutex<Latencies>>;

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: Client = hyper_util::client::legacy::Client::builder(executor).build_http();
    let direct_latencies = new_latencies();
    let host_latencies = new_latencies();
    for _ in 0..arguments.turns {
        run_turn(&client, &arguments, arguments.direct, &direct_latencies).await;
        run_turn(&client, &arguments, arguments.host, &host_latencies).await;
    }
    println!(
        "{:<10} {:>9} {:>12} {:>12} {:>14} {:>14} {:>7}",
        "side", "answers", "first p50", "first p99", "between p50", "between p99", "failed"
    );
    print_row("direct", &direct_latencies);
    print_row("through", &host_latencies);
}

fn new_latencies() -> SharedLatencies {
    let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    Arc::new(Mutex::new(Latencies {
        first_event: histogram(),
        between_events: histogram(),
        failed: 0,
    }))
}

/// Sends requests at a constant rate, regardless of outstanding responses.
async fn run_turn(
    client: &Client,
    arguments: &Arguments,
    to: net::SocketAddr,
    latencies: &SharedLatencies,
) {
    let count = arguments.rate * arguments.turn_s;
    let mut tick =
        tokio::time::interval(time::Duration::from_nanos(1_000_000_000 / arguments.rate));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..count {
        tick.tick().await;
        let (client, arguments, latencies) =
            (client.clone(), arguments.clone(), Arc::clone(latencies));
        tasks.spawn(async move { send_request(&client, &arguments, to, &latencies).await });
    }
    while tasks.join_next().await.is_some() {}
}

async fn send_request(
    client: &Client,
    arguments: &Arguments,
    to: net::SocketAddr,
    latencies: &SharedLatencies,
) {
    let body = serde_json::json!({
        "model": arguments.model, "stream": true, "max_tokens": arguments.tokens,
        "messages": [{ "role": "user", "content": "knots" }],
    });
    let request = hyper::Request::post(format!("http://{to}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", arguments.key))
        .header("x-toucanwall-item", &arguments.item)
        .body(Body::from(body.to_string()));
    let started = time::Instant::now();
    let response = match request {
        Ok(request) => client.request(request).await,
        Err(_) => return,
    };
    let Some(response) = response.ok().filter(|response| response.status() == 200) else {
        lock(latencies).failed += 1;
        return;
    };
    let mut body = response.into_body();
    let mut last = None;
    while let Some(Ok(_)) = body.frame().await {
        let now = time::Instant::now();
        let mut latencies = lock(latencies);
        let (histogram, since) = match last {
            None => (&mut latencies.first_event, started),
            Some(last) => (&mut latencies.between_events, last),
        };
        histogram.saturating_record(saturating_micros(now - since));
        last = Some(now);
    }
}

fn print_row(side: &str, latencies: &SharedLatencies) {
    let latencies = lock(latencies);
    let format_ms = |histogram: &Histogram, quantile: f64| {
        let latency_us = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        format!("{:.2} ms", f64::from(latency_us) / 1_000.0)
    };
    println!(
        "{side:<10} {:>9} {:>12} {:>12} {:>14} {:>14} {:>7}",
        latencies.first_event.len(),
        format_ms(&latencies.first_event, 0.5),
        format_ms(&latencies.first_event, 0.99),
        format_ms(&latencies.between_events, 0.5),
        format_ms(&latencies.between_events, 0.99),
        latencies.failed
    );
}

fn lock(latencies: &SharedLatencies) -> std::sync::MutexGuard<'_, Latencies> {
    latencies.lock().unwrap_or_else(PoisonError::into_inner)
}

fn saturating_micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
