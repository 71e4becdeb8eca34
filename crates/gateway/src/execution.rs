//! What may truly be said of a request: whether it has run.
//!
//! Only [`Fate<NotRun>`] can make a refusal. A request that was sent gets back there by a server's
//! word that it did not run it, and by nothing else.

use std::marker;

use toucanwall_platform::answer;

/// A request that no server has run or will run.
#[derive(Debug)]
pub struct NotRun(());

/// A request that is at a server.
#[derive(Debug)]
pub struct Sent(());

/// What is known of a request.
#[derive(Debug)]
pub struct Execution<S> {
    state: marker::PhantomData<S>,
    /// Whether an earlier send ended in doubt; a later proof does not settle that one.
    was_unknown: bool,
}

/// What is known of a request between two sends.
#[derive(Debug)]
pub enum Status {
    /// No server has run it.
    NotRun(Execution<NotRun>),
    /// Some server may have, or may run it yet.
    Unknown,
}

/// A server's word that it did not run a request.
#[derive(Debug, Clone, Copy)]
pub struct NotRunProof(());

impl Execution<NotRun> {
    /// A request that has just come in.
    #[must_use]
    pub fn new() -> Self {
        Self { state: marker::PhantomData, was_unknown: false }
    }

    /// A refusal that is true.
    #[must_use]
    #[expect(clippy::unused_self, reason = "the state before is used up")]
    pub fn refuse(self, status: hyper::StatusCode, retry_after_ms: Option<u64>) -> answer::Refusal {
        answer::Refusal { status, retry_after_ms }
    }
}

impl Status {
    /// A request whose answer was interrupted.
    #[must_use]
    pub fn interrupted() -> Self {
        Self::Unknown
    }

    /// The request goes to a server.
    #[must_use]
    pub fn send(self) -> Execution<Sent> {
        let was_unknown = matches!(self, Self::Unknown);
        Execution { state: marker::PhantomData, was_unknown }
    }
}

impl Execution<Sent> {
    /// The server proved that it did not run it, or nothing was written to it.
    #[must_use]
    pub fn proved_not_run(self, _proof: NotRunProof) -> Status {
        let was_unknown = self.was_unknown;
        if was_unknown {
            Status::Unknown
        } else {
            Status::NotRun(Execution { state: marker::PhantomData, was_unknown })
        }
    }

    /// Nobody can tell whether it ran.
    #[must_use]
    #[expect(clippy::unused_self, reason = "the state before is used up")]
    pub fn unknown(self) -> Status {
        Status::Unknown
    }
}

impl NotRunProof {
    /// Nothing of the request was written to a connection.
    #[must_use]
    pub fn nothing_written() -> Self {
        Self(())
    }

    /// The server's answer says so.
    #[must_use]
    pub fn from_response(head: &answer::Head) -> Option<Self> {
        (head.promise == answer::Promise::Proved).then_some(Self(()))
    }
}
