//! The settings file of a host.

use std::net;
use std::sync::Arc;

use crate::fields;
use crate::finding;
use crate::name;
use crate::node;

/// Settings of a host, read once at startup.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Data centre of the host.
    pub data_centre: name::Name,
    /// Region of the data centre.
    pub region: name::Name,
    /// Address on which callers connect.
    pub caller_address: net::SocketAddr,
    /// Address on which other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Address on which operators read health, status and metrics.
    pub admin_address: net::SocketAddr,
    /// Address of the platform's store.
    pub platform_address: net::SocketAddr,
    /// Address of the rating service, if there is one.
    pub rating_address: Option<net::SocketAddr>,
    /// Addresses of hosts to contact at startup.
    pub peers: Vec<net::SocketAddr>,
    /// File with the keys that authenticate messages between hosts: one `id:secret` per line.
    /// The first key signs; all of them verify.
    pub key_file: Arc<str>,
    /// How long callers may cache the list of host addresses, in milliseconds.
    pub address_ttl_ms: u64,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub shutdown_ms: u64,
    /// Number of ledger shards; must be the same on all hosts.
    pub ledger_shards: u64,
    /// Number of worker threads that serve requests.
    pub traffic_threads: u64,
}

impl TryFrom<&node::Node> for Settings {
    type Error = finding::Findings;

    fn try_from(root: &node::Node) -> Result<Self, Self::Error> {
        let mut findings = finding::Findings::new("settings");
        let settings = read(root, &mut findings);
        if findings.is_empty() { Ok(settings) } else { Err(findings) }
    }
}

/// Parses and validates the text of the settings file named `source`.
///
/// # Errors
/// All findings of the text.
pub fn check(source: &str, text: &str) -> Result<Settings, finding::Findings> {
    let root = node::Node::parse(source, text)?;
    Settings::try_from(&root).map_err(|mut findings| {
        source.clone_into(&mut findings.source);
        findings
    })
}

fn read(root: &node::Node, findings: &mut finding::Findings) -> Settings {
    let mut fields = fields::Fields::from_node(root, "", findings);
    let settings = Settings {
        data_centre: read_name(&mut fields, "data_centre", findings),
        region: read_name(&mut fields, "region", findings),
        caller_address: read_address(&mut fields, "caller_address", findings),
        peer_address: read_address(&mut fields, "peer_address", findings),
        admin_address: read_address(&mut fields, "admin_address", findings),
        platform_address: read_address(&mut fields, "platform_address", findings),
        rating_address: read_optional_address(&mut fields, "rating_address", findings),
        peers: read_addresses(&mut fields, "peers", findings),
        key_file: fields.string("key_file", findings),
        address_ttl_ms: fields.integer("address_ttl_ms", 100..=3_600_000, Some(5_000), findings),
        shutdown_ms: fields.integer("shutdown_ms", 100..=3_600_000, Some(120_000), findings),
        ledger_shards: fields.integer("ledger_shards", 1..=4_096, Some(8), findings),
        traffic_threads: fields.integer("traffic_threads", 1..=256, Some(2), findings),
    };
    fields.finish(findings);
    settings
}

fn read_name(
    fields: &mut fields::Fields<'_>,
    field: &'static str,
    findings: &mut finding::Findings,
) -> name::Name {
    let position = fields.position();
    let text = fields.string(field, findings);
    name::Name::try_from(text).unwrap_or_else(|error| {
        findings.add(position, field, &error.to_string());
        name::Name::try_from("unnamed").expect("the placeholder is a valid name")
    })
}

fn read_address(
    fields: &mut fields::Fields<'_>,
    field: &'static str,
    findings: &mut finding::Findings,
) -> net::SocketAddr {
    match fields.required(field, findings) {
        Some(node) => address(node, field, findings),
        None => unspecified_address(),
    }
}

fn read_optional_address(
    fields: &mut fields::Fields<'_>,
    field: &'static str,
    findings: &mut finding::Findings,
) -> Option<net::SocketAddr> {
    fields.optional(field).map(|node| address(node, field, findings))
}

fn read_addresses(
    fields: &mut fields::Fields<'_>,
    field: &'static str,
    findings: &mut finding::Findings,
) -> Vec<net::SocketAddr> {
    let items = fields.list(field, findings);
    items.iter().map(|node| address(node, field, findings)).collect()
}

fn address(node: &node::Node, path: &str, findings: &mut finding::Findings) -> net::SocketAddr {
    let text = fields::string(node, path, findings);
    text.parse().unwrap_or_else(|_| {
        let problem = format!("`{text}` is not a socket address");
        let hint = "write an IP address and a port, such as 10.0.0.5:7400";
        findings.add_with_hint(node.position, path, &problem, hint);
        unspecified_address()
    })
}

fn unspecified_address() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0))
}
