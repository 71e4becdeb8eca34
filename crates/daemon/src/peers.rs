//! Messages between hosts over nng: one pull socket to receive, one push socket per peer to send.

use std::collections;
use std::net;
use std::thread;

use nng::options::Options as _;
use toucanwall_coordination::identity;
use toucanwall_core::envelope;
use toucanwall_core::event;
use toucanwall_core::message;

use crate::control;

/// Maximum size of a received message, in bytes.
const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of messages buffered for a peer.
const SEND_BUFFER_MESSAGES: i32 = 128;
/// Maximum number of open connections; at the limit, a new one replaces the one with
/// the lowest address.
const CONNECTIONS_MAX: usize = 512;

/// Id and address that this host's messages to peers name as their sender.
#[derive(Debug, Clone, Copy)]
pub struct LocalPeer {
    /// Id of this host.
    pub id: identity::HostId,
    /// Address on which it listens for peers.
    pub address: net::SocketAddr,
}

/// Connections to other hosts.
#[derive(Debug)]
pub struct Peers {
    local_peer: LocalPeer,
    keys: envelope::Keys,
    sockets: collections::BTreeMap<net::SocketAddr, nng::Socket>,
    sent: SentCounters,
}

/// Counters of what was sent to other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct SentCounters {
    /// Messages that were sent or dropped.
    pub messages: u64,
    /// Total size of these messages, in bytes.
    pub bytes: u64,
    /// Messages dropped because there was no connection or the send buffer was full.
    pub dropped: u64,
}

impl Peers {
    /// Listens for peers and passes their messages to the control thread.
    ///
    /// # Errors
    /// [`nng::Error`] if the address cannot be bound, for example because it is in use.
    pub fn listen(
        local_peer: LocalPeer,
        keys: envelope::Keys,
        input_sender: control::InputSender,
    ) -> Result<Self, nng::Error> {
        let socket = nng::Socket::new(nng::Protocol::Pull0)?;
        socket.set_opt::<nng::options::RecvMaxSize>(MESSAGE_MAX_BYTES)?;
        socket.listen(&peer_url(local_peer.address))?;
        let verification_keys = keys.clone();
        thread::spawn(move || receive_messages(&socket, &verification_keys, &input_sender));
        let sockets = collections::BTreeMap::new();
        Ok(Self { local_peer, keys, sockets, sent: SentCounters::default() })
    }

    /// Sends a message without blocking; drops it if it cannot be sent or buffered.
    pub fn send(&mut self, to: net::SocketAddr, message: message::Message) {
        let envelope = envelope::Envelope {
            sender: self.local_peer.id,
            from: self.local_peer.address,
            message,
        };
        let bytes = envelope::sign(&self.keys, &envelope);
        self.sent.messages += 1;
        self.sent.bytes += u64::try_from(bytes.len()).unwrap_or(0);
        let is_sent = match self.socket(to) {
            Ok(socket) => socket.try_send(nng::Message::from(bytes.as_slice())).is_ok(),
            Err(error) => {
                log::warn!(target: "toucanwall", "cannot connect to peer {to}: {error}");
                false
            }
        };
        self.sent.dropped += u64::from(!is_sent);
    }

    /// Closes the connection to a peer, which may be dead; the next message opens a new one.
    pub fn reconnect(&mut self, address: net::SocketAddr) {
        self.sockets.remove(&address);
    }

    /// Returns the counters of what was sent so far.
    #[must_use]
    pub fn sent(&self) -> SentCounters {
        self.sent
    }

    fn socket(&mut self, to: net::SocketAddr) -> Result<&nng::Socket, nng::Error> {
        if !self.sockets.contains_key(&to) {
            if self.sockets.len() >= CONNECTIONS_MAX {
                self.sockets.pop_first();
            }
            let socket = nng::Socket::new(nng::Protocol::Push0)?;
            socket.set_opt::<nng::options::SendBufferSize>(SEND_BUFFER_MESSAGES)?;
            socket.dial_async(&peer_url(to))?;
            self.sockets.insert(to, socket);
        }
        Ok(&self.sockets[&to])
    }
}

fn receive_messages(
    socket: &nng::Socket,
    keys: &envelope::Keys,
    input_sender: &control::InputSender,
) {
    loop {
        let bytes = match socket.recv() {
            Ok(bytes) => bytes,
            Err(nng::Error::Closed) => return,
            Err(error) => {
                log::warn!(target: "toucanwall", "cannot receive messages from peers: {error}");
                continue;
            }
        };
        match envelope::verify(keys, &bytes) {
            Ok(envelope) => input_sender.send_event(event::Event::Peer {
                from: envelope.from,
                sender: envelope.sender,
                message: envelope.message,
            }),
            Err(error) => log::warn!(target: "toucanwall", "peer message rejected: {error}"),
        }
    }
}

fn peer_url(address: net::SocketAddr) -> String {
    format!("tcp://{address}")
}
