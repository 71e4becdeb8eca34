//! Small stand-ins of the outside systems, for tests and the quickstart only.
//!
//! They keep everything in memory and have switches for the faults that the tests need.

pub mod engine;
pub mod fixture;
pub mod rating;
pub mod server;
pub mod service;
