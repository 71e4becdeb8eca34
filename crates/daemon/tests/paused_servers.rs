//! Servers that ask for a pause in their responses.

mod gateway_fleet;

use std::collections;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::backend::PauseForm;
use toucanwall_platform_standin::store;

/// Time after a response that asks for a pause from which requests are counted.
const NOTICE_TIME: time::Duration = time::Duration::from_millis(500);
/// Requests from one host that may reach a server within a pause.
const SENDS_MAX: usize = 2;
/// Pause that the servers ask for, in seconds.
const PAUSE: &str = "1.8";
/// Requests that are sent to find out whether a server receives any. Placement chooses among equal
/// servers at random.
const PROBES: usize = 24;
/// Time for a response that needs no server.
const PROMPT: time::Duration = time::Duration::from_millis(500);
/// Longest time after the end of a pause until the server receives requests again.
const RETURN_TIME: time::Duration = time::Duration::from_secs(2);
/// Time between a server's response and the moment at which the host or a test knows of it.
const MEASURING_ERROR: time::Duration = time::Duration::from_millis(50);
const LAST_EVENT: u64 = 6;

/// A host with a server that asks for a pause and another one of the same service.
struct Scenario {
    fleet: GatewayFleet,
    paused: backend::Backend,
    other: backend::Backend,
    path: &'static str,
}

impl Scenario {
    async fn start(path: &'static str) -> Self {
        let is_stream = path.starts_with("/chat/");
        let behaviour =
            if is_stream { Behaviour::Stream { last: LAST_EVENT } } else { Behaviour::Respond };
        let service = if is_stream { "engines" } else { "desk" };
        let paused = backend::Backend::start("s-1", behaviour.clone()).await;
        let other = backend::Backend::start("s-2", behaviour).await;
        let fleet = GatewayFleet::start(1, &[(service, &paused), (service, &other)]).await;
        Self { fleet, paused, other, path }
    }

    async fn send(&self) -> gateway_fleet::Response {
        let method = if self.path.starts_with("/read/") { "GET" } else { "POST" };
        self.fleet.send(0, method, self.path, &[]).await.expect("a response")
    }

    /// Sends requests until one is answered with `response` by the first server.
    async fn ask_for_pause(&self, response: Behaviour) {
        self.paused.enqueue([response]);
        let before = self.paused.arrivals().len();
        for _ in 0..8 * PROBES {
            if self.paused.arrivals().len() > before {
                return;
            }
            self.send().await;
        }
        panic!("no request reached the server\n{}", self.fleet.log(0));
    }

    /// Sends requests and returns how many reached the first server.
    async fn probe(&self) -> usize {
        let before = self.paused.arrivals().len();
        for _ in 0..PROBES {
            self.send().await;
        }
        self.paused.arrivals().len() - before
    }

    /// Sends requests until a moment before the last pause ends.
    async fn send_until_end_of_pause(&self) {
        let until = self.paused.pauses().last().expect("a pause").until;
        while time::Instant::now() < until {
            self.send().await;
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    fn assert_pauses_are_kept(&self) {
        let sends = most_sends_within_a_pause(&self.paused);
        assert!(sends <= SENDS_MAX, "{sends} requests within a pause\n{}", self.fleet.log(0));
    }

    async fn wait_for_return(&self) {
        let until = self.paused.pauses().iter().map(|pause| pause.until).max().expect("a pause");
        let has_returned = async || self.probe().await > 0;
        self.fleet.wait_for("the server to receive requests again", has_returned).await;
        let late = until.elapsed();
        assert!(late < RETURN_TIME, "back {late:?} after the pause\n{}", self.fleet.log(0));
    }
}

/// Reads what a host has sent on a connection; each response fits into one read.
async fn read_response(stream: &mut tokio::net::TcpStream) -> String {
    let mut bytes = [0; 4_096];
    let length = stream.read(&mut bytes).await.expect("a response");
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

/// The largest number of requests that reached a server within one of its pauses, without those of
/// the first half second.
fn most_sends_within_a_pause(server: &backend::Backend) -> usize {
    let arrivals = server.arrivals();
    let within = |pause: &backend::Pause| {
        let counted = |at| at > pause.at + NOTICE_TIME && at < pause.until;
        arrivals.iter().filter(|arrival| counted(arrival.at)).count()
    };
    server.pauses().iter().map(within).max().unwrap_or(0)
}

fn pause_response(form: PauseForm) -> Behaviour {
    Behaviour::AskForPause(backend::PauseResponse {
        retry_after: PAUSE.to_owned(),
        delay: time::Duration::ZERO,
        form,
    })
}

#[rstest]
#[case::safe("/read/x", PauseForm::Declined)]
#[case::safe_without_id("/read/x", PauseForm::DeclinedWithoutId)]
#[case::safe_executed("/read/x", PauseForm::Executed)]
#[case::safe_of_another_attempt("/read/x", PauseForm::OtherAttempt)]
#[case::safe_without_seal("/read/x", PauseForm::MissingSeal)]
#[case::unsafe_on_new_connections("/book/x", PauseForm::Declined)]
#[case::stream("/chat/x", PauseForm::Declined)]
#[case::stream_executed("/chat/x", PauseForm::Executed)]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_asks_for_a_pause_receives_at_most_two_requests_until_its_end(
    #[case] path: &'static str,
    #[case] form: PauseForm,
    #[values(store::Mode::Up, store::Mode::Unresponsive)] store_mode: store::Mode,
) {
    let scenario = Scenario::start(path).await;
    scenario.fleet.store.set_mode(store_mode);
    scenario.fleet.store.abort_watches();
    scenario.ask_for_pause(pause_response(form)).await;
    scenario.send_until_end_of_pause().await;
    scenario.assert_pauses_are_kept();
    scenario.wait_for_return().await;
}

#[rstest]
#[case::fraction(&["0.9"], 900)]
#[case::leading_point(&[".9"], 900)]
#[case::longest_of_several(&["0.9, 1.5, 0.2"], 1_500)]
#[tokio::test(flavor = "multi_thread")]
async fn pause_lasts_as_long_as_the_server_says(
    #[case] values: &'static [&'static str],
    #[case] length_ms: u64,
) {
    let scenario = Scenario::start("/read/x").await;
    scenario.ask_for_pause(Behaviour::ask_for_pause(values[0])).await;
    let asked = time::Instant::now();
    let length = time::Duration::from_millis(length_ms);
    let before = scenario.paused.arrivals().len();
    while asked.elapsed() + MEASURING_ERROR < length {
        scenario.send().await;
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(scenario.paused.arrivals().len(), before, "{}", scenario.fleet.log(0));
    let has_returned = async || scenario.probe().await > 0;
    scenario.fleet.wait_for("the server to receive requests again", has_returned).await;
    assert!(asked.elapsed() < length + RETURN_TIME, "{}", scenario.fleet.log(0));
}

/// A server that asks for more time than a number holds is not used again in this run.
#[rstest]
#[case("99999999999999999999999999")]
#[case("1e3, 340282366920938463463374607431768211456")]
#[tokio::test(flavor = "multi_thread")]
async fn pause_may_be_longer_than_a_number_holds(#[case] value: &str) {
    let scenario = Scenario::start("/read/x").await;
    scenario.ask_for_pause(Behaviour::ask_for_pause(value)).await;
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
    assert_eq!(scenario.send().await.status, 200);
}

#[rstest]
#[case::zero("0")]
#[case::negative("-3")]
#[case::date("Fri, 04 Dec 2026 10:00:00 GMT")]
#[case::exponent("1e3")]
#[case::infinite("inf")]
#[case::not_a_number("NaN")]
#[case::empty("")]
#[case::point(".")]
#[tokio::test(flavor = "multi_thread")]
async fn value_without_a_meaning_pauses_nothing(#[case] value: &str) {
    let scenario = Scenario::start("/read/x").await;
    scenario.ask_for_pause(Behaviour::ask_for_pause(value)).await;
    assert!(scenario.probe().await > 0, "{}", scenario.fleet.log(0));
}

/// Status 429 is about the one request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn rejection_of_a_single_request_pauses_nothing() {
    let scenario = Scenario::start("/read/x").await;
    scenario.ask_for_pause(pause_response(PauseForm::TooManyRequests)).await;
    assert!(scenario.probe().await > 0, "{}", scenario.fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn shorter_pause_does_not_end_a_longer_one() {
    let scenario = Scenario::start("/read/x").await;
    let shorter = Behaviour::AskForPause(backend::PauseResponse {
        retry_after: "0.2".to_owned(),
        delay: time::Duration::from_millis(200),
        form: PauseForm::Declined,
    });
    scenario.paused.enqueue([shorter, Behaviour::ask_for_pause(PAUSE)]);
    let requests = (0..4).map(|number| {
        let id = format!("early-{number}");
        scenario.fleet.prepare_request(0, "GET", "/read/x", &id).send()
    });
    let mut responses = tokio::task::JoinSet::new();
    for request in requests {
        responses.spawn(request);
    }
    responses.join_all().await;
    assert_eq!(scenario.paused.pauses().len(), 2, "{}", scenario.fleet.log(0));
    let until = scenario.paused.pauses().iter().map(|pause| pause.until).max().expect("a pause");
    let before = scenario.paused.arrivals().len();
    while time::Instant::now() + MEASURING_ERROR < until {
        scenario.send().await;
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    assert_eq!(scenario.paused.arrivals().len(), before, "{}", scenario.fleet.log(0));
}

/// A request that its first server fails is sent again, but not to a paused server.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_retried_at_a_paused_server() {
    let scenario = Scenario::start("/read/x").await;
    scenario.ask_for_pause(Behaviour::ask_for_pause(PAUSE)).await;
    scenario.other.enqueue(vec![Behaviour::Fail; 2_000]);
    scenario.send_until_end_of_pause().await;
    scenario.assert_pauses_are_kept();
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_escalated_to_a_paused_server() {
    let low_confidence = Behaviour::LowConfidenceStream { last: LAST_EVENT };
    let paused = backend::Backend::start("e-1", low_confidence.clone()).await;
    let other = backend::Backend::start("e-2", low_confidence).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::cascade_configuration(2));
    fleet.register("engines", &paused, "ready");
    fleet.register("engines", &other, "ready");
    fleet.add_ready_host().await;
    let any_model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
    paused.enqueue([Behaviour::ask_for_pause(PAUSE)]);
    let is_told = async || {
        fleet.send(0, "POST", "/chat/x", &any_model).await;
        !paused.pauses().is_empty()
    };
    fleet.wait_for("a request to reach the server", is_told).await;
    let until = paused.pauses()[0].until;
    while time::Instant::now() < until {
        fleet.send(0, "POST", "/chat/x", &any_model).await.expect("a response");
    }
    let sends = most_sends_within_a_pause(&paused);
    assert!(sends <= SENDS_MAX, "{sends} requests within a pause\n{}", fleet.log(0));
    let runs = other.executed();
    let runs = runs.iter().filter_map(|run| run.headers.get("x-toucanwall-attempt-id"));
    let requests: collections::BTreeSet<_> = runs.clone().collect();
    assert!(runs.count() > requests.len(), "no request was escalated");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_resumed_at_a_paused_server() {
    let scenario = Scenario::start("/chat/x").await;
    scenario.ask_for_pause(Behaviour::ask_for_pause(PAUSE)).await;
    scenario.other.enqueue(vec![Behaviour::TruncateStream { after: 3 }; 2_000]);
    scenario.send_until_end_of_pause().await;
    scenario.assert_pauses_are_kept();
}

/// Why a server stops accepting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    Pause,
    Leaving,
    Limit,
}

/// A request chooses its server and then opens a connection; meanwhile the server asks for a pause,
/// says that it leaves, or names a limit.
#[rstest]
#[case::pause(Reason::Pause)]
#[case::leaving(Reason::Leaving)]
#[case::limit(Reason::Limit)]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_connecting_when_its_server_stops_accepting_goes_elsewhere(
    #[case] reason: Reason,
) {
    const CALLERS: usize = 16;
    let request = |id: &str| {
        format!(
            "POST /book/x HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
             authorization: Token {}\r\ncontent-length: 0\r\n\r\n",
            gateway_fleet::KEY
        )
    };
    let scenario = Scenario::start("/book/x").await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        callers.push(scenario.fleet.send_raw(0, &request(&format!("first-{number}"))).await);
    }
    for caller in &mut callers {
        read_response(caller).await;
    }
    // One of the servers is asked, and answers while the host stands still.
    for server in [&scenario.paused, &scenario.other] {
        match reason {
            Reason::Pause => server.enqueue([Behaviour::AskForPause(backend::PauseResponse {
                retry_after: PAUSE.to_owned(),
                delay: PROMPT,
                form: PauseForm::Declined,
            })]),
            Reason::Leaving => {
                server.announce_leaving(true);
                server.enqueue([Behaviour::RespondAfter(PROMPT)]);
            }
            // The other server's limit is named in a response that comes later than the requests.
            Reason::Limit => {
                server.name_limit(Some("0"));
                server.enqueue([Behaviour::RespondAfter(PROMPT)]);
            }
        }
    }
    let asked = scenario.fleet.prepare_request(0, "POST", "/book/x", "asked");
    let asked = tokio::spawn(asked.send());
    tokio::time::sleep(PROMPT / 4).await;
    scenario.fleet.signal(0, "-STOP");
    tokio::time::sleep(PROMPT).await;
    for (number, caller) in callers.iter_mut().enumerate() {
        let bytes = request(&format!("second-{number}"));
        caller.write_all(bytes.as_bytes()).await.expect("the request is written");
    }
    scenario.fleet.signal(0, "-CONT");
    asked.await.expect("the caller does not panic");
    tokio::time::sleep(PROMPT).await;
    // The attempt that was not made does not count, so the only attempt is left for the other server,
    // which declines one request.
    let mut served = 0;
    for caller in &mut callers {
        served += usize::from(read_response(caller).await.starts_with("HTTP/1.1 200"));
    }
    assert!(served + 1 >= CALLERS, "{served} of {CALLERS} served\n{}", scenario.fleet.log(0));
    let servers = [&scenario.paused, &scenario.other];
    let was_asked =
        |it: &&&backend::Backend| it.arrivals().iter().any(|it| it.attempt_id == "asked");
    let paused = servers.iter().find(was_asked).expect("a server that was asked");
    let is_late = |arrival: &&backend::Arrival| arrival.attempt_id.starts_with("second-");
    let late = paused.arrivals().iter().filter(is_late).count();
    assert_eq!(late, 0, "{}", scenario.fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn next_run_of_a_paused_server_receives_requests() {
    let scenario = Scenario::start("/read/x").await;
    scenario.fleet.register_run("desk", &scenario.paused, 1_000);
    tokio::time::sleep(PROMPT * 2).await;
    scenario.ask_for_pause(Behaviour::ask_for_pause("3600")).await;
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
    scenario.fleet.register_run("desk", &scenario.paused, 2_000);
    let has_returned = async || scenario.probe().await > 0;
    scenario.fleet.wait_for("the next run to receive requests", has_returned).await;
}

#[rstest]
#[case::safe("/read/x")]
#[case::unsafe_("/book/x")]
#[case::stream("/chat/x")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_with_a_time_to_come_back_while_all_servers_pause(
    #[case] path: &'static str,
) {
    let scenario = Scenario::start(path).await;
    let pause = time::Duration::from_secs(2);
    scenario.paused.pause(pause);
    scenario.other.pause(pause);
    let both_have_asked = async || {
        scenario.send().await;
        !scenario.paused.pauses().is_empty() && !scenario.other.pauses().is_empty()
    };
    scenario.fleet.wait_for("both servers to have asked", both_have_asked).await;
    let until = scenario.paused.pauses()[0].until.max(scenario.other.pauses()[0].until);
    let arrivals = || scenario.paused.arrivals().len() + scenario.other.arrivals().len();
    let before = arrivals();
    for _ in 0..PROBES {
        let started = time::Instant::now();
        let response = scenario.send().await;
        assert_eq!(response.status, 503, "{}", scenario.fleet.log(0));
        assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
        let retry_after = response.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        let come_back =
            started + time::Duration::from_secs_f64(retry_after.expect("a time to come back"));
        assert!(come_back + MEASURING_ERROR > until, "before the end of the pause");
        assert!(come_back < until + RETURN_TIME, "long after the end of the pause");
    }
    assert_eq!(arrivals(), before, "{}", scenario.fleet.log(0));
    tokio::time::sleep_until((until + RETURN_TIME).into()).await;
    assert_eq!(scenario.send().await.status, 200, "{}", scenario.fleet.log(0));
}

/// All of a host's load at the end of a pause would make the server pause again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn load_comes_back_to_a_server_as_it_accepts_requests() {
    const CALLERS: usize = 6;
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    server.enqueue([Behaviour::ask_for_pause("0.6")]);
    assert_eq!(fleet.send(0, "POST", "/book/x", &[]).await.map(|it| it.status), Some(503));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let send_together = async |wave: &str| {
        server.enqueue(vec![Behaviour::RespondAfter(NOTICE_TIME); CALLERS]);
        let mut responses = tokio::task::JoinSet::new();
        for number in 0..CALLERS {
            let id = format!("{wave}-{number}");
            responses.spawn(fleet.prepare_request(0, "POST", "/book/x", &id).send());
        }
        let responses = responses.join_all().await;
        responses.iter().flatten().filter(|response| response.status == 200).count()
    };
    assert_eq!(send_together("first").await, 1, "{}", fleet.log(0));
    for _ in 0..2 * CALLERS {
        fleet.send(0, "POST", "/book/x", &[]).await.expect("a response");
    }
    assert_eq!(send_together("second").await, CALLERS, "{}", fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn no_connection_is_opened_to_a_paused_server() {
    let scenario = Scenario::start("/book/x").await;
    scenario.ask_for_pause(Behaviour::ask_for_pause(PAUSE)).await;
    let before = scenario.paused.connections_opened();
    scenario.probe().await;
    assert_eq!(scenario.paused.connections_opened(), before, "{}", scenario.fleet.log(0));
}

/// Streams that were open before the pause may last much longer than it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_with_open_streams_receives_requests_after_its_pause() {
    const STREAMS: usize = 6;
    let slow = Behaviour::SlowStream { last: LAST_EVENT, pause: time::Duration::from_millis(400) };
    let server = backend::Backend::start("s-1", slow).await;
    let fleet = GatewayFleet::start(1, &[("engines", &server)]).await;
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..STREAMS {
        let id = format!("open-{number}");
        streams.spawn(fleet.prepare_request(0, "POST", "/chat/x", &id).send());
    }
    let are_open = async || server.arrivals().len() == STREAMS;
    fleet.wait_for("the streams to begin", are_open).await;
    server.enqueue([Behaviour::ask_for_pause("0.3"), Behaviour::Stream { last: LAST_EVENT }]);
    assert_eq!(fleet.send(0, "POST", "/chat/x", &[]).await.map(|it| it.status), Some(503));
    tokio::time::sleep(PROMPT).await;
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    assert_eq!(response.status, 200, "{}", fleet.log(0));
    assert_eq!(streams.len(), STREAMS, "the streams are still open");
    for stream in streams.join_all().await {
        assert!(stream.is_some_and(|it| it.is_complete), "{}", fleet.log(0));
    }
}

/// The host closes the connection of a request that its caller has left, so it does not hear the
/// answer; the server says the same to the next request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn pause_that_was_asked_for_in_the_answer_to_a_cancelled_request_is_kept() {
    let scenario = Scenario::start("/read/x").await;
    let response = Behaviour::AskForPause(backend::PauseResponse {
        retry_after: PAUSE.to_owned(),
        delay: PROMPT / 2,
        form: PauseForm::Declined,
    });
    for server in [&scenario.paused, &scenario.other] {
        server.enqueue([response.clone()]);
    }
    let left = scenario.fleet.prepare_request(0, "GET", "/read/x", "left").send();
    assert!(tokio::time::timeout(PROMPT / 4, left).await.is_err(), "the caller leaves");
    for server in [&scenario.paused, &scenario.other] {
        server.pause(time::Duration::from_secs(2));
    }
    tokio::time::sleep(PROMPT).await;
    let until = time::Instant::now() + RETURN_TIME / 2;
    while time::Instant::now() < until {
        scenario.send().await;
    }
    for server in [&scenario.paused, &scenario.other] {
        let sends = most_sends_within_a_pause(server);
        assert!(sends <= SENDS_MAX, "{sends} requests within a pause\n{}", scenario.fleet.log(0));
    }
}
