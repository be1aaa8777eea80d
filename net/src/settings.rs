//! Settings of a process, in JSON, checked whole.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use limpetferry_lib::document::Fault;
use limpetferry_lib::effect::LogEvent;
use limpetferry_lib::id::DataCentre;
use limpetferry_lib::id::Digest;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::rules::Rules;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::error::Category;
use thiserror::Error;

use crate::data_folder;
use crate::json_position::value_at;
use crate::units;

/// Exit code of a start whose settings are refused.
pub const EXIT_REFUSED: u8 = 5;
/// Fewest characters of a key.
const MIN_KEY: usize = 16;
/// Least wait for an owner that is only slow.
const MIN_TAKEOVER_MS: u64 = 200;

/// Says why settings were refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}; name a readable file with --settings")]
    Unreadable(PathBuf, std::io::Error),
    /// The file is no JSON of the expected form; the setting at fault, and its value.
    #[error("{file}: {setting}: {error}; see docs/operators.md for the fields")]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Name of the process; empty if it cannot be told.
        node: String,
        /// The setting at fault, with names separated by dots.
        setting: String,
        /// Its value.
        value: String,
        /// What is wrong.
        error: serde_json::Error,
    },
    /// Settings have wrong values.
    #[error("{file}: {n} fault(s):\n{list}", n = .faults.len(), list = lines(.faults))]
    Faulty {
        /// The file.
        file: PathBuf,
        /// Name of the process; empty if it cannot be told.
        node: String,
        /// The faults, each with the value at fault.
        faults: Vec<(Fault, String)>,
    },
}

impl SettingsError {
    /// Returns whether the file is missing or has no end yet, as while somebody writes it.
    pub fn is_incomplete(&self) -> bool {
        match self {
            Self::Unreadable(_, error) => error.kind() == io::ErrorKind::NotFound,
            Self::Malformed { error, .. } => error.classify() == Category::Eof,
            Self::Faulty { .. } => false,
        }
    }

    /// Returns the name of the process whose settings they are; it is empty if it cannot be
    /// told.
    pub fn node(&self) -> &str {
        match self {
            Self::Unreadable(..) => "",
            Self::Malformed { node, .. } | Self::Faulty { node, .. } => node,
        }
    }

    /// Returns an event for each fault: its setting, its value, why it is one, and what
    /// to do about it.
    pub fn notes(&self) -> Vec<LogEvent> {
        let note = LogEvent::new("start_failed").with("code", EXIT_REFUSED);
        match self {
            Self::Unreadable(file, error) => vec![
                note.with("setting", "--settings")
                    .with("value", file.display())
                    .with("why", error)
                    .with("remedy", "name a readable file with --settings"),
            ],
            Self::Malformed {
                file,
                setting,
                value,
                error,
                ..
            } => vec![
                note.with("file", file.display())
                    .with("setting", setting)
                    .with("value", value)
                    .with("why", error)
                    .with("remedy", "give what is expected; see docs/OPERATIONS.md"),
            ],
            Self::Faulty { file, faults, .. } => {
                let notes = faults.iter().map(|(fault, value)| {
                    note.clone()
                        .with("file", file.display())
                        .with("setting", &fault.path)
                        .with("value", value)
                        .with("why", "its value is out of range")
                        .with("remedy", &fault.remedy)
                });
                notes.collect()
            }
        }
    }
}

fn lines(faults: &[(Fault, String)]) -> String {
    let lines = faults.iter().map(|(fault, _)| format!("  {fault}"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the value of a setting as a line shows it. Keys are never shown.
fn shown(path: &str, value: &str) -> String {
    if path.ends_with("key") || path.starts_with("operator_keys") {
        "(not shown)".to_owned()
    } else {
        value.to_owned()
    }
}

/// Where log lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// File; standard output if it is left out.
    pub file: Option<PathBuf>,
    /// Whether lines below the level of notices are written.
    pub debug: bool,
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Longest time that a caller may ask to wait, in milliseconds.
    pub patience_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            body: 4 << 20,
            head: 16 << 10,
            patience_ms: 3_600_000,
        }
    }
}

/// What every process of the system is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Common {
    /// Name of the process; no other one has it.
    pub node: NodeId,
    /// Data centre.
    pub centre: DataCentre,
    /// Name of the VM in the VM list.
    pub vm: String,
    /// Address for the system's other processes.
    pub peers: SocketAddr,
    /// Address for metrics and health.
    pub metrics: SocketAddr,
    /// Key that all processes of the system share.
    pub key: String,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the VM list, if there is one.
    #[serde(default)]
    pub vms: Option<SocketAddr>,
    /// Longest time that a planned stop may take, in milliseconds.
    #[serde(default = "default_stop", deserialize_with = "units::milliseconds")]
    pub stop_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
    /// Times and bounds of the system's own working.
    #[serde(default)]
    pub rules: Rules,
}

fn default_stop() -> u64 {
    60_000
}

impl Common {
    /// Returns the digest of the peers' key.
    pub fn key_digest(&self) -> Digest {
        Digest::of(self.key.as_bytes())
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        check_name("common.node", self.node.as_str(), faults);
        check_name("common.centre", self.centre.as_str(), faults);
        check_key("common.key", &self.key, faults);
        if self.peers.ip().is_unspecified() {
            faults.push(Fault::new(
                "common.peers",
                "give the IP address that other VMs reach, not 0.0.0.0",
            ));
        }
        if self.rules.shards == 0 {
            faults.push(Fault::new(
                "common.rules.shards",
                "give a number above zero, the same everywhere",
            ));
        }
        if self.rules.takeover_ms < MIN_TAKEOVER_MS {
            faults.push(Fault::new(
                "common.rules.takeover_ms",
                format!("give at least {MIN_TAKEOVER_MS}, or every hiccup moves shards"),
            ));
        }
    }
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// What every process is told.
    pub common: Common,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Key of each operator.
    pub operator_keys: BTreeMap<Operator, String>,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// A folder on the VM's disk for bulk data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataSettings {
    /// The folder; it is made at the start if it is not there.
    pub folder: PathBuf,
    /// Most megabytes that the process stores there.
    #[serde(
        rename = "max_mb",
        default = "default_data",
        deserialize_with = "data_megabytes"
    )]
    pub most: u64,
}

fn default_data() -> u64 {
    1_024
}

fn data_megabytes<'de, D: Deserializer<'de>>(input: D) -> Result<u64, D::Error> {
    Ok(units::optional_megabytes(input)?.unwrap_or_else(default_data))
}

impl DataSettings {
    pub(crate) fn check(&self, faults: &mut Vec<Fault>) {
        if !data_folder::is_possible(&self.folder) {
            faults.push(Fault::new(
                "data.folder",
                "name a folder on the VM's disk; it is made if it is not there",
            ));
        }
        if self.most == 0 {
            faults.push(Fault::new("data.max_mb", "give a number above zero"));
        }
    }
}

/// Settings of a side process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SideSettings {
    /// What every process is told.
    pub common: Common,
    /// Address of the backend server.
    pub server: SocketAddr,
    /// Where copies of programs are stored, on a VM that has a disk.
    #[serde(default)]
    pub data: Option<DataSettings>,
}

/// Settings that can be checked.
pub trait Check: DeserializeOwned {
    /// Adds every fault to `faults`.
    fn check(&self, faults: &mut Vec<Fault>);

    /// Returns where log lines go.
    fn log(&self) -> &LogSettings;

    /// Returns the name of the process.
    fn node(&self) -> &str;

    /// Returns where it stores data, if it does.
    fn data(&self) -> Option<&DataSettings> {
        None
    }

    /// Returns the settings that the platform gave no value, with what is assumed.
    fn missing(&self) -> Vec<(&'static str, String)> {
        Vec::new()
    }
}

impl Check for EntrySettings {
    fn check(&self, faults: &mut Vec<Fault>) {
        self.common.check(faults);
        if self.operator_keys.is_empty() {
            faults.push(Fault::new("operator_keys", "give each operator a key"));
        }
        let mut seen = BTreeMap::new();
        for (operator, key) in &self.operator_keys {
            let path = format!("operator_keys.{operator}");
            check_name(&path, operator.as_str(), faults);
            check_key(&path, key, faults);
            if let Some(other) = seen.insert(key, operator) {
                faults.push(Fault::new(
                    path,
                    format!("is also the key of {other}; give each its own"),
                ));
            }
        }
        if self.limits.body == 0 || self.limits.connections == 0 {
            faults.push(Fault::new("limits", "give numbers above zero"));
        }
    }

    fn log(&self) -> &LogSettings {
        &self.common.log
    }

    fn node(&self) -> &str {
        self.common.node.as_str()
    }
}

impl Check for SideSettings {
    fn check(&self, faults: &mut Vec<Fault>) {
        self.common.check(faults);
        if let Some(data) = &self.data {
            data.check(faults);
        }
    }

    fn log(&self) -> &LogSettings {
        &self.common.log
    }

    fn node(&self) -> &str {
        self.common.node.as_str()
    }

    fn data(&self) -> Option<&DataSettings> {
        self.data.as_ref()
    }
}

pub(crate) fn check_key(path: &str, key: &str, faults: &mut Vec<Fault>) {
    if key.len() < MIN_KEY {
        faults.push(Fault::new(
            path,
            format!("give at least {MIN_KEY} characters"),
        ));
    }
}

pub(crate) fn check_name(path: &str, name: &str, faults: &mut Vec<Fault>) {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.' || c == '_';
    if name.is_empty() || name.len() > 64 || !name.chars().all(plain) {
        faults.push(Fault::new(
            path,
            "give 1 to 64 letters, digits, '-', '.' or '_'",
        ));
    }
}

/// Reads settings from a file and checks them.
///
/// # Errors
///
/// Returns a [`SettingsError`] that lists every fault with its remedy.
pub fn read<T: Check>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
    let settings: T = serde_json::from_str(&text).map_err(|error| malformed(path, &text, error))?;
    let mut faults = Vec::new();
    settings.check(&mut faults);
    if faults.is_empty() {
        return Ok(settings);
    }
    let values: Value = serde_json::from_str(&text).unwrap_or_default();
    let faults = faults.into_iter().map(|fault| {
        let pointer = format!("/{}", fault.path.replace('.', "/"));
        let value = match values.pointer(&pointer) {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        let value = shown(&fault.path, &value);
        (fault, value)
    });
    Err(SettingsError::Faulty {
        file: path.to_owned(),
        node: settings.node().to_owned(),
        faults: faults.collect(),
    })
}

fn malformed(path: &Path, text: &str, error: serde_json::Error) -> SettingsError {
    // A fault of the syntax is at the character that was not expected, others are behind
    // the value.
    let is_syntax = error.classify() == Category::Syntax;
    let column = error.column() - usize::from(is_syntax && error.column() > 0);
    let found = value_at(text, error.line(), column);
    let values: Value = serde_json::from_str(text).unwrap_or_default();
    let node = values.pointer("/common/node").and_then(Value::as_str);
    SettingsError::Malformed {
        file: path.to_owned(),
        node: node.unwrap_or_default().to_owned(),
        value: shown(&found.path, found.text),
        setting: found.path,
        error,
    }
}
