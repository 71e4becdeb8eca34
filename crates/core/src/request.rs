//! The life cycle of a request as a typestate: received, admitted, claimed, dispatched and
//! answered.
//!
//! Each transition consumes the previous state. Only a state before the dispatch can be
//! refused as not executed, so code that refuses a dispatched request does not compile.

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

/// A state in which the request has not been sent to any server.
pub trait NeverDispatched: sealed::Sealed {}

/// The request has been received.
#[derive(Debug)]
pub struct Received;

/// The organisation may use what the request asks for and has not exceeded its rate limit.
#[derive(Debug)]
pub struct Admitted {
    /// What is to be executed.
    pub plan: Plan,
}

/// The claim on the request's idempotency key has been submitted to the ledger.
#[derive(Debug)]
pub struct Claiming {
    /// What is to be executed.
    pub plan: Plan,
    /// The claim.
    pub claim: Claim,
    /// Time at which the claim is given up, in milliseconds.
    pub claim_deadline_ms: u64,
}

/// The claim is durable.
#[derive(Debug)]
pub struct Claimed {
    /// What is to be executed.
    pub plan: Plan,
    /// The claim.
    pub claim: Claim,
}

/// The request has been sent to a server.
#[derive(Debug)]
pub struct Dispatched {
    /// What is being executed.
    pub plan: Plan,
    /// The claim, if the request is not idempotent.
    pub claim: Option<Claim>,
    /// Number of the request's bill, unique on this host.
    pub bill_number: u64,
    /// Number of the current attempt.
    pub attempt: event::Attempt,
    /// Address of the server that executes the attempt.
    pub server: net::SocketAddr,
    /// Time at which the attempt started, in milliseconds.
    pub started_ms: u64,
    /// What is executed: `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Whether the attempt's answer is buffered until it is rated.
    pub is_buffered: bool,
    /// Number of tokens of a buffered answer that waits for its rating.
    pub buffered_tokens: u64,
    /// Whether the attempt has ended and its answer waits for its rating.
    pub is_awaiting_rating: bool,
    /// Whether the caller has disconnected or was told that the request failed.
    pub is_abandoned: bool,
}

/// The complete answer has arrived and is billed.
///
/// Its last part is withheld until the backup acknowledges the request.
#[derive(Debug)]
pub struct Answered {
    /// Number of the request's bill, unique on this host.
    pub bill_number: u64,
    /// Number of the attempt that answered.
    pub attempt: event::Attempt,
    /// Time at which the host stops waiting for the backup, in milliseconds.
    pub backup_deadline_ms: u64,
}

impl sealed::Sealed for Received {}
impl sealed::Sealed for Admitted {}
impl sealed::Sealed for Claiming {}
impl sealed::Sealed for Claimed {}
impl NeverDispatched for Received {}
impl NeverDispatched for Admitted {}
impl NeverDispatched for Claiming {}
impl NeverDispatched for Claimed {}

/// A request in the state `S` of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    /// The request's metadata.
    pub head: Arc<event::RequestHead>,
    /// The data of the state.
    pub state: S,
}

/// What is to be executed for a request, and under which conditions.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The organisation.
    pub organisation: name::Name,
    /// What the request asks for.
    pub target: ResolvedTarget,
    /// Hash that selects the version of a model for the session.
    pub session_hash: u64,
    /// Versions to which the session is pinned, by model.
    pub pins: collections::BTreeMap<name::Name, name::Name>,
    /// Whether the answer carries a session token.
    pub has_session: bool,
    /// Time at which the caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// Servers on which an attempt failed.
    pub excluded: collections::BTreeSet<net::SocketAddr>,
    /// Number of events of the answer that the caller has received.
    pub delivered_events: u64,
    /// Number of attempts so far.
    pub attempts: event::Attempt,
}

/// What a request asks for, resolved by the configuration.
#[derive(Debug, Clone)]
pub enum ResolvedTarget {
    /// The stages of a cascade, or a single model.
    Model {
        /// The models in order.
        stages: Vec<name::Name>,
        /// Index of the current stage.
        stage: usize,
        /// Lowest rating at which an answer is accepted, in percent.
        quality_target_percent: u64,
        /// Kind of request under which the cascade records ratings; `None` for a single model.
        kind: Option<cascade::RequestKind>,
    },
    /// A call to a plain service.
    Service {
        /// Name of the service.
        name: name::Name,
        /// Whether the call is idempotent.
        is_idempotent: bool,
    },
}

/// A claim on an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// The key.
    pub key: entry::ClaimKey,
    /// Identifies this attempt to claim the key.
    pub id: entry::ClaimId,
}

impl Plan {
    /// Returns whether the request may be executed more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        !matches!(self.target, ResolvedTarget::Service { is_idempotent: false, .. })
    }
}

impl<S> Request<S>
where
    S: NeverDispatched,
{
    /// Refuses the request, which was not executed.
    #[must_use]
    pub fn refuse(self, reason: refusal::Reason) -> refusal::NotRun {
        refusal::NotRun::new(&self, reason)
    }
}

impl Request<Received> {
    /// Starts the life cycle of a request.
    #[must_use]
    pub fn receive(head: Arc<event::RequestHead>) -> Self {
        Self { head, state: Received }
    }

    /// Admits the request with a plan.
    #[must_use]
    pub fn admit(self, plan: Plan) -> Request<Admitted> {
        Request { head: self.head, state: Admitted { plan } }
    }
}

impl Request<Admitted> {
    /// Starts to claim the request's idempotency key.
    #[must_use]
    pub fn claim(self, claim: Claim, claim_deadline_ms: u64) -> Request<Claiming> {
        let state = Claiming { plan: self.state.plan, claim, claim_deadline_ms };
        Request { head: self.head, state }
    }

    /// Dispatches an idempotent request.
    #[must_use]
    pub fn dispatch(self, dispatch_info: DispatchInfo) -> Request<Dispatched> {
        Request { head: self.head, state: dispatch_info.into_state(self.state.plan, None) }
    }
}

impl Request<Claiming> {
    /// Records that the claim is durable.
    #[must_use]
    pub fn confirm_claim(self) -> Request<Claimed> {
        let state = Claimed { plan: self.state.plan, claim: self.state.claim };
        Request { head: self.head, state }
    }
}

impl Request<Claimed> {
    /// Dispatches a request that is not idempotent.
    #[must_use]
    pub fn dispatch(self, dispatch_info: DispatchInfo) -> Request<Dispatched> {
        let state = dispatch_info.into_state(self.state.plan, Some(self.state.claim));
        Request { head: self.head, state }
    }
}

impl Request<Dispatched> {
    /// Dispatches the request once more.
    ///
    /// # Errors
    /// Returns the request unchanged if it holds a claim, which allows only one dispatch.
    pub fn dispatch_again(self, dispatch_info: DispatchInfo) -> Result<Self, Box<Self>> {
        if self.state.claim.is_some() {
            return Err(Box::new(self));
        }
        let Dispatched { plan, bill_number, is_abandoned, .. } = self.state;
        let mut state = dispatch_info.into_state(plan, None);
        state.bill_number = bill_number;
        state.is_abandoned = is_abandoned;
        Ok(Self { head: self.head, state })
    }

    /// Returns to the state before the dispatch, as no connection was established and nothing
    /// was sent.
    #[must_use]
    pub fn into_unsent(self) -> Unsent {
        let Dispatched { plan, claim, .. } = self.state;
        match claim {
            Some(claim) => {
                Unsent::Claimed(Request { head: self.head, state: Claimed { plan, claim } })
            }
            None => Unsent::Admitted(Request { head: self.head, state: Admitted { plan } }),
        }
    }

    /// Records that the complete answer has arrived.
    #[must_use]
    pub fn into_answered(self, backup_deadline_ms: u64) -> Request<Answered> {
        let state = Answered {
            bill_number: self.state.bill_number,
            attempt: self.state.attempt,
            backup_deadline_ms,
        };
        Request { head: self.head, state }
    }

    /// Returns the failure to report if there will be no complete answer.
    #[must_use]
    pub fn failure(&self, retry_after_ms: u64) -> refusal::Failure {
        if self.state.claim.is_some() {
            refusal::Failure::OutcomeUnknown
        } else {
            refusal::Failure::Failed { retry_after_ms }
        }
    }
}

/// A request that was dispatched but never left the host.
#[derive(Debug)]
pub enum Unsent {
    /// It is idempotent.
    Admitted(Request<Admitted>),
    /// It is not idempotent and still holds its claim.
    Claimed(Request<Claimed>),
}

/// The data of an attempt that is about to be sent.
#[derive(Debug, Clone)]
pub struct DispatchInfo {
    /// Number of the request's bill, unique on this host.
    pub bill_number: u64,
    /// Number of the attempt.
    pub attempt: event::Attempt,
    /// Address of the server.
    pub server: net::SocketAddr,
    /// Time of the dispatch, in milliseconds.
    pub started_ms: u64,
    /// What is executed: `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Whether the answer is buffered until it is rated.
    pub is_buffered: bool,
}

impl DispatchInfo {
    fn into_state(self, plan: Plan, claim: Option<Claim>) -> Dispatched {
        Dispatched {
            plan,
            claim,
            bill_number: self.bill_number,
            attempt: self.attempt,
            server: self.server,
            started_ms: self.started_ms,
            item: self.item,
            is_buffered: self.is_buffered,
            buffered_tokens: 0,
            is_awaiting_rating: false,
            is_abandoned: false,
        }
    }
}
