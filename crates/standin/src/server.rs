//! A server on a loopback address that can be stopped like a crash.

use std::net;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use toucanwall_listener::NoDelayAcceptor;

/// Time between two looks whether a server went down, in milliseconds.
pub const DOWN_POLL_INTERVAL_MS: u64 = 5;

/// A running server; dropping it stops its listener.
#[derive(Debug)]
pub struct RunningServer {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Set once it has crashed: streams that are under way break off.
    pub is_down: Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Closes the listener and breaks off what is under way.
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

/// Serves routes at an address; port 0 takes a free one.
///
/// # Errors
/// The address is in use or not one of this machine.
pub async fn serve(
    address: net::SocketAddr,
    routes: poem::Route,
    is_down: Arc<atomic::AtomicBool>,
) -> std::io::Result<RunningServer> {
    let acceptor = NoDelayAcceptor::bind(address).await?;
    let address = acceptor.address()?;
    let flag = Arc::clone(&is_down);
    let endpoint = routes.into_endpoint().boxed();
    let task = tokio::spawn(async move {
        let server = poem::Server::new_with_acceptor(acceptor).run(endpoint);
        // A server that goes down takes no new connections; one that cannot serve shows in
        // the test that calls it.
        tokio::select! {
            result = server => drop(result),
            () = wait_until_down(&is_down) => {}
        }
    });
    Ok(RunningServer { address, is_down: flag, task })
}

async fn wait_until_down(is_down: &atomic::AtomicBool) {
    while !is_down.load(atomic::Ordering::SeqCst) {
        tokio::time::sleep(time::Duration::from_millis(DOWN_POLL_INTERVAL_MS)).await;
    }
}
