//! Speed of backend servers, learned from their responses.
//!
//! Servers of one service run on machines of different speeds, which no entry names. A slow server
//! that gets as many requests as the others is late with all of them. A host compares the shortest
//! times between events of a server's streams with the median of the servers of its service: they
//! depend on the machine, while longer ones depend on the prompts that the server reads meanwhile.

use std::collections;

use toucanwall_routing::name;
use toucanwall_routing::number;
use toucanwall_routing::server;

/// Time that work takes at a server of usual speed, in percent.
pub const USUAL_PERCENT: u32 = 100;
/// Range of the learned times, in percent of the usual time: a wrong measurement neither attracts nor
/// repels all requests.
const LEARNED_PERCENT: (f64, f64) = (50.0, 200.0);
/// Deviation from the median below which a server counts as usual, in percent: such differences come
/// from the number of requests that run there.
const DEAD_BAND_PERCENT: f64 = 20.0;
/// Number of intervals between events that a response must have to be measured: shorter streams often
/// run entirely while the server reads other prompts.
const MIN_INTERVALS: usize = 4;
/// Part of the intervals of a response that is left out as too short: events that arrive together.
const SKIPPED_PART: usize = 8;
/// Part of the difference to a lower measurement by which the known interval falls.
const FALL: f64 = 0.5;
/// Part of the difference to a higher measurement by which the known interval rises. Means of all
/// measurements show the load of a server instead of its speed (error of 40 % of the usual time in
/// the simulation, 6 % with these values).
const RISE: f64 = 0.02;
/// Measurements of a server that are needed to compare it.
const MIN_MEASUREMENTS: u32 = 5;
/// Measurements of a server that are needed to compare it where most servers show no difference: with
/// fewer, one in ten equal servers seems to differ in the simulation.
const SURE_MEASUREMENTS: u32 = 20;
/// Part of the compared servers, in percent, that differ in a service of uneven servers.
const UNEVEN_SERVICE_PERCENT: usize = 20;
/// Servers of a service that are needed for a median.
const MIN_SERVERS: usize = 3;
/// Time between two comparisons of the servers of a service, in milliseconds; a comparison sorts
/// them, which not every response need do.
const COMPARISON_INTERVAL_MS: u64 = 250;

/// The speeds of the servers that have answered this host.
#[derive(Debug, Default)]
pub struct ServerSpeeds {
    services: collections::BTreeMap<name::ServiceName, Service>,
}

#[derive(Debug, Default)]
struct Service {
    servers: collections::BTreeMap<name::ServerId, Server>,
    compared_ms: u64,
}

#[derive(Debug, Default)]
struct Server {
    /// Low estimate of the time between two events, in milliseconds.
    interval_ms: f64,
    measurements: u32,
    /// Percentage of the usual time that work takes; none until the server can be compared.
    learned_percent: Option<u32>,
}

impl ServerSpeeds {
    /// Creates speeds without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the times between the events of a response, in ascending order. `reported_percent` is how
    /// long work took at the server then, as it reported: it is not part of the machine's lasting
    /// speed.
    pub fn record(
        &mut self,
        server: &server::BackendServer,
        sorted_intervals_ms: &[u64],
        reported_percent: u32,
        now_ms: u64,
    ) {
        let position = sorted_intervals_ms.len() / SKIPPED_PART;
        let Some(&interval_ms) = sorted_intervals_ms.get(position) else { return };
        if sorted_intervals_ms.len() < MIN_INTERVALS {
            return;
        }
        let service = self.services.entry(server.service.clone()).or_default();
        let usual_ms =
            number::saturating_f64(interval_ms) * 100.0 / f64::from(reported_percent.max(1));
        service.servers.entry(server.id.clone()).or_default().record(usual_ms);
        if now_ms >= service.compared_ms.saturating_add(COMPARISON_INTERVAL_MS) {
            service.compared_ms = now_ms;
            service.compare();
        }
    }

    /// Time that work takes at a server, in percent of the usual time; 100 if it is not known.
    #[must_use]
    pub fn work_time_percent(&self, server: &server::BackendServer) -> u32 {
        let known = self.services.get(&server.service).and_then(|it| it.servers.get(&server.id));
        known.and_then(|it| it.learned_percent).unwrap_or(USUAL_PERCENT)
    }

    /// Forgets servers that are no longer known.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&name::ServerId) -> bool,
    {
        self.services.retain(|_, service| {
            service.servers.retain(|id, _| is_known(id));
            !service.servers.is_empty()
        });
    }
}

impl Service {
    /// Compares each server with the median.
    fn compare(&mut self) {
        let mut sorted: Vec<_> = self.servers.values().filter_map(Server::interval_ms).collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let middle = sorted.get(sorted.len() / 2).copied();
        let median = middle.filter(|it| sorted.len() >= MIN_SERVERS && *it > 0.0);
        for server in self.servers.values_mut() {
            let relative = median.and_then(|it| server.interval_ms().map(|own| own / it));
            server.learned_percent = relative.map(learned_percent);
        }
        let differs = |it: &&Server| it.learned_percent.is_some_and(|it| it != USUAL_PERCENT);
        let differing = self.servers.values().filter(differs).count();
        if differing * 100 < sorted.len() * UNEVEN_SERVICE_PERCENT {
            let unsure = |it: &&mut Server| it.measurements < SURE_MEASUREMENTS;
            for server in self.servers.values_mut().filter(unsure) {
                server.learned_percent = None;
            }
        }
    }
}

impl Server {
    fn record(&mut self, interval_ms: f64) {
        if self.measurements == 0 {
            self.interval_ms = interval_ms;
        }
        self.measurements = self.measurements.saturating_add(1);
        let part = if interval_ms < self.interval_ms { FALL } else { RISE };
        self.interval_ms += (interval_ms - self.interval_ms) * part;
    }

    fn interval_ms(&self) -> Option<f64> {
        (self.measurements >= MIN_MEASUREMENTS).then_some(self.interval_ms)
    }
}

fn learned_percent(relative: f64) -> u32 {
    let percent = (relative * 100.0).clamp(LEARNED_PERCENT.0, LEARNED_PERCENT.1);
    if (percent - 100.0).abs() < DEAD_BAND_PERCENT {
        return USUAL_PERCENT;
    }
    u32::try_from(number::saturating_u64(percent)).unwrap_or(USUAL_PERCENT)
}
