//! Load reports in the responses of servers.

use toucanwall_platform::response;
use toucanwall_routing::server;

use crate::state;

/// Records the load that a response reports. A malformed time of work is logged and ignored.
pub fn record_load(
    state: &state::GatewayState,
    server: &server::BackendServer,
    request: &str,
    load: response::Load,
) {
    let work_time_percent = match load.work_time {
        response::WorkTime::Absent => None,
        response::WorkTime::Percent(percent) => Some(percent),
        response::WorkTime::Malformed => {
            log::warn!(
                target: "toucanwall", request = request, server = server.id.as_str();
                "malformed time of work in a load report ignored"
            );
            None
        }
    };
    let now_ms = state.clock.now_ms();
    let mut placement = state.placement();
    placement.record_load(&server.id, load.running, load.waiting, work_time_percent, now_ms);
}
