//! Starts the parts of a host on the users' platform and waits for its end.

use std::env;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use toucanwall_document::finding;
use toucanwall_platform::settings as platform_settings;
use toucanwall_routing::host;
use toucanwall_routing::settings;
use toucanwall_routing::view;

use crate::clock;
use crate::control;
use crate::directory;
use crate::front;
use crate::logging;
use crate::metrics;
use crate::rollouts;
use crate::traffic;

/// Part of the time between SIGTERM and SIGKILL in which new requests are still taken, in percent:
/// callers learn of other addresses meanwhile.
const INTAKE_PERCENT: u64 = 30;
/// Part of that time after which whatever is left is broken off, in percent.
const END_PERCENT: u64 = 92;
/// Time between two looks at connections and servers that are no longer needed, in milliseconds.
const HOUSEKEEPING_MS: u64 = 1_000;
/// Time between two looks at whether requests are left, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;
/// Time that the host's entry may take to go, in milliseconds.
const LEAVE_MS: u64 = 300;

/// Why a host did not start or ended early.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// The settings file cannot be read.
    #[error("cannot read {path}: {error}", path = path.display())]
    Read {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The settings have findings.
    #[error("the settings have findings:\n{0}")]
    Settings(#[from] finding::Findings),
    /// An address cannot be listened on.
    #[error("cannot listen for {what} at {address}: {error}")]
    Listen {
        /// Who is listened for.
        what: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// A thread, signal handler or logger cannot be set up.
    #[error("cannot start: {0}")]
    Start(String),
}

impl RunError {
    /// The exit code: 2 for wrong input, 1 for anything else.
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
    logging::set_up(settings.host.as_str(), level)
        .map_err(|error| RunError::Start(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RunError::Start(error.to_string()))?;
    let result = runtime.block_on(serve(settings, file));
    log::info!(target: "toucanwall", result = result.is_ok(); "host stops");
    // The log's own thread gets a moment for the last lines.
    std::thread::sleep(time::Duration::from_millis(DRAIN_POLL_MS));
    result
}

async fn serve(settings: Arc<settings::Settings>, file: path::PathBuf) -> Result<(), RunError> {
    let clock = clock::Clock::start();
    let host = entry(&settings);
    log::info!(
        target: "toucanwall", run = format!("{:016x}", host.run_id),
        data_centre = settings.data_centre.as_str(), store = settings.store_address.to_string();
        "host starts"
    );
    let metrics = Arc::new(metrics::Metrics::new());
    let rollouts = Arc::new(rollouts::Rollouts::new(settings.bounds.exposure_fraction));
    let (views, view) = tokio::sync::watch::channel(Arc::new(view::View::default()));
    let address = settings.peer_address;
    let peer_listener = net::TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|error| RunError::Listen { what: "other hosts", address, error })?;
    let inputs = control::Inputs {
        settings: Arc::clone(&settings),
        host,
        clock,
        views,
        rollouts: Arc::clone(&rollouts),
        metrics: Arc::clone(&metrics),
    };
    let commands = control::start(inputs, peer_listener)
        .map_err(|error| RunError::Start(error.to_string()))?;
    let traffic =
        Arc::new(traffic::Traffic::new(Arc::clone(&settings), clock, view, rollouts, metrics));
    let (closing, closed) = tokio::sync::watch::channel(false);
    listen(&traffic, &settings, closed).await?;
    tokio::spawn(keep_house(Arc::clone(&traffic)));
    wait_for_stop(&file, &settings).await?;
    stop(&traffic, &settings, &commands, &closing).await;
    Ok(())
}

async fn listen(
    traffic: &Arc<traffic::Traffic>,
    settings: &settings::Settings,
    closed: tokio::sync::watch::Receiver<bool>,
) -> Result<(), RunError> {
    let address = settings.caller_address;
    let front = front::Front::bind(Arc::clone(traffic), address)
        .await
        .map_err(|error| RunError::Listen { what: "callers", address, error })?;
    tokio::spawn(front.accept(closed));
    for (what, questions, address) in [
        ("questions for addresses", directory::Questions::Addresses, settings.discovery_address),
        ("readiness checks", directory::Questions::Readiness, settings.readiness_address),
        ("metrics", directory::Questions::Metrics, settings.metrics_address),
    ] {
        directory::listen(questions, Arc::clone(traffic), address)
            .await
            .map_err(|error| RunError::Listen { what, address, error })?;
    }
    Ok(())
}

/// Waits for SIGTERM; SIGHUP reads the settings again.
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
            _ = hang_up.recv() => reload(file, settings),
        }
    }
}

/// Checks changed settings; addresses and bounds are taken at the next start.
fn reload(file: &path::Path, in_force: &settings::Settings) {
    match read_settings(file) {
        Ok(settings) => log::info!(
            target: "toucanwall", has_changed = settings != *in_force; "settings read again"
        ),
        Err(error) => log::error!(
            target: "toucanwall", why = error.to_string(); "changed settings refused"
        ),
    }
}

/// Leaves callers time to go elsewhere, finishes what is open, and takes the host's entry away.
async fn stop(
    traffic: &traffic::Traffic,
    settings: &settings::Settings,
    commands: &control::Commands,
    closing: &tokio::sync::watch::Sender<bool>,
) {
    let grace_ms = settings.bounds.grace_ms;
    let started_ms = traffic.clock.now_ms();
    log::info!(target: "toucanwall", grace_ms = grace_ms; "host leaves");
    traffic.intake.advance(traffic::Stage::Leaving);
    tell(commands, control::Command::Stopping);
    let close_at = traffic.clock.at(started_ms + grace_ms * INTAKE_PERCENT / 100);
    tokio::time::sleep_until(close_at).await;
    traffic.intake.advance(traffic::Stage::Closed);
    closing.send_replace(true);
    let end_ms = started_ms + grace_ms * END_PERCENT / 100;
    while traffic.open_requests.load(atomic::Ordering::Relaxed) > 0
        && traffic.clock.now_ms() < end_ms
    {
        tokio::time::sleep(time::Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    let left = traffic.open_requests.load(atomic::Ordering::Relaxed);
    log::info!(target: "toucanwall", broken_off = left; "host has finished its requests");
    let (sender, done) = tokio::sync::oneshot::channel();
    tell(commands, control::Command::Leave(sender));
    let limit = time::Duration::from_millis(LEAVE_MS);
    if tokio::time::timeout(limit, done).await.is_err() {
        log::warn!(target: "toucanwall", "the host's entry stays; the others find it silent");
    }
}

fn tell(commands: &control::Commands, command: control::Command) {
    if commands.send(command).is_err() {
        log::error!(target: "toucanwall", "the control thread has ended");
    }
}

/// Closes connections and forgets servers that are no longer needed.
async fn keep_house(traffic: Arc<traffic::Traffic>) {
    let mut ticks = tokio::time::interval(time::Duration::from_millis(HOUSEKEEPING_MS));
    loop {
        ticks.tick().await;
        traffic.pool.close_expired();
        let view = traffic.view();
        traffic.placement().retain(|id| view.all_servers.contains_key(id));
    }
}

fn entry(settings: &settings::Settings) -> host::HostEntry {
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
        phase: host::Phase::Serving,
    }
}

fn read_settings(file: &path::Path) -> Result<settings::Settings, RunError> {
    let text = fs::read_to_string(file)
        .map_err(|error| RunError::Read { path: file.to_owned(), error })?;
    Ok(platform_settings::decode(&file.display().to_string(), &text)?)
}
