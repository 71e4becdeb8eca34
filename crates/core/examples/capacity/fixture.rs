//! A configuration document of a given size, and the status objects of backend servers.

use std::fmt::Write as _;
use std::sync::Arc;

use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;
use toucanwall_document::check;
use toucanwall_document::parts as document_parts;

use crate::store;

/// Approximate size of an organisation in the document, in bytes.
const ORGANISATION_BYTES: usize = 230;

/// Returns the API key digest of the organisation with the given number.
pub fn key_sha256(number: usize) -> Arc<str> {
    format!("{number:064x}").into()
}

/// Returns the parts of a document of roughly `document_kb` kilobytes, in which one version of
/// the model has a share of `share_percent`.
pub fn configuration_parts(document_kb: usize, share_percent: u64) -> parts::Parts {
    let organisations = (document_kb * 1_024 / ORGANISATION_BYTES).max(1);
    let mut text = format!(
        "pools:\n  engines: {{ server_slots: 100000 }}\n  desk: {{ server_slots: 100000 }}\n\
         models:\n  model:\n    pool: engines\n    cost_microcents_per_kilotoken: 1000\n    versions:\n\
         \x20     \"1\": {{ share_percent: {share_percent} }}\n      \"2\": {{ share_percent: {} }}\n\
         services:\n  desk: {{ pool: desk, non_idempotent: [\"POST /bookings\"] }}\n\
         organisations:\n",
        100 - share_percent
    );
    for number in 0..organisations {
        let key = key_sha256(number);
        writeln!(
            text,
            "  organisation-{number}:\n    key_sha256: \"{key}\"\n    models: [model]\n    services: [desk]\n    requests_per_s: 1000000"
        )
        .expect("writing to a string cannot fail");
    }
    let document = check::check("fixture", &text).unwrap_or_else(|findings| panic!("{findings}"));
    document_parts::split(&document)
}

/// Returns the change that turns `base` into `next`.
pub fn next_change(base: &config_replica::Snapshot, next: &parts::Parts) -> config_replica::Change {
    config_replica::Change {
        revision: base.revision + 1,
        author: Arc::from("operator"),
        reason: Arc::from("a change of shares"),
        at_ms: 0,
        nonce: base.revision,
        difference: base.parts.difference_to(next),
        digest: next.digest(),
    }
}

/// Stores the status objects of backend servers at the platform.
pub fn register_servers(store: &mut store::Store, servers: usize) {
    for number in 0..servers.max(2) {
        let pool = if number % 10 == 0 { "desk" } else { "engines" };
        let address = format!("10.9.{}.{}:8000", number / 250, number % 250 + 1);
        let value = serde_json::json!({
            "address": address, "pool": pool, "leaving": false, "loaded": ["model@1", "model@2"],
        });
        let key = format!("status/servers/{pool}/{address}");
        store.put(&key, value.to_string().into_bytes().into());
    }
}
