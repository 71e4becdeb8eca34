//! Messages about limits between hosts.

use serde::Deserialize;
use serde::Serialize;
use toucanwall_routing::name;

use crate::server_run;

use super::rate;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Server that the message is about.
    pub server: name::ServerId,
    /// Run of that server.
    pub run: server_run::ServerRun,
    /// What the sender knows of the server's limit.
    pub observation: Observation,
    /// What the sender wants of the receiver.
    pub body: Body,
}

/// What a host has heard of a server's limit, with ages at the time of the message: hosts share no
/// clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Observation {
    /// The limit, or `None` if the server no longer names one.
    pub limit: Option<rate::Rate>,
    /// Time since the latest response that shows it was received, in milliseconds.
    pub received_age_ms: u64,
    /// Time since the request of the first response that shows it was sent, in milliseconds.
    pub sent_age_ms: u64,
}

/// What the sender of a message wants of its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// To take note.
    Notice,
    /// To issue permits.
    PermitRequest(PermitRequest),
    /// To use permits that the sender has issued.
    Permits(Permits),
}

/// Asks an issuer for permits; replaces the sender's earlier requests for the same server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request; a later one is higher.
    pub number: u64,
    /// Number of permits.
    pub wanted: u32,
    /// Priority of the most urgent of the requests that wait for them; 0 is the most urgent.
    pub priority: u32,
}

/// Permits that an issuer has issued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Permits {
    /// Number of the permit request.
    pub number: u64,
    /// How many have been issued on it so far, so that a message that arrives twice counts once.
    pub issued: u32,
}
