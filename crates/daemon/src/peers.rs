//! Messages between hosts, over nng: one pull socket to hear, one push socket a peer to speak.

use std::collections;
use std::net;
use std::thread;

use nng::options::Options as _;
use toucanwall_coordination::identity;
use toucanwall_core::envelope;
use toucanwall_core::event;
use toucanwall_core::message;

use crate::control;

/// Largest message that is taken, in bytes.
const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Messages that wait for a peer at most.
const SEND_BUFFER: i32 = 128;
/// Most connections that are kept.
const CONNECTIONS_MAX: usize = 512;

/// Who this host is, for the envelopes.
#[derive(Debug, Clone, Copy)]
pub struct Me {
    /// Its identity.
    pub id: identity::HostId,
    /// Where it listens for peers.
    pub address: net::SocketAddr,
}

/// The connections to other hosts.
#[derive(Debug)]
pub struct Peers {
    me: Me,
    keys: envelope::Keys,
    sockets: collections::BTreeMap<net::SocketAddr, nng::Socket>,
    sent: Sent,
}

/// What was sent to other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sent {
    /// Messages.
    pub messages: u64,
    /// Bytes of messages.
    pub bytes: u64,
    /// Messages dropped, since a peer did not take them.
    pub dropped: u64,
}

impl Peers {
    /// Listens for peers; what they say goes to the control thread.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub fn listen(
        me: Me,
        keys: envelope::Keys,
        inputs: control::Inputs,
    ) -> Result<Self, nng::Error> {
        let socket = nng::Socket::new(nng::Protocol::Pull0)?;
        socket.set_opt::<nng::options::RecvMaxSize>(MESSAGE_MAX_BYTES)?;
        socket.listen(&url(me.address))?;
        let verifier = keys.clone();
        thread::spawn(move || hear(&socket, &verifier, &inputs));
        let sockets = collections::BTreeMap::new();
        Ok(Self { me, keys, sockets, sent: Sent::default() })
    }

    /// Sends a message without waiting; a peer that does not take it misses it.
    pub fn send(&mut self, to: net::SocketAddr, message: message::Message) {
        let opened = envelope::Envelope { sender: self.me.id, from: self.me.address, message };
        let bytes = envelope::sign(&self.keys, &opened);
        self.sent.messages += 1;
        self.sent.bytes += u64::try_from(bytes.len()).unwrap_or(0);
        let is_sent = match self.socket(to) {
            Ok(socket) => socket.try_send(nng::Message::from(bytes.as_slice())).is_ok(),
            Err(error) => {
                log::warn!(target: "toucanwall", "cannot connect to {to}: {error}");
                false
            }
        };
        self.sent.dropped += u64::from(!is_sent);
    }

    /// Drops the connection to a peer, which may have gone silent; the next send opens a new one.
    pub fn reconnect(&mut self, address: net::SocketAddr) {
        self.sockets.remove(&address);
    }

    /// What was sent so far.
    #[must_use]
    pub fn sent(&self) -> Sent {
        self.sent
    }

    fn socket(&mut self, to: net::SocketAddr) -> Result<&nng::Socket, nng::Error> {
        if !self.sockets.contains_key(&to) {
            if self.sockets.len() >= CONNECTIONS_MAX {
                self.sockets.pop_first();
            }
            let socket = nng::Socket::new(nng::Protocol::Push0)?;
            socket.set_opt::<nng::options::SendBufferSize>(SEND_BUFFER)?;
            socket.dial_async(&url(to))?;
            self.sockets.insert(to, socket);
        }
        Ok(&self.sockets[&to])
    }
}

fn hear(socket: &nng::Socket, keys: &envelope::Keys, inputs: &control::Inputs) {
    loop {
        let bytes = match socket.recv() {
            Ok(bytes) => bytes,
            Err(nng::Error::Closed) => return,
            Err(error) => {
                log::warn!(target: "toucanwall", "cannot hear peers: {error}");
                continue;
            }
        };
        match envelope::verify(keys, &bytes) {
            Ok(opened) => inputs.event(event::Event::Peer {
                from: opened.from,
                sender: opened.sender,
                message: opened.message,
            }),
            Err(error) => log::warn!(target: "toucanwall", "message of a peer refused: {error}"),
        }
    }
}

fn url(address: net::SocketAddr) -> String {
    format!("tcp://{address}")
}
