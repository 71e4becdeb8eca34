//! Messages of the membership protocol and the effects for its caller.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;

/// The status of a member; at equal incarnation a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Status {
    /// The member answers probes.
    Alive,
    /// The member finishes its open work and takes no new work.
    Leaving,
    /// The member did not answer its last probe.
    Suspect,
    /// The member is considered gone.
    Dead,
}

/// The record of a member, as disseminated between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Identity and addresses of the member.
    pub info: identity::HostInfo,
    /// Incarnation number, raised only by the member itself, to refute a suspicion.
    pub incarnation: u32,
    /// Status of the member.
    pub status: Status,
    /// Whether the member announced that it is leaving; retained while it is suspected.
    pub leaving: bool,
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Probes a host, which replies with [`Message::Ack`].
    Ping {
        /// The probed run; a later run at the same address does not answer in its place.
        target: identity::HostId,
        /// Matches the acknowledgement to the ping; zero requests none.
        nonce: u64,
        /// Records that changed recently.
        updates: Vec<Record>,
    },
    /// Acknowledges a ping.
    Ack {
        /// The nonce of the ping.
        nonce: u64,
        /// Records that changed recently.
        updates: Vec<Record>,
    },
    /// Asks the receiver to ping a member and to relay the acknowledgement.
    PingRequest {
        /// The nonce of the relayed acknowledgement.
        nonce: u64,
        /// The member to ping.
        target: identity::HostId,
    },
    /// The full member list.
    Sync {
        /// All records.
        records: Vec<Record>,
        /// Whether the receiver should reply with its own list.
        wants_reply: bool,
    },
}

/// An effect that the caller of [`Membership`](super::Membership) must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to another host.
    Send {
        /// Address of the host.
        to: net::SocketAddr,
        /// The message.
        message: Message,
    },
    /// Replace the connection to a host, which may have failed silently.
    Reconnect {
        /// Address of the host.
        address: net::SocketAddr,
    },
    /// A member's status changed.
    Changed {
        /// The member.
        host: identity::HostId,
        /// Its new status.
        status: Status,
    },
    /// A member answered a ping of this host.
    Acked {
        /// When the ping was sent, in milliseconds; the answer reflects a state after that time.
        sent_ms: u64,
    },
    /// This host was paused: everything that depends on elapsed time must be revalidated.
    Paused {
        /// Length of the pause in milliseconds.
        gap_ms: u64,
    },
}
