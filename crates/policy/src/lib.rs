//! Routing decisions as small pure modules.
//!
//! Each takes the checked document and what the host has seen, and returns one decision.
//! Time comes in as milliseconds, chance as a seeded generator; nothing here does I/O.

pub mod admission;
pub mod balance;
pub mod canary;
pub mod cascade;
pub mod connections;
pub mod eligibility;
pub mod escalation;
pub mod forecast;
pub mod limit;
pub mod placement;
pub mod poison;
pub mod relay;
pub mod retry;
pub mod retry_quota;
pub mod sequential_test;
pub mod version_choice;
pub mod window;
