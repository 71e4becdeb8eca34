//! Limits that servers name, as their responses show.

use toucanwall_platform::response;
use toucanwall_routing::server;

use crate::state;

/// Records whether the response to a request names a limit of its server.
pub fn record_notice(
    state: &state::GatewayState,
    server: &server::BackendServer,
    request: &str,
    notice: response::LimitNotice,
) {
    state.metrics.record_limit_notice(notice);
    let per_1000_s = match notice {
        response::LimitNotice::Absent => None,
        response::LimitNotice::PerThousandSeconds(per_1000_s) => Some(per_1000_s),
        response::LimitNotice::Malformed => {
            log::warn!(
                target: "toucanwall", request = request, server = server.id.as_str();
                "malformed limit ignored"
            );
            return;
        }
    };
    let mut named = state.named_limits();
    let former = match per_1000_s {
        Some(per_1000_s) => named.insert(server.id.clone(), per_1000_s),
        None => named.remove(&server.id),
    };
    if former != per_1000_s {
        log::info!(
            target: "toucanwall", request = request, server = server.id.as_str(),
            service = server.service.as_str(), former_per_1000_s = former,
            per_1000_s = per_1000_s; "server names another limit"
        );
    }
}

/// Counts a request that is sent to a server if the server names a limit.
pub fn record_send(state: &state::GatewayState, server: &server::BackendServer) {
    if state.named_limits().contains_key(&server.id) {
        state.metrics.record_limited_send(&server.service);
    }
}
