//! Datagrams between hosts: pings, by which they notice that one of them is lost, what they see of
//! roll-outs, and how they keep the limits of servers together.

use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use serde::Deserialize;
use serde::Serialize;
use toucanwall_policy::server_limits;
use toucanwall_routing::host;
use toucanwall_routing::name;

use crate::frame;
use crate::rollouts;

/// Largest datagram, in bytes: fits into one packet on usual links.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum number of roll-out reports in a datagram, which fit into it.
const MAX_REPORTS: usize = 6;
/// Maximum number of routes in the reports of a datagram, which fit into it beside the reports.
const MAX_ROUTES: usize = 12;
/// Delay after a datagram could not be received, in milliseconds.
const RECEIVE_RETRY_DELAY_MS: u64 = 10;

/// A datagram between two hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Datagram {
    /// Asks a run of a host for an answer.
    Ping {
        /// Run that is asked; another one at the same address does not answer.
        run_id: u64,
    },
    /// Shows that a run of a host is alive.
    Answer {
        /// Run that answers.
        run_id: u64,
    },
    /// Tells what a host has observed of roll-outs so far.
    Rollouts {
        /// The host that observed it.
        host: name::HostName,
        /// One report for each roll-out.
        reports: Vec<rollouts::Report>,
    },
    /// Is about the limit of a server.
    Limit {
        /// The host that sends it.
        host: name::HostName,
        /// What it says.
        message: server_limits::Message,
    },
}

/// A datagram that the control thread acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Received {
    /// A run of a host answered a ping.
    Answer {
        /// Run that answered.
        run_id: u64,
    },
    /// A host has observed this much of roll-outs so far.
    Rollouts {
        /// The host.
        host: name::HostName,
        /// One report for each roll-out.
        reports: Vec<rollouts::Report>,
    },
    /// A host sends a message about the limit of a server.
    Limit {
        /// The host.
        host: name::HostName,
        /// The message.
        message: server_limits::Message,
    },
}

/// Sends datagrams to other hosts and answers their pings.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: tokio::net::UdpSocket,
    own_run_id: u64,
}

impl DatagramSocket {
    /// Creates a socket for a run of this host. Must be called within a runtime.
    ///
    /// # Errors
    /// The socket cannot be registered with the runtime.
    pub fn new(socket: net::UdpSocket, own_run_id: u64) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Ok(Self { socket: tokio::net::UdpSocket::from_std(socket)?, own_run_id })
    }

    /// Pings a host. A ping that cannot be sent counts as lost, like one that is lost on the way.
    pub fn ping(&self, host: &host::HostEntry) {
        self.send(&Datagram::Ping { run_id: host.run_id }, host.peer_address);
    }

    /// Tells hosts what this one has observed of roll-outs so far.
    pub fn send_reports(
        &self,
        own_name: &name::HostName,
        mut reports: Vec<rollouts::Report>,
        hosts: &[Arc<host::HostEntry>],
    ) {
        reports.truncate(MAX_REPORTS);
        let routes = reports.iter().map(|report| report.routes.len()).sum::<usize>();
        if routes > MAX_ROUTES {
            // The answers by route reach the relay in any case.
            for report in &mut reports {
                report.routes.clear();
            }
        }
        let datagram = Datagram::Rollouts { host: own_name.clone(), reports };
        for host in hosts {
            self.send(&datagram, host.peer_address);
        }
    }

    /// Sends a message about the limit of a server to a host. One that is lost is made good by later
    /// ones.
    pub fn send_limit(
        &self,
        own_name: &name::HostName,
        message: server_limits::Message,
        host: &host::HostEntry,
    ) {
        let datagram = Datagram::Limit { host: own_name.clone(), message };
        self.send(&datagram, host.peer_address);
    }

    /// Answers pings until another datagram arrives, and returns that.
    pub async fn receive(&self) -> Received {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(target: "toucanwall", why = error.to_string(); "cannot receive a datagram");
                    tokio::time::sleep(time::Duration::from_millis(RECEIVE_RETRY_DELAY_MS)).await;
                    continue;
                }
            };
            match frame::decode(&buffer[..length]) {
                Ok(Datagram::Answer { run_id }) => return Received::Answer { run_id },
                Ok(Datagram::Rollouts { host, reports }) => {
                    return Received::Rollouts { host, reports };
                }
                Ok(Datagram::Limit { host, message }) => return Received::Limit { host, message },
                Ok(Datagram::Ping { run_id }) if run_id == self.own_run_id => {
                    self.send(&Datagram::Answer { run_id }, from);
                }
                Ok(Datagram::Ping { .. }) => {}
                Err(error) => {
                    log::debug!(target: "toucanwall", why = error.to_string(); "malformed datagram ignored");
                }
            }
        }
    }

    fn send(&self, datagram: &Datagram, to: net::SocketAddr) {
        let sent =
            frame::encode(datagram).and_then(|bytes| self.socket.try_send_to(&bytes, to).map(drop));
        if let Err(error) = sent {
            log::debug!(target: "toucanwall", to = to.to_string(), why = error.to_string(); "cannot send a datagram");
        }
    }
}
