//! The configuration that operators put in force: routes, services, organisations and limits.

use std::collections;
use std::fmt;
use std::sync::Arc;

use crate::name;

/// Routes by host name and path prefix.
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

/// A configuration as it was read, before its parts are related to each other.
#[derive(Debug)]
pub struct RawConfiguration {
    /// Version; higher ones are newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Organisations with their keys; none means that requests need no key.
    pub organisations: Vec<(Organisation, Vec<ApiKey>)>,
    /// What callers may send.
    pub limits: Limits,
}

/// Why a draft is not a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ConfigurationError {
    /// A key belongs to two organisations, so requests cannot be told apart.
    #[error("organisations `{first}` and `{second}` share a key")]
    DuplicateKey {
        /// One of them.
        first: name::OrganisationName,
        /// The other one.
        second: name::OrganisationName,
    },
    /// Two routes have the same host name and path prefix.
    #[error("routes `{first}` and `{second}` match the same requests")]
    DuplicateRoute {
        /// One of them.
        first: name::RouteName,
        /// The other one.
        second: name::RouteName,
    },
}

/// A key of an organisation; shows nothing of itself.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(Arc<str>);

/// Which requests go where.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: name::RouteName,
    /// Host name of the requests, in lower case.
    pub host: Arc<str>,
    /// How their paths begin; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Services with the weight of each.
    pub destinations: Vec<(name::ServiceName, u32)>,
    /// Longest time until the last byte of an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time until the first byte within which an answer has its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between two events of a stream that is still on time, in milliseconds.
    pub target_inter_event_ms: Option<u64>,
    /// Most servers to which one request is sent.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Models that may answer, smallest first; empty where the caller names the model.
    pub models: Vec<name::ModelName>,
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// All of it.
    Idempotent,
    /// Nothing: it runs once at most.
    None,
    /// A stream that another server can continue after any event.
    Resumable,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: name::ServiceName,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one of its servers takes, from all hosts together.
    pub max_connections: u32,
    /// What its model engines can hold, if they are engines.
    pub engine: Option<Engine>,
}

/// What each model engine of a service can hold.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Requests that run at a time.
    pub slots: u32,
    /// Tokens that fit into its memory.
    pub kv_cache_tokens: u64,
    /// Price of a thousand generated tokens, by model.
    pub price_per_kilotoken: collections::BTreeMap<name::ModelName, f64>,
}

/// A customer.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Name.
    pub name: name::OrganisationName,
    /// Rank of its requests, where it has one; goes before the route's.
    pub priority: Option<u32>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_max_bytes: usize,
    /// Largest body, in bytes.
    pub body_max_bytes: usize,
    /// Longest time for a head to come in, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Configuration {
    /// Its version; higher ones are newer.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix that begins a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let prefix_ends =
            path.bytes().enumerate().filter(|(_, byte)| *byte == b'/').map(|(index, _)| index + 1);
        // Prefixes end with a slash, so only the path up to one of its slashes can be one.
        prefix_ends.rev().find_map(|end| routes.get(&path[..end]))
    }

    /// A service.
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

    /// The organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.organisations.get(key)
    }

    /// Whether requests need a key, unless their route is public.
    #[must_use]
    pub fn requires_api_key(&self) -> bool {
        self.has_organisations
    }

    /// What callers may send.
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
    /// A key as a caller sends it.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Idempotency {
    /// Whether another server may take over after a failure of unknown outcome.
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
