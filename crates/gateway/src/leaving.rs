//! Notices of servers that leave, as they arrive in responses.

use std::sync::Arc;

use toucanwall_platform::response;
use toucanwall_routing::server;

use crate::head_limit;
use crate::state;

/// Where a notice was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An interim response.
    Interim,
    /// The head of a final response with this status.
    Final(hyper::StatusCode),
}

/// Records what a response to a request says about whether its server is leaving.
pub fn record_notice(
    state: &state::GatewayState,
    server: &server::BackendServer,
    request: &str,
    notice: response::LeavingNotice,
    source: Source,
) {
    state.metrics.record_leaving_notice(notice);
    match notice {
        response::LeavingNotice::Absent => {}
        response::LeavingNotice::Leaving => record_leaving(state, server, request, source),
        response::LeavingNotice::Malformed => log::warn!(
            target: "toucanwall", request = request, server = server.id.as_str(), source:? = source;
            "malformed notice of a server's leaving ignored"
        ),
    }
}

/// Lets a request that is about to be sent record the notices in interim responses to it.
pub fn watch_interim_responses<B>(
    request: &mut hyper::Request<B>,
    state: &Arc<state::GatewayState>,
    server: &Arc<server::BackendServer>,
    id: &Arc<str>,
    head_limit: &head_limit::HeadLimit,
) {
    let (state, server, id) = (Arc::clone(state), Arc::clone(server), Arc::clone(id));
    let head_limit = head_limit.clone();
    hyper::ext::on_informational(request, move |interim| {
        head_limit.record_interim();
        state.metrics.record_interim_response();
        let notice = response::decode_leaving(interim.headers());
        record_notice(&state, &server, &id, notice, Source::Interim);
    });
}

fn record_leaving(
    state: &state::GatewayState,
    server: &server::BackendServer,
    request: &str,
    source: Source,
) {
    let now_ms = state.clock.now_ms();
    for speaker in speakers(state, server, source) {
        if state.notices().record_leaving(&speaker, now_ms) {
            log::info!(
                target: "toucanwall", request = request, server = speaker.id.as_str(),
                service = speaker.service.as_str(), source:? = source;
                "server says that it is leaving"
            );
        }
    }
}

/// The servers that a response may come from: the one to which the request was sent, unless the
/// response says that another one is at its address.
fn speakers(
    state: &state::GatewayState,
    server: &server::BackendServer,
    source: Source,
) -> Vec<server::BackendServer> {
    if source != Source::Final(hyper::StatusCode::MISDIRECTED_REQUEST) {
        return vec![server.clone()];
    }
    let view = state.view();
    let at_address = view.all_servers.values().filter(|it| it.address == server.address);
    at_address.map(|it| (**it).clone()).collect()
}
