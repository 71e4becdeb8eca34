//! Callers for the quickstart: sends a tour of requests and prints what came back.

use std::collections;
use std::net;
use std::time;

use clap::Parser;
use http_body_util::BodyExt as _;

type Body = http_body_util::Full<bytes::Bytes>;
type Connector = hyper_util::client::legacy::connect::HttpConnector;
type Client = hyper_util::client::legacy::Client<Connector, Body>;
type Error = Box<dyn std::error::Error + Send + Sync>;

/// Callers for the quickstart.
#[derive(Debug)]
#[derive(Parser)]
struct Arguments {
    /// Any host; it tells which hosts to use.
    #[arg(long)]
    host: net::SocketAddr,
    /// The organisation's key.
    #[arg(long)]
    key: String,
    /// The cascade to chat with.
    #[arg(long)]
    cascade: String,
    /// The service and path of a call that may not be repeated.
    #[arg(long)]
    call: String,
    /// Keep sending chats for so long instead, in milliseconds, and count versions.
    #[arg(long)]
    traffic_ms: Option<u64>,
}

/// An answer as a caller sees it.
#[derive(Debug)]
struct Answer {
    status: u16,
    item: String,
    session: Option<String>,
    is_replayed: bool,
    body: String,
    first_byte_ms: u128,
    took_ms: u128,
}

#[tokio::main]
async fn main() -> Result<(), Error> {
    let arguments = Arguments::parse();
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: Client = hyper_util::client::legacy::Client::builder(executor).build_http();
    let hosts = addresses(&client, arguments.host).await?;
    match arguments.traffic_ms {
        Some(traffic_ms) => traffic(&client, &arguments, &hosts, traffic_ms).await,
        None => tour(&client, &arguments, &hosts).await,
    }
}

async fn tour(
    client: &Client,
    arguments: &Arguments,
    hosts: &[net::SocketAddr],
) -> Result<(), Error> {
    println!(
        "{:<34} {:>6} {:<24} {:>9} {:>8}  note",
        "request", "status", "ran on", "first ms", "all ms"
    );
    let (first, second) = (hosts[0], hosts[1 % hosts.len()]);
    let chat = chat(client, arguments, first, "which knot for a wet line?", 24, None).await?;
    row("a short chat", &chat, "");
    let token = chat.session.clone();
    let again = self::chat(client, arguments, second, "and for a thin one?", 24, token).await?;
    let note = if again.item == chat.item { "same version" } else { "ANOTHER VERSION" };
    row("the same session, another host", &again, note);
    let hard =
        self::chat(client, arguments, first, "a hard question on line tension", 24, None).await?;
    let is_replaced = hard.item != chat.item;
    let note = if is_replaced { "replaced by the strong model" } else { "" };
    row("a hard chat", &hard, note);
    let draft =
        self::chat(client, arguments, second, "hard: draft the season rulebook", 400, None).await?;
    let events = draft.body.matches("data: {").count();
    let is_whole = draft.body.ends_with("data: [DONE]\n\n");
    let note = format!("{events} events, {}", if is_whole { "whole" } else { "NOT WHOLE" });
    row("a long draft", &draft, &note);
    let key = format!("tour-{}", std::process::id());
    let booking = call(client, arguments, first, &key).await?;
    row("a call that may not be repeated", &booking, &booking.body);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let doubled = call(client, arguments, second, &key).await?;
    let note = if doubled.is_replayed { "the first answer, not run again" } else { &doubled.body };
    row("the same call, another host", &doubled, note);
    let key = format!("{key}-at-once");
    let (left, right) =
        tokio::join!(call(client, arguments, first, &key), call(client, arguments, second, &key));
    for answer in [left?, right?] {
        row("one call at two hosts at once", &answer, &answer.body);
    }
    Ok(())
}

/// Sends chats of new sessions all the time and counts where they ran.
async fn traffic(
    client: &Client,
    arguments: &Arguments,
    hosts: &[net::SocketAddr],
    traffic_ms: u64,
) -> Result<(), Error> {
    const SLICE_MS: u128 = 500;
    let started = time::Instant::now();
    let mut counts: collections::BTreeMap<u128, collections::BTreeMap<String, u64>> =
        collections::BTreeMap::new();
    let mut number = 0_usize;
    while started.elapsed() < time::Duration::from_millis(traffic_ms) {
        let host = hosts[number % hosts.len()];
        let prompt = format!("knot number {number}?");
        let slice = started.elapsed().as_millis() / SLICE_MS;
        let answer = chat(client, arguments, host, &prompt, 2, None).await?;
        let ran =
            if answer.status == 200 { answer.item } else { format!("status {}", answer.status) };
        *counts.entry(slice).or_default().entry(ran).or_default() += 1;
        number += 1;
    }
    println!("chats of new sessions, by the half second that they were sent in:");
    for (slice, by_item) in counts {
        println!("  from {:>5} ms: {by_item:?}", slice * SLICE_MS);
    }
    Ok(())
}

fn row(request: &str, answer: &Answer, note: &str) {
    println!(
        "{request:<34} {:>6} {:<24} {:>9} {:>8}  {note}",
        answer.status, answer.item, answer.first_byte_ms, answer.took_ms
    );
}

async fn addresses(client: &Client, host: net::SocketAddr) -> Result<Vec<net::SocketAddr>, Error> {
    let answer = client.get(format!("http://{host}/v1/addresses").parse()?).await?;
    let bytes = answer.into_body().collect().await?.to_bytes();
    let json: serde_json::Value = serde_json::from_slice(&bytes)?;
    Ok(serde_json::from_value(json["addresses"].clone())?)
}

async fn chat(
    client: &Client,
    arguments: &Arguments,
    host: net::SocketAddr,
    prompt: &str,
    max_tokens: u64,
    session: Option<String>,
) -> Result<Answer, Error> {
    let body = serde_json::json!({
        "model": arguments.cascade,
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    let mut request = hyper::Request::post(format!("http://{host}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", arguments.key));
    if let Some(token) = session {
        request = request.header("x-toucanwall-session", token);
    }
    send(client, request.body(Body::from(body.to_string()))?).await
}

async fn call(
    client: &Client,
    arguments: &Arguments,
    host: net::SocketAddr,
    key: &str,
) -> Result<Answer, Error> {
    let request = hyper::Request::post(format!("http://{host}/v1/services/{}", arguments.call))
        .header("authorization", format!("Bearer {}", arguments.key))
        .header("idempotency-key", key)
        .body(Body::from(format!("slot for {key}")))?;
    send(client, request).await
}

async fn send(client: &Client, request: hyper::Request<Body>) -> Result<Answer, Error> {
    let started = time::Instant::now();
    let answer = client.request(request).await?;
    let first_byte_ms = started.elapsed().as_millis();
    let text = |name: &str| {
        answer.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let (item, session) = (text("x-toucanwall-item"), text("x-toucanwall-session"));
    let is_replayed = text("x-toucanwall-replayed").is_some();
    let status = answer.status().as_u16();
    let bytes = answer.into_body().collect().await?.to_bytes();
    Ok(Answer {
        status,
        item: item.unwrap_or_else(|| "-".to_owned()),
        session,
        is_replayed,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        first_byte_ms,
        took_ms: started.elapsed().as_millis(),
    })
}
