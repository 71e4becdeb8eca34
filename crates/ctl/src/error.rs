//! Why a command did not succeed, and its exit code.

use std::io;
use std::path;

use toucanwall_coordination::config_replica;
use toucanwall_document::finding;
use toucanwall_platform::configuration;

/// Why a command did not succeed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CommandError {
    /// A file cannot be read or written.
    #[error("{path}: {error}", path = path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The document has findings.
    #[error("{0}")]
    Findings(#[from] finding::Findings),
    /// The platform cannot be read.
    #[error("{0}")]
    Load(#[from] configuration::LoadError),
    /// Somebody else was first.
    #[error(
        "conflict: {author} made revision {revision} meanwhile ({reason}); nothing was changed. \
         Look at it with `toucanctl trail`, then apply again",
        author = .0.author, revision = .0.revision, reason = .0.reason
    )]
    Conflict(Box<config_replica::Change>),
    /// The operator's revision is not the latest.
    #[error("conflict: revision {latest} is in force, not {expected}; nothing was changed")]
    Stale {
        /// The revision that the operator expected.
        expected: u64,
        /// The revision in force.
        latest: u64,
    },
    /// The fate of a change is open.
    #[error(
        "the platform gave no definite answer: the change may be accepted or not. \
         `toucanctl trail` tells once the platform is back; applying again is safe"
    )]
    Unknown,
    /// A host cannot be asked.
    #[error("host {address}: {problem}")]
    Host {
        /// Its address.
        address: String,
        /// What went wrong.
        problem: String,
    },
    /// The change is accepted but not in force everywhere yet.
    #[error("revision {revision} is not in force yet on: {hosts}")]
    NotInForce {
        /// The revision.
        revision: u64,
        /// The hosts that lack it.
        hosts: String,
    },
    /// No log line contains the request's id.
    #[error(
        "no log line mentions request {request}; check that these are the logs of the hosts that \
         received it"
    )]
    RequestNotFound {
        /// The request's id.
        request: String,
    },
    /// The console cannot be served.
    #[error("console: {0}")]
    Console(io::Error),
}

impl CommandError {
    /// The exit code: 1 findings, 2 input, 3 conflict, 4 unknown, 5 platform or host, 6 not in force.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) => 1,
            Self::File { .. } | Self::RequestNotFound { .. } | Self::Console(_) => 2,
            Self::Conflict(_) | Self::Stale { .. } => 3,
            Self::Unknown => 4,
            Self::Load(_) | Self::Host { .. } => 5,
            Self::NotInForce { .. } => 6,
        }
    }
}
