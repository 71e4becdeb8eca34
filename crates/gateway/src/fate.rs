//! What may truly be said of a request: whether it has run.
//!
//! Only [`Fate<NotRun>`] can make a refusal. A request that was sent gets back there by a server's
//! word that it did not run it, and by nothing else.

use std::marker;

use toucanwall_platform::response;

/// A request that no server has run or will run.
#[derive(Debug)]
pub struct NotRun(());

/// A request that is at a server.
#[derive(Debug)]
pub struct Sent(());

/// What is known of a request.
#[derive(Debug)]
pub struct Fate<S> {
    state: marker::PhantomData<S>,
    /// Whether an earlier send ended in doubt; a later proof does not settle that one.
    was_doubtful: bool,
}

/// What is known of a request between two sends.
#[derive(Debug)]
pub enum Settled {
    /// No server has run it.
    NotRun(Fate<NotRun>),
    /// Some server may have, or may run it yet.
    Doubtful,
}

/// A server's word that it did not run a request.
#[derive(Debug, Clone, Copy)]
pub struct Proof(());

impl Fate<NotRun> {
    /// A request that has just come in.
    #[must_use]
    pub fn new() -> Self {
        Self { state: marker::PhantomData, was_doubtful: false }
    }

    /// A refusal that is true.
    #[must_use]
    #[expect(clippy::unused_self, reason = "the state before is used up")]
    pub fn refuse(
        self,
        status: hyper::StatusCode,
        retry_after_ms: Option<u64>,
    ) -> response::Refusal {
        response::Refusal { status, retry_after_ms }
    }
}

impl Settled {
    /// A request whose answer was interrupted.
    #[must_use]
    pub fn interrupted() -> Self {
        Self::Doubtful
    }

    /// The request goes to a server.
    #[must_use]
    pub fn send(self) -> Fate<Sent> {
        let was_doubtful = matches!(self, Self::Doubtful);
        Fate { state: marker::PhantomData, was_doubtful }
    }
}

impl Fate<Sent> {
    /// The server proved that it did not run it, or nothing was written to it.
    #[must_use]
    pub fn proved_not_run(self, _proof: Proof) -> Settled {
        let was_doubtful = self.was_doubtful;
        if was_doubtful {
            Settled::Doubtful
        } else {
            Settled::NotRun(Fate { state: marker::PhantomData, was_doubtful })
        }
    }

    /// Nobody can tell whether it ran.
    #[must_use]
    #[expect(clippy::unused_self, reason = "the state before is used up")]
    pub fn unknown(self) -> Settled {
        Settled::Doubtful
    }
}

impl Proof {
    /// Nothing of the request was written to a connection.
    #[must_use]
    pub fn nothing_written() -> Self {
        Self(())
    }

    /// The server's answer says so.
    #[must_use]
    pub fn of_answer(head: &response::Head) -> Option<Self> {
        (head.non_execution == response::NonExecution::Confirmed).then_some(Self(()))
    }
}
