//! Example client for the quickstart: sends sample requests and prints the responses.

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

/// A response as the caller sees it.
#[derive(Debug)]
struct Response {
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
    let hosts = fetch_addresses(&client, arguments.host).await?;
    match arguments.traffic_ms {
        Some(traffic_ms) => generate_traffic(&client, &arguments, &hosts, traffic_ms).await,
        None => send_sample_requests(&client, &arguments, &hosts).await,
    }
}

async fn send_sample_requests(
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
    print_row("a short chat", &chat, "");
    let session_token = chat.session.clone();
    let second_chat =
        self::chat(client, arguments, second, "and for a thin one?", 24, session_token).await?;
    let note = if second_chat.item == chat.item { "same version" } else { "ANOTHER VERSION" };
    print_row("the same session, another host", &second_chat, note);
    let hard_chat =
        self::chat(client, arguments, first, "a hard question on line tension", 24, None).await?;
    let is_escalated = hard_chat.item != chat.item;
    let note = if is_escalated { "replaced by the strong model" } else { "" };
    print_row("a hard chat", &hard_chat, note);
    let draft =
        self::chat(client, arguments, second, "hard: draft the season rulebook", 400, None).await?;
    let events = draft.body.matches("data: {").count();
    let is_complete = draft.body.ends_with("data: [DONE]\n\n");
    let note = format!("{events} events, {}", if is_complete { "whole" } else { "NOT WHOLE" });
    print_row("a long draft", &draft, &note);
    let key = format!("tour-{}", std::process::id());
    let booking = call_service(client, arguments, first, &key).await?;
    print_row("a call that may not be repeated", &booking, &booking.body);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    let repeated_booking = call_service(client, arguments, second, &key).await?;
    let note = if repeated_booking.is_replayed {
        "the first answer, not run again"
    } else {
        &repeated_booking.body
    };
    print_row("the same call, another host", &repeated_booking, note);
    let key = format!("{key}-at-once");
    let (first_result, second_result) = tokio::join!(
        call_service(client, arguments, first, &key),
        call_service(client, arguments, second, &key)
    );
    for response in [first_result?, second_result?] {
        print_row("one call at two hosts at once", &response, &response.body);
    }
    Ok(())
}

/// Sends chats in new sessions one after another and counts the versions that executed them.
async fn generate_traffic(
    client: &Client,
    arguments: &Arguments,
    hosts: &[net::SocketAddr],
    traffic_ms: u64,
) -> Result<(), Error> {
    const INTERVAL_MS: u128 = 500;
    let started = time::Instant::now();
    let mut counts: collections::BTreeMap<u128, collections::BTreeMap<String, u64>> =
        collections::BTreeMap::new();
    let mut number = 0_usize;
    while started.elapsed() < time::Duration::from_millis(traffic_ms) {
        let host = hosts[number % hosts.len()];
        let prompt = format!("knot number {number}?");
        let interval = started.elapsed().as_millis() / INTERVAL_MS;
        let response = chat(client, arguments, host, &prompt, 2, None).await?;
        let outcome = if response.status == 200 {
            response.item
        } else {
            format!("status {}", response.status)
        };
        *counts.entry(interval).or_default().entry(outcome).or_default() += 1;
        number += 1;
    }
    println!("chats of new sessions, by the half second that they were sent in:");
    for (interval, by_item) in counts {
        println!("  from {:>5} ms: {by_item:?}", interval * INTERVAL_MS);
    }
    Ok(())
}

fn print_row(request: &str, response: &Response, note: &str) {
    println!(
        "{request:<34} {:>6} {:<24} {:>9} {:>8}  {note}",
        response.status, response.item, response.first_byte_ms, response.took_ms
    );
}

async fn fetch_addresses(
    client: &Client,
    host: net::SocketAddr,
) -> Result<Vec<net::SocketAddr>, Error> {
    let response = client.get(format!("http://{host}/v1/addresses").parse()?).await?;
    let bytes = response.into_body().collect().await?.to_bytes();
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
) -> Result<Response, Error> {
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
    send_request(client, request.body(Body::from(body.to_string()))?).await
}

async fn call_service(
    client: &Client,
    arguments: &Arguments,
    host: net::SocketAddr,
    key: &str,
) -> Result<Response, Error> {
    let request = hyper::Request::post(format!("http://{host}/v1/services/{}", arguments.call))
        .header("authorization", format!("Bearer {}", arguments.key))
        .header("idempotency-key", key)
        .body(Body::from(format!("slot for {key}")))?;
    send_request(client, request).await
}

async fn send_request(client: &Client, request: hyper::Request<Body>) -> Result<Response, Error> {
    let started = time::Instant::now();
    let response = client.request(request).await?;
    let first_byte_ms = started.elapsed().as_millis();
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let (item, session) = (header("x-toucanwall-item"), header("x-toucanwall-session"));
    let is_replayed = header("x-toucanwall-replayed").is_some();
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(Response {
        status,
        item: item.unwrap_or_else(|| "-".to_owned()),
        session,
        is_replayed,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        first_byte_ms,
        took_ms: started.elapsed().as_millis(),
    })
}
