//! The operator's routes and services, and which of them a request takes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::workspace::Workspaces;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Any request may run more than once.
    Idempotent,
    /// Each attempt runs once at most.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether it may go on at another server after its last event.
        resumable: bool,
    },
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighted {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its part, relative to the other ones.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it belongs to.
    pub host: String,
    /// Start of its paths, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target: Duration,
    /// Rank, 0 the highest.
    pub priority: u8,
    /// Services that run it.
    pub targets: Vec<Weighted>,
    /// Most servers that run one attempt.
    pub attempts: u32,
    /// How long turns are kept, if they are.
    pub retention: Option<Duration>,
    /// Whether a server that handled the same object is faster.
    pub sticky: bool,
    /// Longest pause between events of an answer in time.
    pub gap: Option<Duration>,
    /// Whether it takes requests without a key.
    pub open: bool,
}

impl Route {
    /// Returns whether its requests are turns that name the one that they
    /// continue from, so that a program's first turn can be told.
    pub fn is_linked(&self) -> bool {
        matches!(self.kind, Kind::Stream { .. }) && self.retention.is_some()
    }

    /// Chooses a service by `draw`, a number from 0 up to 1.
    pub fn service(&self, draw: f64) -> Option<&Arc<str>> {
        let whole: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * whole;
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
    /// Connections that each of its servers takes from all callers together.
    pub connections: Option<u32>,
    /// Tokens that one event of a stream holds.
    pub event_tokens: Option<u64>,
    /// Tokens that an engine's memory holds.
    pub cache_tokens: Option<u64>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Longest time for the head.
    pub head_wait: Duration,
    /// Longest time that a connection may be idle.
    pub idle_wait: Duration,
}

impl Default for Limits {
    /// The values that hold until the operator's document is known.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_wait: Duration::from_secs(3),
            idle_wait: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's document.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The version; later ones are larger.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    /// The workspaces, if the document names any; callers need a key then.
    pub workspaces: Option<Workspaces>,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
}

impl Routing {
    /// Makes a version from its routes and services.
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

    /// Returns the version with the workspaces that it names.
    #[must_use]
    pub fn with_workspaces(mut self, workspaces: Option<Workspaces>) -> Self {
        self.workspaces = workspaces;
        self
    }

    /// Finds the route of `host` with the longest prefix of `path`. The time
    /// that it takes depends on the path's length, not on the number of
    /// routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        let slashes = path.rmatch_indices('/');
        slashes
            .map(|(at, _)| &path[..=at])
            .find_map(|prefix| prefixes.get(prefix))
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
