//! What a request asks of the servers that it may go to: work, urgency, patience, a larger model.

use std::collections;
use std::time;

use toucanwall_platform::response;
use toucanwall_policy::canary;
use toucanwall_policy::connections;
use toucanwall_policy::escalation;
use toucanwall_policy::placement;
use toucanwall_routing::name;

use crate::exchange;
use crate::front;

/// Objectives for the first byte after which a server counts as silent.
const SILENT_OBJECTIVES: u64 = 2;
/// Shortest time after which a server counts as silent, in milliseconds.
const SILENT_MIN_MS: u64 = 1_000;
/// Urgency at a server of what ranks first; ranks below follow on. Servers take 5 where nothing is
/// said, so that the middle ranks are where other callers are.
const URGENCY_OF_FIRST: u32 = 3;
/// Least urgency that servers know.
const URGENCY_LAST: u8 = 9;

impl exchange::Exchange {
    /// The larger model that is to answer instead, if the one that answers doubts itself.
    #[must_use]
    pub fn larger_model(&self, head: &response::Head) -> Option<name::ModelName> {
        let model = self.model.as_ref()?;
        let can_repeat = self.attempts < self.route.max_attempts && self.is_repeatable();
        if !can_repeat || !head.status.is_success() || self.last_event_id.is_some() {
            return None;
        }
        // An answer is dropped only for a second run that can be made.
        if self.traffic.repeats_to_spare(&self.service) == 0 {
            return None;
        }
        let largest = self.route.models.last();
        let units = self.units_before(largest)?;
        let work = (self.service.clone(), largest.cloned());
        let step = escalation::ModelAnswer {
            models: &self.route.models,
            model,
            confidence_percent: head.confidence_percent,
            elapsed_ms: self.traffic.clock.now_ms().saturating_sub(self.arrived_ms),
            expected_ms: self.traffic.expect_ms(&work, units),
            target_latency_ms: self.route.target_latency_ms,
        };
        escalation::escalation_target(step)
    }

    /// Work that would lie before the first byte with a model; nothing if no server could take it.
    fn units_before(&self, model: Option<&name::ModelName>) -> Option<u64> {
        let job =
            placement::Request { relative_cost_percent: self.weight_percent(model), ..self.job() };
        // A second run may go to any server, also to the one that made the first.
        let none = collections::BTreeSet::new();
        match self.choose(self.traffic.clock.now_ms(), job, &none) {
            (placement::Choice::Server { units, .. }, _) => Some(units),
            _ => None,
        }
    }

    /// How much more a token costs with a model than with the smallest one, in percent.
    fn weight_percent(&self, model: Option<&name::ModelName>) -> u64 {
        let view = self.traffic.view();
        let service = view.configuration.as_ref().and_then(|known| known.service(&self.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        match (engine, model) {
            (Some(engine), Some(model)) => {
                escalation::cost_percent(&engine.price_per_kilotoken, &self.route.models, model)
            }
            _ => escalation::SMALLEST_MODEL_COST_PERCENT,
        }
    }

    /// How urgent a server is to take it: the organisation's rank goes before the route's.
    #[must_use]
    pub fn urgency(&self) -> u8 {
        let of_organisation = self.organisation.as_ref().and_then(|known| known.priority);
        let rank = of_organisation.unwrap_or(self.route.priority);
        u8::try_from(rank.saturating_add(URGENCY_OF_FIRST))
            .unwrap_or(URGENCY_LAST)
            .min(URGENCY_LAST)
    }

    /// What it asks of a server.
    #[must_use]
    pub fn job(&self) -> placement::Request<'_> {
        placement::Request {
            generation: self.head.generation.as_ref(),
            data_centre: &self.traffic.settings.data_centre,
            in_flight_max: self.connections().in_flight_max,
            relative_cost_percent: self.weight_percent(self.model.as_ref()),
        }
    }

    /// How long a server may say nothing.
    #[must_use]
    pub fn patience(&self) -> time::Duration {
        let left_ms = self.left_ms();
        let silent_ms = (self.route.target_latency_ms * SILENT_OBJECTIVES).max(SILENT_MIN_MS);
        let can_retry = self.is_repeatable() && self.attempts < self.route.max_attempts;
        time::Duration::from_millis(if can_retry { left_ms.min(silent_ms) } else { left_ms })
    }

    /// What decides on which side of a roll-out it falls.
    #[must_use]
    pub fn stable_request(&self) -> canary::Request {
        let session = self.head.session.as_deref();
        canary::Request {
            key: front::hash(session.unwrap_or(&self.head.attempt_id)),
            has_session: session.is_some(),
        }
    }

    /// This host's connections to one server.
    #[must_use]
    pub fn connections(&self) -> connections::ConnectionLimits {
        let view = self.traffic.view();
        let service = view.configuration.as_ref().and_then(|known| known.service(&self.service));
        let connections_max = service.map_or(u32::MAX, |service| service.max_connections);
        connections::limits_per_host(connections_max, view.serving_host_count())
    }
}
