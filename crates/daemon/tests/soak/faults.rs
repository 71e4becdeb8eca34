//! Faults of hosts, servers, the store and connections.

use std::sync::Arc;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use rand::seq::IndexedRandom as _;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::broken_stream::Break;
use toucanwall_platform_standin::broken_stream::BrokenStream;
use toucanwall_platform_standin::endless::Endless;
use toucanwall_platform_standin::proxy;
use toucanwall_platform_standin::store;

use crate::deployment;

/// A fault of a host, a server, the store or a connection; hosts and servers are given by index.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Pause(usize),
    Kill(usize),
    Terminate(usize),
    Reload(usize),
    ServerLink(usize, proxy::Mode),
    StoreLink(proxy::Mode),
    StoreMode(store::Mode),
    DropHistory,
    /// The store is restored from a copy; it is away for a moment, or connections go on.
    RestoreStore {
        is_away: bool,
    },
    /// Answers to waiting calls about a kind of object are lost.
    LoseWatches(&'static str),
    Misbehave(usize),
    /// Servers ask for a pause: one of them or all of its service.
    AskForPause(usize),
}

impl deployment::Deployment {
    /// Registers each run of the engines that crash.
    pub async fn follow_engines(self: Arc<Self>) {
        let mut registered = [0; deployment::FRAGILE_COUNT];
        while !self.is_finished.load(atomic::Ordering::SeqCst) {
            for (engine, registered) in self.fragile_engines.iter().zip(&mut registered) {
                let crashes = engine.crashes();
                if crashes > *registered {
                    tokio::time::sleep(deployment::DOWNTIME).await;
                    *registered = crashes;
                    let born = u64::try_from(crashes).expect("a small number") + 1;
                    self.fleet.read().await.register_run(deployment::FRAGILE_SERVICE, engine, born);
                }
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Lets servers name limits, one after the other.
    pub async fn name_limits(&self, mut rng: deployment::Rng) {
        let until = tokio::time::Instant::now() + deployment::FAULT_PHASE;
        while tokio::time::Instant::now() < until {
            let index = rng.random_range(0..deployment::DESK_COUNT + deployment::ENGINE_COUNT);
            let server = self.server(index);
            let limit = deployment::LIMITS[rng.random_range(0..deployment::LIMITS.len())];
            let begin = time::Instant::now();
            server.name_limit(Some(limit));
            tokio::time::sleep(time::Duration::from_millis(rng.random_range(2_500..6_000))).await;
            server.name_limit(None);
            let phase =
                deployment::LimitPhase { server: index, limit, begin, end: time::Instant::now() };
            self.limit_phases.lock().expect("the lock is not poisoned").push(phase);
            tokio::time::sleep(time::Duration::from_millis(rng.random_range(10..500))).await;
        }
    }

    pub fn record_disruption(&self, fault: Fault) {
        let now = time::Instant::now();
        let mut disruptions = self.disruptions.lock().expect("the lock is not poisoned");
        match fault {
            Fault::Pause(host) | Fault::Kill(host) => {
                disruptions.push((deployment::Disrupted::Host(host), now));
                disruptions.push((deployment::Disrupted::HostUnplanned(host), now));
            }
            Fault::Terminate(host) => disruptions.push((deployment::Disrupted::Host(host), now)),
            Fault::ServerLink(server, _) => {
                disruptions.push((deployment::Disrupted::Server(server), now));
            }
            _ => {}
        }
    }

    /// Injects a fault and ends it after `duration`.
    pub async fn inject(&self, fault: Fault, duration: time::Duration, rng: &mut deployment::Rng) {
        self.record_disruption(fault);
        self.run_fault(fault, duration, rng).await;
        self.record_disruption(fault);
    }

    pub async fn run_fault(
        &self,
        fault: Fault,
        duration: time::Duration,
        rng: &mut deployment::Rng,
    ) {
        match fault {
            // The signal fails if the other fault sequence has terminated the host, which is
            // harmless.
            Fault::Pause(host) => {
                self.fleet.read().await.signal(host, "-STOP");
                tokio::time::sleep(duration).await;
                self.fleet.read().await.signal(host, "-CONT");
            }
            Fault::Kill(host) => {
                tokio::time::sleep(duration / 4).await;
                self.fleet.write().await.restart(host);
            }
            Fault::Terminate(host) => {
                self.fleet.read().await.signal(host, "-TERM");
                let until = tokio::time::Instant::now() + deployment::GRACE_PERIOD;
                // Further signals change nothing.
                for signal in ["-HUP", "-TERM"] {
                    tokio::time::sleep(duration / 4).await;
                    self.fleet.read().await.signal(host, signal);
                }
                while !self.fleet.write().await.has_exited(host)
                    && tokio::time::Instant::now() < until
                {
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                }
                self.fleet.write().await.restart(host);
            }
            Fault::Reload(host) => {
                self.fleet.read().await.signal(host, "-HUP");
            }
            Fault::ServerLink(server, mode) => {
                self.proxies[server].set_mode(mode);
                tokio::time::sleep(duration).await;
                self.proxies[server].set_mode(proxy::Mode::Forward);
            }
            Fault::StoreLink(mode) => {
                self.store_proxy.set_mode(mode);
                tokio::time::sleep(duration).await;
                self.store_proxy.set_mode(proxy::Mode::Forward);
            }
            Fault::StoreMode(mode) => {
                self.fleet.read().await.store.set_mode(mode);
                tokio::time::sleep(duration).await;
                let fleet = self.fleet.read().await;
                fleet.store.set_mode(store::Mode::Up);
                fleet.store.abort_watches();
            }
            Fault::DropHistory => {
                let fleet = self.fleet.read().await;
                fleet.store.drop_history();
                fleet.store.abort_watches();
            }
            Fault::RestoreStore { is_away } => self.restore_store(is_away, duration).await,
            Fault::LoseWatches(kind) => {
                let count = rng.random_range(1..=2);
                self.fleet.read().await.store.lose_watch_responses(kind, count);
            }
            Fault::Misbehave(server) => self.enqueue_misbehaviour(server, rng),
            Fault::AskForPause(server) => self.pause_servers(server, duration, rng),
        }
    }

    /// Restores the store from a copy of the age `copy_age`; then the operator and the servers write
    /// again what they had written.
    pub async fn restore_store(&self, is_away: bool, copy_age: time::Duration) {
        let store = self.fleet.read().await.store.clone();
        let copy = store.copy();
        tokio::time::sleep(copy_age).await;
        if is_away {
            store.set_mode(store::Mode::Away);
            store.abort_watches();
            tokio::time::sleep(deployment::ABSENCE).await;
        }
        let lost: Vec<_> = ["config", "servers"]
            .into_iter()
            .flat_map(|kind| store.list(kind, "").into_iter().map(move |entry| (kind, entry)))
            .collect();
        store.restore(copy);
        store.set_mode(store::Mode::Up);
        for (kind, (name, object)) in lost {
            store.put(kind, &name, &object["spec"]);
        }
    }

    /// Makes a server, or all of its service, ask for a pause.
    pub fn pause_servers(
        &self,
        server: usize,
        duration: time::Duration,
        rng: &mut deployment::Rng,
    ) {
        let (servers, number) = match server.checked_sub(deployment::DESK_COUNT) {
            None => (&self.desks, server),
            Some(engine) => (&self.engines, engine),
        };
        if rng.random_bool(deployment::SERVICE_PAUSES) {
            for server in servers {
                server.pause(duration * 2);
            }
        } else {
            servers[number].pause(duration * 2);
        }
    }

    pub fn enqueue_misbehaviour(&self, server: usize, rng: &mut deployment::Rng) {
        let desk_behaviours = [
            Behaviour::Fail,
            Behaviour::Decline,
            Behaviour::DropResponse,
            Behaviour::WrongAttemptId,
            Behaviour::MissingSeal,
            Behaviour::TruncateResponse,
            Behaviour::RespondTwice,
            Behaviour::Hang,
            Behaviour::RespondAfter(deployment::SLOW_RESPONSE),
            Behaviour::Endless(Endless::Headers),
            Behaviour::Endless(Endless::UnframedBody),
        ];
        let engine_behaviours = [
            Behaviour::Decline,
            Behaviour::DropResponse,
            Behaviour::TruncateStream { after: 2 },
            Behaviour::StallStream { after: 4 },
            Behaviour::Fail,
            Behaviour::Endless(Endless::Event),
            broken_stream(Break::Unnumbered, 1),
            broken_stream(Break::Endless, 3),
            broken_stream(Break::Skipped, 2),
            broken_stream(Break::MalformedChunk, 4),
            broken_stream(Break::Reset, 3),
        ];
        let mut choose =
            |options: &[Behaviour]| options.choose(rng).cloned().into_iter().collect::<Vec<_>>();
        match server.checked_sub(deployment::DESK_COUNT) {
            None => self.desks[server].enqueue(choose(&desk_behaviours)),
            Some(engine) => self.engines[engine].enqueue(choose(&engine_behaviours)),
        }
    }
}

/// Streams events and breaks off right behind one of them.
pub fn broken_stream(how: Break, number: u64) -> Behaviour {
    Behaviour::BreakStream(BrokenStream { last: deployment::LAST_EVENT, breaks: vec![number], how })
}

/// When engines crash under a request: before the head of the response or after some events.
pub fn random_crash_moment(rng: &mut deployment::Rng) -> backend::CrashMoment {
    match rng.random_range(0..=deployment::EVENTS_BEFORE_CRASH_MAX + 1) {
        0 => backend::CrashMoment::BeforeHead { delay: deployment::CRASH_DELAY },
        number => backend::CrashMoment::AfterHead {
            events: number - 1,
            pause: deployment::EVENT_PAUSE,
            delay: deployment::CRASH_DELAY,
        },
    }
}

pub fn random_fault(rng: &mut deployment::Rng) -> Fault {
    let host = rng.random_range(0..deployment::host_count());
    let server = rng.random_range(0..deployment::DESK_COUNT + deployment::ENGINE_COUNT);
    let link_modes = [
        proxy::Mode::Reset,
        proxy::Mode::Stall,
        proxy::Mode::StallResponses,
        proxy::Mode::Delay { ms: 60 },
    ];
    let link_mode = link_modes[rng.random_range(0..link_modes.len())];
    let store_modes =
        [store::Mode::Unavailable, store::Mode::Unresponsive, store::Mode::EmptyWatches];
    match rng.random_range(0..28) {
        0..3 => Fault::Pause(host),
        3..5 => Fault::Kill(host),
        5 => Fault::Terminate(host),
        6 => Fault::Reload(host),
        7..10 => Fault::ServerLink(server, link_mode),
        10 => Fault::StoreLink(link_mode),
        11 => Fault::StoreMode(store_modes[rng.random_range(0..store_modes.len())]),
        12 => Fault::DropHistory,
        20..24 => Fault::AskForPause(server),
        24..26 => Fault::RestoreStore { is_away: rng.random_bool(0.5) },
        26..28 => Fault::LoseWatches(
            deployment::WATCHED_KINDS[rng.random_range(0..deployment::WATCHED_KINDS.len())],
        ),
        _ => Fault::Misbehave(server),
    }
}

/// Injects random faults one after the other. Two such sequences run at the same time.
pub async fn inject_faults(deployment: &deployment::Deployment, mut rng: deployment::Rng) {
    let until = tokio::time::Instant::now() + deployment::FAULT_PHASE;
    while tokio::time::Instant::now() < until {
        let fault = random_fault(&mut rng);
        let duration = time::Duration::from_millis(rng.random_range(100..1_500));
        deployment.inject(fault, duration, &mut rng).await;
        tokio::time::sleep(time::Duration::from_millis(rng.random_range(10..150))).await;
    }
}
