//! Errors of the commands and their exit codes.

use std::io;
use std::path;

use toucanwall_coordination::config_replica;
use toucanwall_document::finding;
use toucanwall_platform::configuration;

/// An error that ends a command.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum CommandError {
    /// A file cannot be read or written.
    #[error("{path}: {error}", path = path.display())]
    File {
        /// Path of the file.
        path: path::PathBuf,
        /// The underlying I/O error.
        error: io::Error,
    },
    /// The check of the document has findings.
    #[error("{0}")]
    Findings(#[from] finding::Findings),
    /// The configuration cannot be loaded from the platform.
    #[error("{0}")]
    Load(#[from] configuration::LoadError),
    /// Another change was accepted since the base revision was loaded.
    #[error(
        "conflict: {author} created revision {revision} in the meantime ({reason}); nothing was \
         changed. Review it with `toucanctl trail`, then apply again",
        author = .0.author, revision = .0.revision, reason = .0.reason
    )]
    Conflict(Box<config_replica::Change>),
    /// The revision that the operator expected is not the one in force.
    #[error("conflict: revision {latest} is in force, not {expected}; nothing was changed")]
    StaleRevision {
        /// The revision that the operator expected.
        expected: u64,
        /// The revision in force.
        latest: u64,
    },
    /// The platform's response does not tell whether the change was accepted.
    #[error(
        "outcome unknown: the platform may or may not have accepted the change. Check with \
         `toucanctl trail` once the platform is reachable again; applying again is safe"
    )]
    OutcomeUnknown,
    /// A request to a host failed.
    #[error("host {address}: {problem}")]
    Host {
        /// Address of the host.
        address: String,
        /// Description of the failure.
        problem: String,
    },
    /// The change is accepted but not in force everywhere yet.
    #[error("revision {revision} is not in force yet on: {hosts}")]
    NotInForce {
        /// The accepted revision.
        revision: u64,
        /// The hosts that do not have it in force.
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
    /// Returns the exit code: 1 for findings, 2 for wrong input, 3 for a conflict, 4 for an unknown
    /// outcome, 5 for an unreachable platform or host, 6 for a change not yet in force everywhere.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) => 1,
            Self::File { .. } | Self::RequestNotFound { .. } | Self::Console(_) => 2,
            Self::Conflict(_) | Self::StaleRevision { .. } => 3,
            Self::OutcomeUnknown => 4,
            Self::Load(_) | Self::Host { .. } => 5,
            Self::NotInForce { .. } => 6,
        }
    }
}
