//! The decisions of one entry host, without I/O.
//!
//! A [`Host`] takes typed [events](event::Event) with the current time and returns typed
//! [actions](action::Action); a shell carries them out. The same events, times and seed
//! give the same actions. Invariants are checked in release builds as well: a breach is
//! counted, and the step that would break it is refused.

pub mod action;
pub mod catalogue;
pub mod counter;
pub mod envelope;
pub mod event;
pub mod host;
pub mod message;
pub mod refusal;
pub mod request;
pub mod session;
pub mod view;

pub use host::Host;
