//! The configuration that operators apply: routes, services, organisations and limits.

use std::collections;
use std::fmt;
use std::sync::Arc;

use crate::name;
use crate::regions;

/// Routes indexed by host name, then by path prefix.
type Routes = collections::BTreeMap<Arc<str>, collections::BTreeMap<Arc<str>, Arc<Route>>>;

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    version: u64,
    routes: Routes,
    services: collections::BTreeMap<name::ServiceName, Arc<Service>>,
    organisations: collections::BTreeMap<ApiKey, Arc<Organisation>>,
    has_organisations: bool,
    limits: Limits,
}

/// A decoded configuration that has not been checked for conflicts yet.
#[derive(Debug)]
pub struct RawConfiguration {
    /// Version; higher ones are newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Organisations with their API keys; if empty, requests need no key.
    pub organisations: Vec<(Organisation, Vec<ApiKey>)>,
    /// Size and time limits for requests.
    pub limits: Limits,
}

/// Why a [`RawConfiguration`] was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigurationError {
    /// Two organisations share a key, so their requests cannot be told apart.
    #[error("organisations `{first}` and `{second}` share a key")]
    DuplicateKey {
        /// The first organisation.
        first: name::OrganisationName,
        /// The second organisation.
        second: name::OrganisationName,
    },
    /// Two routes have the same host name and path prefix.
    #[error("routes `{first}` and `{second}` match the same requests")]
    DuplicateRoute {
        /// The first route.
        first: name::RouteName,
        /// The second route.
        second: name::RouteName,
    },
}

/// An organisation's API key; its [`Debug`](fmt::Debug) output hides the value.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(Arc<str>);

/// A route: which requests it matches and which services handle them.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: name::RouteName,
    /// Host name that requests must carry, in lower case.
    pub host: Arc<str>,
    /// Prefix that request paths must have; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether failed requests may be retried.
    pub idempotency: Idempotency,
    /// Services that handle the requests, each with its traffic weight.
    pub destinations: Vec<(name::ServiceName, u32)>,
    /// Timeout for the whole response, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the first byte of the response, in milliseconds.
    pub target_latency_ms: u64,
    /// Target time between two events of a streamed response, in milliseconds.
    pub target_inter_event_ms: Option<u64>,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Models that may answer, smallest first; empty if the caller names the model.
    pub models: Vec<name::ModelName>,
    /// Regions that the requests are confined to.
    pub allowed_regions: regions::AllowedRegions,
}

/// Whether a request may be sent to another server after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The whole request may be retried.
    Idempotent,
    /// The request must run at most once.
    None,
    /// The response is a stream that another server can resume after any event.
    Resumable,
}

/// A service that requests are routed to.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: name::ServiceName,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one of its servers, from all hosts together.
    pub max_connections: u32,
    /// Capacity of the model engines, if the service's servers are engines.
    pub engine: Option<Engine>,
    /// Limit of servers that have just started, if they have one.
    pub cold_start: Option<ColdStart>,
}

/// Limit of servers that have just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a server is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// Requests a second that a cold server takes from all hosts together.
    pub per_s: f64,
}

/// Capacity and prices of each model engine of a service.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Price of a thousand generated tokens, by model.
    pub price_per_kilotoken: collections::BTreeMap<name::ModelName, f64>,
}

/// An organisation that sends requests.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Name.
    pub name: name::OrganisationName,
    /// Priority of its requests, if it has one; takes precedence over the route's priority.
    pub priority: Option<u32>,
    /// Regions that its requests are confined to, in addition to the route's restriction.
    pub allowed_regions: regions::AllowedRegions,
}

/// Size and time limits for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header section, in bytes.
    pub header_max_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving the header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for idle connections, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Configuration {
    /// Version of the configuration; higher ones are newer.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route for a request: the one with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let prefix_ends =
            path.bytes().enumerate().filter(|(_, byte)| *byte == b'/').map(|(index, _)| index + 1);
        // Every prefix ends with a slash, so only paths cut after a slash need a lookup.
        prefix_ends.rev().find_map(|end| routes.get(&path[..end]))
    }

    /// The regions that any route of a host name allows; unrestricted if no route names regions.
    #[must_use]
    pub fn allowed_regions_of(&self, host: &str) -> regions::AllowedRegions {
        let routes = self.routes.get(host).into_iter().flat_map(collections::BTreeMap::values);
        routes.fold(regions::AllowedRegions::default(), |joined, route| {
            joined.joined(&route.allowed_regions)
        })
    }

    /// Looks up a service by name.
    #[must_use]
    pub fn service(&self, name: &name::ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(collections::BTreeMap::values)
    }

    /// The organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.organisations.get(key)
    }

    /// Whether requests need an API key, unless their route is public.
    #[must_use]
    pub fn requires_api_key(&self) -> bool {
        self.has_organisations
    }

    /// Size and time limits for requests.
    #[must_use]
    pub fn limits(&self) -> Limits {
        self.limits
    }
}

impl TryFrom<RawConfiguration> for Configuration {
    type Error = ConfigurationError;

    fn try_from(raw: RawConfiguration) -> Result<Self, Self::Error> {
        let services = raw.services.into_iter().map(|service| {
            let name = service.name.clone();
            (name, Arc::new(service))
        });
        Ok(Self {
            version: raw.version,
            routes: index_routes(raw.routes)?,
            services: services.collect(),
            has_organisations: !raw.organisations.is_empty(),
            organisations: index_keys(raw.organisations)?,
            limits: raw.limits,
        })
    }
}

impl ApiKey {
    /// Wraps a key as the caller sends it.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

impl Idempotency {
    /// Whether a request whose outcome is unknown may be sent to another server.
    #[must_use]
    pub fn allows_retry(self) -> bool {
        self != Self::None
    }
}

fn index_routes(routes: Vec<Route>) -> Result<Routes, ConfigurationError> {
    let mut index = collections::BTreeMap::<_, collections::BTreeMap<_, Arc<Route>>>::new();
    for route in routes {
        let host_routes = index.entry(Arc::clone(&route.host)).or_default();
        let route = Arc::new(route);
        if let Some(previous) =
            host_routes.insert(Arc::clone(&route.path_prefix), Arc::clone(&route))
        {
            let (first, second) = (previous.name.clone(), route.name.clone());
            return Err(ConfigurationError::DuplicateRoute { first, second });
        }
    }
    Ok(index)
}

fn index_keys(
    organisations: Vec<(Organisation, Vec<ApiKey>)>,
) -> Result<collections::BTreeMap<ApiKey, Arc<Organisation>>, ConfigurationError> {
    let mut index = collections::BTreeMap::<_, Arc<Organisation>>::new();
    for (organisation, keys) in organisations {
        let organisation = Arc::new(organisation);
        for key in keys {
            let previous = index.insert(key, Arc::clone(&organisation));
            if let Some(previous) = previous.filter(|previous| previous.name != organisation.name) {
                let (first, second) = (previous.name.clone(), organisation.name.clone());
                return Err(ConfigurationError::DuplicateKey { first, second });
            }
        }
    }
    Ok(index)
}
