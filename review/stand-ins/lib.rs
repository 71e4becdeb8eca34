//! Stand-ins for the platform's store, backend servers and clients, with the standard library only.

pub mod case;
pub mod hosts;
pub mod http;
pub mod json;
pub mod record;
pub mod server;
pub mod store;
