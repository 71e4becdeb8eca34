//! Requests whose route or organisation confines them to regions.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;

/// Time for a response that needs no server.
const PROMPT: time::Duration = time::Duration::from_millis(500);
/// Requests that are sent to find out which servers receive any.
const PROBES: usize = 12;
const LAST_EVENT: u64 = 6;
/// Regions of the data centres; `dc-3` has none.
const ZONES: &[(&str, &str)] = &[("dc-1", "r"), ("dc-2", "far")];

/// A host with a server in its own data centre, which it prefers, one in another region and one whose
/// region is not known.
struct Scenario {
    fleet: GatewayFleet,
    local: backend::Backend,
    far: backend::Backend,
    unknown: backend::Backend,
}

impl Scenario {
    async fn start(configuration: &serde_json::Value, far: Behaviour) -> Self {
        let whole = Behaviour::Stream { last: LAST_EVENT };
        let local = backend::Backend::start("s-local", whole.clone()).await;
        let far = backend::Backend::start("s-far", far).await;
        let unknown = backend::Backend::start("s-unknown", whole).await;
        let mut fleet = GatewayFleet::prepare().await;
        fleet.zones = ZONES;
        fleet.store.put("config", "main", configuration);
        for (server, data_centre) in [(&local, "dc-1"), (&far, "dc-2"), (&unknown, "dc-3")] {
            fleet.register_in("engines", server, data_centre);
        }
        fleet.add_ready_host().await;
        Self { fleet, local, far, unknown }
    }

    async fn send(&self, path: &str, headers: &[(&str, &str)]) -> gateway_fleet::Response {
        let method = if path.starts_with("/read/") { "GET" } else { "POST" };
        self.fleet.send(0, method, path, headers).await.expect("a response")
    }

    /// Sends requests and checks that only the server in the other region has received any.
    async fn check_confined(&self, path: &str, headers: &[(&str, &str)], status: u16) {
        for _ in 0..PROBES {
            let response = self.send(path, headers).await;
            assert_eq!(response.status, status, "{response:?}\n{}", self.fleet.log(0));
        }
        assert!(self.far.arrivals().len() >= PROBES, "{}", self.fleet.log(0));
        self.check_others_unused();
    }

    fn check_others_unused(&self) {
        for server in [&self.local, &self.unknown] {
            assert!(server.arrivals().is_empty(), "{}\n{}", server.id, self.fleet.log(0));
        }
    }

    async fn check_rejected_at_once(&self, path: &str) {
        let started = time::Instant::now();
        let response = self.send(path, &[]).await;
        assert_eq!(response.status, 503, "{response:?}\n{}", self.fleet.log(0));
        assert!(response.body.contains("no server in an allowed region"), "{response:?}");
        let retry_after = response.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{response:?}");
        assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
    }
}

/// A configuration in which all routes use one service.
fn configuration() -> serde_json::Value {
    let mut configuration = gateway_fleet::configuration(2);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["service"] = "engines".into();
    }
    configuration
}

/// A configuration whose routes and whose first organisation may use the given regions.
fn confined(routes: &[&str], organisation: &[&str]) -> serde_json::Value {
    let mut configuration = configuration();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["allowed_regions"] = routes.into();
    }
    configuration["tenants"][0]["allowed_regions"] = organisation.into();
    configuration
}

/// Guards against requests that leave the regions that their route or their organisation allows. An
/// empty list is no restriction.
#[rstest]
#[case::route(&["far"], &[])]
#[case::organisation(&[], &["far"])]
#[case::both(&["r", "far"], &["far", "elsewhere"])]
#[tokio::test(flavor = "multi_thread")]
async fn request_runs_in_an_allowed_region_only(
    #[case] routes: &[&str],
    #[case] organisation: &[&str],
    #[values("/read/x", "/book/x", "/chat/x")] path: &str,
) {
    let whole = Behaviour::Stream { last: LAST_EVENT };
    let scenario = Scenario::start(&confined(routes, organisation), whole).await;
    scenario.check_confined(path, &[], 200).await;
}

/// Guards against a restriction of one organisation that moves the requests of others.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn other_organisations_are_not_confined() {
    let whole = Behaviour::Stream { last: LAST_EVENT };
    let scenario = Scenario::start(&confined(&[], &["far"]), whole).await;
    let key = format!("Token {}", gateway_fleet::OTHER_KEY);
    for _ in 0..PROBES {
        let response = scenario.send("/read/x", &[("authorization", &key)]).await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(scenario.local.arrivals().len(), PROBES, "{}", scenario.fleet.log(0));
}

/// Guards against a retry outside the allowed regions.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_retried_in_another_region() {
    let scenario = Scenario::start(&confined(&["far"], &[]), Behaviour::Fail).await;
    let response = scenario.send("/read/x", &[]).await;
    assert_eq!(response.status, 500, "{response:?}\n{}", scenario.fleet.log(0));
    assert_eq!(scenario.far.arrivals().len(), 1, "{}", scenario.fleet.log(0));
    scenario.check_others_unused();
}

/// Guards against a stream that is resumed outside the allowed regions.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_resumed_in_another_region() {
    let broken = Behaviour::TruncateStream { after: LAST_EVENT / 2 };
    let scenario = Scenario::start(&confined(&[], &["far"]), broken).await;
    let response = scenario.send("/chat/x", &[]).await;
    assert!(!response.is_complete, "{response:?}\n{}", scenario.fleet.log(0));
    scenario.check_others_unused();
}

/// Guards against a second run on a larger model outside the allowed regions.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_escalated_to_another_region() {
    let mut configuration = gateway_fleet::cascade_configuration(2);
    configuration["routes"][2]["allowed_regions"] = serde_json::json!(["far"]);
    let low_confidence = Behaviour::LowConfidenceStream { last: LAST_EVENT };
    let scenario = Scenario::start(&configuration, low_confidence).await;
    let any_model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
    scenario.check_confined("/chat/x", &any_model, 200).await;
    assert!(scenario.far.arrivals().len() > PROBES, "no request was escalated");
}

/// Guards against requests that wait, or that leave their regions, where these have no server.
#[rstest]
#[case::unknown_region(&["elsewhere"], &[])]
#[case::no_region_in_common(&["r"], &["far"])]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_server_in_an_allowed_region_is_rejected_at_once(
    #[case] routes: &[&str],
    #[case] organisation: &[&str],
    #[values("/read/x", "/book/x", "/chat/x")] path: &str,
) {
    let whole = Behaviour::Stream { last: LAST_EVENT };
    let scenario = Scenario::start(&confined(routes, organisation), whole).await;
    scenario.check_rejected_at_once(path).await;
    scenario.check_others_unused();
    assert!(scenario.far.arrivals().is_empty(), "{}", scenario.fleet.log(0));
}

/// Guards against a restriction that takes effect only for hosts which start later.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn restriction_takes_effect_with_its_configuration() {
    let whole = Behaviour::Stream { last: LAST_EVENT };
    let scenario = Scenario::start(&configuration(), whole).await;
    scenario.send("/read/x", &[]).await;
    assert_eq!(scenario.local.arrivals().len(), 1, "{}", scenario.fleet.log(0));
    let mut next = confined(&["far"], &[]);
    next["version"] = 3.into();
    scenario.fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    for _ in 0..PROBES {
        scenario.send("/read/x", &[]).await;
    }
    assert_eq!(scenario.local.arrivals().len(), 1, "{}", scenario.fleet.log(0));
    assert_eq!(scenario.far.arrivals().len(), PROBES, "{}", scenario.fleet.log(0));
}

/// Guards against a directory that sends callers to hosts outside their own region and the allowed
/// ones.
#[rstest]
#[case::own_and_allowed_region("site.example", "r", &[0, 1])]
#[case::case_of_the_name("Site.Example", "other", &[1, 2])]
#[case::allowed_region_only("site.example", "far", &[1])]
#[case::name_without_restriction("open.example", "r", &[0, 1, 2])]
#[tokio::test(flavor = "multi_thread")]
async fn directory_names_hosts_in_the_callers_or_an_allowed_region(
    #[case] name: &str,
    #[case] region: &str,
    #[case] expected: &[usize],
) {
    let mut configuration = configuration();
    configuration["routes"][0]["allowed_regions"] = serde_json::json!(["far"]);
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &configuration);
    for location in [("dc-1", "r"), ("dc-2", "far"), ("dc-3", "other")] {
        fleet.location = location;
        fleet.add_ready_host().await;
    }
    let hosts = 0..fleet.hosts.len();
    let all_named = async || {
        for host in hosts.clone() {
            let response = fleet.resolve_from(host, "open.example", "r").await;
            let body = response.map(|it| it.body).unwrap_or_default();
            if hosts.clone().any(|it| !body.contains(&fleet.caller_address(it).to_string())) {
                return false;
            }
        }
        true
    };
    fleet.wait_for("all hosts to be named for another name", all_named).await;
    for host in hosts.clone() {
        let body = fleet.resolve_from(host, name, region).await.expect("a response").body;
        let named =
            hosts.clone().filter(|it| body.contains(&fleet.caller_address(*it).to_string()));
        assert_eq!(named.collect::<Vec<_>>(), expected, "host {host}: {body}");
    }
}
