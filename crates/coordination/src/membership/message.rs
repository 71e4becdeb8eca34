//! What hosts tell each other about members, and what is to be done about it.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;

/// What is known of a member's state; a later variant outranks an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It has not answered lately.
    Suspect,
    /// It is gone.
    Dead,
}

/// What hosts tell each other about a member.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Who it is.
    pub info: identity::HostInfo,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u32,
    /// Its state.
    pub status: Status,
    /// Whether it said that it is leaving; kept while it is suspected.
    pub leaving: bool,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// The run that is asked; a later one under the same address does not answer for it.
        target: identity::HostId,
        /// Ties the answer to the question; zero asks for none.
        nonce: u64,
        /// Recent changes.
        updates: Vec<Record>,
    },
    /// Answers a ping.
    Ack {
        /// The nonce of the ping.
        nonce: u64,
        /// Recent changes.
        updates: Vec<Record>,
    },
    /// Asks the receiver to ping a member and pass on its answer.
    PingRequest {
        /// The nonce to answer with.
        nonce: u64,
        /// The member to ping.
        target: identity::HostId,
    },
    /// The whole list of members.
    Sync {
        /// All records.
        records: Vec<Record>,
        /// Whether the sender wants the receiver's list.
        wants_reply: bool,
    },
}

/// What the caller of [`Membership`](super::Membership) is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to another host.
    Send {
        /// Address of the host.
        to: net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Replace the connection to a host that may have gone silent.
    Reconnect {
        /// Address of the host.
        address: net::SocketAddr,
    },
    /// A member's state changed.
    Changed {
        /// The member.
        host: identity::HostId,
        /// Its state now.
        status: Status,
    },
    /// A member answered a ping of this host.
    Acked {
        /// When the ping was sent, in milliseconds: what the answer says held after that.
        sent_ms: u64,
    },
    /// This host was paused: nothing that it relied on still holds.
    Paused {
        /// Length of the pause in milliseconds.
        gap_ms: u64,
    },
}
