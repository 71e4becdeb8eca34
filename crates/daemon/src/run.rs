//! Starts a host with a settings file and runs it until it stops.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::sync::Arc;
use std::time;

use rand::RngExt as _;
use toucanwall_coordination::identity;
use toucanwall_core::envelope;
use toucanwall_core::host;
use toucanwall_document::finding;
use toucanwall_document::settings;
use toucanwall_platform::Client;

use crate::admin;
use crate::caller_api;
use crate::cli;
use crate::control;
use crate::logging;
use crate::peers;

/// Why the daemon did not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// A file cannot be read.
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
    /// The key file is malformed.
    #[error("invalid key file {path}: {error}", path = path.display())]
    Keys {
        /// Path of the file.
        path: path::PathBuf,
        /// Error from parsing it.
        error: envelope::KeysError,
    },
    /// The host cannot listen on an address.
    #[error("cannot listen on {field} {address}: {error}; free the port or change the setting")]
    Listen {
        /// Name of the setting.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
        /// Error from the operating system.
        error: String,
    },
    /// The async runtime or the logger cannot be set up.
    #[error("cannot start: {0}")]
    Start(String),
}

impl RunError {
    /// Returns the exit code: 2 for invalid input, 1 for anything else.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings(_) | Self::Keys { .. } => 2,
            Self::Listen { .. } | Self::Start(_) => 1,
        }
    }
}

/// Runs a host until it has stopped.
///
/// # Errors
/// [`RunError`] if it cannot start.
pub fn run(arguments: &cli::Arguments) -> Result<(), RunError> {
    // clap requires `--settings` unless a subcommand is given.
    let file = arguments.settings.clone().unwrap_or_default();
    let settings = read_settings(&file)?;
    let keys = read_keys(path::Path::new(&*settings.key_file))?;
    if arguments.check {
        println!("{}: no findings", file.display());
        return Ok(());
    }
    logging::init(arguments.log_format, arguments.log_level)
        .map_err(|error| RunError::Start(error.to_string()))?;
    let worker_threads = usize::try_from(settings.traffic_threads).unwrap_or(1);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .enable_all()
        .build()
        .map_err(|error| RunError::Start(error.to_string()))?;
    let result = run_host(&settings, keys, &runtime);
    runtime.shutdown_timeout(time::Duration::from_millis(500));
    result
}

fn run_host(
    settings: &settings::Settings,
    keys: envelope::Keys,
    runtime: &tokio::runtime::Runtime,
) -> Result<(), RunError> {
    let config = host_config(settings, keys.clone());
    let local_peer = peers::LocalPeer { id: config.info.id, address: settings.peer_address };
    log::info!(
        target: "toucanwall",
        "starting host {} in data centre {}", local_peer.id, settings.data_centre
    );
    let platform = Client::new(settings.platform_address);
    let (input_sender, input_receiver) = control::channel();
    let peers = peers::Peers::listen(local_peer, keys, input_sender.clone()).map_err(|error| {
        let address = settings.peer_address;
        RunError::Listen { field: "peer_address", address, error: error.to_string() }
    })?;
    let shared_snapshot = control::SharedSnapshot::default();
    let caller_api = Arc::new(caller_api::CallerApi::new(
        settings,
        input_sender.clone(),
        shared_snapshot.clone(),
    ));
    let handle = runtime.handle().clone();
    let control_loop = control::ControlLoop::new(
        config,
        peers,
        platform,
        handle,
        shared_snapshot.clone(),
        input_sender.clone(),
    );
    runtime.block_on(async {
        caller_api::listen(caller_api, settings.caller_address).await.map_err(|error| {
            let address = settings.caller_address;
            RunError::Listen { field: "caller_address", address, error: error.to_string() }
        })?;
        admin::listen(shared_snapshot, settings.admin_address).await.map_err(|error| {
            let address = settings.admin_address;
            RunError::Listen { field: "admin_address", address, error: error.to_string() }
        })
    })?;
    runtime.spawn(stop_on_signal(input_sender));
    control_loop.run(&input_receiver);
    // The last responses may still be on their way to callers.
    std::thread::sleep(time::Duration::from_millis(200));
    Ok(())
}

async fn stop_on_signal(input_sender: control::InputSender) {
    let sigterm = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    match sigterm {
        Ok(mut sigterm) => tokio::select! {
            _ = sigterm.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        },
        Err(error) => {
            log::warn!(target: "toucanwall", "cannot install a handler for SIGTERM: {error}");
            drop(tokio::signal::ctrl_c().await);
        }
    }
    input_sender.send_stop();
}

fn host_config(settings: &settings::Settings, keys: envelope::Keys) -> host::Config {
    let mut rng = rand::rng();
    let started_at = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    host::Config {
        info: identity::HostInfo {
            id: identity::HostId(rng.random()),
            started_ms: u64::try_from(started_at.as_millis()).unwrap_or(u64::MAX),
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            data_centre: settings.data_centre.clone().into(),
            region: settings.region.clone().into(),
        },
        seed_hosts: settings.peers.iter().copied().collect(),
        ledger_shards: u32::try_from(settings.ledger_shards).unwrap_or(1),
        keys,
        has_rating: settings.rating_address.is_some(),
        address_ttl_ms: settings.address_ttl_ms,
        shutdown_ms: settings.shutdown_ms,
        seed: rng.random(),
    }
}

fn read_settings(file: &path::Path) -> Result<settings::Settings, RunError> {
    let text = read_file(file)?;
    Ok(settings::check(&file.display().to_string(), &text)?)
}

fn read_keys(file: &path::Path) -> Result<envelope::Keys, RunError> {
    let text = read_file(file)?;
    envelope::Keys::try_from(text.as_str())
        .map_err(|error| RunError::Keys { path: file.to_owned(), error })
}

fn read_file(file: &path::Path) -> Result<String, RunError> {
    fs::read_to_string(file).map_err(|error| RunError::Read { path: file.to_owned(), error })
}
