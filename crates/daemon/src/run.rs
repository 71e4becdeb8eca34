//! Starts the parts of the daemon and waits for the end.

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
use crate::cli;
use crate::control;
use crate::front;
use crate::logging;
use crate::peers;

/// Why the daemon did not start or ended early.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// A file cannot be read.
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
    /// The key file is malformed.
    #[error("{path}: {error}", path = path.display())]
    Keys {
        /// The file.
        path: path::PathBuf,
        /// What is wrong.
        error: envelope::KeysError,
    },
    /// An address cannot be listened on.
    #[error("cannot listen on {field} {address}: {error}; free the port or change the setting")]
    Listen {
        /// The setting.
        field: &'static str,
        /// Its value.
        address: net::SocketAddr,
        /// What the system said.
        error: String,
    },
    /// A thread or logger cannot be set up.
    #[error("cannot start: {0}")]
    Start(String),
}

impl RunError {
    /// The exit code: 2 for wrong input, 1 for anything else.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Read { .. } | Self::Settings(_) | Self::Keys { .. } => 2,
            Self::Listen { .. } | Self::Start(_) => 1,
        }
    }
}

/// Runs the daemon until it has stopped.
///
/// # Errors
/// [`RunError`] if it cannot start.
pub fn run(arguments: &cli::Arguments) -> Result<(), RunError> {
    // The command line demands the file wherever there is no command.
    let file = arguments.settings.clone().unwrap_or_default();
    let settings = read_settings(&file)?;
    let keys = read_keys(path::Path::new(&*settings.key_file))?;
    if arguments.check {
        println!("{}: no findings", file.display());
        return Ok(());
    }
    logging::init(arguments.log_format, arguments.log_level)
        .map_err(|error| RunError::Start(error.to_string()))?;
    let threads = usize::try_from(settings.traffic_threads).unwrap_or(1);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|error| RunError::Start(error.to_string()))?;
    let result = start(&settings, keys, &runtime);
    runtime.shutdown_timeout(time::Duration::from_millis(500));
    result
}

fn start(
    settings: &settings::Settings,
    keys: envelope::Keys,
    runtime: &tokio::runtime::Runtime,
) -> Result<(), RunError> {
    let config = host_config(settings, keys.clone());
    let me = peers::LocalPeer { id: config.info.id, address: settings.peer_address };
    log::info!(target: "toucanwall", "host {} starts in {}", me.id, settings.data_centre);
    let platform = Client::new(settings.platform_address);
    let (inputs, inbox) = control::channel();
    let peers = peers::Peers::listen(me, keys, inputs.clone()).map_err(|error| {
        let address = settings.peer_address;
        RunError::Listen { field: "peer_address", address, error: error.to_string() }
    })?;
    let view = control::SharedSnapshot::default();
    let front = Arc::new(front::Front::new(settings, inputs.clone(), view.clone()));
    let handle = runtime.handle().clone();
    let control =
        control::ControlLoop::new(config, peers, platform, handle, view.clone(), inputs.clone());
    runtime.block_on(async {
        front::listen(front, settings.caller_address).await.map_err(|error| {
            let address = settings.caller_address;
            RunError::Listen { field: "caller_address", address, error: error.to_string() }
        })?;
        admin::listen(view, settings.admin_address).await.map_err(|error| {
            let address = settings.admin_address;
            RunError::Listen { field: "admin_address", address, error: error.to_string() }
        })
    })?;
    runtime.spawn(stop_on_signal(inputs));
    control.run(&inbox);
    // Answers that were let go last are still on their way out.
    std::thread::sleep(time::Duration::from_millis(200));
    Ok(())
}

async fn stop_on_signal(inputs: control::InputSender) {
    let terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate());
    match terminate {
        Ok(mut terminate) => tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        },
        Err(error) => {
            log::warn!(target: "toucanwall", "SIGTERM is not handled: {error}");
            drop(tokio::signal::ctrl_c().await);
        }
    }
    inputs.send_stop();
}

fn host_config(settings: &settings::Settings, keys: envelope::Keys) -> host::Config {
    let mut rng = rand::rng();
    let started = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    host::Config {
        info: identity::HostInfo {
            id: identity::HostId(rng.random()),
            started_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
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
    let text = read(file)?;
    Ok(settings::check(&file.display().to_string(), &text)?)
}

fn read_keys(file: &path::Path) -> Result<envelope::Keys, RunError> {
    let text = read(file)?;
    envelope::Keys::try_from(text.as_str())
        .map_err(|error| RunError::Keys { path: file.to_owned(), error })
}

fn read(file: &path::Path) -> Result<String, RunError> {
    fs::read_to_string(file).map_err(|error| RunError::Read { path: file.to_owned(), error })
}
