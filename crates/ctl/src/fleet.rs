//! Queries the hosts for the revision that each has in force.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use serde::Deserialize;

use crate::error;

/// Timeout of a request to one host, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Interval between two polls of all hosts, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;
/// Largest response body that is accepted, in bytes.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A host and the revision that it has in force.
#[derive(Debug, Clone)]
pub struct HostState {
    /// Id of the host.
    pub id: String,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Data centre of the host.
    pub data_centre: String,
    /// Membership status as reported by the queried host.
    pub status: String,
    /// Revision in force; `None` if the host gave no valid response.
    pub revision: Option<u64>,
}

/// Response body of `/status`.
#[derive(Debug)]
#[derive(Deserialize)]
struct Status {
    members: Vec<Member>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Member {
    id: String,
    caller_address: net::SocketAddr,
    data_centre: String,
    status: String,
}

/// Response body of `/v1/revision`.
#[derive(Debug)]
#[derive(Deserialize)]
struct Revision {
    revision: u64,
}

/// Queries one host for the members, and each member that is not dead for its revision.
///
/// # Errors
/// The host at `admin_address` does not respond, or its response is invalid.
pub async fn fetch_hosts(
    admin_address: net::SocketAddr,
) -> Result<Vec<HostState>, error::CommandError> {
    let bytes = get_with_timeout(admin_address, "/status").await?;
    let status: Status = serde_json::from_slice(&bytes).map_err(|error| {
        error::CommandError::Host { address: admin_address.to_string(), problem: error.to_string() }
    })?;
    let mut hosts = Vec::new();
    for member in status.members.into_iter().filter(|member| member.status != "dead") {
        let revision = match get_with_timeout(member.caller_address, "/v1/revision").await {
            Ok(bytes) => serde_json::from_slice::<Revision>(&bytes).ok().map(|body| body.revision),
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

/// Waits until every live host has `revision` or a later one in force.
///
/// # Errors
/// The host at `admin_address` gives no valid response, or some hosts do not have the revision
/// in force when the timeout expires; the error lists them.
pub async fn wait_in_force(
    admin_address: net::SocketAddr,
    revision: u64,
    timeout: time::Duration,
) -> Result<(), error::CommandError> {
    let started = time::Instant::now();
    loop {
        let hosts = fetch_hosts(admin_address).await?;
        let outdated: Vec<String> = hosts
            .iter()
            .filter(|host| host.revision.is_none_or(|in_force| in_force < revision))
            .map(|host| format!("{} at {}", host.id, host.caller_address))
            .collect();
        if outdated.is_empty() {
            let elapsed_ms = started.elapsed().as_millis();
            println!(
                "revision {revision} is in force on all {} hosts ({elapsed_ms} ms)",
                hosts.len()
            );
            return Ok(());
        }
        if started.elapsed() >= timeout {
            return Err(error::CommandError::NotInForce { revision, hosts: outdated.join(", ") });
        }
        tokio::time::sleep(time::Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

async fn get_with_timeout(
    address: net::SocketAddr,
    path: &str,
) -> Result<bytes::Bytes, error::CommandError> {
    let host_error =
        |problem: String| error::CommandError::Host { address: address.to_string(), problem };
    let timeout = time::Duration::from_millis(REQUEST_TIMEOUT_MS);
    match tokio::time::timeout(timeout, get(address, path)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(problem)) => Err(host_error(problem)),
        Err(_) => Err(host_error(format!("no response within {REQUEST_TIMEOUT_MS} ms"))),
    }
}

async fn get(address: net::SocketAddr, path: &str) -> Result<bytes::Bytes, String> {
    let executor = hyper_util::rt::TokioExecutor::new();
    let client: hyper_util::client::legacy::Client<_, http_body_util::Empty<bytes::Bytes>> =
        hyper_util::client::legacy::Client::builder(executor).build_http();
    let uri = format!("http://{address}{path}");
    let uri = uri.parse().map_err(|error: hyper::http::uri::InvalidUri| error.to_string())?;
    let response = client.get(uri).await.map_err(|error| error.to_string())?;
    let body = http_body_util::Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
    Ok(body.collect().await.map_err(|error| error.to_string())?.to_bytes())
}
