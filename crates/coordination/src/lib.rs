//! Coordination parts as pure state machines: no clock, no socket, no task.
//!
//! Each part takes typed messages and the current monotonic time in milliseconds and
//! returns what is to be done next. The same inputs and seed give the same outputs.
//! Nothing here forms a consensus group: whatever must be agreed or kept goes through
//! conditional calls to an external object store, described by [`platform`].

pub mod config_replica;
pub mod freshness;
pub mod identity;
pub mod interval;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod parts;
pub mod platform;
pub mod rendezvous;
pub mod status_replica;
