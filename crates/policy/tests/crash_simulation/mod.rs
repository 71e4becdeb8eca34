//! A simulation of servers that crash under parts of prompts, and of hosts that report the crashes
//! to each other and decide which parts to block.

#![allow(dead_code, reason = "the example and the tests read different figures")]

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::crash_causes;
use toucanwall_policy::crash_history;

type Rng = rand_chacha::ChaCha8Rng;

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 5;
/// Interval at which hosts advance, in milliseconds.
const TICK_MS: u64 = 100;
/// Time until a host has read the head of a response, in milliseconds.
const HEAD_READ_MS: u64 = 5;
/// Part of the heads that a host has not read before the server ends, since it is busy.
const HEAD_LOST: f64 = 0.05;
/// Times after the head at which hosts note that a server has survived a request, in milliseconds.
const SURVIVAL_MS: [u64; 4] = [300, 600, 1_200, 2_400];
/// Part that all requests have in common.
const FIRST_PART: u64 = 1;
/// First of the second parts of prompts, which many requests have in common.
const KIND_PARTS: u64 = 10;
/// Number of second parts.
const KINDS: u64 = 4;
/// First of the parts that crash servers.
const GUILTY_PARTS: u64 = 1_000;
/// First of the third parts of sound requests.
const SOUND_PARTS: u64 = 2_000;

/// The rule by which hosts block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// [`crash_causes`].
    Likelihood,
    /// A part is blocked after five crashes, whichever requests share it.
    CountByPart,
    /// A request is blocked after three crashes.
    CountByRequest,
}

/// When a server crashes under a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMoment {
    /// This long before the head of the response would be sent, in milliseconds.
    BeforeHead(u64),
    /// This long after the head of the response, in milliseconds.
    AfterHead(u64),
    /// After the head, at a random moment between these times, in milliseconds.
    Between(u64, u64),
}

/// A service, its traffic and what crashes its servers.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub rule: Rule,
    pub hosts: usize,
    pub servers: usize,
    pub sound_per_s: f64,
    /// Requests with each part that crashes servers.
    pub guilty_per_s: f64,
    /// Number of parts that crash servers.
    pub guilty_parts: u64,
    pub crash_moment: CrashMoment,
    /// Different third parts of the sound requests; low numbers are more frequent.
    pub sound_parts: u64,
    /// Servers that end for no reason, a second.
    pub chance_crashes_per_s: f64,
    /// When a third of the servers end at once, in milliseconds after the start.
    pub rack_failure_at_ms: Option<u64>,
    /// Time after which an ended server is back, in milliseconds.
    pub downtime_ms: u64,
    /// Longest time a report takes to another host, in milliseconds.
    pub report_delay_ms: u64,
    /// Part of the reports that arrive only after two seconds more.
    pub late_reports: f64,
    /// Time during which requests with the parts come, from two seconds on.
    pub duration_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            rule: Rule::Likelihood,
            hosts: 6,
            servers: 12,
            sound_per_s: 90.0,
            guilty_per_s: 5.0,
            guilty_parts: 1,
            crash_moment: CrashMoment::AfterHead(70),
            sound_parts: 40,
            chance_crashes_per_s: 0.0,
            rack_failure_at_ms: None,
            downtime_ms: 4_000,
            report_delay_ms: 250,
            late_reports: 0.0,
            duration_ms: 20_000,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Servers that ended under a part that crashes them.
    pub servers_lost: usize,
    /// Requests with such a part that were sent later than the contact time after its fifth crash.
    pub late_sends: usize,
    /// Part of the sound requests that were not rejected because of a block, from twice the contact
    /// time after the fifth crash on, over all hosts.
    pub sound_allowed: f64,
    /// Sound parts that some host blocked for good.
    pub sound_parts_blocked: usize,
    /// Parts that crash servers and that all hosts block in the end.
    pub guilty_parts_blocked: usize,
    /// Entries that hosts wrote to the store.
    pub entries: usize,
    /// Most entries in a second.
    pub entries_per_s_max: usize,
    /// Time from the fifth crash until the last host rejected the part, in milliseconds; `None` if
    /// one never did.
    pub blocked_everywhere_ms: Option<u64>,
}

const CONTACT_MS: u64 = 3_000;

#[derive(Debug, Clone)]
struct Request {
    content: u64,
    host: usize,
    parts: Arc<[u64]>,
    sent_ms: u64,
    begun_ms: u64,
    ends_ms: u64,
    /// When the server crashes under it.
    crashes_ms: Option<u64>,
    attempts: u32,
}

impl Request {
    fn new(content: u64, host: usize, part: u64) -> Self {
        let kind = KIND_PARTS + if is_guilty(part) { 0 } else { part % KINDS };
        Self {
            content,
            host,
            parts: [FIRST_PART, kind, part].into(),
            sent_ms: 0,
            begun_ms: 0,
            ends_ms: 0,
            crashes_ms: None,
            attempts: 0,
        }
    }

    /// The part that no other kind of request shares.
    fn part(&self) -> u64 {
        self.parts[2]
    }
}

fn is_guilty(part: u64) -> bool {
    (GUILTY_PARTS..SOUND_PARTS).contains(&part)
}

#[derive(Debug, Default)]
struct Server {
    run: u64,
    down_until_ms: u64,
    in_flight: Vec<Request>,
}

struct Host {
    causes: crash_causes::CrashCauses,
    counts: collections::BTreeMap<u64, collections::BTreeSet<(usize, u64)>>,
    inbox: Vec<(u64, Message)>,
}

#[derive(Debug, Clone)]
enum Message {
    Crash {
        run: crash_history::ServerRun,
        key: (usize, u64),
        noticed_ms: u64,
        suspects: Vec<crash_causes::Suspect>,
    },
    Clear {
        part: u64,
        runs: Vec<crash_history::ServerRun>,
        survived_ms: u64,
    },
    Block(u64),
}

struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now_ms: u64,
    next_content: u64,
    servers: Vec<Server>,
    hosts: Vec<Host>,
    guilty_crashes: collections::BTreeMap<u64, Vec<u64>>,
    entries_at: Vec<u64>,
    outcome: Outcome,
    sound: (u64, u64),
    rejecting: collections::BTreeMap<u64, collections::BTreeMap<usize, u64>>,
}

/// Plays a scenario.
pub fn simulate(scenario: Scenario, seed: u64) -> Outcome {
    let host = || Host {
        causes: crash_causes::CrashCauses::new(),
        counts: collections::BTreeMap::new(),
        inbox: Vec::new(),
    };
    let mut simulation = Simulation {
        scenario,
        servers: (0..scenario.servers).map(|_| Server::default()).collect(),
        rng: Rng::seed_from_u64(seed),
        now_ms: 0,
        next_content: 1,
        hosts: (0..scenario.hosts).map(|_| host()).collect(),
        guilty_crashes: collections::BTreeMap::new(),
        entries_at: Vec::new(),
        outcome: Outcome::default(),
        sound: (0, 0),
        rejecting: collections::BTreeMap::new(),
    };
    let names: Vec<_> = (0..scenario.hosts).map(|index| format!("h-{index}")).collect();
    for (host, name) in simulation.hosts.iter_mut().zip(&names) {
        host.causes.set_hosts(name, names.iter().map(String::as_str));
    }
    simulation.run();
    simulation.finish()
}

impl Simulation {
    fn run(&mut self) {
        let step_ms = STEP_MS;
        let end_ms = 2_000 + self.scenario.duration_ms;
        while self.now_ms < end_ms {
            self.arrive(step_ms);
            self.advance_servers();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.advance_hosts();
            }
            self.now_ms += step_ms;
        }
    }

    /// Number of events in a step.
    fn due(&mut self, rate_per_s: f64, step_ms: u64) -> usize {
        let mut left = rate_per_s * std::time::Duration::from_millis(step_ms).as_secs_f64();
        let mut count = 0;
        while left > 0.0 {
            count += usize::from(self.rng.random_bool(left.min(1.0)));
            left -= 1.0;
        }
        count
    }

    fn arrive(&mut self, step_ms: u64) {
        for _ in 0..self.due(self.scenario.sound_per_s, step_ms) {
            // The square favours low numbers.
            let position = self.rng.random::<f64>().powi(2);
            let parts = f64::from(u32::try_from(self.scenario.sound_parts).unwrap_or(u32::MAX));
            let part = SOUND_PARTS
                + (0..self.scenario.sound_parts)
                    .take_while(|number| {
                        f64::from(u32::try_from(*number).unwrap_or(0)) < position * parts
                    })
                    .last()
                    .unwrap_or(0);
            self.send_new(part);
        }
        if self.now_ms >= 2_000 {
            for number in 0..self.scenario.guilty_parts {
                for _ in 0..self.due(self.scenario.guilty_per_s, step_ms) {
                    self.send_new(GUILTY_PARTS + number);
                }
            }
        }
        for _ in 0..self.due(self.scenario.chance_crashes_per_s, step_ms) {
            let server = self.rng.random_range(0..self.scenario.servers);
            self.crash(server, None);
        }
        if self.scenario.rack_failure_at_ms == Some(self.now_ms) {
            for server in 0..self.scenario.servers / 3 {
                self.crash(server, None);
            }
        }
    }

    fn send_new(&mut self, part: u64) {
        let content = self.next_content;
        self.next_content += 1;
        let host = self.rng.random_range(0..self.scenario.hosts);
        let is_allowed = self.send(Request::new(content, host, part));
        if !is_guilty(part) {
            self.count_sound(is_allowed);
        }
    }

    /// Counts a sound request, if the time limit has passed for all parts that crash servers.
    fn count_sound(&mut self, is_allowed: bool) {
        let is_after = |crashes: &Vec<u64>| {
            let limit_ms = crashes.get(4).or(crashes.last());
            limit_ms.is_some_and(|at_ms| self.now_ms >= at_ms + 2 * CONTACT_MS)
        };
        let is_counted = !self.guilty_crashes.is_empty()
            && self.guilty_crashes.values().all(is_after)
            || (self.scenario.guilty_parts == 0 && self.now_ms > 2_000);
        if is_counted {
            self.sound.0 += u64::from(is_allowed);
            self.sound.1 += 1;
        }
    }

    fn verdict(&self, host: usize, request: &Request) -> crash_causes::Verdict {
        let host = &self.hosts[host];
        let crashes_of = |key: &u64| host.counts.get(key).map_or(0, collections::BTreeSet::len);
        let is_blocked = match self.scenario.rule {
            Rule::Likelihood => return host.causes.verdict(&request.parts),
            Rule::CountByPart => request.parts.iter().any(|part| crashes_of(part) >= 5),
            Rule::CountByRequest => crashes_of(&(request.content << 16)) >= 3,
        };
        if is_blocked { crash_causes::Verdict::Blocked } else { crash_causes::Verdict::Allowed }
    }

    /// Sends a request to some server; returns whether its host allowed it.
    fn send(&mut self, mut request: Request) -> bool {
        match self.verdict(request.host, &request) {
            crash_causes::Verdict::Blocked | crash_causes::Verdict::Held => return false,
            crash_causes::Verdict::Suspected if request.attempts > 0 => return true,
            crash_causes::Verdict::Suspected | crash_causes::Verdict::Allowed => {}
        }
        let mut up: Vec<_> = (0..self.servers.len())
            .filter(|index| self.now_ms >= self.servers[*index].down_until_ms)
            .map(|index| (index, format!("s-{index}")))
            .collect();
        let causes = &mut self.hosts[request.host].causes;
        if self.scenario.rule == Rule::Likelihood {
            causes.confine(&request.parts, &mut up, |(_, id)| id);
        }
        if up.is_empty() {
            return true;
        }
        let index = up[self.rng.random_range(0..up.len())].0;
        let part = request.part();
        if is_guilty(part) {
            let crashes = self.guilty_crashes.get(&part);
            let fifth_ms = crashes.and_then(|crashes| crashes.get(4));
            if fifth_ms.is_some_and(|at_ms| self.now_ms > at_ms + CONTACT_MS) {
                self.outcome.late_sends += 1;
            }
        }
        // Requests wait longer at servers that have many.
        let waiting = u64::try_from(self.servers[index].in_flight.len()).unwrap_or(u64::MAX);
        let wait_ms = self.rng.random_range(60..200) + waiting * 15;
        request.sent_ms = self.now_ms;
        request.begun_ms = self.now_ms + wait_ms;
        request.ends_ms = request.begun_ms + self.rng.random_range(200..2_500);
        request.crashes_ms = is_guilty(part).then(|| match self.scenario.crash_moment {
            CrashMoment::BeforeHead(early_ms) => request.begun_ms - early_ms.min(wait_ms),
            CrashMoment::AfterHead(delay_ms) => request.begun_ms + delay_ms,
            CrashMoment::Between(from_ms, to_ms) => {
                request.begun_ms + self.rng.random_range(from_ms..to_ms)
            }
        });
        if let Some(crashes_ms) = request.crashes_ms {
            request.ends_ms = request.ends_ms.max(crashes_ms + 200);
        }
        request.attempts += 1;
        self.hosts[request.host].causes.record_start(&request.parts);
        self.servers[index].in_flight.push(request);
        true
    }

    fn advance_servers(&mut self) {
        for index in 0..self.servers.len() {
            let now_ms = self.now_ms;
            let server = &mut self.servers[index];
            let cause = server
                .in_flight
                .iter()
                .find(|it| it.crashes_ms.is_some_and(|at_ms| now_ms >= at_ms))
                .map(Request::part);
            if cause.is_some() {
                self.crash(index, cause);
                continue;
            }
            let mut survived = Vec::new();
            for request in &server.in_flight {
                let survived_ms = if now_ms >= request.ends_ms {
                    crash_causes::WHOLE_ANSWER_MS
                } else {
                    now_ms.saturating_sub(request.begun_ms)
                };
                let is_noted = |at_ms: &u64| (*at_ms..*at_ms + STEP_MS).contains(&survived_ms);
                if now_ms >= request.ends_ms || SURVIVAL_MS.iter().any(is_noted) {
                    let parts = Arc::clone(&request.parts);
                    survived.push((request.host, parts, request.begun_ms, survived_ms));
                }
            }
            for request in server.in_flight.iter().filter(|request| now_ms >= request.ends_ms) {
                let in_flight_ms = now_ms - request.sent_ms;
                self.hosts[request.host].causes.record_end(&request.parts, in_flight_ms, now_ms);
            }
            server.in_flight.retain(|request| now_ms < request.ends_ms);
            for (host, parts, begun_ms, survived_ms) in survived {
                self.hosts[host].causes.record_survival(&parts, begun_ms, survived_ms);
            }
        }
    }

    fn crash(&mut self, index: usize, cause: Option<u64>) {
        let now_ms = self.now_ms;
        let server = &mut self.servers[index];
        if now_ms < server.down_until_ms {
            return;
        }
        server.down_until_ms = now_ms + self.scenario.downtime_ms;
        let run = server.run;
        server.run += 1;
        let in_flight = std::mem::take(&mut server.in_flight);
        if let Some(part) = cause {
            self.outcome.servers_lost += 1;
            self.guilty_crashes.entry(part).or_default().push(now_ms);
        }
        let mut by_host: collections::BTreeMap<usize, Vec<crash_causes::Suspect>> =
            collections::BTreeMap::new();
        for request in &in_flight {
            let in_flight_ms = now_ms - request.sent_ms;
            self.hosts[request.host].causes.record_end(&request.parts, in_flight_ms, now_ms);
            // The head is lost with the connection if it has not been read.
            let since_ms = now_ms.checked_sub(request.begun_ms);
            let progress = match since_ms.filter(|_| !self.rng.random_bool(HEAD_LOST)) {
                None => crash_causes::Progress::Waiting,
                Some(since_ms) if since_ms < HEAD_READ_MS => crash_causes::Progress::Waiting,
                Some(since_ms) => crash_causes::Progress::Answering { since_ms },
            };
            by_host.entry(request.host).or_default().push(crash_causes::Suspect {
                content_hash: request.content,
                progress,
                parts: Arc::clone(&request.parts),
            });
        }
        let server_run = crash_history::ServerRun {
            server: format!("s-{index}").into(),
            started_unix_ms: Some(run),
        };
        for (host, suspects) in by_host {
            let message = Message::Crash {
                run: server_run.clone(),
                key: (index, run),
                noticed_ms: now_ms + self.rng.random_range(0..5),
                suspects,
            };
            self.broadcast(host, &message);
        }
        for request in in_flight {
            let can_retry = request.attempts < 3;
            if can_retry {
                self.send(request);
            }
        }
    }

    /// Delivers a message to all hosts, and to the sender at once.
    fn broadcast(&mut self, sender: usize, message: &Message) {
        self.entries_at.push(self.now_ms);
        for host in 0..self.hosts.len() {
            let mut delay_ms = if host == sender {
                0
            } else {
                self.rng.random_range(20..=self.scenario.report_delay_ms)
            };
            if host != sender && self.rng.random_bool(self.scenario.late_reports) {
                delay_ms += 2_000;
            }
            self.hosts[host].inbox.push((self.now_ms + delay_ms, message.clone()));
        }
    }

    fn advance_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            let now_ms = self.now_ms;
            let host = &mut self.hosts[index];
            let (due, later) = std::mem::take(&mut host.inbox)
                .into_iter()
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            host.inbox = later;
            for (_, message) in due {
                host.receive(message, now_ms);
            }
            let steps = host.causes.advance(now_ms, &mut self.rng);
            for step in steps {
                match step {
                    crash_causes::Step::Clear { part, runs, survived_ms } => {
                        self.broadcast(index, &Message::Clear { part, runs, survived_ms });
                    }
                    // Hosts decide alike, so that one of them writes it.
                    crash_causes::Step::Block { part, .. } => {
                        self.hosts[index].receive(Message::Block(part), now_ms);
                    }
                }
            }
            for part in GUILTY_PARTS..GUILTY_PARTS + self.scenario.guilty_parts {
                let request = Request::new(0, index, part);
                if self.verdict(index, &request) == crash_causes::Verdict::Blocked {
                    self.rejecting.entry(part).or_default().entry(index).or_insert(now_ms);
                }
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let guilty = GUILTY_PARTS..SOUND_PARTS;
        let mut wrong: collections::BTreeSet<u64> = collections::BTreeSet::new();
        for host in &self.hosts {
            wrong.extend(host.causes.blocked_parts().iter().filter(|part| !guilty.contains(part)));
        }
        self.outcome.sound_parts_blocked = wrong.len();
        let hosts = self.hosts.len();
        self.outcome.guilty_parts_blocked =
            self.rejecting.values().filter(|since| since.len() == hosts).count();
        self.outcome.entries = self.entries_at.len();
        let per_s = self.entries_at.iter().map(|at_ms| at_ms / 1_000);
        let mut counts: collections::BTreeMap<u64, usize> = collections::BTreeMap::new();
        for second in per_s {
            *counts.entry(second).or_default() += 1;
        }
        self.outcome.entries_per_s_max = counts.values().copied().max().unwrap_or(0);
        let (allowed, all) = self.sound;
        let ratio = |a: u64, b: u64| {
            f64::from(u32::try_from(a).unwrap_or(u32::MAX))
                / f64::from(u32::try_from(b.max(1)).unwrap_or(u32::MAX))
        };
        self.outcome.sound_allowed = if all == 0 { 1.0 } else { ratio(allowed, all) };
        let first_part = self.guilty_crashes.iter().next();
        self.outcome.blocked_everywhere_ms = first_part.and_then(|(part, crashes)| {
            let since = self.rejecting.get(part).filter(|since| since.len() == hosts)?;
            Some(since.values().max()?.saturating_sub(*crashes.get(4).or(crashes.last())?))
        });
        self.outcome
    }
}

impl Host {
    fn receive(&mut self, message: Message, now_ms: u64) {
        match message {
            Message::Crash { run, key, noticed_ms, suspects } => {
                for suspect in &suspects {
                    for part in suspect.parts.iter() {
                        self.counts.entry(*part).or_default().insert(key);
                    }
                    self.counts.entry(suspect.content_hash << 16).or_default().insert(key);
                }
                self.causes.record_crash(&run, noticed_ms, &suspects, now_ms);
            }
            Message::Clear { part, runs, survived_ms } => {
                self.causes.record_clearance(part, &runs, survived_ms);
            }
            Message::Block(part) => drop(self.causes.record_block(part, now_ms)),
        }
    }
}
