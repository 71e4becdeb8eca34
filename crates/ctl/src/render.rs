//! Text output of the commands.

use std::fmt::Write as _;

use toucanwall_coordination::config_replica;
use toucanwall_coordination::parts;

use crate::fleet;

/// Renders a difference: removed parts are marked `-`, changed parts `~` and added parts `+`.
#[must_use]
pub fn difference(base: &parts::Parts, difference: &parts::Difference) -> String {
    let mut out = String::new();
    for key in &difference.removed {
        push_line(&mut out, format_args!("- {key}"));
    }
    for (key, text) in &difference.set {
        match base.0.get(key) {
            Some(old) => {
                push_line(&mut out, format_args!("~ {key}\n    was {old}\n    now {text}"));
            }
            None => push_line(&mut out, format_args!("+ {key} {text}")),
        }
    }
    out
}

/// Renders a change as human-readable text: removed parts are marked `-`, changed and added parts
/// `=`.
#[must_use]
pub fn change(change: &config_replica::Change) -> String {
    let mut out = String::new();
    let previous = change.revision - 1;
    push_line(
        &mut out,
        format_args!(
            "revision {} (from {previous}) at Unix time {} s by {}: {}",
            change.revision,
            change.at_ms / 1_000,
            change.author,
            change.reason
        ),
    );
    for key in &change.difference.removed {
        push_line(&mut out, format_args!("  - {key}"));
    }
    for (key, text) in &change.difference.set {
        push_line(&mut out, format_args!("  = {key} {text}"));
    }
    out
}

/// Renders a change as one line of JSON.
#[must_use]
pub fn change_json(change: &config_replica::Change) -> String {
    serde_json::to_string(change).map(|json| json + "\n").unwrap_or_default()
}

/// Renders the hosts as a table with the revision that each has in force.
#[must_use]
pub fn hosts(hosts: &[fleet::HostState]) -> String {
    let mut out = String::new();
    push_line(
        &mut out,
        format_args!(
            "{:<18} {:<22} {:<16} {:<8} {:>8}",
            "host", "callers", "data centre", "state", "revision"
        ),
    );
    for host in hosts {
        let revision = host.revision.map_or("silent".to_owned(), |revision| revision.to_string());
        push_line(
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

fn push_line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    writeln!(out, "{text}").unwrap_or_default();
}
