//! Log lines about other hosts when a new view is published.

use toucanwall_routing::view;

/// Logs the hosts whose entries appeared, changed or vanished, and those that stopped answering
/// this one or answer again.
pub fn log_changes(before: &view::View, after: &view::View) {
    let is_new = |(name, host): &(_, _)| before.hosts.get(*name) != Some(*host);
    for (name, host) in after.hosts.iter().filter(is_new) {
        log::info!(
            target: "toucanwall", entry = name.as_str(), run = format!("{:016x}", host.run_id),
            phase:? = host.phase; "host entry"
        );
    }
    for (name, host) in before.hosts.iter().filter(|(name, _)| !after.hosts.contains_key(*name)) {
        log::info!(
            target: "toucanwall", entry = name.as_str(), run = format!("{:016x}", host.run_id);
            "host entry vanished"
        );
    }
    for name in after.silent_hosts.difference(&before.silent_hosts) {
        log::warn!(target: "toucanwall", entry = name.as_str(); "host does not answer");
    }
    for name in before.silent_hosts.difference(&after.silent_hosts) {
        log::info!(target: "toucanwall", entry = name.as_str(); "host is no longer silent");
    }
}
