//! What a host hears of the platform's store through another host.

use std::io;
use std::sync::Arc;
use std::time;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use toucanwall_routing::host;

use crate::frame;
use crate::rollouts;

/// Time for a relay to answer, in milliseconds; a host that is well does within a few, and bounds on
/// changes leave time for two tries and for the store itself.
const ANSWER_MS: u64 = 300;

/// A connection to a relay.
#[derive(Debug)]
pub struct Subscription {
    /// The host that relays.
    pub relay: Arc<host::HostEntry>,
    connection: frame::Connection,
    /// What the relay said when it took this host.
    first: Option<frame::Frame>,
}

impl Subscription {
    /// Asks a host to relay; it closes the connection if it does not watch the store.
    ///
    /// # Errors
    /// The host is not there, does not answer in time, or refuses.
    pub async fn open(relay: Arc<host::HostEntry>, me: &host::HostEntry) -> io::Result<Self> {
        let limit = time::Duration::from_millis(ANSWER_MS);
        tokio::time::timeout(limit, connect(relay, me)).await?
    }

    /// Tells the relay what this host has seen of roll-outs.
    ///
    /// # Errors
    /// The relay has closed the connection, or does not take the reports in time.
    pub async fn report(&mut self, reports: &[rollouts::Report]) -> io::Result<()> {
        let message = frame::encode(&reports)?;
        let limit = time::Duration::from_millis(ANSWER_MS);
        tokio::time::timeout(limit, self.connection.send(message)).await?
    }

    /// What the relay says next.
    ///
    /// # Errors
    /// The relay has closed the connection, or says what cannot be read.
    pub async fn next(&mut self) -> io::Result<frame::Frame> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        let body = self.connection.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        frame::decode(&body)
    }
}

async fn connect(relay: Arc<host::HostEntry>, me: &host::HostEntry) -> io::Result<Subscription> {
    let stream = tokio::net::TcpStream::connect(relay.peer_address).await?;
    stream.set_nodelay(true)?;
    let subscribe =
        frame::Subscribe { host: me.name.as_str().to_owned(), relay_run_id: relay.run_id };
    let mut connection = frame::connection(stream);
    connection.send(frame::encode(&subscribe)?).await?;
    let mut subscription = Subscription { relay, connection, first: None };
    subscription.first = Some(subscription.next().await?);
    Ok(subscription)
}
