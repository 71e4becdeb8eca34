//! Servers that write an earlier refusal once more.

mod gateway_fleet;

use std::collections;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::backend::RefusalId;
use toucanwall_platform_standin::backend::RepeatedRefusal;

const LAST_EVENT: u64 = 6;
/// Statuses that promise that a request was not executed and never will be.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Requests that each test sends.
const REQUESTS: usize = 30;

struct Scenario {
    fleet: GatewayFleet,
    servers: [backend::Backend; 2],
}

impl Scenario {
    async fn start(path: &str) -> Self {
        let is_stream = path.starts_with("/chat/");
        let behaviour =
            if is_stream { Behaviour::Stream { last: LAST_EVENT } } else { Behaviour::Respond };
        let service = if is_stream { "engines" } else { "desk" };
        let servers = [
            backend::Backend::start("s-1", behaviour.clone()).await,
            backend::Backend::start("s-2", behaviour).await,
        ];
        let fleet = GatewayFleet::start(1, &[(service, &servers[0]), (service, &servers[1])]).await;
        Self { fleet, servers }
    }

    /// Number of executions of each request.
    fn executions(&self) -> collections::BTreeMap<String, usize> {
        let mut executions = collections::BTreeMap::new();
        for run in self.servers.iter().flat_map(backend::Backend::executed) {
            let id = run.headers.get("x-toucanwall-attempt-id").cloned().unwrap_or_default();
            *executions.entry(id).or_default() += 1;
        }
        executions
    }
}

fn method(path: &str) -> &'static str {
    if path.starts_with("/read/") { "GET" } else { "POST" }
}

/// A refusal that is not of this request proves nothing about it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_runs_is_not_refused_after_a_refusal_of_another_one(
    #[values("/read/x", "/book/x", "/chat/x")] path: &str,
    #[values(503, 429, 408, 421)] status: u16,
    #[values(RefusalId::Earlier, RefusalId::Absent)] id: RefusalId,
    #[values(true, false)] says_not_executed: bool,
) {
    let scenario = Scenario::start(path).await;
    let refusal = RepeatedRefusal { status, id, says_not_executed };
    let (mut refused, mut executed_twice) = (Vec::new(), Vec::new());
    for number in 0..REQUESTS {
        let behaviour = if number % 2 == 0 {
            Behaviour::RepeatRefusal(refusal)
        } else {
            Behaviour::RespondAndRefuse(refusal)
        };
        for server in &scenario.servers {
            if number % 3 == 0 {
                server.enqueue([behaviour.clone()]);
            }
        }
        let request_id = format!("r-{number}");
        let request = scenario.fleet.prepare_request(0, method(path), path, &request_id);
        let response = request.send().await.expect("a response");
        let runs = scenario.executions().get(&request_id).copied().unwrap_or(0);
        if PROMISES.contains(&response.status) && runs > 0 {
            refused.push(request_id.clone());
        }
        if path == "/book/x" && runs > 1 {
            executed_twice.push(request_id.clone());
        }
        if response.status == 200 {
            let answered = response.header("x-toucanwall-attempt-id");
            assert_eq!(answered, Some(request_id.as_str()), "{}", scenario.fleet.log(0));
        }
    }
    assert!(refused.is_empty(), "{refused:?} ran and were refused\n{}", scenario.fleet.log(0));
    assert!(executed_twice.is_empty(), "{executed_twice:?} ran twice");
}

/// A server's own refusal of the request still is a proof.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_its_servers_decline_is_refused() {
    let scenario = Scenario::start("/book/x").await;
    for server in &scenario.servers {
        server.enqueue([Behaviour::Decline]);
    }
    let request = scenario.fleet.prepare_request(0, "POST", "/book/x", "r-1");
    assert_eq!(request.send().await.map(|it| it.status), Some(503));
    assert!(scenario.executions().is_empty());
}
