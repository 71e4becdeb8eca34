//! Time that a host adds to streamed answers, against callers that go straight to the engine.

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

/// Times of one side, in microseconds.
#[derive(Debug)]
struct Times {
    first: Histogram,
    between: Histogram,
    failed: u64,
}

type SharedTimes = Arc<Mutex<Times>>;

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: Client = hyper_util::client::legacy::Client::builder(executor).build_http();
    let direct = times();
    let through = times();
    for _ in 0..arguments.turns {
        turn(&client, &arguments, arguments.direct, &direct).await;
        turn(&client, &arguments, arguments.host, &through).await;
    }
    println!(
        "{:<10} {:>9} {:>12} {:>12} {:>14} {:>14} {:>7}",
        "side", "answers", "first p50", "first p99", "between p50", "between p99", "failed"
    );
    show("direct", &direct);
    show("through", &through);
}

fn times() -> SharedTimes {
    let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    Arc::new(Mutex::new(Times { first: histogram(), between: histogram(), failed: 0 }))
}

/// Sends requests at a steady rate, whether answers come or not.
async fn turn(client: &Client, arguments: &Arguments, to: net::SocketAddr, times: &SharedTimes) {
    let count = arguments.rate * arguments.turn_s;
    let mut tick =
        tokio::time::interval(time::Duration::from_nanos(1_000_000_000 / arguments.rate));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..count {
        tick.tick().await;
        let (client, arguments, times) = (client.clone(), arguments.clone(), Arc::clone(times));
        tasks.spawn(async move { one(&client, &arguments, to, &times).await });
    }
    while tasks.join_next().await.is_some() {}
}

async fn one(client: &Client, arguments: &Arguments, to: net::SocketAddr, times: &SharedTimes) {
    let body = serde_json::json!({
        "model": arguments.model, "stream": true, "max_tokens": arguments.tokens,
        "messages": [{ "role": "user", "content": "knots" }],
    });
    let request = hyper::Request::post(format!("http://{to}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", arguments.key))
        .header("x-toucanwall-item", &arguments.item)
        .body(Body::from(body.to_string()));
    let started = time::Instant::now();
    let answer = match request {
        Ok(request) => client.request(request).await,
        Err(_) => return,
    };
    let Some(answer) = answer.ok().filter(|answer| answer.status() == 200) else {
        lock(times).failed += 1;
        return;
    };
    let mut body = answer.into_body();
    let mut last = None;
    while let Some(Ok(_)) = body.frame().await {
        let now = time::Instant::now();
        let mut times = lock(times);
        let (histogram, since) = match last {
            None => (&mut times.first, started),
            Some(last) => (&mut times.between, last),
        };
        histogram.saturating_record(micros(now - since));
        last = Some(now);
    }
}

fn show(side: &str, times: &SharedTimes) {
    let times = lock(times);
    let millis = |histogram: &Histogram, quantile: f64| {
        let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        format!("{:.2} ms", f64::from(micros) / 1_000.0)
    };
    println!(
        "{side:<10} {:>9} {:>12} {:>12} {:>14} {:>14} {:>7}",
        times.first.len(),
        millis(&times.first, 0.5),
        millis(&times.first, 0.99),
        millis(&times.between, 0.5),
        millis(&times.between, 0.99),
        times.failed
    );
}

fn lock(times: &SharedTimes) -> std::sync::MutexGuard<'_, Times> {
    times.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
