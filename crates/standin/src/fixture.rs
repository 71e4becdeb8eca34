//! Status objects as the platform's host list stores them.

use std::collections;
use std::net;

use crate::platform;

/// Lists a backend server at the platform.
pub fn list_server(
    platform: &platform::Platform,
    pool: &str,
    address: net::SocketAddr,
    loaded: &collections::BTreeSet<String>,
    is_leaving: bool,
) {
    let value = serde_json::json!({
        "address": address,
        "pool": pool,
        "leaving": is_leaving,
        "loaded": loaded,
    });
    platform.put(&server_key(pool, address), value.to_string().as_bytes());
}

/// Key of a backend server's status object.
#[must_use]
pub fn server_key(pool: &str, address: net::SocketAddr) -> String {
    format!("status/servers/{pool}/{address}")
}
