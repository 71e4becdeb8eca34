//! Carries requests from callers to backend servers of the users' platform.
//!
//! One control thread follows the platform's store and publishes a
//! [`View`](toucanwall_routing::View); the traffic thread routes requests by the newest one. All
//! decisions are made by the pure modules of `toucanwall-policy` and `toucanwall-routing`.

mod attempt;
mod clock;
mod control;
mod directory;
mod dispatch_parameters;
mod exchange;
mod execution;
mod feed;
mod follower;
mod frame;
mod ingress;
mod listening;
mod logging;
mod metrics;
mod news;
mod pool;
mod pulse;
mod reach;
mod registrar;
mod relay;
mod rollouts;
mod run;
mod sse;
mod state;
mod stream;
mod subscription;

pub use run::RunError;
pub use run::run;
