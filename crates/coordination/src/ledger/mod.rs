//! One ledger for claims and bills, kept in shards of an append-only log of objects.
//!
//! A request that may not be repeated runs only after its [`entry::Entry::Claim`] is
//! durable; each request has exactly one [`entry::Bill`]. Entry `n` of a shard is an
//! object that is created only if absent, which is the fence: an owner that was paused
//! loses the create, reads what the winner wrote and stops or goes on from there.

pub mod backup;
pub mod entry;
pub mod message;
pub mod outbox;
pub mod owner;
pub mod queue;
pub mod state;
