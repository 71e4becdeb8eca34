//! Coordination between hosts as sans-I/O state machines: no clock, no sockets, no tasks.
//!
//! Each state machine takes typed messages and the current monotonic time in milliseconds
//! and returns the effects that its caller must carry out. It is deterministic: the same
//! inputs and the same random seed produce the same outputs. The hosts run no consensus
//! protocol. Agreement and durability come from conditional writes to an external object
//! store, whose interface is described by [`platform`].

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
