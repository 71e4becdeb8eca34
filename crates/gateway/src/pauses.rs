//! Servers that ask for a pause, as their responses show.

use toucanwall_platform::response;
use toucanwall_policy::server_notices;
use toucanwall_routing::server;

use crate::state;

/// Records whether the response to a request asks for a pause of its server.
pub fn record_request(
    state: &state::GatewayState,
    server: &server::BackendServer,
    request: &str,
    pause: response::PauseRequest,
) {
    state.metrics.record_pause_request(pause);
    match pause {
        response::PauseRequest::Absent => {}
        response::PauseRequest::For { pause_ms } => record_pause(state, server, request, pause_ms),
        response::PauseRequest::Malformed => log::warn!(
            target: "toucanwall", request = request, server = server.id.as_str();
            "malformed request for a pause ignored"
        ),
    }
}

fn record_pause(
    state: &state::GatewayState,
    server: &server::BackendServer,
    request: &str,
    pause_ms: u64,
) {
    let change = state.notices().record_pause(server, pause_ms, state.clock.now_ms());
    if change == server_notices::PauseChange::Begun {
        state.placement().record_pause(&server.id);
    }
    if change != server_notices::PauseChange::Unchanged {
        log::info!(
            target: "toucanwall", request = request, server = server.id.as_str(),
            service = server.service.as_str(), pause_ms = pause_ms, change:? = change;
            "server asks for a pause"
        );
    }
}
