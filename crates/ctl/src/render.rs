//! What commands print.

use std::fmt::Write as _;

use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;

use crate::fleet;

/// A difference, one line a part.
#[must_use]
pub fn difference(base: &parts::Parts, difference: &parts::Difference) -> String {
    let mut out = String::new();
    for key in &difference.removed {
        line(&mut out, format_args!("- {key}"));
    }
    for (key, text) in &difference.set {
        match base.0.get(key) {
            Some(old) => {
                line(&mut out, format_args!("~ {key}\n    was {old}\n    now {text}"));
            }
            None => line(&mut out, format_args!("+ {key} {text}")),
        }
    }
    out
}

/// A change, for people.
#[must_use]
pub fn change(change: &config_replica::Change) -> String {
    let mut out = String::new();
    let from = change.revision - 1;
    line(
        &mut out,
        format_args!(
            "revision {} (from {from}) at {} s by {}: {}",
            change.revision,
            change.at_ms / 1_000,
            change.author,
            change.reason
        ),
    );
    for key in &change.difference.removed {
        line(&mut out, format_args!("  - {key}"));
    }
    for (key, text) in &change.difference.set {
        line(&mut out, format_args!("  = {key} {text}"));
    }
    out
}

/// A change as one JSON line.
#[must_use]
pub fn change_json(change: &config_replica::Change) -> String {
    serde_json::to_string(change).map(|json| json + "\n").unwrap_or_default()
}

/// Hosts and what they have in force, as a table.
#[must_use]
pub fn hosts(hosts: &[fleet::HostState]) -> String {
    let mut out = String::new();
    line(
        &mut out,
        format_args!(
            "{:<18} {:<22} {:<16} {:<8} {:>8}",
            "host", "callers", "data centre", "state", "revision"
        ),
    );
    for host in hosts {
        let revision = host.revision.map_or("silent".to_owned(), |known| known.to_string());
        line(
            &mut out,
            format_args!(
                "{:<18} {:<22} {:<16} {:<8} {:>8}",
                host.id,
                host.caller_address.to_string(),
                host.data_centre,
                host.status,
                revision
            ),
        );
    }
    out
}

fn line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    writeln!(out, "{text}").unwrap_or_default();
}
