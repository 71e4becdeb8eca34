//! Measures what the coordination of hosts costs, for docs/CAPACITY.md.
//!
//! Many hosts run in one process, with the coordination code that the daemon runs.

mod cluster;
mod fixture;
mod store;

use std::fs;

use clap::Parser;

/// Measures what coordination costs by member count, document size and load.
#[derive(Debug)]
#[derive(Parser)]
struct Arguments {
    /// Numbers of hosts.
    #[arg(long, value_delimiter = ',', default_value = "2,6,12,24,48,96")]
    hosts: Vec<usize>,
    /// Sizes of the document, in kilobytes.
    #[arg(long, value_delimiter = ',', default_value = "10")]
    document_kb: Vec<usize>,
    /// Requests a second at each host.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    requests_per_s: Vec<u64>,
    /// Backend servers in the host list.
    #[arg(long, default_value_t = 100)]
    servers: usize,
    /// Data centres; the hosts are spread over them.
    #[arg(long, default_value_t = 4)]
    data_centres: usize,
    /// Shards of the ledger.
    #[arg(long, default_value_t = 8)]
    shards: u32,
    /// Time that is measured, in seconds of the hosts' clock.
    #[arg(long, default_value_t = 60)]
    measure_s: u64,
    /// Changes of the configuration while it is measured.
    #[arg(long, default_value_t = 4)]
    changes: u64,
    /// Hosts that are replaced while it is measured.
    #[arg(long, default_value_t = 0)]
    restarts: usize,
    /// Keep the platform down while it is measured.
    #[arg(long)]
    outage: bool,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() {
    let arguments = Arguments::parse();
    println!(
        "| hosts | document KB | requests/s a host | messages/s a host | bytes/s a host | core % a host | \
         memory KB a host | platform writes/s | platform reads/s | waiting watches | change in force ms (max) |"
    );
    println!("| --: | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |");
    for hosts in &arguments.hosts {
        for document_kb in &arguments.document_kb {
            for requests_per_s in &arguments.requests_per_s {
                print_row(&arguments, *hosts, *document_kb, *requests_per_s);
            }
        }
    }
}

/// Runs one simulation and prints its row of the table.
fn print_row(arguments: &Arguments, hosts: usize, document_kb: usize, requests_per_s: u64) {
    let resident_before_kb = resident_kb();
    let settings = cluster::Settings {
        hosts,
        document_kb,
        requests_per_s,
        servers: arguments.servers,
        data_centres: arguments.data_centres.min(hosts),
        shards: arguments.shards,
        seed: arguments.seed,
    };
    let mut cluster = cluster::Cluster::new(settings);
    cluster.warm_up();
    if arguments.outage {
        cluster.set_outage(true);
    }
    let measurements = cluster.measure(arguments.measure_s, arguments.changes, arguments.restarts);
    let memory_kb = resident_kb().saturating_sub(resident_before_kb) / to_u64(hosts);
    let host_seconds = to_f64(arguments.measure_s * to_u64(hosts));
    let seconds = to_f64(arguments.measure_s);
    println!(
        "| {hosts} | {document_kb} | {requests_per_s} | {:.1} | {:.0} | {:.3} | {memory_kb} | {:.1} | {:.1} | {} | {} |",
        to_f64(measurements.messages) / host_seconds,
        to_f64(measurements.bytes) / host_seconds,
        measurements.processing_time.as_secs_f64() * 100.0 / host_seconds,
        to_f64(measurements.writes) / seconds,
        to_f64(measurements.reads) / seconds,
        measurements.open_watches,
        measurements.max_in_force_ms.map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
    );
}

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    text.lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches(" kB").trim().parse().ok())
        .unwrap_or(0)
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
