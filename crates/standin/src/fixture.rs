//! Objects as the platform's host list stores them.

use std::collections;
use std::net;

use toucanwall_platform::client;
use toucanwall_platform_standin::store;

/// Lists a backend server at the platform.
///
/// # Panics
/// The entry cannot be written as JSON.
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
    let place = client::Location::from_key(&format!("status/servers/{pool}/{address}"));
    let value = client::encode_value(value.to_string().as_bytes()).expect("JSON");
    let spec = serde_json::to_value(value).expect("JSON");
    store.put(&place.kind, &place.name, &spec);
}

/// Values of the objects whose keys begin with a prefix, in the order of the keys.
///
/// # Panics
/// An object was not written by the client for keys.
#[must_use]
pub fn values_with_prefix(store: &store::Store, prefix: &str) -> Vec<Vec<u8>> {
    let place = client::Location::from_key(prefix);
    let objects = store.list(&place.kind, &place.name);
    let values = objects.iter().map(|(_, object)| {
        client::decode_value(&object["spec"].to_string()).expect("a value with a key")
    });
    values.collect()
}
