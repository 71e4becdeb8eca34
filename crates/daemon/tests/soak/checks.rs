//! Checks of the guarantees after the faults.

use std::collections;
use std::time;

use toucanwall_platform_standin::backend;

use crate::callers;
use crate::deployment;
use crate::deployment::FIRST_PART;
use crate::deployment::LIMIT_WINDOW;
use crate::gateway_fleet;
use crate::gateway_fleet::GatewayFleet;

impl deployment::Deployment {
    /// Requests with the part that crashes engines that reached one of them after `since`.
    pub fn crashing_arrivals(&self, since: time::Instant) -> usize {
        let arrivals = self.fragile_engines.iter().flat_map(backend::Backend::arrivals);
        arrivals
            .filter(|it| it.at > since && it.attempt_id.starts_with(deployment::CRASHING_ID))
            .count()
    }

    /// Checks that each booking that a host has passed on got a complete response, unless the host was
    /// killed or frozen.
    pub fn check_unanswered(&self) -> usize {
        let bookings = self.bookings();
        let disruptions = self.disruptions.lock().expect("the lock is not poisoned").clone();
        let unanswered = self.unanswered.lock().expect("the lock is not poisoned").clone();
        let is_lost = |it: &&deployment::Unanswered| {
            let is_excused = disruptions.iter().any(|(disrupted, at)| {
                *disrupted == deployment::Disrupted::HostUnplanned(it.host)
                    && *at + deployment::BREAK_TIME > it.sent
                    && *at < it.ended + deployment::BREAK_TIME
            });
            bookings.contains_key(&it.id) && !is_excused
        };
        for lost in unanswered.iter().filter(is_lost) {
            self.record_violation(format!(
                "{} was executed, and host {} ended its connection without an answer after {:?}",
                lost.id,
                lost.host,
                lost.ended - lost.sent
            ));
        }
        unanswered.len()
    }

    /// Checks that hosts that were not disrupted have together kept the limits that servers had named
    /// to them. Returns the number of limits that count.
    pub fn check_limits(&self) -> usize {
        let hosts = self.hosts_of_requests.lock().expect("the lock is not poisoned").clone();
        let disruptions = self.disruptions.lock().expect("the lock is not poisoned").clone();
        let phases = self.limit_phases.lock().expect("the lock is not poisoned").clone();
        let mut checked = 0;
        for phase in phases {
            let is_disrupted = |wanted: deployment::Disrupted| {
                let within = |at: time::Instant| {
                    at + deployment::SETTLE_TIME > phase.begin && at < phase.end
                };
                disruptions.iter().any(|(disrupted, at)| *disrupted == wanted && within(*at))
            };
            // Behind a disrupted link, requests arrive together that were sent apart.
            if is_disrupted(deployment::Disrupted::Server(phase.server)) {
                continue;
            }
            let server = self.server(phase.server);
            let mut told = collections::BTreeMap::new();
            for named in server.named_limits() {
                if named.at >= phase.begin
                    && named.at <= phase.end
                    && let Some(host) = hosts.get(&named.attempt_id)
                {
                    told.entry(*host).or_insert(named.at);
                }
            }
            told.retain(|host, _| !is_disrupted(deployment::Disrupted::Host(*host)));
            let is_counted = |arrival: &&backend::Arrival| {
                let told_at = hosts.get(&arrival.attempt_id).and_then(|host| told.get(host));
                told_at.is_some_and(|at| arrival.at > *at + deployment::NOTICE_TIME)
                    && arrival.at < phase.end
            };
            let arrivals = server.arrivals();
            let times: Vec<_> = arrivals.iter().filter(is_counted).map(|it| it.at).collect();
            let in_window = |first: &time::Instant| {
                times
                    .iter()
                    .filter(|at| *at >= first && **at < *first + deployment::LIMIT_WINDOW)
                    .count()
            };
            let most = times.iter().map(in_window).max().unwrap_or(0);
            let most = f64::from(u32::try_from(most).expect("a small number"));
            let per_s: f64 = phase.limit.parse().expect("a number");
            let allowed = 1.5 * deployment::LIMIT_WINDOW.as_secs_f64() * per_s + 5.0;
            checked += usize::from(!told.is_empty());
            if most > allowed {
                self.record_violation(format!(
                    "{} got {most} requests in {LIMIT_WINDOW:?} from hosts that it had told of its \
                     limit of {} a second",
                    server.id, phase.limit
                ));
            }
        }
        checked
    }

    /// Checks that hosts that were not disrupted meanwhile have sent few requests to a server within a
    /// pause that it had asked them for.
    pub fn check_pauses(&self) -> usize {
        let hosts = self.hosts_of_requests.lock().expect("the lock is not poisoned").clone();
        let disruptions = self.disruptions.lock().expect("the lock is not poisoned").clone();
        let mut checked = 0;
        for (number, server) in self.desks.iter().chain(&self.engines).enumerate() {
            let arrivals = server.arrivals();
            for pause in server.pauses() {
                let Some(host) = hosts.get(&pause.attempt_id) else { continue };
                let concerned =
                    [deployment::Disrupted::Host(*host), deployment::Disrupted::Server(number)];
                let is_disrupted = disruptions.iter().any(|(disrupted, at)| {
                    concerned.contains(disrupted)
                        && *at + deployment::NOTICE_TIME > pause.at
                        && *at < pause.until
                });
                if is_disrupted {
                    continue;
                }
                checked += 1;
                let is_late = |arrival: &&backend::Arrival| {
                    hosts.get(&arrival.attempt_id) == Some(host)
                        && arrival.at > pause.at + deployment::NOTICE_TIME
                        && arrival.at < pause.until
                };
                let late = arrivals.iter().filter(is_late).count();
                if late > deployment::PAUSE_SENDS_MAX {
                    self.record_violation(format!(
                        "host {host} sent {late} requests to {} within the pause asked for in the \
                         response to {}",
                        server.id, pause.attempt_id
                    ));
                }
            }
        }
        checked
    }
}

/// Checks that after the faults a revoked key is rejected in time and requests are served.
pub async fn check_recovery(deployment: &deployment::Deployment) {
    tokio::time::sleep(deployment::SETTLE_TIME).await;
    let fleet = deployment.fleet.read().await;
    let mut next = deployment::configuration(9);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let with_other_key = [("authorization", "Token key-2")];
    for host in 0..deployment::host_count() {
        let status = fleet.send(host, "GET", "/read/x", &with_other_key).await.map(|a| a.status);
        // A host that has just been restarted may have no configuration yet and responds with 503.
        if !matches!(status, Some(401 | 503)) {
            deployment.record_violation(format!(
                "host {host} responded with {status:?} to a revoked key"
            ));
        }
    }
    let until = tokio::time::Instant::now()
        + deployment::RECOVERY_TIME
            .saturating_sub(deployment::SETTLE_TIME + gateway_fleet::CONFIG_APPLY_LIMIT);
    for host in 0..deployment::host_count() {
        while fleet.send(host, "GET", "/read/x", &[]).await.is_none_or(|a| a.status != 200) {
            if tokio::time::Instant::now() > until {
                deployment
                    .record_violation(format!("host {host} serves no requests after the faults"));
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    }
    check_addresses(deployment, &fleet, until).await;
}

/// Checks that a part of prompts that has crashed engines reaches no more of them, and that requests
/// which share only the other parts are served by each host.
pub async fn check_crashing_part(deployment: &deployment::Deployment, faults_end: time::Instant) {
    // Without faults, hosts have this long to learn of the crashes and to block the part.
    let counted_from = faults_end + deployment::SETTLE_TIME * 2;
    tokio::time::sleep_until((counted_from + deployment::COUNTED_TIME).into()).await;
    let late = deployment.crashing_arrivals(counted_from);
    if deployment.crashes() >= deployment::CRASH_LIMIT && late > deployment::LATE_SENDS_MAX {
        deployment.record_violation(format!(
            "{late} requests with the crashing part reached engines late; {} crashes",
            deployment.crashes()
        ));
    }
    let fleet = deployment.fleet.read().await;
    for (host, part) in (0..deployment::host_count())
        .flat_map(|it| (0..deployment::SOUND_PARTS).map(move |part| (it, part)))
    {
        let prompt = format!("{FIRST_PART}:9,d{part}:9,aaaa:9");
        let mut statuses = Vec::new();
        while statuses.len() < 3 && !statuses.contains(&Some(200)) {
            let response =
                fleet.send(host, "POST", "/lab/x", &callers::prompt_headers(&prompt)).await;
            statuses.push(response.map(|response| response.status));
        }
        if !statuses.contains(&Some(200)) {
            deployment.record_violation(format!(
                "host {host} responded with {statuses:?} to the sound part {part}"
            ));
        }
    }
}

/// Checks that a server whose leaving is announced in lost answers receives no later requests.
pub async fn check_leaving_server(deployment: &deployment::Deployment) {
    let leaving = &deployment.desks[0];
    let fleet = deployment.fleet.read().await;
    let hosts = u64::try_from(deployment::host_count()).expect("a small number");
    fleet.store.lose_watch_responses("servers", hosts);
    fleet.register_at("desk", leaving, deployment.proxies[0].address, "draining");
    let announced_at = time::Instant::now();
    tokio::time::sleep(deployment::LEAVING_TIME + deployment::COUNTED_TIME).await;
    let arrivals = leaving.arrivals();
    let late = arrivals.iter().filter(|it| it.at > announced_at + deployment::LEAVING_TIME).count();
    if late > 0 {
        deployment.record_violation(format!(
            "{late} requests reached {} late after its leaving was announced",
            leaving.id
        ));
    }
}

/// Checks that all hosts are named to callers again, also those that were taken for lost during the
/// faults.
pub async fn check_addresses(
    deployment: &deployment::Deployment,
    fleet: &GatewayFleet,
    until: tokio::time::Instant,
) {
    for host in 0..deployment::host_count() {
        loop {
            let addresses = fleet.resolve(host).await.map(|response| response.body);
            let addresses = addresses.unwrap_or_default();
            let is_missing =
                |other: &usize| !addresses.contains(&fleet.caller_address(*other).to_string());
            let missing: Vec<_> = (0..deployment::host_count()).filter(is_missing).collect();
            if missing.is_empty() {
                break;
            }
            if tokio::time::Instant::now() > until {
                deployment.record_violation(format!(
                    "host {host} does not name the hosts {missing:?} after the faults"
                ));
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    }
}
