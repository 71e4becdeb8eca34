//! Starts the components of a host on the users' platform and runs them until it is stopped.

use std::env;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use toucanwall_document::finding;
use toucanwall_platform::settings as platform_settings;
use toucanwall_policy::server_notices;
use toucanwall_routing::host;
use toucanwall_routing::name;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::cold_starts;
use crate::control;
use crate::crashes;
use crate::endpoints;
use crate::ingress;
use crate::limits;
use crate::logging;
use crate::metrics;
use crate::rollouts;
use crate::state;

/// Share of the time between SIGTERM and SIGKILL in which new requests are still accepted, in
/// percent. In this time callers learn the addresses of other hosts.
const ACCEPT_PERCENT: u64 = 30;
/// Share of that time after which open requests are given up, in percent.
const GIVE_UP_PERCENT: u64 = 92;
/// Share of that time after which nothing more is waited for, in percent.
const END_PERCENT: u64 = 97;
/// Time in which responses to requests that are given up reach their callers, in milliseconds.
const LAST_RESPONSES_MS: u64 = 100;
/// Interval at which unneeded connections and servers are removed, in milliseconds.
const HOUSEKEEPING_INTERVAL_MS: u64 = 1_000;
/// Interval at which a stopping host checks for open requests, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;
/// Timeout for the removal of the host's entry, in milliseconds.
const ENTRY_REMOVAL_TIMEOUT_MS: u64 = 300;

/// Why a host did not start or stopped early.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// The settings file cannot be read.
    #[error("cannot read {path}: {error}", path = path.display())]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Error from the operating system.
        error: io::Error,
    },
    /// The settings are invalid.
    #[error("the settings are invalid:\n{0}")]
    Settings(#[from] finding::Findings),
    /// The host cannot listen on an address.
    #[error("cannot listen for {purpose} on {address}: {error}")]
    Listen {
        /// Purpose of the address, such as serving callers.
        purpose: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// Error from the operating system.
        error: io::Error,
    },
    /// A thread, signal handler or logger cannot be set up.
    #[error("cannot start: {0}")]
    Start(String),
}

impl RunError {
    /// The exit code: 2 for invalid input, 1 for anything else.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings(_) => 2,
            Self::Listen { .. } | Self::Start(_) => 1,
        }
    }
}

/// Runs a host with the platform's settings file until it is stopped.
///
/// # Errors
/// [`RunError`] if it cannot start.
pub fn run(level: log::LevelFilter) -> Result<(), RunError> {
    let file = env::var_os(platform_settings::PATH_VARIABLE)
        .map_or_else(|| path::PathBuf::from(platform_settings::DEFAULT_PATH), Into::into);
    let settings = Arc::new(read_settings(&file)?);
    logging::init(settings.host.as_str(), level)
        .map_err(|error| RunError::Start(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RunError::Start(error.to_string()))?;
    let result = runtime.block_on(serve(settings, file));
    log::info!(target: "toucanwall", result = result.is_ok(); "host stops");
    // Gives the logging thread time to write the last lines.
    std::thread::sleep(time::Duration::from_millis(DRAIN_POLL_INTERVAL_MS));
    result
}

async fn serve(settings: Arc<settings::Settings>, file: path::PathBuf) -> Result<(), RunError> {
    let clock = clock::Clock::start();
    let host = create_host_entry(&settings);
    log::info!(
        target: "toucanwall", run = format!("{:016x}", host.run_id),
        data_centre = settings.data_centre.as_str(), store = settings.store_address.to_string();
        "host starts"
    );
    let metrics = Arc::new(metrics::Metrics::new());
    let rollouts = Arc::new(rollouts::Rollouts::new(settings.bounds));
    let crashes = Arc::new(crashes::Crashes::new());
    let notices = Arc::new(Mutex::new(server_notices::ServerNotices::new(rand::rng().random())));
    let limits = Arc::new(limits::Limits::new(
        settings.host.clone(),
        settings.bounds.contact_ms,
        rand::rng().random(),
    ));
    let cold_starts =
        Arc::new(cold_starts::ColdStarts::new(settings.host.clone(), &settings.bounds));
    let (views, view) = tokio::sync::watch::channel(Arc::new(view::View::default()));
    let address = settings.peer_address;
    let peer_listener = net::TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|error| RunError::Listen { purpose: "other hosts", address, error })?;
    let datagram_socket = net::UdpSocket::bind(address).map_err(|error| RunError::Listen {
        purpose: "datagrams of other hosts",
        address,
        error,
    })?;
    let inputs = control::Inputs {
        settings: Arc::clone(&settings),
        host,
        clock,
        views,
        notices: Arc::clone(&notices),
        limits: Arc::clone(&limits),
        cold_starts: Arc::clone(&cold_starts),
        rollouts: Arc::clone(&rollouts),
        crashes: Arc::clone(&crashes),
        metrics: Arc::clone(&metrics),
    };
    let commands = control::start(inputs, peer_listener, datagram_socket)
        .map_err(|error| RunError::Start(error.to_string()))?;
    let state = Arc::new(state::GatewayState::new(state::Inputs {
        settings: Arc::clone(&settings),
        clock,
        view,
        notices,
        limits,
        cold_starts,
        rollouts,
        crashes,
        metrics,
    }));
    let (shutdown, shutdown_receiver) = tokio::sync::watch::channel(false);
    listen(&state, &settings, shutdown_receiver).await?;
    tokio::spawn(run_housekeeping(Arc::clone(&state)));
    wait_for_stop(&file, &settings).await?;
    stop(&state, &settings, &commands, &shutdown).await;
    Ok(())
}

async fn listen(
    state: &Arc<state::GatewayState>,
    settings: &settings::Settings,
    shutdown_receiver: tokio::sync::watch::Receiver<bool>,
) -> Result<(), RunError> {
    let address = settings.caller_address;
    let ingress = ingress::Ingress::bind(Arc::clone(state), address)
        .map_err(|error| RunError::Listen { purpose: "callers", address, error })?;
    tokio::spawn(ingress.accept(shutdown_receiver));
    for (purpose, kind, address) in [
        ("address queries", endpoints::EndpointKind::Addresses, settings.discovery_address),
        ("readiness checks", endpoints::EndpointKind::Readiness, settings.readiness_address),
        ("metrics", endpoints::EndpointKind::Metrics, settings.metrics_address),
    ] {
        endpoints::listen(kind, Arc::clone(state), address)
            .await
            .map_err(|error| RunError::Listen { purpose, address, error })?;
    }
    Ok(())
}

/// Waits for SIGTERM or SIGINT; SIGHUP checks the settings file again.
async fn wait_for_stop(file: &path::Path, settings: &settings::Settings) -> Result<(), RunError> {
    use tokio::signal::unix;

    let handler = |kind| unix::signal(kind).map_err(|error| RunError::Start(error.to_string()));
    let mut terminate = handler(unix::SignalKind::terminate())?;
    let mut interrupt = handler(unix::SignalKind::interrupt())?;
    let mut hang_up = handler(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hang_up.recv() => check_settings(file, settings),
        }
    }
}

/// Validates the settings file again; changes take effect only after a restart.
fn check_settings(file: &path::Path, current: &settings::Settings) {
    match read_settings(file) {
        Ok(settings) => log::info!(
            target: "toucanwall", has_changed = settings != *current; "settings file is valid; changes apply after a restart"
        ),
        Err(error) => log::error!(
            target: "toucanwall", why = error.to_string(); "changed settings are invalid"
        ),
    }
}

/// Stops the host: gives callers time to switch to other hosts, finishes open requests, and removes
/// the host's entry from the store.
async fn stop(
    state: &state::GatewayState,
    settings: &settings::Settings,
    commands: &control::Commands,
    shutdown: &tokio::sync::watch::Sender<bool>,
) {
    let grace_ms = settings.bounds.grace_ms;
    let started_ms = state.clock.now_ms();
    log::info!(target: "toucanwall", grace_ms = grace_ms; "host leaves");
    let ends_ms = started_ms + grace_ms * GIVE_UP_PERCENT / 100;
    let limit_ms = started_ms + grace_ms * END_PERCENT / 100;
    state.lifecycle.set_end(ends_ms);
    state.lifecycle.advance(state::Stage::Leaving);
    send_command(commands, control::Command::AnnounceStop);
    let stop_accepting_at = state.clock.instant_at(started_ms + grace_ms * ACCEPT_PERCENT / 100);
    tokio::time::sleep_until(stop_accepting_at).await;
    state.lifecycle.advance(state::Stage::Draining);
    shutdown.send_replace(true);
    let unread_until_ms = (state.clock.now_ms() + ingress::UNREAD_MS).min(ends_ms);
    let poll_interval = time::Duration::from_millis(DRAIN_POLL_INTERVAL_MS);
    while has_open_work(state, unread_until_ms) && state.clock.now_ms() < ends_ms {
        tokio::time::sleep(poll_interval).await;
    }
    let given_up = state.open_requests.load(atomic::Ordering::Relaxed);
    log::info!(target: "toucanwall", given_up = given_up; "host has finished its requests");
    let responses_until_ms = (ends_ms + LAST_RESPONSES_MS).min(limit_ms);
    while given_up > 0
        && state.open_connections.load(atomic::Ordering::Relaxed) > 0
        && state.clock.now_ms() < responses_until_ms
    {
        tokio::time::sleep(poll_interval).await;
    }
    let (sender, done) = tokio::sync::oneshot::channel();
    send_command(commands, control::Command::RemoveHost(sender));
    let left_ms = limit_ms.saturating_sub(state.clock.now_ms());
    let timeout = time::Duration::from_millis(left_ms.min(ENTRY_REMOVAL_TIMEOUT_MS));
    if tokio::time::timeout(timeout, done).await.is_err() {
        log::warn!(target: "toucanwall", "host entry not removed in time; other hosts have to notice that this host no longer responds");
    }
}

/// Whether requests are open, or connections on which a request may be on its way.
fn has_open_work(state: &state::GatewayState, unread_until_ms: u64) -> bool {
    let may_be_unread = state.clock.now_ms() < unread_until_ms;
    state.open_requests.load(atomic::Ordering::Relaxed) > 0
        || may_be_unread && state.open_connections.load(atomic::Ordering::Relaxed) > 0
}

fn send_command(commands: &control::Commands, command: control::Command) {
    if commands.send(command).is_err() {
        log::error!(target: "toucanwall", "control thread has ended");
    }
}

/// Periodically closes expired connections and drops the load data of unknown servers.
async fn run_housekeeping(state: Arc<state::GatewayState>) {
    let mut ticks = tokio::time::interval(time::Duration::from_millis(HOUSEKEEPING_INTERVAL_MS));
    loop {
        ticks.tick().await;
        state.pool.close_expired();
        let budget = &state.memory_budget;
        state.metrics.set_memory(budget.used_bytes(), budget.evictions());
        let view = state.view();
        let is_known = |id: &name::ServerId| view.all_servers.contains_key(id);
        state.placement().retain(is_known);
        state.notices().retain_known(is_known, state.clock.now_ms());
        state.limits.retain_known(is_known, state.clock.now_ms());
        state.cold_starts.tick(&state.metrics, is_known, state.clock.now_ms());
    }
}

/// Creates this host's entry for the store.
fn create_host_entry(settings: &settings::Settings) -> host::HostEntry {
    let started = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    host::HostEntry {
        name: settings.host.clone(),
        run_id: rand::rng().random(),
        started_unix_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        cpu_millicores: settings.cpu_millicores,
        answers_pings: true,
        phase: host::Phase::Serving,
    }
}

fn read_settings(file: &path::Path) -> Result<settings::Settings, RunError> {
    let text = fs::read_to_string(file)
        .map_err(|error| RunError::Read { path: file.to_owned(), error })?;
    Ok(platform_settings::decode(&file.display().to_string(), &text)?)
}
