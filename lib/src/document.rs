//! Operators' configuration documents and their validation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::budget::Amount;
use crate::id::Deployment;
use crate::id::Digest;
use crate::id::Model;
use crate::id::NodeId;
use crate::id::Operator;
use crate::id::Service;
use crate::id::Version;
use crate::server::MAX_SLOTS;

/// Length of a key's SHA-256 digest in hexadecimal digits.
const KEY_DIGITS: usize = 64;
/// Highest timeout of a call at a backend server that a document may set.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Capacity of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRules {
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Size of its prompt prefix cache, in tokens; zero for a server that is not
    /// an engine.
    #[serde(default)]
    pub cache: u64,
}

/// A model of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRules {
    /// Backend servers that serve it.
    pub servers: Vec<NodeId>,
    /// Maximum tokens of an answer.
    pub tokens: u64,
    /// Maximum running time of a call, in milliseconds.
    #[serde(rename = "timeout_ms")]
    pub timeout: u64,
}

/// A route of a service with its own setting for idempotency.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method; every method if absent.
    #[serde(default)]
    pub method: Option<String>,
    /// Prefix of the path below the service.
    pub prefix: String,
    /// Whether it is safe to run a call of this route more than once.
    pub idempotent: bool,
}

/// A tool service or a plain service of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// Backend servers that serve it.
    pub servers: Vec<NodeId>,
    /// Whether it is safe to run a call more than once, unless a route
    /// overrides it.
    #[serde(default)]
    pub idempotent: bool,
    /// Maximum running time of a call, in milliseconds.
    #[serde(rename = "timeout_ms")]
    pub timeout: u64,
    /// Routes that override `idempotent`; the first match applies.
    #[serde(default)]
    pub routes: Vec<Route>,
}

impl ServiceRules {
    /// Returns whether a call with `method` to `path` may run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches = |route: &&Route| {
            let same_method = route.method.as_deref().is_none_or(|name| name == method);
            same_method && path.starts_with(&route.prefix)
        };
        match self.routes.iter().find(matches) {
            Some(route) => route.idempotent,
            None => self.idempotent,
        }
    }
}

/// Limits on the concurrent calls of a deployment, across all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of running calls.
    pub running: u64,
    /// Maximum number of waiting calls.
    pub waiting: u64,
}

/// Limits on a program's total use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramLimits {
    /// Tokens, prompts and answers together.
    pub tokens: u64,
    /// Calls.
    pub calls: u64,
    /// Seconds without a call after which the program counts as abandoned.
    #[serde(rename = "idle_s")]
    pub idle: u64,
}

impl ProgramLimits {
    /// Returns the limits on tokens and calls as an amount.
    pub fn amount(&self) -> Amount {
        Amount {
            tokens: self.tokens,
            calls: self.calls,
        }
    }
}

/// Relative weights of a deployment's objectives; only their ratio matters.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of the programs' latency.
    pub latency: f64,
    /// Weight of wasted cache.
    pub waste: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            latency: 1.0,
            waste: 1.0,
        }
    }
}

/// A named set of models, services and limits for agent programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentRules {
    /// SHA-256 of the callers' API key, in hexadecimal digits.
    pub key: String,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<Model, ModelRules>,
    /// Tool services and plain services by name.
    #[serde(default)]
    pub services: BTreeMap<Service, ServiceRules>,
    /// Limits on all its calls together.
    pub limits: Limits,
    /// Limits on each program.
    pub program: ProgramLimits,
    /// Weights of latency and wasted cache.
    #[serde(default)]
    pub weights: Weights,
}

/// The configuration of one operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Backend servers by the name of their side process.
    pub servers: BTreeMap<NodeId, ServerRules>,
    /// Deployments by name.
    pub deployments: BTreeMap<Deployment, DeploymentRules>,
}

/// A validation error of a document or of a process's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, with names separated by dots.
    pub path: String,
    /// What is wrong, and how to correct it.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault of the field at `path`.
    pub fn new(path: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.remedy)
    }
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all faults; a document that cannot be parsed yields a single one.
    pub fn parse(value: &serde_json::Value) -> Result<Self, Vec<Fault>> {
        let mut document: Self = Self::deserialize(value).map_err(|error| {
            vec![Fault::new(
                "document",
                format!("{error}; see docs/operators.md for the fields"),
            )]
        })?;
        document.sort_servers();
        let faults = document.faults();
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(faults)
        }
    }

    /// Sorts all server lists and removes duplicates, so that they can be
    /// searched quickly.
    fn sort_servers(&mut self) {
        for rules in self.deployments.values_mut() {
            let models = rules.models.values_mut().map(|model| &mut model.servers);
            let services = rules
                .services
                .values_mut()
                .map(|service| &mut service.servers);
            for servers in models.chain(services) {
                servers.sort_unstable();
                servers.dedup();
            }
        }
    }

    /// Returns all faults of the document.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (name, server) in &self.servers {
            check_server(name, server, &mut faults);
        }
        let mut keys = BTreeSet::new();
        for (name, rules) in &self.deployments {
            let path = format!("deployments.{name}");
            self.check_deployment(&path, rules, &mut faults);
            if !keys.insert(&rules.key) {
                faults.push(Fault::new(
                    format!("{path}.key"),
                    "another deployment has the same key; give each its own",
                ));
            }
        }
        faults
    }

    fn check_deployment(&self, path: &str, rules: &DeploymentRules, faults: &mut Vec<Fault>) {
        if rules.key.len() != KEY_DIGITS || !rules.key.bytes().all(|b| b.is_ascii_hexdigit()) {
            faults.push(Fault::new(
                format!("{path}.key"),
                "give the SHA-256 of the key as 64 hexadecimal digits",
            ));
        }
        for (name, model) in &rules.models {
            let path = format!("{path}.models.{name}");
            self.check_servers(&path, &model.servers, faults);
            check_timeout(&path, model.timeout, faults);
            check_positive(&format!("{path}.tokens"), model.tokens, faults);
            if model.tokens > rules.program.tokens {
                faults.push(Fault::new(
                    format!("{path}.tokens"),
                    "is above the program's tokens, so that no call would fit; raise program.tokens",
                ));
            }
        }
        for (name, service) in &rules.services {
            let path = format!("{path}.services.{name}");
            self.check_servers(&path, &service.servers, faults);
            check_timeout(&path, service.timeout, faults);
        }
        check_positive(
            &format!("{path}.limits.running"),
            rules.limits.running,
            faults,
        );
        check_positive(
            &format!("{path}.limits.waiting"),
            rules.limits.waiting,
            faults,
        );
        check_positive(
            &format!("{path}.program.tokens"),
            rules.program.tokens,
            faults,
        );
        check_positive(
            &format!("{path}.program.calls"),
            rules.program.calls,
            faults,
        );
        check_positive(
            &format!("{path}.program.idle_s"),
            rules.program.idle,
            faults,
        );
        check_weight(
            &format!("{path}.weights.latency"),
            rules.weights.latency,
            faults,
        );
        check_weight(
            &format!("{path}.weights.waste"),
            rules.weights.waste,
            faults,
        );
    }

    fn check_servers(&self, path: &str, servers: &[NodeId], faults: &mut Vec<Fault>) {
        if servers.is_empty() {
            faults.push(Fault::new(
                format!("{path}.servers"),
                "name at least one backend server",
            ));
        }
        for server in servers {
            if !self.servers.contains_key(server) {
                faults.push(Fault::new(
                    format!("{path}.servers"),
                    format!("{server} is not under servers; add it there"),
                ));
            }
        }
    }
}

fn check_server(name: &NodeId, server: &ServerRules, faults: &mut Vec<Fault>) {
    if server.slots == 0 || server.slots > MAX_SLOTS {
        faults.push(Fault::new(
            format!("servers.{name}.slots"),
            format!("give a number from 1 to {MAX_SLOTS}"),
        ));
    }
}

fn check_timeout(path: &str, timeout: u64, faults: &mut Vec<Fault>) {
    if timeout == 0 || timeout > MAX_TIMEOUT_MS {
        faults.push(Fault::new(
            format!("{path}.timeout_ms"),
            format!("give milliseconds from 1 to {MAX_TIMEOUT_MS}"),
        ));
    }
}

fn check_positive(path: &str, value: u64, faults: &mut Vec<Fault>) {
    if value == 0 {
        faults.push(Fault::new(path, "give a number above zero"));
    }
}

fn check_weight(path: &str, value: f64, faults: &mut Vec<Fault>) {
    if !value.is_finite() || value < 0.0 {
        faults.push(Fault::new(path, "give a number that is not negative"));
    }
}

/// Record of an applied patch in an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedPatch {
    /// Id of the patch, chosen by the operator.
    pub id: String,
    /// Digest of the patch.
    pub digest: Digest,
    /// Version that it resulted in.
    pub version: Version,
}

/// A document as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The operator.
    pub operator: Operator,
    /// Version of the document; the first patch results in version 1.
    pub version: Version,
    /// The document.
    pub document: serde_json::Value,
    /// The latest applied patches, newest last.
    pub patches: Vec<AppliedPatch>,
}

/// The newest documents known to a process.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    /// Version, document and JSON text of the envelope, by operator.
    current: BTreeMap<Operator, (Version, Document, String)>,
}

/// Result of [`Documents::update`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The envelope was newer and is now in force.
    Applied(Version),
    /// The envelope is not newer than the one in force.
    Stale,
    /// The envelope cannot be parsed, or is newer but its document is invalid.
    Faulty(Vec<Fault>),
}

impl Documents {
    /// Puts the envelope with the JSON text `text` in force, unless an equal or
    /// higher version is in force: the version in force never decreases.
    pub fn update(&mut self, text: &str) -> Update {
        let envelope: Envelope = match serde_json::from_str(text) {
            Ok(envelope) => envelope,
            Err(error) => return Update::Faulty(vec![Fault::new("envelope", error.to_string())]),
        };
        if envelope.version <= self.version(&envelope.operator) {
            return Update::Stale;
        }
        match Document::parse(&envelope.document) {
            Ok(document) => {
                let version = envelope.version;
                let entry = (version, document, text.to_owned());
                self.current.insert(envelope.operator, entry);
                Update::Applied(version)
            }
            Err(faults) => Update::Faulty(faults),
        }
    }

    /// Returns the version in force of `operator`'s document; zero if there is
    /// none.
    pub fn version(&self, operator: &Operator) -> Version {
        self.current
            .get(operator)
            .map_or(Version::default(), |(version, _, _)| *version)
    }

    /// Returns all versions in force.
    pub fn versions(&self) -> Vec<(Operator, Version)> {
        self.current
            .iter()
            .map(|(operator, (version, _, _))| (operator.clone(), *version))
            .collect()
    }

    /// Returns the JSON texts of the envelopes that are newer than `versions`.
    pub fn newer_than<'a>(
        &'a self,
        versions: &'a [(Operator, Version)],
    ) -> impl Iterator<Item = &'a str> {
        self.current.iter().filter_map(move |(operator, entry)| {
            let theirs = versions.iter().find(|(name, _)| name == operator);
            let is_newer = theirs.is_none_or(|(_, version)| *version < entry.0);
            is_newer.then_some(entry.2.as_str())
        })
    }

    /// Returns the rules of a deployment.
    pub fn rules(&self, operator: &Operator, name: &Deployment) -> Option<&DeploymentRules> {
        self.current.get(operator)?.1.deployments.get(name)
    }

    /// Returns the deployment whose API key has the digest `key`.
    pub fn deployment_of(&self, key: &str) -> Option<(&Operator, &Deployment)> {
        self.deployments()
            .find(|(_, _, rules)| rules.key == key)
            .map(|(operator, name, _)| (operator, name))
    }

    /// Returns the capacity of a backend server from any operator's document
    /// that lists it.
    pub fn server(&self, name: &NodeId) -> Option<&ServerRules> {
        self.current
            .values()
            .find_map(|(_, document, _)| document.servers.get(name))
    }

    /// Returns all deployments with their rules.
    pub fn deployments(&self) -> impl Iterator<Item = (&Operator, &Deployment, &DeploymentRules)> {
        self.current
            .iter()
            .flat_map(|(operator, (_, document, _))| {
                let rules = document.deployments.iter();
                rules.map(move |(name, rules)| (operator, name, rules))
            })
    }
}
