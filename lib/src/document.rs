//! An operator's configuration document and its check.

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

/// Length of a key's SHA-256 digest in hexadecimal digits.
const KEY_DIGITS: usize = 64;
/// Longest time that a backend server may be given for a call.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Most calls that a backend server may run at once.
const MAX_SLOTS: u32 = 10_000;

/// What one backend server can do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerRules {
    /// Calls that it runs at once.
    pub slots: u32,
    /// Tokens of prompt prefixes that its cache holds; zero for a server
    /// that is no engine.
    #[serde(default)]
    pub cache: u64,
}

/// A model of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRules {
    /// Backend servers that serve it.
    pub servers: Vec<NodeId>,
    /// Most tokens of an answer.
    pub tokens: u64,
    /// Time that a call may run, in milliseconds.
    #[serde(rename = "timeout_ms")]
    pub timeout: u64,
}

/// A route of a service whose calls differ from the rest of the service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method; every method if it is left out.
    #[serde(default)]
    pub method: Option<String>,
    /// Start of the path below the service.
    pub prefix: String,
    /// Whether running such a call twice does no harm.
    pub idempotent: bool,
}

/// A tool service or a plain service of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRules {
    /// Backend servers that serve it.
    pub servers: Vec<NodeId>,
    /// Whether running a call twice does no harm, where no route says
    /// otherwise.
    #[serde(default)]
    pub idempotent: bool,
    /// Time that a call may run, in milliseconds.
    #[serde(rename = "timeout_ms")]
    pub timeout: u64,
    /// Routes that differ; the first that fits counts.
    #[serde(default)]
    pub routes: Vec<Route>,
}

impl ServiceRules {
    /// Returns whether a call by `method` to `path` may be run twice.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let fits = |route: &&Route| {
            let same = route.method.as_deref().is_none_or(|name| name == method);
            same && path.starts_with(&route.prefix)
        };
        match self.routes.iter().find(fits) {
            Some(route) => route.idempotent,
            None => self.idempotent,
        }
    }
}

/// What the calls of a deployment may use at once, over all entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Calls that run at once.
    pub running: u64,
    /// Calls that wait at once.
    pub waiting: u64,
}

/// What one program may use over its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramLimits {
    /// Tokens, prompts and answers together.
    pub tokens: u64,
    /// Calls.
    pub calls: u64,
    /// Seconds without a call after which it counts as abandoned.
    #[serde(rename = "idle_s")]
    pub idle: u64,
}

impl ProgramLimits {
    /// Returns the limits of tokens and calls as an amount.
    pub fn amount(&self) -> Amount {
        Amount {
            tokens: self.tokens,
            calls: self.calls,
        }
    }
}

/// How a deployment weighs its two measures; only their ratio counts.
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
    /// SHA-256 of the callers' key, in hexadecimal digits.
    pub key: String,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<Model, ModelRules>,
    /// Tool services and plain services by name.
    #[serde(default)]
    pub services: BTreeMap<Service, ServiceRules>,
    /// Limits of all its calls together.
    pub limits: Limits,
    /// Limits of each program.
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

/// One fault of a document or of a process's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, names joined by dots.
    pub path: String,
    /// What is wrong and what would be right.
    pub remedy: String,
}

impl Fault {
    /// Makes a fault of the field at `path`.
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
    /// Reads a document and checks it whole.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found; a document that cannot be read at
    /// all gives one.
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

    /// Sorts all lists of servers, so that one is found in them quickly.
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

    /// Returns every fault of the document.
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

/// A patch that was applied, as the document remembers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppliedPatch {
    /// Id that the operator gave the patch.
    pub id: String,
    /// Digest of the patch.
    pub digest: Digest,
    /// Version that it led to.
    pub version: Version,
}

/// A document as the key-value service holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// The operator.
    pub operator: Operator,
    /// Version of the document; the first patch leads to version 1.
    pub version: Version,
    /// The document.
    pub document: serde_json::Value,
    /// The last patches, newest last.
    pub patches: Vec<AppliedPatch>,
}

/// The newest documents that a process has heard of.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    known: BTreeMap<Operator, (Version, Document, String)>,
}

/// What became of an envelope that a process heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// It is newer and is now in force.
    Applied(Version),
    /// It is not newer than what is in force.
    Stale,
    /// It is newer but its document does not pass the check.
    Faulty(Vec<Fault>),
}

impl Documents {
    /// Takes over the envelope whose JSON text is `text`, unless an equal or
    /// higher version is in force: no process ever goes back.
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
                self.known.insert(envelope.operator, entry);
                Update::Applied(version)
            }
            Err(faults) => Update::Faulty(faults),
        }
    }

    /// Returns the version of `operator` in force; zero if there is none.
    pub fn version(&self, operator: &Operator) -> Version {
        self.known
            .get(operator)
            .map_or(Version::default(), |(version, _, _)| *version)
    }

    /// Returns all versions in force.
    pub fn versions(&self) -> Vec<(Operator, Version)> {
        self.known
            .iter()
            .map(|(operator, (version, _, _))| (operator.clone(), *version))
            .collect()
    }

    /// Returns the envelope texts that a process with `versions` lacks.
    pub fn newer_than<'a>(
        &'a self,
        versions: &'a [(Operator, Version)],
    ) -> impl Iterator<Item = &'a str> {
        self.known.iter().filter_map(move |(operator, entry)| {
            let theirs = versions.iter().find(|(name, _)| name == operator);
            let behind = theirs.is_none_or(|(_, version)| *version < entry.0);
            behind.then_some(entry.2.as_str())
        })
    }

    /// Returns the rules of a deployment.
    pub fn rules(&self, operator: &Operator, name: &Deployment) -> Option<&DeploymentRules> {
        self.known.get(operator)?.1.deployments.get(name)
    }

    /// Returns the deployment whose callers' key has the digest `key`.
    pub fn deployment_of(&self, key: &str) -> Option<(&Operator, &Deployment)> {
        self.deployments()
            .find(|(_, _, rules)| rules.key == key)
            .map(|(operator, name, _)| (operator, name))
    }

    /// Returns what a backend server can do, by any operator's document.
    pub fn server(&self, name: &NodeId) -> Option<&ServerRules> {
        self.known
            .values()
            .find_map(|(_, document, _)| document.servers.get(name))
    }

    /// Returns all deployments with their rules.
    pub fn deployments(&self) -> impl Iterator<Item = (&Operator, &Deployment, &DeploymentRules)> {
        self.known.iter().flat_map(|(operator, (_, document, _))| {
            let rules = document.deployments.iter();
            rules.map(move |(name, rules)| (operator, name, rules))
        })
    }
}
