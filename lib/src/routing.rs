//! The operator's routes and services, and the route and service of a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::workspace::Workspaces;

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Each attempt runs at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether it may be resumed at another server after its last event.
        resumable: bool,
    },
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighted {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share, relative to the weights of the other services.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host name that it matches.
    pub host: String,
    /// Path prefix that it matches, with a slash at both ends.
    pub prefix: String,
    /// How its requests may be repeated.
    pub kind: Kind,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Duration,
    /// Target latency, within which an answer has its full value.
    pub latency_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that handle its requests.
    pub targets: Vec<Weighted>,
    /// Maximum number of servers that one attempt is sent to.
    pub max_attempts: u32,
    /// How long turns are stored; `None` if they are not.
    pub retention: Option<Duration>,
    /// Whether to prefer a server that has handled the same object.
    pub sticky: bool,
    /// Target for the pause between events of an answer, the longest that is
    /// still in time.
    pub gap_target: Option<Duration>,
    /// Whether it accepts requests without a key.
    pub anonymous: bool,
}

impl Route {
    /// Returns whether its requests are turns that name the turn they continue,
    /// so that the first turn of a program can be recognised.
    pub fn is_linked(&self) -> bool {
        matches!(self.kind, Kind::Stream { .. }) && self.retention.is_some()
    }

    /// Returns whether a service is among those that its requests go to.
    pub fn leads_to(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| &*target.service == service && target.weight > 0.0)
    }

    /// Chooses a service by `draw`, a random number from 0 up to 1.
    pub fn service(&self, draw: f64) -> Option<&Arc<str>> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * total;
        for target in &self.targets {
            rest -= target.weight;
            if rest < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Maximum number of connections of all callers together to each of its
    /// servers.
    pub connections: Option<u32>,
    /// Tokens per event of a stream.
    pub event_tokens: Option<u64>,
    /// Capacity of an engine's cache, in tokens.
    pub cache_tokens: Option<u64>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive the head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The values in force until the operator's document is known.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's document.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The version, which increases with each change.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// The workspaces, if the document names any; callers then need a key.
    pub workspaces: Option<Workspaces>,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
}

impl Routing {
    /// Makes a version with the given routes and services, without workspaces.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            limits,
            workspaces: None,
            hosts,
            services,
        }
    }

    /// Sets the workspaces.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Option<Workspaces>) -> Self {
        self.workspaces = workspaces;
        self
    }

    /// Finds the route of `host` with the longest prefix of `path`. The lookup
    /// time depends on the length of the path, not on the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the longest time for which a route wants its turns stored.
    pub fn longest_retention(&self) -> Option<Duration> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.filter_map(|route| route.retention).max()
    }

    /// Returns the longest timeout of a route.
    pub fn longest_timeout(&self) -> Option<Duration> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(|route| route.timeout).max()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
