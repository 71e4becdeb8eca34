//! Messages between hosts: JSON in length-delimited frames, compressed if large.

use std::io;
use std::io::Read as _;
use std::io::Write as _;

use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec;

use crate::store_event;

/// Largest frame, in bytes. A list of as many backend servers as are expected in two years takes a
/// fifth of it.
const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Largest frame of a subscriber, in bytes: a subscription or reports on roll-outs.
const MAX_SUBSCRIBER_FRAME_BYTES: usize = 64 * 1024;
/// Largest body after decompression, in bytes.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Size from which a body is compressed, in bytes. For smaller bodies compression costs more time
/// than it saves in transfer.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;

/// First byte of an uncompressed body.
const ENCODING_PLAIN: u8 = 0;
/// First byte of a body that is compressed with DEFLATE.
const ENCODING_DEFLATE: u8 = 1;

/// Request of a host to receive store events from a relay.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct Subscribe {
    /// Name of the requesting host.
    pub host: String,
    /// Run id of the relay process that the host expects, since an address may have been reassigned
    /// to another process.
    pub relay_run_id: u64,
    /// Kinds of objects that the host wants to receive, by their names in the store; if empty, the
    /// kinds that each build knows. Unknown ones are ignored.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// A message from a relay to a subscriber.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// All objects of a kind.
    Listing(store_event::Listing),
    /// Changes to objects of a kind.
    #[serde(rename = "difference")]
    ChangeSet(store_event::ChangeSet),
    /// A periodic message that shows that the relay is alive.
    #[serde(rename = "beat")]
    Heartbeat {
        /// Age of the latest request of the relay that the store answered, in milliseconds.
        store_age_ms: u64,
        /// Whether the store is reachable for the relay.
        has_store: bool,
    },
}

/// A connection between two hosts that carries length-delimited frames.
pub type Connection = codec::Framed<tokio::net::TcpStream, FrameCodec>;

/// Codec of length-delimited frames, with a limit for each direction.
#[derive(Debug)]
pub struct FrameCodec {
    received: codec::LengthDelimitedCodec,
    sent: codec::LengthDelimitedCodec,
}

/// The end of a connection that this host is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It receives store events and sends reports.
    Subscriber,
    /// It sends store events and receives reports.
    Relay,
}

/// Wraps a stream in the frame codec.
#[must_use]
pub fn connection(stream: tokio::net::TcpStream, end: End) -> Connection {
    let with_limit =
        |max_bytes| codec::LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec();
    let (events, reports) = (with_limit(MAX_FRAME_BYTES), with_limit(MAX_SUBSCRIBER_FRAME_BYTES));
    let codec = match end {
        End::Subscriber => FrameCodec { received: events, sent: reports },
        End::Relay => FrameCodec { received: reports, sent: events },
    };
    codec::Framed::new(stream, codec)
}

impl codec::Decoder for FrameCodec {
    type Item = bytes::BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut bytes::BytesMut) -> io::Result<Option<bytes::BytesMut>> {
        self.received.decode(src)
    }
}

impl codec::Encoder<bytes::Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, item: bytes::Bytes, dst: &mut bytes::BytesMut) -> io::Result<()> {
        self.sent.encode(item, dst)
    }
}

/// Encodes a message as the body of a frame.
///
/// # Errors
/// The message cannot be serialised as JSON or compressed.
pub fn encode<T>(message: &T) -> io::Result<bytes::Bytes>
where
    T: Serialize,
{
    let json = serde_json::to_vec(message)?;
    if json.len() < MIN_COMPRESSED_BYTES {
        return Ok([&[ENCODING_PLAIN], json.as_slice()].concat().into());
    }
    let mut encoder =
        flate2::write::DeflateEncoder::new(vec![ENCODING_DEFLATE], flate2::Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?.into())
}

/// Decodes the body of a frame.
///
/// # Errors
/// The body is empty, has an unknown encoding, or does not hold a message of the expected type.
pub fn decode<T>(body: &[u8]) -> io::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let (encoding, body) = body.split_first().ok_or(io::ErrorKind::UnexpectedEof)?;
    match *encoding {
        ENCODING_PLAIN => Ok(serde_json::from_slice(body)?),
        ENCODING_DEFLATE => {
            let mut json = Vec::new();
            let mut decoder = flate2::read::DeflateDecoder::new(body).take(MAX_BODY_BYTES);
            decoder.read_to_end(&mut json)?;
            Ok(serde_json::from_slice(&json)?)
        }
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "unknown frame encoding")),
    }
}
