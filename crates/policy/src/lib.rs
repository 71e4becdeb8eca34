//! Routing decisions, each in a small module of its own.
//!
//! Each module makes one kind of decision from the configuration and from what the host has
//! observed. Time is passed in as milliseconds and randomness as a seeded generator; the crate does
//! no I/O.

pub mod admission;
pub mod attribution;
pub mod balance;
pub mod canary;
pub mod cascade;
pub mod cold_starts;
pub mod competition;
pub mod connections;
pub mod crash_causes;
pub mod crash_history;
pub mod eligibility;
pub mod escalation;
pub mod even_choice;
pub mod forecast;
pub mod freshness;
pub mod host_monitor;
pub mod limit;
pub mod placement;
pub mod poison;
pub mod relay;
pub mod repetition;
pub mod retry;
pub mod retry_quota;
pub mod sequential_test;
pub mod server_limits;
pub mod server_notices;
pub mod server_run;
pub mod server_speed;
pub mod shutdown;
pub mod version_choice;
pub mod window;
