//! Routes requests from callers to the backend servers of the users' platform.
//!
//! One control thread follows the platform's store and publishes a
//! [`View`](toucanwall_routing::View); the traffic thread routes requests by the latest one. All
//! decisions are made by the pure modules of `toucanwall-policy` and `toucanwall-routing`.

mod admission;
mod attempt;
mod caller_stream;
mod change_feed;
mod clock;
mod cold_starts;
mod control;
mod crashes;
mod datagrams;
mod dispatch_parameters;
mod endpoints;
mod exchange;
mod execution;
mod frame;
mod head_limit;
mod ingress;
mod leaving;
mod limits;
mod logging;
mod memory_budget;
mod metrics;
mod patience;
mod pauses;
mod peers;
mod pool;
mod reachability;
mod read_ahead;
mod regions;
mod relay;
mod relay_session;
mod request_body;
mod rollouts;
mod run;
mod server_loads;
mod sse;
mod state;
mod store_event;
mod store_probe;
mod store_writer;
mod stream;
mod subscription;
mod view_log;
mod watcher;

pub use run::RunError;
pub use run::run;
