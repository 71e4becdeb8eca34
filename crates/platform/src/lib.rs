//! Client of the platform's object API, over HTTP.
//!
//! In goes a [`platform::Call`], out comes a [`platform::Reply`]. Whatever leaves the fate
//! of a write open, such as a timeout or a lost connection, is [`platform::Reply::Unknown`].

mod client;
pub mod configuration;
mod wire;

pub use client::Client;
