//! A subscription of this host to the store events of a relay.

use std::io;
use std::sync::Arc;
use std::time;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use toucanwall_platform::object;
use toucanwall_routing::host;

use crate::frame;
use crate::rollouts;

/// Time for a relay to respond or accept a message, in milliseconds. A healthy relay needs only a
/// few milliseconds, and the deadlines for changes leave time to try two relays and then the store.
const RELAY_TIMEOUT_MS: u64 = 300;

/// A connection to a relay.
#[derive(Debug)]
pub struct Subscription {
    /// The host that acts as the relay.
    pub relay: Arc<host::HostEntry>,
    connection: frame::Connection,
    /// First frame from the relay, which shows that it accepted this host; `None` once returned.
    first_frame: Option<frame::Frame>,
}

impl Subscription {
    /// Subscribes to some kinds of objects at a relay, which closes the connection if it does not watch
    /// the store or does not follow one of them.
    ///
    /// # Errors
    /// The relay is unreachable, does not respond in time, or refuses.
    pub async fn open(
        relay: Arc<host::HostEntry>,
        own_host: &host::HostEntry,
        kinds: &[object::Kind],
    ) -> io::Result<Self> {
        let timeout = time::Duration::from_millis(RELAY_TIMEOUT_MS);
        tokio::time::timeout(timeout, connect(relay, own_host, kinds)).await?
    }

    /// Sends this host's roll-out reports to the relay.
    ///
    /// # Errors
    /// The relay has closed the connection, or does not accept the reports in time.
    pub async fn send_reports(&mut self, reports: &[rollouts::Report]) -> io::Result<()> {
        let message = frame::encode(&reports)?;
        let timeout = time::Duration::from_millis(RELAY_TIMEOUT_MS);
        tokio::time::timeout(timeout, self.connection.send(message)).await?
    }

    /// Waits for the next frame from the relay.
    ///
    /// # Errors
    /// The relay has closed the connection, or sent a malformed frame.
    pub async fn next_frame(&mut self) -> io::Result<frame::Frame> {
        if let Some(first_frame) = self.first_frame.take() {
            return Ok(first_frame);
        }
        let body = self.connection.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        frame::decode(&body)
    }
}

async fn connect(
    relay: Arc<host::HostEntry>,
    own_host: &host::HostEntry,
    kinds: &[object::Kind],
) -> io::Result<Subscription> {
    let stream = tokio::net::TcpStream::connect(relay.peer_address).await?;
    stream.set_nodelay(true)?;
    let subscribe = frame::Subscribe {
        host: own_host.name.as_str().to_owned(),
        relay_run_id: relay.run_id,
        kinds: kinds.iter().map(|kind| kind.as_str().to_owned()).collect(),
    };
    let mut connection = frame::connection(stream, frame::End::Subscriber);
    connection.send(frame::encode(&subscribe)?).await?;
    let mut subscription = Subscription { relay, connection, first_frame: None };
    subscription.first_frame = Some(subscription.next_frame().await?);
    Ok(subscription)
}
