//! A part of a prompt that crashes the servers that run it is not sent to ever more servers, and
//! requests that share only its neighbours are still served.

mod gateway_fleet;

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::CrashMoment;

const HOST_COUNT: usize = 6;
const SERVER_COUNT: usize = 8;
/// Requests that a server runs at the same time.
const SLOTS: usize = 6;
/// Time after which a crashed server is back.
const DOWNTIME: time::Duration = time::Duration::from_millis(1_500);
/// Time from the head of a response, or from the last event before the crash, to the crash.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(70);
/// Pause between the events that are sent before a crash.
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(40);
/// The server ends while its response has begun and no event has been sent.
const WITHOUT_EVENTS: CrashMoment = after_events(0);
/// Time until all hosts know of a crash, as in the `contact_ms` setting.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);
/// Crashes under a part from which the time limit runs.
const CRASH_LIMIT: usize = 5;
/// Requests with the part that may reach servers after the time limit.
const LATE_SENDS_MAX: usize = 3;
/// Part that all requests have in common.
const FIRST_PART: &str = "f1f1";
const CRASHING_PART: &str = "bad0";
/// Second parts of the requests that crash nothing.
const SOUND_PARTS: usize = 20;
const SOUND_INTERVAL: time::Duration = time::Duration::from_millis(30);
const CRASHING_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time in which only sound requests are sent.
const WARM_UP: time::Duration = time::Duration::from_secs(2);
/// Time after the fifth crash for which requests are sent.
const AFTERMATH: time::Duration = time::Duration::from_secs(9);
const CRASHES_DEADLINE: time::Duration = time::Duration::from_secs(20);

/// A crash after a number of whole events.
const fn after_events(events: u64) -> CrashMoment {
    CrashMoment::AfterHead { events, pause: EVENT_PAUSE, delay: CRASH_DELAY }
}

/// Lets the cases run one after the other, since each keeps the processor busy.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A request that was sent and how it ended.
struct Sent {
    at: time::Instant,
    id: String,
    is_crashing: bool,
    is_served: bool,
    took: time::Duration,
}

struct Deployment {
    fleet: GatewayFleet,
    servers: Vec<backend::Backend>,
    /// Time after which callers of the requests that crash servers leave.
    patience: Option<time::Duration>,
    sent: Mutex<Vec<Sent>>,
    /// When servers crashed.
    crashes: Mutex<Vec<time::Instant>>,
    next: atomic::AtomicUsize,
    is_finished: atomic::AtomicBool,
}

impl Deployment {
    async fn start(moment: CrashMoment, patience: Option<time::Duration>) -> Arc<Self> {
        let mut servers = Vec::new();
        for number in 0..SERVER_COUNT {
            let behaviour =
                backend::Behaviour::SlowStream { last: 10, pause: time::Duration::from_millis(40) };
            let server = backend::Backend::start(&format!("s-{number}"), behaviour).await;
            server.crash_on_part(CRASHING_PART, moment, DOWNTIME);
            server.limit_slots(SLOTS);
            servers.push(server);
        }
        let mut fleet = GatewayFleet::prepare().await;
        fleet.store.put("config", "main", &gateway_fleet::configuration(2));
        for server in &servers {
            fleet.register_run("engines", server, 1);
        }
        for _ in 0..HOST_COUNT {
            fleet.add_host();
        }
        for index in 0..HOST_COUNT {
            fleet.wait_for("the host to be ready", async || fleet.is_ready(index).await).await;
        }
        Arc::new(Self {
            fleet,
            servers,
            patience,
            sent: Mutex::default(),
            crashes: Mutex::default(),
            next: atomic::AtomicUsize::new(0),
            is_finished: atomic::AtomicBool::new(false),
        })
    }

    /// Sends a request that is unlike all others except for the shared parts of its prompt.
    async fn send(&self, host: usize, part: &str) -> Option<u16> {
        let number = self.next.fetch_add(1, atomic::Ordering::SeqCst);
        let id = format!("request-{number}");
        let prompt = format!("{FIRST_PART}:800,{part}:400,a{number:x}:200");
        let headers =
            [("x-toucanwall-prefix-hash", &*prompt), ("x-toucanwall-token-count", "1400,40")];
        let path = format!("/chat/{number}");
        let at = time::Instant::now();
        let request = self.fleet.prepare_request_with(host, "POST", &path, &id, &headers);
        let is_crashing = part == CRASHING_PART;
        let response = match self.patience.filter(|_| is_crashing) {
            Some(patience) => tokio::time::timeout(patience, request.send()).await.ok().flatten(),
            None => request.send().await,
        };
        let status = response.as_ref().map(|response| response.status);
        let is_served = response.is_some_and(|it| it.status == 200 && it.is_complete);
        let sent = Sent { at, id, is_crashing, is_served, took: at.elapsed() };
        self.sent.lock().expect("the lock is not poisoned").push(sent);
        status
    }

    fn is_finished(&self) -> bool {
        self.is_finished.load(atomic::Ordering::SeqCst)
    }

    /// Sends sound requests to all hosts in turn.
    async fn send_sound(self: Arc<Self>) {
        for number in 0.. {
            if self.is_finished() {
                return;
            }
            let deployment = Arc::clone(&self);
            let part = format!("d{}", number % SOUND_PARTS);
            tokio::spawn(async move { deployment.send(number % HOST_COUNT, &part).await });
            tokio::time::sleep(SOUND_INTERVAL).await;
        }
    }

    /// Sends requests with the part that crashes servers to all hosts in turn.
    async fn send_crashing(self: Arc<Self>) {
        for number in 0.. {
            if self.is_finished() {
                return;
            }
            let deployment = Arc::clone(&self);
            tokio::spawn(async move { deployment.send(number % HOST_COUNT, CRASHING_PART).await });
            tokio::time::sleep(CRASHING_INTERVAL).await;
        }
    }

    /// Registers each run of a server, and notes when servers crash.
    async fn follow_servers(self: Arc<Self>) {
        let mut known = [0; SERVER_COUNT];
        while !self.is_finished() {
            for (server, known) in self.servers.iter().zip(&mut known) {
                let crashes = server.crashes();
                if crashes > *known {
                    *known = crashes;
                    self.crashes.lock().expect("not poisoned").push(time::Instant::now());
                    let deployment = Arc::clone(&self);
                    let server = server.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(DOWNTIME).await;
                        let born = u64::try_from(crashes).expect("a small number") + 1;
                        deployment.fleet.register_run("engines", &server, born);
                    });
                }
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    fn crash_count(&self) -> usize {
        self.crashes.lock().expect("the lock is not poisoned").len()
    }

    /// Sends both kinds of requests until [`AFTERMATH`] after the fifth crash; returns when the
    /// first request with the crashing part was sent and when the fifth server crashed.
    async fn run_traffic(self: &Arc<Self>) -> (time::Instant, time::Instant) {
        tokio::spawn(Arc::clone(self).follow_servers());
        tokio::spawn(Arc::clone(self).send_sound());
        tokio::time::sleep(WARM_UP).await;
        let begun_at = time::Instant::now();
        tokio::spawn(Arc::clone(self).send_crashing());
        while self.crash_count() < CRASH_LIMIT && begun_at.elapsed() < CRASHES_DEADLINE {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        tokio::time::sleep(AFTERMATH).await;
        let crashes = self.crashes.lock().expect("the lock is not poisoned").clone();
        // With fewer crashes the limits count from the last one.
        let limit_at = crashes.get(CRASH_LIMIT - 1).or(crashes.last());
        (begun_at, *limit_at.expect("the part crashes servers"))
    }

    /// Requests with the crashing part that reached servers after `since`.
    fn late_arrivals(&self, since: time::Instant) -> usize {
        let sent = self.sent.lock().expect("the lock is not poisoned");
        let crashing: collections::BTreeSet<_> =
            sent.iter().filter(|it| it.is_crashing).map(|it| it.id.clone()).collect();
        let arrivals = self.servers.iter().flat_map(backend::Backend::arrivals);
        arrivals.filter(|it| it.at > since && crashing.contains(&it.attempt_id)).count()
    }

    /// Parts of the sound requests that were served, among those sent from `from` to `to`.
    fn share_served(&self, from: time::Instant, to: time::Instant) -> f64 {
        let sent = self.sent.lock().expect("the lock is not poisoned");
        let sound = sent.iter().filter(|it| !it.is_crashing && it.at >= from && it.at < to);
        let (mut served, mut all) = (0_u32, 0_u32);
        for request in sound {
            all += 1;
            served += u32::from(request.is_served);
        }
        assert!(all >= 20, "{all} requests are too few to judge by");
        f64::from(served) / f64::from(all)
    }

    /// What the hosts wrote and logged about crashes.
    fn evidence(&self) -> String {
        let entries = self.fleet.store.list("toucanwall-crashes", "");
        let entries: Vec<_> = entries.iter().map(|(name, it)| format!("{name}: {it}")).collect();
        let crashes = self.crash_count();
        format!("{crashes} crashes\n{}\n{}", entries.join("\n"), self.fleet.logs())
    }

    async fn finish(&self) {
        self.is_finished.store(true, atomic::Ordering::SeqCst);
        tokio::time::sleep(DOWNTIME * 2).await;
    }
}

#[rstest]
#[case::callers_that_wait(None)]
// Shorter than the time from the head of a response to the crash.
#[case::callers_that_leave(Some(time::Duration::from_millis(40)))]
#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashed_five_servers_reaches_no_more_servers_and_its_neighbours_do(
    #[case] patience: Option<time::Duration>,
) {
    check_crashing_part(WITHOUT_EVENTS, patience).await;
}

/// Hosts took the part for innocent as soon as an answer with it had shown an event, and blocked its
/// neighbours.
#[rstest]
#[case::before_the_head(CrashMoment::BeforeHead { delay: CRASH_DELAY })]
#[case::after_one_event(after_events(1))]
#[case::after_four_events(after_events(4))]
#[case::after_nine_events(after_events(9))]
#[case::after_a_second(after_events(25))]
#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashes_servers_after_its_first_events_is_blocked_and_its_neighbours_are_not(
    #[case] moment: CrashMoment,
) {
    check_crashing_part(moment, None).await;
}

async fn check_crashing_part(moment: CrashMoment, patience: Option<time::Duration>) {
    let _turn = TURN.lock().await;
    let deployment = Deployment::start(moment, patience).await;
    let started_at = time::Instant::now();
    let (begun_at, fifth_crash_at) = deployment.run_traffic().await;
    let late = deployment.late_arrivals(fifth_crash_at + CONTACT_TIME);
    let before = deployment.share_served(started_at, begun_at);
    // Requests of the last moments may still be open.
    let until = fifth_crash_at + AFTERMATH.saturating_sub(CONTACT_TIME / 2);
    let after = deployment.share_served(fifth_crash_at + CONTACT_TIME * 2, until);
    println!(
        "{} servers crashed, {late} late sends, sound requests served: {before:.3} before, {after:.3} after",
        deployment.crash_count(),
    );
    let evidence = || deployment.evidence();
    assert!(late <= LATE_SENDS_MAX, "{late} requests with the part were sent late: {}", evidence());
    assert!(after >= before / 2.0, "{after:.3} of the sound requests served, {before:.3} before");

    deployment.finish().await;
    // Nothing is served that crashes servers, and everything else on every host.
    for host in 0..HOST_COUNT {
        assert_eq!(deployment.send(host, CRASHING_PART).await, Some(503), "host {host}");
        let sent = deployment.sent.lock().expect("the lock is not poisoned").pop();
        let took = sent.expect("a request").took;
        assert!(took < time::Duration::from_secs(1), "rejected after {took:?}");
    }
    let mut tasks = tokio::task::JoinSet::new();
    for (host, part) in (0..HOST_COUNT).flat_map(|it| (0..SOUND_PARTS).map(move |part| (it, part)))
    {
        let deployment = Arc::clone(&deployment);
        // The servers run a part of these at a time.
        tokio::time::sleep(SOUND_INTERVAL).await;
        tasks.spawn(async move { (host, part, deployment.send(host, &format!("d{part}")).await) });
    }
    while let Some(result) = tasks.join_next().await {
        let (host, part, status) = result.expect("the task ends");
        assert_eq!(status, Some(200), "host {host}, part {part}: {}", deployment.fleet.log(host));
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn part_that_crashed_five_servers_is_rejected_by_hosts_that_start_later() {
    let _turn = TURN.lock().await;
    let deployment = Deployment::start(WITHOUT_EVENTS, None).await;
    deployment.run_traffic().await;
    deployment.finish().await;
    let crashes = deployment.crash_count();
    let mut deployment = Arc::into_inner(deployment).expect("all traffic has ended");
    for host in 0..HOST_COUNT {
        deployment.fleet.restart(host);
    }
    for host in 0..HOST_COUNT {
        let fleet = &deployment.fleet;
        fleet.wait_for("the host to be ready", async || fleet.is_ready(host).await).await;
        let status = deployment.send(host, CRASHING_PART).await;
        assert_eq!(status, Some(503), "host {host}: {}", deployment.evidence());
        assert_eq!(deployment.send(host, "d1").await, Some(200), "host {host}");
    }
    let servers = &deployment.servers;
    assert_eq!(servers.iter().map(backend::Backend::crashes).sum::<usize>(), crashes);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_entries_about_crashes_are_ignored() {
    let server = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let run = serde_json::json!({ "server": "s-1", "started_unix_ms": u64::MAX });
    let suspects = |progress: &str, parts: usize| {
        let hashes = vec!["00000000000000aa"; parts];
        serde_json::json!([{
            "content_hash": "0000000000000001", "progress": progress, "part_hashes": hashes,
        }])
    };
    let report = |noticed_unix_ms: serde_json::Value, suspects: serde_json::Value| {
        serde_json::json!({
            "server": "s-1", "started_unix_ms": 1, "noticed_unix_ms": noticed_unix_ms,
            "content_hashes": ["0000000000000001"], "suspects": suspects,
        })
    };
    let entries = [
        serde_json::json!(null),
        serde_json::json!([1, 2]),
        serde_json::json!({ "blocked_part": "no hash" }),
        serde_json::json!({ "blocked_part": 7 }),
        serde_json::json!({ "cleared_part": "00000000000000aa", "runs": 3, "noticed_unix_ms": 0 }),
        serde_json::json!({
            "cleared_part": "00000000000000aa", "runs": vec![run; 5_000],
            "noticed_unix_ms": u64::MAX,
        }),
        report(u64::MAX.into(), suspects("begun", 2)),
        report((u64::MAX - 1).into(), suspects("waiting", 5_000)),
        report(0.into(), suspects("ended", 2)),
        report((-1).into(), suspects("begun", 2)),
        report(1.into(), serde_json::json!("none")),
    ];
    for (number, entry) in entries.iter().enumerate() {
        fleet.store.put("toucanwall-crashes", &format!("e-{number}"), entry);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    // The thread that reads the entries still applies configurations.
    let mut next = gateway_fleet::configuration(3);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let headers = [("authorization", "Token key-2")];
    let response = fleet.send(0, "GET", "/read/x", &headers).await.expect("a response");
    assert_eq!(response.status, 401, "{}", fleet.log(0));
    let response = fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    assert_eq!(response.status, 200, "{}", fleet.log(0));
}
