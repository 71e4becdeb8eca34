//! Reads and writes objects in the stand-in of the platform's store, in the form that hosts use.

use std::collections;
use std::net;

use toucanwall_platform::client;
use toucanwall_platform_standin::store;

/// Registers a backend server in the platform's store.
///
/// # Panics
/// The entry cannot be encoded as JSON.
pub fn register_server(
    store: &store::Store,
    pool: &str,
    address: net::SocketAddr,
    loaded: &collections::BTreeSet<String>,
    is_draining: bool,
) {
    let value = serde_json::json!({
        "address": address,
        "pool": pool,
        "leaving": is_draining,
        "loaded": loaded,
    });
    let location = client::Location::from_key(&format!("status/servers/{pool}/{address}"));
    let value = client::encode_value(value.to_string().as_bytes()).expect("JSON");
    let spec = serde_json::to_value(value).expect("JSON");
    store.put(&location.kind, &location.name, &spec);
}

/// Returns the values of the objects whose keys start with a prefix, in key order.
///
/// # Panics
/// A value was not encoded by [`client::encode_value`].
#[must_use]
pub fn values_with_prefix(store: &store::Store, prefix: &str) -> Vec<Vec<u8>> {
    let location = client::Location::from_key(prefix);
    let objects = store.list(&location.kind, &location.name);
    let values = objects.iter().map(|(_, object)| {
        client::decode_value(&object["spec"].to_string()).expect("an encoded value")
    });
    values.collect()
}
