//! What a host and its peers tell each other in datagrams: that they are alive, and what they see of
//! roll-outs.

use std::collections;
use std::sync::Arc;

use toucanwall_policy::host_monitor;
use toucanwall_routing::host;
use toucanwall_routing::name;

use crate::clock;
use crate::datagrams;
use crate::limits;
use crate::rollouts;

/// The other hosts that this one watches.
#[derive(Debug)]
pub struct Peers {
    own_name: name::HostName,
    monitor: host_monitor::HostMonitor,
    socket: datagrams::DatagramSocket,
    rollouts: Arc<rollouts::Rollouts>,
    limits: Arc<limits::Limits>,
    clock: clock::Clock,
    /// The registered hosts.
    hosts: collections::BTreeMap<name::HostName, Arc<host::HostEntry>>,
    /// What this host last told others of roll-outs.
    sent_reports: Vec<rollouts::Report>,
}

impl Peers {
    /// Creates the state of a host that knows no others; a silent host is out of contact after
    /// `contact_ms`.
    #[must_use]
    pub fn new(
        own_name: name::HostName,
        contact_ms: u64,
        socket: datagrams::DatagramSocket,
        rollouts: Arc<rollouts::Rollouts>,
        limits: Arc<limits::Limits>,
        clock: clock::Clock,
    ) -> Self {
        let monitor = host_monitor::HostMonitor::new(own_name.clone(), contact_ms);
        Self {
            own_name,
            monitor,
            socket,
            rollouts,
            limits,
            clock,
            hosts: collections::BTreeMap::new(),
            sent_reports: Vec::new(),
        }
    }

    /// Interval between two rounds of pings, in milliseconds.
    #[must_use]
    pub fn round_interval_ms(&self) -> u64 {
        self.monitor.round_interval_ms()
    }

    /// Replaces the registered hosts.
    pub fn set_hosts(
        &mut self,
        hosts: &collections::BTreeMap<name::HostName, Arc<host::HostEntry>>,
    ) {
        self.monitor.set_hosts(hosts);
        self.hosts.clone_from(hosts);
    }

    /// Starts a round of pings.
    pub fn start_round(&mut self, is_store_lost: bool, now_ms: u64) {
        self.monitor.set_store_lost(is_store_lost);
        for host in self.monitor.start_round(now_ms) {
            self.socket.ping(&host);
        }
    }

    /// Waits for a datagram and handles it. Nothing is lost if the wait is abandoned.
    pub async fn step(&mut self) {
        match self.socket.receive().await {
            datagrams::Received::Answer { run_id } => self.monitor.record_answer(run_id),
            datagrams::Received::Rollouts { host, reports } => {
                for report in &reports {
                    self.rollouts.merge_total(&host, report);
                }
            }
            datagrams::Received::Limit { host, message } => {
                if self.hosts.contains_key(&host) {
                    self.limits.receive(&host, &message, self.clock.now_ms());
                }
            }
        }
    }

    /// Tells the watched hosts what this one has observed of roll-outs if that has changed. Reports
    /// are of all observations so far, so a lost one is made good by the next.
    pub fn send_rollout_reports(&mut self) {
        let reports = self.rollouts.own_reports();
        if reports != self.sent_reports {
            let hosts = self.monitor.watched_hosts();
            self.socket.send_reports(&self.own_name, reports.clone(), &hosts);
            self.sent_reports = reports;
        }
    }

    /// Sends the messages about limits that are due.
    pub fn send_limit_messages(&self) {
        for (name, message) in self.limits.take_messages(self.clock.now_ms()) {
            if let Some(host) = self.hosts.get(&name) {
                self.socket.send_limit(&self.own_name, message, host);
            }
        }
    }

    /// Hosts that do not answer this one. A host that neither another host nor the store answers is
    /// itself cut off, and judges none.
    #[must_use]
    pub fn silent_hosts(&self, is_store_lost: bool) -> collections::BTreeSet<name::HostName> {
        if self.monitor.is_isolated() && is_store_lost {
            return collections::BTreeSet::new();
        }
        self.monitor.silent_hosts()
    }

    /// Lost hosts whose entries this host is the first to remove.
    pub fn take_removals(&mut self, now_ms: u64) -> Vec<Arc<host::HostEntry>> {
        self.monitor.take_removals(now_ms)
    }
}
