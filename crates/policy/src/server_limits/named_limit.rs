//! The limit of one server, as it follows from the server's responses.

use toucanwall_routing::name;

use crate::server_run;

use super::demand;
use super::issuer;
use super::message;
use super::rate;

/// The limit of one run of a server.
#[derive(Debug)]
pub(super) struct Limit {
    pub(super) run: server_run::ServerRun,
    /// The limit; `None` after it has ended.
    pub(super) rate: Option<rate::Rate>,
    /// When the latest response was received that names the limit, in milliseconds.
    pub(super) named_ms: u64,
    /// When the request of that response was sent, in milliseconds.
    pub(super) named_sent_ms: u64,
    /// When the request was sent whose response ended or raised the limit, in milliseconds: responses
    /// received before then show an earlier state.
    pub(super) since_ms: u64,
    pub(super) issuer: Option<issuer::Issuer>,
    pub(super) permits: Vec<demand::Permit>,
    pub(super) demand: demand::Demand,
    pub(super) last_known_ms: u64,
}

/// What an observation changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server had no limit.
    Begun,
    /// The server had a lower limit.
    Raised,
    /// The server had a higher limit.
    Lowered,
    /// The server names a limit no longer.
    Ended,
    /// Nothing, or the observation is out of date.
    Unchanged,
}

impl Limit {
    pub(super) fn new(run: server_run::ServerRun, now_ms: u64) -> Self {
        Self {
            run,
            rate: None,
            named_ms: 0,
            named_sent_ms: 0,
            since_ms: 0,
            issuer: None,
            permits: Vec::new(),
            demand: demand::Demand::default(),
            last_known_ms: now_ms,
        }
    }

    /// Records what a response says. A lower limit takes effect at once; a higher one, or none, only if
    /// the request was sent after the lower one was last named.
    pub(super) fn observe(
        &mut self,
        rate: Option<rate::Rate>,
        sent_ms: u64,
        received_ms: u64,
    ) -> Change {
        if received_ms < self.since_ms {
            return Change::Unchanged;
        }
        let is_later = sent_ms >= self.named_ms;
        let change = match (self.rate, rate) {
            (None, Some(_)) => Change::Begun,
            (Some(_), None) if is_later => Change::Ended,
            (Some(known), Some(named)) if named > known && is_later => Change::Raised,
            (Some(known), Some(named)) if named < known => Change::Lowered,
            (Some(known), Some(named)) if named == known => Change::Unchanged,
            (Some(_) | None, _) => return Change::Unchanged,
        };
        self.rate = rate;
        if matches!(change, Change::Ended | Change::Raised) {
            self.since_ms = sent_ms;
        }
        if rate.is_some() {
            self.named_ms = self.named_ms.max(received_ms);
            self.named_sent_ms = self.named_sent_ms.max(sent_ms);
        } else {
            self.issuer = None;
            self.permits.clear();
            self.demand = demand::Demand::default();
        }
        change
    }

    /// Makes this host an issuer, or no longer.
    pub(super) fn update_role(&mut self, is_issuer: bool, now_ms: u64) {
        if !is_issuer || self.rate.is_none() {
            self.issuer = None;
        } else if self.issuer.is_none() {
            self.issuer = Some(issuer::Issuer::new(now_ms));
        }
    }

    pub(super) fn valid_permits(&self, now_ms: u64) -> usize {
        self.permits.iter().filter(|permit| permit.is_valid(now_ms)).count()
    }

    /// Adds the permits that have been issued on a request and not been received before. They are valid
    /// from the time of the request, so that a delayed message extends nothing.
    pub(super) fn receive_permits(
        &mut self,
        issuer: &name::HostName,
        permits: message::Permits,
        now_ms: u64,
    ) {
        let message::Permits { number, issued } = permits;
        let requests = &mut self.demand.requests;
        let open = requests.iter_mut().find(|it| it.issuer == *issuer && it.number == number);
        let Some(open) = open else { return };
        let new = issued.min(open.wanted).saturating_sub(open.received);
        open.received += new;
        let expires_ms = open.expires_ms();
        if new > 0 {
            self.demand.wanted = self.demand.wanted.saturating_sub(new);
            self.demand.unanswered = 0;
            self.demand.next_request_ms =
                self.demand.next_request_ms.min(now_ms + demand::REQUEST_INTERVAL_MS);
        }
        let new = usize::try_from(new).unwrap_or(0);
        self.permits.extend(std::iter::repeat_n(demand::Permit { expires_ms }, new));
        self.permits.sort_by_key(|permit| permit.expires_ms);
    }

    pub(super) fn message(
        &self,
        id: &name::ServerId,
        body: message::Body,
        now_ms: u64,
    ) -> message::Message {
        let (received_ms, sent_ms) = match self.rate {
            Some(_) => (self.named_ms, self.named_sent_ms),
            None => (self.since_ms, self.since_ms),
        };
        let observation = message::Observation {
            limit: self.rate,
            received_age_ms: now_ms.saturating_sub(received_ms),
            sent_age_ms: now_ms.saturating_sub(sent_ms),
        };
        message::Message { server: id.clone(), run: self.run, observation, body }
    }
}
