//! Forwards events of the platform's store to the hosts that subscribe to this one.

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
use toucanwall_routing::name;
use toucanwall_routing::position;

use crate::frame;
use crate::reachability;
use crate::rollouts;
use crate::store_event;

/// Messages that may be queued for a subscriber; one that falls further behind is disconnected and
/// must subscribe again.
const MAX_BACKLOG: usize = 256;
/// Time for a subscriber to send its subscription, or to accept a message, in milliseconds. A
/// slower subscriber has already left the relay because it received nothing.
const SUBSCRIBER_TIMEOUT_MS: u64 = 2_000;
/// Delay after a connection could not be accepted, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 10;
/// Kinds of objects that subscribers of each build know and need before they can route requests.
const COMMON_KINDS: [object::Kind; 4] = [
    object::Kind::Configuration,
    object::Kind::Servers,
    object::Kind::Rollouts,
    object::Kind::Hosts,
];

type MessageReceiver = tokio::sync::broadcast::Receiver<Message>;

/// An encoded message to subscribers.
#[derive(Debug, Clone)]
struct Message {
    /// Kind of the objects that it is about; `None` if it is for all subscribers.
    kind: Option<object::Kind>,
    bytes: bytes::Bytes,
}

/// Forwards store events to subscribers while this host watches the store itself.
#[derive(Debug)]
pub struct Relay {
    /// Run id of this process, which subscribers have to state.
    run_id: u64,
    rollouts: Arc<rollouts::Rollouts>,
    cache: Mutex<ObjectCache>,
    messages: tokio::sync::broadcast::Sender<Message>,
    /// Reachability of the store; `None` while this host does not watch the store.
    tracker: tokio::sync::watch::Sender<Option<reachability::Tracker>>,
    /// Number of connected subscribers.
    subscriber_count: tokio::sync::watch::Sender<usize>,
}

/// The objects in the store as known to this host, by kind.
#[derive(Debug, Default)]
struct ObjectCache {
    kinds: collections::BTreeMap<object::Kind, ObjectList>,
}

#[derive(Debug)]
struct ObjectList {
    position: position::Position,
    by_name: collections::BTreeMap<Arc<str>, object::Object>,
    /// The list encoded as a message; `None` after a change.
    message: Option<bytes::Bytes>,
}

/// Counts a subscriber as connected until the guard is dropped.
struct SubscriberGuard<'a>(&'a Relay);

impl Relay {
    /// Creates a relay that refuses subscribers until the host watches the store.
    #[must_use]
    pub fn new(host: &host::HostEntry, rollouts: Arc<rollouts::Rollouts>) -> Self {
        Self {
            run_id: host.run_id,
            rollouts,
            cache: Mutex::new(ObjectCache::default()),
            messages: tokio::sync::broadcast::Sender::new(MAX_BACKLOG),
            tracker: tokio::sync::watch::Sender::new(None),
            subscriber_count: tokio::sync::watch::Sender::new(0),
        }
    }

    /// Number of hosts that subscribe to this one.
    #[must_use]
    pub fn subscriber_count(&self) -> usize {
        *self.subscriber_count.borrow()
    }

    /// A receiver of the number of hosts that subscribe to this one.
    #[must_use]
    pub fn subscriber_count_updates(&self) -> tokio::sync::watch::Receiver<usize> {
        self.subscriber_count.subscribe()
    }

    /// Accepts subscribers from now on, or disconnects and refuses them if `tracker` is `None`.
    pub fn set_tracker(&self, tracker: Option<reachability::Tracker>) {
        // A new watch begins by listing all objects.
        self.lock().kinds.clear();
        self.tracker.send_replace(tracker);
    }

    /// Records an event and forwards it to the subscribers.
    pub fn forward(&self, event: &store_event::Event) {
        if self.tracker.borrow().is_none() {
            return;
        }
        let mut cache = self.lock();
        match event {
            store_event::Event::Listed(listing) => {
                let by_name = listing.objects.iter().cloned();
                let by_name = by_name.map(|object| (Arc::clone(&object.metadata.name), object));
                let objects = ObjectList {
                    position: listing.position,
                    by_name: by_name.collect(),
                    message: None,
                };
                cache.kinds.insert(listing.kind, objects);
                if self.subscriber_count() > 0
                    && let Some(message) = cache.message(listing.kind)
                {
                    self.send(Message { kind: Some(listing.kind), bytes: message });
                }
            }
            store_event::Event::Changed(change_set) => {
                cache.apply(change_set);
                let frame = frame::Frame::ChangeSet(change_set.clone());
                self.encode_and_send(Some(change_set.kind), &frame);
            }
            store_event::Event::Unavailable(_) | store_event::Event::Available => {
                if let Some(heartbeat) = self.heartbeat() {
                    self.encode_and_send(None, &heartbeat);
                }
            }
        }
    }

    /// Accepts connections from subscribers for as long as the task runs.
    pub async fn accept(self: Arc<Self>, listener: tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(Arc::clone(&self).serve(stream));
                }
                Err(error) => {
                    log::warn!(target: "toucanwall", why = error.to_string(); "cannot accept a connection from another host");
                    tokio::time::sleep(time::Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: tokio::net::TcpStream) {
        let connection = frame::connection(stream, frame::End::Relay);
        let timeout = time::Duration::from_millis(SUBSCRIBER_TIMEOUT_MS);
        match tokio::time::timeout(timeout, receive_subscribe(connection)).await {
            Ok(Ok((connection, subscribe))) if subscribe.relay_run_id == self.run_id => {
                let result = self.serve_subscriber(connection, &subscribe).await;
                log::info!(
                    target: "toucanwall", listener = subscribe.host, listeners = self.subscriber_count(),
                    why = result.err().map(|error| error.to_string()); "subscriber disconnected"
                );
            }
            Ok(Ok((_, subscribe))) => log::info!(
                target: "toucanwall", listener = subscribe.host;
                "subscriber refused: it expects another run of this host"
            ),
            Ok(Err(error)) => log::info!(
                target: "toucanwall", why = error.to_string(); "subscriber refused"
            ),
            Err(_elapsed) => log::info!(target: "toucanwall", "subscriber refused: sent nothing"),
        }
    }

    async fn serve_subscriber(
        &self,
        mut connection: frame::Connection,
        subscribe: &frame::Subscribe,
    ) -> io::Result<()> {
        let host = name::HostName::from(subscribe.host.as_str());
        let kinds = &requested_kinds(subscribe);
        let mut tracker = self.tracker.subscribe();
        let Some((lists, mut messages, _guard)) = self.add_subscriber(kinds) else {
            // Closing the connection makes the subscriber try another host.
            return Ok(());
        };
        for list in lists {
            send(&mut connection, list).await?;
        }
        let mut heartbeats =
            tokio::time::interval(time::Duration::from_millis(relay::HEARTBEAT_INTERVAL_MS));
        heartbeats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let message = tokio::select! {
                message = messages.recv() => {
                    let message = message.map_err(io::Error::other)?;
                    if message.kind.is_some_and(|kind| !kinds.contains(&kind)) {
                        continue;
                    }
                    message.bytes
                }
                _ = heartbeats.tick() => match self.heartbeat() {
                    Some(heartbeat) => frame::encode(&heartbeat)?,
                    None => return Ok(()),
                },
                // This host no longer watches the store, or has started a new watch.
                _ = tracker.changed() => return Ok(()),
                reports = connection.next() => {
                    let Some(reports) = reports else { return Ok(()) };
                    self.merge_reports(&host, &reports?)?;
                    continue;
                }
            };
            send(&mut connection, message).await?;
        }
    }

    /// Merges the roll-out reports of a subscriber.
    fn merge_reports(&self, host: &name::HostName, body: &[u8]) -> io::Result<()> {
        let reports: Vec<rollouts::Report> = frame::decode(body)?;
        for report in &reports {
            self.rollouts.merge_from_subscriber(host, report);
        }
        Ok(())
    }

    /// Adds a subscriber: returns the lists of the kinds and a receiver of later messages, or
    /// `None` unless this host watches the store, has listed all kinds and can reach the store.
    fn add_subscriber(
        &self,
        kinds: &collections::BTreeSet<object::Kind>,
    ) -> Option<(Vec<bytes::Bytes>, MessageReceiver, SubscriberGuard<'_>)> {
        self.tracker.borrow().as_ref().filter(|tracker| tracker.is_reachable())?;
        let mut cache = self.lock();
        let lists: Option<Vec<_>> = kinds.iter().map(|kind| cache.message(*kind)).collect();
        // The subscriber is counted before the lock is released, so that it misses no later event.
        Some((lists?, self.messages.subscribe(), SubscriberGuard::new(self)))
    }

    fn heartbeat(&self) -> Option<frame::Frame> {
        let tracker = self.tracker.borrow();
        let tracker = tracker.as_ref()?;
        let store_age_ms = u64::try_from(tracker.answer_age().as_millis()).unwrap_or(u64::MAX);
        Some(frame::Frame::Heartbeat { store_age_ms, has_store: tracker.is_reachable() })
    }

    fn encode_and_send(&self, kind: Option<object::Kind>, frame: &frame::Frame) {
        if self.subscriber_count() == 0 {
            return;
        }
        match frame::encode(frame) {
            Ok(bytes) => self.send(Message { kind, bytes }),
            Err(error) => log::error!(
                target: "toucanwall", why = error.to_string(); "cannot encode store event for subscribers"
            ),
        }
    }

    fn send(&self, message: Message) {
        if self.messages.send(message).is_err() {
            log::trace!(target: "toucanwall", "no subscriber is connected");
        }
    }

    fn lock(&self) -> MutexGuard<'_, ObjectCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ObjectCache {
    fn apply(&mut self, change_set: &store_event::ChangeSet) {
        let Some(objects) = self.kinds.get_mut(&change_set.kind) else { return };
        for change in &change_set.changes {
            let name = Arc::clone(&change.object.metadata.name);
            if change.is_deleted {
                objects.by_name.remove(&name);
            } else {
                objects.by_name.insert(name, change.object.clone());
            }
        }
        objects.position = change_set.position;
        objects.message = None;
    }

    /// The list of a kind, encoded as a message.
    fn message(&mut self, kind: object::Kind) -> Option<bytes::Bytes> {
        let objects = self.kinds.get_mut(&kind)?;
        if objects.message.is_none() {
            let listing = store_event::Listing {
                kind,
                position: objects.position,
                objects: objects.by_name.values().cloned().collect(),
            };
            match frame::encode(&frame::Frame::Listing(listing)) {
                Ok(message) => objects.message = Some(message),
                Err(error) => log::error!(
                    target: "toucanwall", why = error.to_string(); "cannot encode object list for subscribers"
                ),
            }
        }
        objects.message.clone()
    }
}

impl<'a> SubscriberGuard<'a> {
    fn new(relay: &'a Relay) -> Self {
        relay.subscriber_count.send_modify(|count| *count += 1);
        Self(relay)
    }
}

impl Drop for SubscriberGuard<'_> {
    fn drop(&mut self) {
        self.0.subscriber_count.send_modify(|count| *count -= 1);
    }
}

/// The kinds of objects that a subscriber wants to receive.
fn requested_kinds(subscribe: &frame::Subscribe) -> collections::BTreeSet<object::Kind> {
    if subscribe.kinds.is_empty() {
        return COMMON_KINDS.into_iter().collect();
    }
    let is_requested =
        |kind: &object::Kind| subscribe.kinds.iter().any(|name| name == kind.as_str());
    object::Kind::ALL.into_iter().filter(is_requested).collect()
}

/// Receives the first message of a subscriber.
async fn receive_subscribe(
    mut connection: frame::Connection,
) -> io::Result<(frame::Connection, frame::Subscribe)> {
    connection.get_ref().set_nodelay(true)?;
    let first = connection.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let subscribe = frame::decode(&first)?;
    Ok((connection, subscribe))
}

async fn send(connection: &mut frame::Connection, message: bytes::Bytes) -> io::Result<()> {
    let timeout = time::Duration::from_millis(SUBSCRIBER_TIMEOUT_MS);
    tokio::time::timeout(timeout, connection.send(message)).await?
}
