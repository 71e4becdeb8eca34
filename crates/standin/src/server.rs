//! An HTTP server that can be stopped abruptly, as by a crash.

use std::net;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use toucanwall_listener::NoDelayAcceptor;

/// Interval at which a server polls whether it has crashed, in milliseconds.
pub const DOWN_POLL_INTERVAL_MS: u64 = 5;

/// A running server; dropping it has the effect of [`RunningServer::crash`].
#[derive(Debug)]
pub struct RunningServer {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Whether it has crashed; the streams of an engine are reset once this is set.
    pub is_down: Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Closes the listener and resets the streams of an engine.
    pub fn crash(&self) {
        self.is_down.store(true, atomic::Ordering::SeqCst);
        self.task.abort();
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Serves routes at an address; port 0 selects a free port.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn serve(
    address: net::SocketAddr,
    routes: poem::Route,
    is_down: Arc<atomic::AtomicBool>,
) -> std::io::Result<RunningServer> {
    let acceptor = NoDelayAcceptor::bind(address).await?;
    let address = acceptor.address()?;
    let shared_is_down = Arc::clone(&is_down);
    let endpoint = routes.into_endpoint().boxed();
    let task = tokio::spawn(async move {
        let server = poem::Server::new_with_acceptor(acceptor).run(endpoint);
        // The listener closes when the server crashes. An error of the server itself is
        // ignored, as the test that calls it fails then.
        tokio::select! {
            result = server => drop(result),
            () = wait_until_down(&is_down) => {}
        }
    });
    Ok(RunningServer { address, is_down: shared_is_down, task })
}

async fn wait_until_down(is_down: &atomic::AtomicBool) {
    while !is_down.load(atomic::Ordering::SeqCst) {
        tokio::time::sleep(time::Duration::from_millis(DOWN_POLL_INTERVAL_MS)).await;
    }
}
