//! Passes what this host hears of the platform's store on to the hosts that listen to it.

use std::collections;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time;

use futures_util::SinkExt as _;
use futures_util::StreamExt as _;
use toucanwall_platform::object;
use toucanwall_policy::relay;
use toucanwall_routing::host;

use crate::frame;
use crate::news;
use crate::reach;
use crate::rollouts;

/// Messages that may wait for one listener; one that falls further behind has to come again.
const BACKLOG_MAX: usize = 256;
/// Time for a listener to say who it is, and to take a message, in milliseconds: one that is slower
/// has left the relay as silent by then.
const LISTENER_MS: u64 = 2_000;
/// Pause after a connection that could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;
/// Kinds that a listener needs before it can route.
const KINDS: [object::Kind; 4] = [
    object::Kind::Configuration,
    object::Kind::Servers,
    object::Kind::Rollouts,
    object::Kind::Hosts,
];

type Messages = tokio::sync::broadcast::Receiver<bytes::Bytes>;

/// Passes on what this host hears, while it watches the store itself.
#[derive(Debug)]
pub struct Relay {
    run_id: u64,
    rollouts: Arc<rollouts::Rollouts>,
    state: Mutex<State>,
    messages: tokio::sync::broadcast::Sender<bytes::Bytes>,
    /// The reach of the store while this host watches it; nothing while it listens to others.
    reach: tokio::sync::watch::Sender<Option<reach::Shared>>,
    listeners: tokio::sync::watch::Sender<usize>,
}

/// The objects that the store holds, as far as this host has heard.
#[derive(Debug, Default)]
struct State {
    kinds: collections::BTreeMap<object::Kind, Objects>,
}

#[derive(Debug)]
struct Objects {
    revision: u64,
    by_name: collections::BTreeMap<Arc<str>, object::Object>,
    /// The list as a message, until it changes.
    message: Option<bytes::Bytes>,
}

/// Counts a listener until it is dropped.
struct Listener<'a>(&'a Relay);

impl Relay {
    /// A relay that does not watch the store yet.
    #[must_use]
    pub fn new(host: &host::HostEntry, rollouts: Arc<rollouts::Rollouts>) -> Self {
        Self {
            run_id: host.run_id,
            rollouts,
            state: Mutex::new(State::default()),
            messages: tokio::sync::broadcast::Sender::new(BACKLOG_MAX),
            reach: tokio::sync::watch::Sender::new(None),
            listeners: tokio::sync::watch::Sender::new(0),
        }
    }

    /// Hosts that listen.
    #[must_use]
    pub fn listeners(&self) -> usize {
        *self.listeners.borrow()
    }

    /// Hears of the number of hosts that listen.
    #[must_use]
    pub fn subscribe_listeners(&self) -> tokio::sync::watch::Receiver<usize> {
        self.listeners.subscribe()
    }

    /// Takes listeners from now on, or sends them elsewhere if there is no reach.
    pub fn set_reach(&self, reach: Option<reach::Shared>) {
        // Lists are read anew by whoever watches anew.
        self.lock().kinds.clear();
        self.reach.send_replace(reach);
    }

    /// Notes what was heard and passes it on.
    pub fn hear(&self, news: &news::News) {
        if self.reach.borrow().is_none() {
            return;
        }
        let mut state = self.lock();
        match news {
            news::News::Listed(listing) => {
                let by_name = listing.objects.iter().cloned();
                let by_name = by_name.map(|object| (Arc::clone(&object.metadata.name), object));
                let objects = Objects {
                    revision: listing.revision,
                    by_name: by_name.collect(),
                    message: None,
                };
                state.kinds.insert(listing.kind, objects);
                if self.listeners() > 0
                    && let Some(message) = state.message(listing.kind)
                {
                    self.send(message);
                }
            }
            news::News::Changed(difference) => {
                state.apply(difference);
                self.encode_and_send(&frame::Frame::Difference(difference.clone()));
            }
            news::News::Outage(_) | news::News::Answered => {
                if let Some(beat) = self.beat() {
                    self.encode_and_send(&beat);
                }
            }
        }
    }

    /// Accepts listeners until it is dropped.
    pub async fn accept(self: Arc<Self>, listener: tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).serve(stream));
                }
                Err(error) => {
                    log::warn!(target: "toucanwall", why = error.to_string(); "cannot accept a host");
                    tokio::time::sleep(time::Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: tokio::net::TcpStream) {
        let connection = frame::connection(stream);
        let limit = time::Duration::from_millis(LISTENER_MS);
        match tokio::time::timeout(limit, greet(connection)).await {
            Ok(Ok((connection, subscribe))) if subscribe.relay_run_id == self.run_id => {
                let result = self.serve_listener(connection).await;
                log::info!(
                    target: "toucanwall", listener = subscribe.host, listeners = self.listeners(),
                    why = result.err().map(|error| error.to_string()); "listener gone"
                );
            }
            Ok(Ok((_, subscribe))) => log::info!(
                target: "toucanwall", listener = subscribe.host;
                "listener refused: it wants an earlier run of this host"
            ),
            Ok(Err(error)) => log::info!(
                target: "toucanwall", why = error.to_string(); "listener refused"
            ),
            Err(_elapsed) => log::info!(target: "toucanwall", "listener refused: it said nothing"),
        }
    }

    async fn serve_listener(&self, mut connection: frame::Connection) -> io::Result<()> {
        let mut reach = self.reach.subscribe();
        let Some((lists, mut messages, _listener)) = self.join() else {
            // Closing the connection tells the listener to ask another host.
            return Ok(());
        };
        for list in lists {
            send(&mut connection, list).await?;
        }
        let mut beats =
            tokio::time::interval(time::Duration::from_millis(relay::HEARTBEAT_INTERVAL_MS));
        beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = messages.recv() => message.map_err(io::Error::other)?,
                _ = beats.tick() => match self.beat() {
                    Some(beat) => frame::encode(&beat)?,
                    None => return Ok(()),
                },
                // This host does not watch the store any more, or has begun anew.
                _ = reach.changed() => return Ok(()),
                reports = connection.next() => {
                    let Some(reports) = reports else { return Ok(()) };
                    self.take_reports(&reports?)?;
                    continue;
                }
            };
            send(&mut connection, message).await?;
        }
    }

    /// Takes what a listener has seen of roll-outs.
    fn take_reports(&self, body: &[u8]) -> io::Result<()> {
        let reports: Vec<rollouts::Report> = frame::decode(body)?;
        for report in &reports {
            self.rollouts.merge(report);
        }
        Ok(())
    }

    /// All lists, and what comes after them; nothing unless this host watches, has read all and has the
    /// store.
    fn join(&self) -> Option<(Vec<bytes::Bytes>, Messages, Listener<'_>)> {
        self.reach.borrow().as_ref().filter(|reach| reach.is_up())?;
        let mut state = self.lock();
        let lists: Option<Vec<_>> = KINDS.into_iter().map(|kind| state.message(kind)).collect();
        // Counted before the lock is let go, so that nothing heard from now on is kept from it.
        Some((lists?, self.messages.subscribe(), Listener::new(self)))
    }

    fn beat(&self) -> Option<frame::Frame> {
        let reach = self.reach.borrow();
        let reach = reach.as_ref()?;
        let store_age_ms = u64::try_from(reach.age().as_millis()).unwrap_or(u64::MAX);
        Some(frame::Frame::Beat { store_age_ms, has_store: reach.is_up() })
    }

    fn encode_and_send(&self, frame: &frame::Frame) {
        if self.listeners() == 0 {
            return;
        }
        match frame::encode(frame) {
            Ok(message) => self.send(message),
            Err(error) => log::error!(
                target: "toucanwall", why = error.to_string(); "news not passed on"
            ),
        }
    }

    fn send(&self, message: bytes::Bytes) {
        if self.messages.send(message).is_err() {
            log::trace!(target: "toucanwall", "nobody listens");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, difference: &news::Difference) {
        let Some(objects) = self.kinds.get_mut(&difference.kind) else { return };
        for change in &difference.changes {
            let name = Arc::clone(&change.object.metadata.name);
            if change.is_deleted {
                objects.by_name.remove(&name);
            } else {
                objects.by_name.insert(name, change.object.clone());
            }
        }
        objects.revision = difference.revision;
        objects.message = None;
    }

    /// The list of a kind as a message.
    fn message(&mut self, kind: object::Kind) -> Option<bytes::Bytes> {
        let objects = self.kinds.get_mut(&kind)?;
        if objects.message.is_none() {
            let listing = news::Listing {
                kind,
                revision: objects.revision,
                objects: objects.by_name.values().cloned().collect(),
            };
            match frame::encode(&frame::Frame::Listing(listing)) {
                Ok(message) => objects.message = Some(message),
                Err(error) => log::error!(
                    target: "toucanwall", why = error.to_string(); "list not passed on"
                ),
            }
        }
        objects.message.clone()
    }
}

impl<'a> Listener<'a> {
    fn new(relay: &'a Relay) -> Self {
        relay.listeners.send_modify(|listeners| *listeners += 1);
        Self(relay)
    }
}

impl Drop for Listener<'_> {
    fn drop(&mut self) {
        self.0.listeners.send_modify(|listeners| *listeners -= 1);
    }
}

async fn greet(
    mut connection: frame::Connection,
) -> io::Result<(frame::Connection, frame::Subscribe)> {
    connection.get_ref().set_nodelay(true)?;
    let first = connection.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let subscribe = frame::decode(&first)?;
    Ok((connection, subscribe))
}

async fn send(connection: &mut frame::Connection, message: bytes::Bytes) -> io::Result<()> {
    let limit = time::Duration::from_millis(LISTENER_MS);
    tokio::time::timeout(limit, connection.send(message)).await?
}
