//! Stand-ins for the external systems that a host depends on, for tests and the quickstart only.
//!
//! They keep all state in memory and can inject the faults that the tests need.

pub mod engine;
pub mod fixture;
pub mod rating;
pub mod server;
pub mod service;
