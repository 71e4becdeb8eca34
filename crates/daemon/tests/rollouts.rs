//! Roll-outs at a real host: which version answers, and which one failures count against.

use std::time;

use rstest::rstest;
use toucanwall_platform_standin::backend;

mod gateway_fleet;

use gateway_fleet::GatewayFleet;

/// Requests that are sent before the roll-out, so that failed ones may be sent again.
const EARLIER_REQUESTS: usize = 200;
/// Requests that the new version gets; if it failed them all, it would be reverted.
const CANARY_REQUESTS: usize = 12;

/// Starts a host and a roll-out whose two new servers behave as given.
async fn start(old: &backend::Backend, new: &[backend::Backend]) -> GatewayFleet {
    let fleet = GatewayFleet::start(1, &[("desk", old)]).await;
    for _ in 0..EARLIER_REQUESTS {
        fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    }
    for server in new {
        fleet.register_version("desk", server, "v2");
    }
    let rollout = serde_json::json!({ "service": "desk", "target": "v2", "duration_s": 24 });
    fleet.store.put("rollouts", "desk", &rollout);
    fleet.wait_for("the roll-out to start", async || state(&fleet) == "in_progress").await;
    let knows_servers = async || fleet.log(0).contains("s-2") && fleet.log(0).contains("s-3");
    fleet.wait_for("the host to know the new servers", knows_servers).await;
    fleet
}

fn state(fleet: &GatewayFleet) -> String {
    let object = fleet.store.get("rollouts", "desk").unwrap_or_default();
    object["status"]["state"].as_str().unwrap_or("").to_owned()
}

async fn new_servers(behaviour: backend::Behaviour) -> [backend::Backend; 2] {
    let first = backend::Backend::start("s-2", behaviour.clone()).await;
    [first, backend::Backend::start("s-3", behaviour).await]
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_fails_on_the_new_version_is_answered_by_the_old_one() {
    let old = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let new = new_servers(backend::Behaviour::Fail).await;
    let fleet = start(&old, &new).await;
    for id in gateway_fleet::canary_request_ids().take(CANARY_REQUESTS) {
        let response = fleet.prepare_request(0, "GET", "/read/x", &id).send().await;
        assert_eq!(response.map(|response| response.status), Some(200), "{id}");
    }
    fleet.wait_for("the roll-out to be reverted", async || state(&fleet) == "reverted").await;
    let failed = new[0].executed().len() + new[1].executed().len();
    assert!(failed <= CANARY_REQUESTS, "{failed} failures");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn version_is_not_blamed_for_requests_that_fail_on_every_server() {
    let old = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let new = new_servers(backend::Behaviour::Fail).await;
    let fleet = start(&old, &new).await;
    old.enqueue(std::iter::repeat_n(backend::Behaviour::Fail, CANARY_REQUESTS));
    for id in gateway_fleet::canary_request_ids().take(CANARY_REQUESTS) {
        let response = fleet.prepare_request(0, "GET", "/read/x", &id).send().await;
        assert_eq!(response.map(|response| response.status), Some(500), "{id}");
    }
    let failed = new[0].executed().len() + new[1].executed().len();
    assert_eq!(failed, CANARY_REQUESTS, "the new version got each request once");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(state(&fleet), "in_progress", "{}", fleet.log(0));
}

/// A pause ends, and so does a limit: neither changes anything about who may run which version.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_not_moved_to_another_version_while_the_servers_of_theirs_pause(
    #[values(true, false)] has_session: bool,
    #[values(true, false)] names_limit: bool,
) {
    let old = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let new = new_servers(backend::Behaviour::Respond).await;
    let fleet = start(&old, &new).await;
    let session = [("session", "one")];
    let headers = if has_session { &session[..] } else { &[] };
    let target_runs = || new[0].executed().len() + new[1].executed().len();
    let moved = async || {
        let before = target_runs();
        if names_limit {
            // Together, since requests that wait for a permit one after the other would outlast the
            // first half of the roll-out.
            let send = |number| {
                let id = format!("moved-{before}-{number}");
                fleet.prepare_request_with(0, "GET", "/read/x", &id, headers).send()
            };
            futures_util::future::join_all((0..EARLIER_REQUESTS).map(send)).await;
        } else {
            for _ in 0..EARLIER_REQUESTS {
                fleet.send(0, "GET", "/read/x", headers).await.expect("a response");
            }
        }
        target_runs() - before
    };
    let usual = moved().await;
    if names_limit {
        old.name_limit(Some("0.1"));
    } else {
        old.pause(time::Duration::from_secs(5));
    }
    let during_pause = moved().await;
    let exposed = EARLIER_REQUESTS / 4;
    assert!(usual < exposed && during_pause < exposed, "{usual}, {during_pause}\n{}", fleet.log(0));
    if has_session {
        assert_eq!((usual, during_pause), (0, 0), "{}", fleet.log(0));
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_session_is_served_by_the_old_version_while_the_new_one_pauses(
    #[values(true, false)] names_limit: bool,
) {
    let old = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let new = new_servers(backend::Behaviour::Respond).await;
    let fleet = start(&old, &new).await;
    for server in &new {
        if names_limit {
            server.name_limit(Some("0"));
        } else {
            server.pause(time::Duration::from_secs(5));
        }
    }
    let mut ids = gateway_fleet::canary_request_ids();
    // The first request may be declined by both of the new servers.
    let first = ids.next().expect("an id");
    fleet.prepare_request(0, "GET", "/read/x", &first).send().await.expect("a response");
    for id in ids.take(CANARY_REQUESTS) {
        let response = fleet.prepare_request(0, "GET", "/read/x", &id).send().await;
        assert_eq!(response.map(|it| it.status), Some(200), "{id}\n{}", fleet.log(0));
    }
}
