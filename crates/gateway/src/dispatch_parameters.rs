//! Parameters with which a request is dispatched: server priority, response timeout, placement
//! request, connection limits and escalation to a larger model.

use std::collections;
use std::time;

use toucanwall_platform::response;
use toucanwall_policy::canary;
use toucanwall_policy::connections;
use toucanwall_policy::escalation;
use toucanwall_policy::placement;
use toucanwall_routing::name;

use crate::crashes;
use crate::exchange;
use crate::ingress;

/// Multiple of the route's target latency after which an attempt times out if it can be retried.
const LATENCY_TARGET_FACTOR: u64 = 2;
/// Minimum timeout of an attempt that can be retried, in milliseconds.
const RESPONSE_TIMEOUT_MIN_MS: u64 = 1_000;
/// Priority that is sent to servers for a request of priority 0; higher values are less urgent.
/// Servers assume 5 if the header is absent. Priority 2, the medium one, is sent as 5 too, so that
/// its requests are treated like those of other clients.
const SERVER_PRIORITY_BASE: u32 = 3;
/// Least urgent priority that servers accept.
const SERVER_PRIORITY_LOWEST: u8 = 9;

impl exchange::Exchange {
    /// Returns the larger model to which the request is escalated if the model that answered
    /// reports low confidence.
    #[must_use]
    pub fn escalation_target(&self, head: &response::Head) -> Option<name::ModelName> {
        let model = self.model.as_ref()?;
        let can_retry = self.attempts < self.route.max_attempts && self.allows_retry();
        if !can_retry || !head.status.is_success() || self.last_event_id.is_some() {
            return None;
        }
        // A server may end under this request, so it is not sent to another one.
        if self.crash_verdict(self.state.clock.now_ms()) != crashes::Verdict::Allowed {
            return None;
        }
        // The first response is discarded only if the retry budget allows the second run.
        if self.state.spare_retries(&self.service) == 0 {
            return None;
        }
        let largest_model = self.route.models.last();
        let units = self.units_before_first_byte(largest_model)?;
        let forecast_key = (self.service.clone(), largest_model.cloned());
        let model_answer = escalation::ModelAnswer {
            models: &self.route.models,
            model,
            confidence_percent: head.confidence_percent,
            elapsed_ms: self.state.clock.now_ms().saturating_sub(self.received_at_ms),
            expected_ms: self.state.expected_first_byte_ms(&forecast_key, units),
            expected_rest_ms: self.expected_rest_ms(largest_model),
            remaining_ms: self.remaining_ms(),
            target_latency_ms: self.route.target_latency_ms,
        };
        escalation::escalation_target(model_answer)
    }

    /// Estimates the work before the first byte with a model; `None` if no server can take the
    /// request.
    fn units_before_first_byte(&self, model: Option<&name::ModelName>) -> Option<u64> {
        let request = placement::Request {
            relative_cost_percent: self.relative_cost_percent(model),
            ..self.placement_request()
        };
        // The second run may go to any server, including the one that made the first.
        let no_exclusions = collections::BTreeSet::new();
        let now_ms = self.state.clock.now_ms();
        match self.choose_server(now_ms, request, &no_exclusions).choice {
            placement::Choice::Server { units, .. } => Some(units),
            placement::Choice::Full | placement::Choice::NoServer => None,
        }
    }

    /// Returns the cost of a token with a model, in percent of the cost with the smallest model.
    fn relative_cost_percent(&self, model: Option<&name::ModelName>) -> u64 {
        let view = self.state.view();
        let service = view
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.service(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        match (engine, model) {
            (Some(engine), Some(model)) => {
                escalation::cost_percent(&engine.price_per_kilotoken, &self.route.models, model)
            }
            _ => escalation::SMALLEST_MODEL_COST_PERCENT,
        }
    }

    /// Returns the priority of the request, 0 being the most urgent; the organisation's setting takes
    /// precedence over the route's.
    #[must_use]
    pub fn caller_priority(&self) -> u32 {
        let organisation_priority =
            self.organisation.as_ref().and_then(|organisation| organisation.priority);
        organisation_priority.unwrap_or(self.route.priority)
    }

    /// Returns the priority that is sent to the server.
    #[must_use]
    pub fn server_priority(&self) -> u8 {
        u8::try_from(self.caller_priority().saturating_add(SERVER_PRIORITY_BASE))
            .unwrap_or(SERVER_PRIORITY_LOWEST)
            .min(SERVER_PRIORITY_LOWEST)
    }

    /// Returns what placement needs to know about the request.
    #[must_use]
    pub fn placement_request(&self) -> placement::Request<'_> {
        placement::Request {
            generation: self.head.generation.as_ref(),
            data_centre: &self.state.settings.data_centre,
            in_flight_max: self.connection_limits().in_flight_max,
            relative_cost_percent: self.relative_cost_percent(self.model.as_ref()),
        }
    }

    /// Returns how long to wait for the server; an attempt that can be retried is abandoned early.
    #[must_use]
    pub fn response_timeout(&self) -> time::Duration {
        let remaining_ms = self.remaining_ms();
        let attempt_timeout_ms =
            (self.route.target_latency_ms * LATENCY_TARGET_FACTOR).max(RESPONSE_TIMEOUT_MIN_MS);
        let can_retry = self.allows_retry() && self.attempts < self.route.max_attempts;
        time::Duration::from_millis(if can_retry {
            remaining_ms.min(attempt_timeout_ms)
        } else {
            remaining_ms
        })
    }

    /// Returns what decides which side of a roll-out serves the request.
    #[must_use]
    pub fn rollout_request(&self) -> canary::Request {
        let session = self.head.session.as_deref();
        canary::Request {
            key: ingress::stable_hash(session.unwrap_or(&self.head.attempt_id)),
            has_session: session.is_some(),
            has_failed_on_target: self.attribution.avoids_target(),
        }
    }

    /// Returns this host's share of the connections to a single server.
    #[must_use]
    pub fn connection_limits(&self) -> connections::ConnectionLimits {
        let view = self.state.view();
        let service = view
            .configuration
            .as_ref()
            .and_then(|configuration| configuration.service(&self.service));
        let connections_max = service.map_or(u32::MAX, |service| service.max_connections);
        connections::limits_per_host(connections_max, view.serving_host_count())
    }
}
