//! Messages between hosts.

use std::net;

use serde::Deserialize;
use serde::Serialize;
use toucanwall_coordination::freshness;
use toucanwall_coordination::ledger;
use toucanwall_coordination::membership;
use toucanwall_coordination::registry;
use toucanwall_coordination::replica;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Membership, with the sender's position.
    Gossip {
        /// The message.
        message: membership::Message,
        /// How far the sender is.
        position: Position,
    },
    /// The configuration.
    Replica(replica::Message),
    /// Status objects.
    Registry(registry::Message),
    /// The ledger.
    Ledger(ledger::message::Message),
    /// A content was in flight on a server that went down.
    CrashReport {
        /// Digest of the content.
        content_digest: u64,
        /// The server.
        server: net::SocketAddr,
    },
}

/// How far a host is; goes along with each membership message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// Revision of the configuration.
    pub revision: u64,
    /// The platform's last confirmation of it.
    pub confirmation: Option<freshness::Confirmation>,
    /// Position of the status objects.
    pub status: registry::Position,
}
