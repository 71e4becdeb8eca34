//! Messages between hosts.

use std::net;

use serde::Deserialize;
use serde::Serialize;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::freshness;
use toucanwall_coordination::ledger;
use toucanwall_coordination::membership;
use toucanwall_coordination::status_replica;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// A message of the membership protocol, with the sender's position.
    Gossip {
        /// The membership message.
        message: membership::Message,
        /// How current the sender's state is.
        position: Position,
    },
    /// A message that replicates the configuration.
    Configuration(config_replica::Message),
    /// A message that replicates the status objects.
    Status(status_replica::Message),
    /// A message of the ledger.
    Ledger(ledger::message::Message),
    /// A backend server crashed while it executed a request.
    CrashReport {
        /// Digest of the request's content.
        content_digest: u64,
        /// Address of the backend server.
        server: net::SocketAddr,
    },
}

/// How current a host's replicated state is; sent with every membership message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Revision of the configuration.
    pub revision: u64,
    /// Last confirmation by the platform that this revision is the latest.
    pub confirmation: Option<freshness::Confirmation>,
    /// Position in the sequence of status objects.
    pub status: status_replica::Position,
}
