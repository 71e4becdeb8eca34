//! The life cycle of a request, as types: received, admitted, claimed, dispatched, answered.
//!
//! Each transition consumes the state before it. Only the states before the dispatch can
//! be refused as not run, so a false refusal does not compile.

use std::collections;
use std::net;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_document::name;
use toucanwall_policy::cascade;

use crate::event;
use crate::refusal;

mod sealed {
    pub trait Sealed {}
}

/// A state in which no server has been sent the request.
pub trait NeverDispatched: sealed::Sealed {}

/// The caller's bytes are in.
#[derive(Debug)]
pub struct Received;

/// The organisation may use what it asks for.
#[derive(Debug)]
pub struct Admitted {
    /// What is to run.
    pub plan: Plan,
}

/// The request's key is being claimed in the ledger.
#[derive(Debug)]
pub struct Claiming {
    /// What is to run.
    pub plan: Plan,
    /// The claim.
    pub claim: Claim,
    /// When the claim is given up, in milliseconds.
    pub give_up_ms: u64,
}

/// The claim is durable.
#[derive(Debug)]
pub struct Claimed {
    /// What is to run.
    pub plan: Plan,
    /// The claim.
    pub claim: Claim,
}

/// A server was sent the request.
#[derive(Debug)]
pub struct Dispatched {
    /// What runs.
    pub plan: Plan,
    /// The claim, for a request that may not be repeated.
    pub claim: Option<Claim>,
    /// Counts the request among those of the host, for its bill.
    pub number: u64,
    /// The attempt under way.
    pub attempt: event::Attempt,
    /// Its server.
    pub server: net::SocketAddr,
    /// When it started, in milliseconds.
    pub started_ms: u64,
    /// What runs, as `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Whether the attempt's answer is held to be rated.
    pub is_held: bool,
    /// Tokens of a held answer that waits for its rating.
    pub held_tokens: u64,
    /// Whether the attempt has ended and only its rating is awaited.
    pub is_attempt_over: bool,
    /// Whether the caller has left.
    pub is_abandoned: bool,
}

/// The whole answer is in and billed; its last piece waits for the backup's word.
#[derive(Debug)]
pub struct Answered {
    /// Counts the request among those of the host.
    pub number: u64,
    /// The attempt that answered.
    pub attempt: event::Attempt,
    /// When to stop waiting, in milliseconds.
    pub give_up_ms: u64,
}

impl sealed::Sealed for Received {}
impl sealed::Sealed for Admitted {}
impl sealed::Sealed for Claiming {}
impl sealed::Sealed for Claimed {}
impl NeverDispatched for Received {}
impl NeverDispatched for Admitted {}
impl NeverDispatched for Claiming {}
impl NeverDispatched for Claimed {}

/// A request in one state of its life.
#[derive(Debug)]
pub struct Request<S> {
    /// What the caller sent.
    pub head: Arc<event::Head>,
    /// Its state.
    pub state: S,
}

/// What is to run for a request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The organisation.
    pub organisation: name::Name,
    /// What it asked for.
    pub work: Work,
    /// Hash that picks the version of a session.
    pub session_hash: u64,
    /// Versions that the session is held to, by model.
    pub pins: collections::BTreeMap<name::Name, name::Name>,
    /// Whether answers carry a session token.
    pub has_session: bool,
    /// When the caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// Servers that failed it.
    pub excluded: collections::BTreeSet<net::SocketAddr>,
    /// Events of the answer that the caller has.
    pub delivered_events: u64,
    /// Attempts made so far.
    pub attempts: event::Attempt,
}

/// What a request asked for, resolved.
#[derive(Debug, Clone)]
pub enum Work {
    /// Stages of a cascade, or one model.
    Model {
        /// The models in order.
        stages: Vec<name::Name>,
        /// The stage under way.
        stage: usize,
        /// Lowest rating that an answer needs, in percent.
        quality_target_percent: u64,
        /// What the cascade learns under; nothing for a single model.
        kind: Option<cascade::RequestKind>,
    },
    /// A call of a plain service.
    Service {
        /// The service.
        name: name::Name,
        /// Whether it may be repeated.
        is_idempotent: bool,
    },
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: entry::ClaimKey,
    /// The attempt to claim it.
    pub id: entry::ClaimId,
}

impl Plan {
    /// Whether the request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        !matches!(self.work, Work::Service { is_idempotent: false, .. })
    }
}

impl<S> Request<S>
where
    S: NeverDispatched,
{
    /// Refuses the request: it was not run.
    #[must_use]
    pub fn refuse(self, reason: refusal::Reason) -> refusal::NotRun {
        refusal::NotRun::new(&self, reason)
    }
}

impl Request<Received> {
    /// Takes a request in.
    #[must_use]
    pub fn receive(head: Arc<event::Head>) -> Self {
        Self { head, state: Received }
    }

    /// Admits it with a plan.
    #[must_use]
    pub fn admit(self, plan: Plan) -> Request<Admitted> {
        Request { head: self.head, state: Admitted { plan } }
    }
}

impl Request<Admitted> {
    /// Starts to claim its key.
    #[must_use]
    pub fn claim(self, claim: Claim, give_up_ms: u64) -> Request<Claiming> {
        let state = Claiming { plan: self.state.plan, claim, give_up_ms };
        Request { head: self.head, state }
    }

    /// Dispatches a request that may be repeated.
    #[must_use]
    pub fn dispatch(self, sent: Sent) -> Request<Dispatched> {
        Request { head: self.head, state: sent.into_state(self.state.plan, None) }
    }
}

impl Request<Claiming> {
    /// Notes that the claim is durable.
    #[must_use]
    pub fn hold(self) -> Request<Claimed> {
        let state = Claimed { plan: self.state.plan, claim: self.state.claim };
        Request { head: self.head, state }
    }
}

impl Request<Claimed> {
    /// Dispatches a request that may not be repeated.
    #[must_use]
    pub fn dispatch(self, sent: Sent) -> Request<Dispatched> {
        let state = sent.into_state(self.state.plan, Some(self.state.claim));
        Request { head: self.head, state }
    }
}

impl Request<Dispatched> {
    /// Dispatches it once more.
    ///
    /// Returns the request unchanged if it may not be repeated.
    ///
    /// # Errors
    /// The request itself, where a claim binds it to one dispatch.
    pub fn dispatch_again(self, sent: Sent) -> Result<Self, Box<Self>> {
        if self.state.claim.is_some() {
            return Err(Box::new(self));
        }
        let Dispatched { plan, number, is_abandoned, .. } = self.state;
        let mut state = sent.into_state(plan, None);
        state.number = number;
        state.is_abandoned = is_abandoned;
        Ok(Self { head: self.head, state })
    }

    /// Goes back to before the dispatch: no connection came about, so no byte was sent.
    #[must_use]
    pub fn unsent(self) -> Unsent {
        let Dispatched { plan, claim, .. } = self.state;
        match claim {
            Some(claim) => {
                Unsent::Claimed(Request { head: self.head, state: Claimed { plan, claim } })
            }
            None => Unsent::Admitted(Request { head: self.head, state: Admitted { plan } }),
        }
    }

    /// Notes that the whole answer is in.
    #[must_use]
    pub fn answer(self, give_up_ms: u64) -> Request<Answered> {
        let state = Answered { number: self.state.number, attempt: self.state.attempt, give_up_ms };
        Request { head: self.head, state }
    }

    /// What the caller is told if there will be no whole answer.
    #[must_use]
    pub fn failure(&self, retry_after_ms: u64) -> refusal::Failure {
        if self.state.claim.is_some() {
            refusal::Failure::OutcomeUnknown
        } else {
            refusal::Failure::Failed { retry_after_ms }
        }
    }
}

/// A request whose dispatch never left the host.
#[derive(Debug)]
pub enum Unsent {
    /// It may be repeated.
    Admitted(Request<Admitted>),
    /// It may not be repeated and still holds its claim.
    Claimed(Request<Claimed>),
}

/// Where and when a request was sent.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Counts the request among those of the host.
    pub number: u64,
    /// The attempt.
    pub attempt: event::Attempt,
    /// The server.
    pub server: net::SocketAddr,
    /// When, in milliseconds.
    pub started_ms: u64,
    /// What runs, as `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Whether the answer is held to be rated.
    pub is_held: bool,
}

impl Sent {
    fn into_state(self, plan: Plan, claim: Option<Claim>) -> Dispatched {
        Dispatched {
            plan,
            claim,
            number: self.number,
            attempt: self.attempt,
            server: self.server,
            started_ms: self.started_ms,
            item: self.item,
            is_held: self.is_held,
            held_tokens: 0,
            is_attempt_over: false,
            is_abandoned: false,
        }
    }
}
