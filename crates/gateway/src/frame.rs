//! What hosts say to each other: JSON in frames with a length, large ones compressed.

use std::io;
use std::io::Read as _;
use std::io::Write as _;

use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec;

use crate::store_event;

/// Largest frame, in bytes; a list of all backend servers in two years takes a twentieth of it.
const FRAME_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Largest body after decompression, in bytes.
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;
/// Size from which a body is compressed, in bytes: below it, the time costs more than the bytes.
const COMPRESS_MIN_BYTES: usize = 4 * 1024;

/// First byte of a body that is sent as it is.
const PLAIN: u8 = 0;
/// First byte of a compressed body.
const DEFLATED: u8 = 1;

/// What a host says that wants to listen to another one.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct Subscribe {
    /// The host.
    pub host: String,
    /// The run of the process that it wants to hear; an address alone identifies nobody.
    pub relay_run_id: u64,
}

/// What a relay says.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Frame {
    /// All objects of a kind.
    Listing(store_event::Listing),
    /// Changes of a kind.
    Difference(store_event::ChangeSet),
    /// A sign of life.
    Beat {
        /// Time since the store last answered the relay, in milliseconds.
        store_age_ms: u64,
        /// Whether the relay takes the store to be there.
        has_store: bool,
    },
}

/// A connection between two hosts, cut into frames.
pub type Connection = codec::Framed<tokio::net::TcpStream, codec::LengthDelimitedCodec>;

/// Cuts a connection into frames.
#[must_use]
pub fn connection(stream: tokio::net::TcpStream) -> Connection {
    codec::LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream)
}

/// A message as the body of a frame.
///
/// # Errors
/// It cannot be written as JSON.
pub fn encode<T>(message: &T) -> io::Result<bytes::Bytes>
where
    T: Serialize,
{
    let json = serde_json::to_vec(message)?;
    if json.len() < COMPRESS_MIN_BYTES {
        return Ok([&[PLAIN], json.as_slice()].concat().into());
    }
    let mut encoder =
        flate2::write::DeflateEncoder::new(vec![DEFLATED], flate2::Compression::fast());
    encoder.write_all(&json)?;
    Ok(encoder.finish()?.into())
}

/// Reads the body of a frame.
///
/// # Errors
/// It is empty, not in a form that hosts write, or not the message.
pub fn decode<T>(body: &[u8]) -> io::Result<T>
where
    T: serde::de::DeserializeOwned,
{
    let (form, body) = body.split_first().ok_or(io::ErrorKind::UnexpectedEof)?;
    match *form {
        PLAIN => Ok(serde_json::from_slice(body)?),
        DEFLATED => {
            let mut json = Vec::new();
            let mut decoder = flate2::read::DeflateDecoder::new(body).take(BODY_MAX_BYTES);
            decoder.read_to_end(&mut json)?;
            Ok(serde_json::from_slice(&json)?)
        }
        _ => Err(io::Error::new(io::ErrorKind::InvalidData, "a frame of an unknown form")),
    }
}
