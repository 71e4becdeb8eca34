//! Fakes of the backend servers.

use std::collections;
use std::net;
use std::sync::Arc;

use rand::RngExt as _;
use toucanwall_coordination::ledger::entry;
use toucanwall_core::action;
use toucanwall_core::event;

use super::Simulation;
use super::Task;
use super::Violation;
use super::document;
use super::platform::FakePlatform;

/// Time after the withdrawal of a version from which no host may dispatch to it, in milliseconds.
const WITHDRAWAL_DEADLINE_MS: u64 = 18_000;
/// Time after a server starts to leave from which no host may dispatch to it, in milliseconds.
const LEAVING_DEADLINE_MS: u64 = 18_000;

/// Executions at the backend servers.
#[derive(Debug, Default)]
pub struct FakeBackends {
    /// Number of executions of each request.
    pub executions: collections::BTreeMap<event::RequestId, u64>,
    /// Number of executions of the call with each idempotency key.
    pub effects: collections::BTreeMap<Arc<str>, u64>,
}

/// Stores the status objects of all backend servers at the platform.
pub fn register_servers(platform: &mut FakePlatform) {
    for index in 0..5 {
        register_server(platform, index, false);
    }
}

impl Simulation {
    pub(super) fn start_attempt(
        &mut self,
        slot: usize,
        generation: u64,
        dispatch: action::Dispatch,
    ) {
        self.check_dispatch(slot, &dispatch);
        if let Some(key) = self.callers.key_of(dispatch.request_id) {
            self.callers.dispatched_keys.insert(key);
        }
        if let Some(sent) = self.callers.sent_requests.get_mut(&dispatch.request_id) {
            sent.bill = Some(dispatch.bill_id);
        }
        if let Some(token) = &dispatch.session_token {
            self.record_session_item(dispatch.request_id, &dispatch.item, token);
        }
        let at_ms = self.now_ms + self.rng.random_range(5..400);
        self.schedule(at_ms, Task::EndAttempt { slot, generation, dispatch });
    }

    /// Ends an attempt. The server executes the request even if the host was lost meanwhile.
    pub(super) fn end_attempt(
        &mut self,
        slot: usize,
        generation: u64,
        dispatch: &action::Dispatch,
    ) {
        let draw = if self.is_recovering { 99 } else { self.rng.random_range(0..100) };
        let end = match draw {
            0..=4 => failed_attempt(event::Fault::NotSent),
            5..=7 => failed_attempt(event::Fault::ErrorStatus),
            8..=9 => {
                self.record_execution(dispatch);
                failed_attempt(event::Fault::Crashed)
            }
            10..=13 => {
                self.record_execution(dispatch);
                failed_attempt(event::Fault::ProgressTimeout)
            }
            _ => {
                self.record_execution(dispatch);
                answered_attempt()
            }
        };
        let (request_id, attempt) = (dispatch.request_id, dispatch.attempt);
        let event = event::Event::AttemptEnded { request_id, attempt, end };
        self.deliver(slot, Some(generation), event);
    }

    pub(super) fn toggle_server_leaving(&mut self) {
        let index = self.rng.random_range(0..2);
        let address = server_address(index);
        let is_leaving = !self.leaving_since.contains_key(&address);
        if self.now_ms < self.platform.outage_until_ms {
            return;
        }
        register_server(&mut self.platform, index, is_leaving);
        self.trace_line(0, &format!("server {address} leaving: {is_leaving}"));
        if is_leaving {
            self.leaving_since.insert(address, self.now_ms);
        } else {
            self.leaving_since.remove(&address);
        }
    }

    fn record_execution(&mut self, dispatch: &action::Dispatch) {
        *self.backends.executions.entry(dispatch.request_id).or_default() += 1;
        if let Some(key) = self.callers.key_of(dispatch.request_id) {
            *self.backends.effects.entry(key).or_default() += 1;
        }
    }

    fn check_dispatch(&mut self, slot: usize, dispatch: &action::Dispatch) {
        self.trace_line(slot, &format!("dispatches {} to {}", dispatch.item, dispatch.server));
        let withdrawn_ms = self.withdrawn_since.get(&dispatch.item).copied();
        if let Some(late_ms) = self.lateness_ms(withdrawn_ms, WITHDRAWAL_DEADLINE_MS) {
            self.fail(Violation::WithdrawnVersionDispatched { late_ms });
        }
        let leaving_ms = self.leaving_since.get(&dispatch.server).copied();
        if let Some(late_ms) = self.lateness_ms(leaving_ms, LEAVING_DEADLINE_MS) {
            self.fail(Violation::LeavingServerDispatched { late_ms });
        }
    }

    /// Returns the time since the hosts could learn of the change that forbids a dispatch, if it is
    /// longer than `deadline_ms`.
    fn lateness_ms(&self, changed_ms: Option<u64>, deadline_ms: u64) -> Option<u64> {
        let late_ms = self.now_ms.checked_sub(self.earliest_propagation_ms(changed_ms?))?;
        (late_ms > deadline_ms).then_some(late_ms)
    }
}

fn failed_attempt(fault: event::Fault) -> event::AttemptEnd {
    event::AttemptEnd::Failed { fault, delivered_events: 0, is_resumable: true }
}

fn answered_attempt() -> event::AttemptEnd {
    let answer = entry::StoredResponse {
        status: 200,
        content_type: Arc::from("application/json"),
        body: Some(Arc::from(b"{}".as_slice())),
    };
    event::AttemptEnd::Answered { tokens: 10, answer }
}

fn register_server(platform: &mut FakePlatform, index: usize, is_leaving: bool) {
    let pool = if index < 3 { "engines" } else { "desk" };
    let address = server_address(index);
    let loaded: Vec<String> = document::VERSIONS
        .iter()
        .map(|version| format!("model@{version}"))
        .chain(["strong@1".to_owned()])
        .collect();
    let value = serde_json::json!({
        "address": address, "pool": pool, "leaving": is_leaving, "loaded": loaded,
    });
    let key = format!("status/servers/{pool}/{address}");
    platform.put(&key, value.to_string().into_bytes().into());
}

fn server_address(index: usize) -> net::SocketAddr {
    let port = 3_000 + u16::try_from(index).expect("the server number fits in a port");
    net::SocketAddr::from(([10, 0, 0, 2], port))
}
