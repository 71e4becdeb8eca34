//! Asking the hosts what they have in force.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use serde::Deserialize;

use crate::error;

/// Time that one host may take to answer, in milliseconds.
const ASK_MS: u64 = 2_000;
/// Pause between two rounds of asking, in milliseconds.
const ROUND_MS: u64 = 250;
/// Largest answer that is read, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A host and what it has in force.
#[derive(Debug, Clone)]
pub struct HostState {
    /// Its identity.
    pub id: String,
    /// Where callers connect.
    pub caller_address: net::SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its state as the asked host sees it.
    pub status: String,
    /// Revision in force; nothing if it did not answer.
    pub revision: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct StatusAnswer {
    members: Vec<MemberAnswer>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct MemberAnswer {
    id: String,
    caller_address: net::SocketAddr,
    data_centre: String,
    status: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RevisionAnswer {
    revision: u64,
}

/// Asks one host who the members are, and each of them what it has in force.
///
/// # Errors
/// The first host does not answer.
pub async fn hosts(admin: net::SocketAddr) -> Result<Vec<HostState>, error::CommandError> {
    let bytes = get(admin, "/status").await?;
    let answer: StatusAnswer = serde_json::from_slice(&bytes).map_err(|error| {
        error::CommandError::Host { address: admin.to_string(), problem: error.to_string() }
    })?;
    let mut hosts = Vec::new();
    for member in answer.members.into_iter().filter(|member| member.status != "dead") {
        let revision = match get(member.caller_address, "/v1/revision").await {
            Ok(bytes) => serde_json::from_slice::<RevisionAnswer>(&bytes).ok().map(|a| a.revision),
            Err(_) => None,
        };
        hosts.push(HostState {
            id: member.id,
            caller_address: member.caller_address,
            data_centre: member.data_centre,
            status: member.status,
            revision,
        });
    }
    Ok(hosts)
}

/// Waits until every live host has a revision in force.
///
/// # Errors
/// The first host does not answer, or time is up; the hosts that lack it are named.
pub async fn wait_in_force(
    admin: net::SocketAddr,
    revision: u64,
    limit: time::Duration,
) -> Result<(), error::CommandError> {
    let started = time::Instant::now();
    loop {
        let hosts = hosts(admin).await?;
        let lacking: Vec<String> = hosts
            .iter()
            .filter(|host| host.revision.is_none_or(|known| known < revision))
            .map(|host| format!("{} at {}", host.id, host.caller_address))
            .collect();
        if lacking.is_empty() {
            let took_ms = started.elapsed().as_millis();
            println!("revision {revision} is in force on all {} hosts ({took_ms} ms)", hosts.len());
            return Ok(());
        }
        if started.elapsed() >= limit {
            return Err(error::CommandError::NotInForce { revision, hosts: lacking.join(", ") });
        }
        tokio::time::sleep(time::Duration::from_millis(ROUND_MS)).await;
    }
}

async fn get(address: net::SocketAddr, path: &str) -> Result<bytes::Bytes, error::CommandError> {
    let fail =
        |problem: String| error::CommandError::Host { address: address.to_string(), problem };
    let limit = time::Duration::from_millis(ASK_MS);
    match tokio::time::timeout(limit, try_get(address, path)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(problem)) => Err(fail(problem)),
        Err(_) => Err(fail(format!("no answer within {ASK_MS} ms"))),
    }
}

async fn try_get(address: net::SocketAddr, path: &str) -> Result<bytes::Bytes, String> {
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: hyper_util::client::legacy::Client<_, http_body_util::Empty<bytes::Bytes>> =
        hyper_util::client::legacy::Client::builder(executor).build_http();
    let uri = format!("http://{address}{path}");
    let uri = uri.parse().map_err(|error: hyper::http::uri::InvalidUri| error.to_string())?;
    let answer = client.get(uri).await.map_err(|error| error.to_string())?;
    let body = http_body_util::Limited::new(answer.into_body(), BODY_MAX_BYTES);
    Ok(body.collect().await.map_err(|error| error.to_string())?.to_bytes())
}
