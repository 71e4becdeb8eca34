//! Placement at servers that come back from a pause.

use std::collections;
use std::sync::Arc;

use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_policy::placement;
use toucanwall_routing::name;
use toucanwall_routing::server;

fn desk() -> Arc<server::BackendServer> {
    Arc::new(server::BackendServer {
        id: "s-1".into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc-1".into(),
        version: "v1".into(),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms: None,
    })
}

/// Each accepted request makes room for one more at a time.
#[rstest]
fn slow_start_grows_by_one_with_each_accepted_request() {
    let server = desk();
    let data_centre = name::DataCentre::from("dc-1");
    let request = placement::Request {
        generation: None,
        data_centre: &data_centre,
        in_flight_max: 100,
        relative_cost_percent: 100,
    };
    let mut placement = placement::Placement::new();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    placement.record_pause(&server.id);
    for room in 1..10 {
        while placement.in_flight(&server.id) < room {
            let servers = [Arc::clone(&server)];
            let excluded = collections::BTreeSet::new();
            let choice = placement.choose(request, &servers, &excluded, 0, &mut rng);
            assert!(matches!(choice, placement::Choice::Server { .. }), "room for {room}");
            placement.record_start(&server.id, request, 0);
        }
        let excluded = collections::BTreeSet::new();
        let choice = placement.choose(request, &[Arc::clone(&server)], &excluded, 0, &mut rng);
        assert!(matches!(choice, placement::Choice::Full), "room for more than {room}");
        placement.record_acceptance(&server.id);
    }
}
