//! The state machine of one entry host, without I/O.
//!
//! A [`Host`] handles typed [events](event::Event) with the current time and returns typed
//! [actions](action::Action) for a shell to carry out. It is deterministic: the same events,
//! times and seed give the same actions. Invariants are checked in release builds too: a
//! violation is counted and logged, and a configuration change or a second dispatch that
//! would cause one is rejected.

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
