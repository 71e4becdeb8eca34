//! What a host knows of its deployment, and how it learns it.
//!
//! In go configurations, backend servers, roll-outs and hosts as the platform's store shows them;
//! out come a [`View`] that requests are routed by and the rules of what may change in it. No I/O
//! and no clock: times are milliseconds of the caller's steady clock.

pub mod configuration;
pub mod generation;
pub mod host;
pub mod local_state;
pub mod name;
pub mod number;
pub mod rollout;
pub mod server;
pub mod settings;
pub mod view;

pub use configuration::Configuration;
pub use local_state::LocalState;
pub use view::View;
