//! Runs stand-ins for the platform's store, the rating service, engines and plain services until
//! interrupted.

use std::collections;
use std::net;
use std::str::FromStr;

use clap::Parser;
use toucanwall_platform_standin::store;
use toucanwall_standin::engine;
use toucanwall_standin::fixture;
use toucanwall_standin::rating;
use toucanwall_standin::service;

/// Stand-ins of the outside systems, for the quickstart.
#[derive(Debug)]
#[derive(Parser)]
struct Arguments {
    /// Address of the platform's store.
    #[arg(long)]
    platform: net::SocketAddr,
    /// Address of the rating service.
    #[arg(long)]
    rating: net::SocketAddr,
    /// An engine, as `address,pool,model@version+model@version`.
    #[arg(long = "engine")]
    engines: Vec<ServerSpec>,
    /// A plain service, as `address,pool`.
    #[arg(long = "service")]
    services: Vec<ServerSpec>,
    /// Time to the first token, in milliseconds.
    #[arg(long, default_value_t = 20)]
    first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    #[arg(long, default_value_t = 5)]
    between_tokens_ms: u64,
}

/// Address, pool and loaded model versions of a backend server.
#[derive(Debug, Clone)]
struct ServerSpec {
    address: net::SocketAddr,
    pool: String,
    loaded: collections::BTreeSet<String>,
}

impl FromStr for ServerSpec {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(',');
        let address = fields.next().unwrap_or_default();
        let address =
            address.parse().map_err(|_ignored| format!("`{address}` is not an address"))?;
        let pool = fields.next().ok_or("the pool is missing")?.to_owned();
        let loaded = fields.next().unwrap_or_default();
        let loaded = loaded.split('+').filter(|item| !item.is_empty()).map(str::to_owned).collect();
        Ok(Self { address, pool, loaded })
    }
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let platform_store = store::Store::start_at(arguments.platform).await?;
    let mut servers = vec![rating::serve(arguments.rating).await?];
    for spec in &arguments.engines {
        let engine = engine::Engine::new(engine::Behaviour {
            loaded_versions: spec.loaded.clone(),
            first_token_ms: arguments.first_token_ms,
            token_interval_ms: arguments.between_tokens_ms,
            stall_after: None,
            reset_after: None,
        });
        servers.push(engine.serve(spec.address).await?);
        fixture::register_server(&platform_store, &spec.pool, spec.address, &spec.loaded, false);
    }
    for spec in &arguments.services {
        servers.push(service::Service::new().serve(spec.address).await?);
        fixture::register_server(&platform_store, &spec.pool, spec.address, &spec.loaded, false);
    }
    println!("stand-ins are up: {} servers", servers.len() + 1);
    tokio::signal::ctrl_c().await
}
