//! The state of the deployment as one host knows it, and the rules by which it changes.
//!
//! [`LocalState`] takes configurations, backend servers, roll-outs and hosts as the platform's
//! store delivers them, and produces a [`View`] that requests are routed by. The crate does no I/O
//! and reads no clock: times are milliseconds of the caller's monotonic clock.

pub mod configuration;
pub mod evacuations;
pub mod first_lists;
pub mod generation;
pub mod host;
pub mod local_state;
pub mod name;
pub mod number;
pub mod position;
pub mod regions;
pub mod rollout;
pub mod rollout_log;
pub mod server;
pub mod settings;
pub mod view;

pub use configuration::Configuration;
pub use local_state::LocalState;
pub use view::View;
