//! Durable ledger of idempotency claims and bills, stored as sharded append-only logs of objects.
//!
//! A request that must not be repeated runs only after its [`entry::Entry::Claim`] is
//! durable; each request has exactly one [`entry::Bill`]. Batch `n` of a shard is an object
//! that is created only if absent, which fences off stale owners: an owner that was paused
//! loses the create, reads the batch of the winner, and stops or continues from there.

pub mod backup;
pub mod entry;
pub mod message;
pub mod outbox;
pub mod owner;
pub mod queue;
pub mod state;
