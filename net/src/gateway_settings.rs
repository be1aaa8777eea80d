//! Settings of a gateway and of a keeper, in JSON, checked whole.

use std::net::SocketAddr;
use std::time::Duration;

use limpetferry_lib::allowance::AllowanceBounds;
use limpetferry_lib::document::Fault;
use limpetferry_lib::fingerprint::Fingerprinter;
use limpetferry_lib::gateway_budget;
use limpetferry_lib::gateway_budget::GatewayBudget;
use limpetferry_lib::id::Digest;
use limpetferry_lib::keeper_budget::MIN_MEMORY;
use limpetferry_lib::store_watch;
use limpetferry_lib::switches::Switches;
use limpetferry_lib::workspace::KeyDigester;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::settings::Check;
use crate::settings::DataSettings;
use crate::settings::LogSettings;
use crate::settings::check_key;
use crate::settings::check_name;
use crate::units;

/// Memory that a gateway or a keeper uses at most if its settings do not say, in megabytes: what the
/// target allows a node.
pub const DEFAULT_MEMORY_MB: u64 = 128;
/// Longest time of a planned stop if the settings do not say.
const DEFAULT_STOP: Duration = Duration::from_secs(8);

/// What a gateway and a keeper are both told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the process; no other one has it.
    pub node: String,
    /// Data centre.
    pub centre: String,
    /// Address for the system's other processes.
    pub peers: SocketAddr,
    /// Address by which others reach `peers`, if it is another one, such as
    /// behind a port that is mapped.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Address for metrics and health.
    pub metrics: SocketAddr,
    /// Key that all processes of the system share.
    pub key: String,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// How long the platform's store may hold a call that watches it, in
    /// milliseconds.
    #[serde(default = "default_watch", deserialize_with = "units::milliseconds")]
    pub watch_ms: u64,
    /// Addresses of some keepers, which are asked while the platform's store
    /// is away.
    #[serde(default, deserialize_with = "units::addresses")]
    pub seeds: Vec<SocketAddr>,
    /// How many keepers may be lost at once.
    #[serde(deserialize_with = "units::count")]
    pub faults: usize,
    /// Longest time that a planned stop may take.
    #[serde(
        rename = "stop_s",
        default,
        deserialize_with = "units::optional_seconds",
        serialize_with = "units::write_seconds",
        skip_serializing_if = "Option::is_none"
    )]
    pub stop: Option<Duration>,
    /// The same in milliseconds, in settings of earlier builds.
    #[serde(
        default,
        deserialize_with = "units::optional_milliseconds",
        skip_serializing_if = "Option::is_none"
    )]
    pub stop_ms: Option<u64>,
    /// Bounds on what all gateways together send of a workspace.
    #[serde(default, deserialize_with = "allowances")]
    pub allowances: AllowanceBounds,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_watch() -> u64 {
    store_watch::DEFAULT_HOLD.as_millis() as u64
}

impl NodeSettings {
    /// Returns how long the platform's store may hold a call that watches it.
    pub fn watch_hold(&self) -> Duration {
        Duration::from_millis(self.watch_ms)
    }

    /// Returns the longest time that a planned stop may take.
    pub fn stop_limit(&self) -> Duration {
        let earlier = self.stop_ms.map(Duration::from_millis);
        self.stop.or(earlier).unwrap_or(DEFAULT_STOP)
    }

    /// Returns the address by which others reach it.
    pub fn reachable(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.peers)
    }

    /// Returns the digest of the peers' key.
    pub fn key_digest(&self) -> Digest {
        Digest::of(self.key.as_bytes())
    }

    /// Returns what makes digests of workspaces' keys, the same in all processes
    /// of the system.
    pub fn key_digester(&self) -> KeyDigester {
        KeyDigester::new(self.key.as_bytes())
    }

    /// Returns what identifies requests over attempts, the same in all processes of
    /// the system.
    pub fn fingerprinter(&self) -> Fingerprinter {
        Fingerprinter::new(self.key.as_bytes())
    }

    fn check(&self, faults: &mut Vec<Fault>) {
        check_name("common.node", &self.node, faults);
        check_name("common.centre", &self.centre, faults);
        check_key("common.key", &self.key, faults);
        if self.peers.ip().is_unspecified() {
            faults.push(Fault::new(
                "common.peers",
                "give the IP address that other VMs reach, not 0.0.0.0",
            ));
        }
        if !self.allowances.is_valid() {
            faults.push(Fault::new(
                "common.allowances",
                "give window_s above zero, overrun and slack of zero or more, handed_out from 0 to 1",
            ));
        }
        if self.watch_ms == 0 || self.watch_hold() > store_watch::MAX_HOLD {
            faults.push(Fault::new(
                "common.watch_ms",
                format!(
                    "give a number from 1 to {}",
                    store_watch::MAX_HOLD.as_millis()
                ),
            ));
        }
        if self.stop_ms == Some(0) {
            faults.push(Fault::new("common.stop_ms", "give a number above zero"));
        }
        if self.stop == Some(Duration::ZERO) {
            faults.push(Fault::new("common.stop_s", "give a number above zero"));
        }
        if self.stop.is_some() && self.stop_ms.is_some() {
            faults.push(Fault::new(
                "common.stop_ms",
                "leave it out, as stop_s says the same",
            ));
        }
    }

    fn missing(&self) -> Vec<(&'static str, String)> {
        if self.stop.is_some() || self.stop_ms.is_some() {
            return Vec::new();
        }
        vec![("common.stop_s", DEFAULT_STOP.as_secs().to_string())]
    }
}

/// Bounds on what gateways send, each of which may be missing.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct AllowanceSettings {
    #[serde(deserialize_with = "units::optional_seconds")]
    window_s: Option<Duration>,
    #[serde(deserialize_with = "units::optional_number")]
    overrun: Option<f64>,
    #[serde(deserialize_with = "units::optional_number")]
    slack: Option<f64>,
    #[serde(deserialize_with = "units::optional_number")]
    handed_out: Option<f64>,
}

fn allowances<'de, D: Deserializer<'de>>(input: D) -> Result<AllowanceBounds, D::Error> {
    let given = AllowanceSettings::deserialize(input)?;
    let default = AllowanceBounds::default();
    // A platform without allowances may give a window of zero.
    let window = given.window_s.filter(|window| !window.is_zero());
    let window = window.map(|window| window.as_secs_f64());
    Ok(AllowanceBounds {
        window_s: window.unwrap_or(default.window_s),
        overrun: given.overrun.unwrap_or(default.overrun),
        slack: given.slack.unwrap_or(default.slack),
        handed_out: given.handed_out.unwrap_or(default.handed_out),
    })
}

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// What every process is told.
    pub common: NodeSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address where the platform asks whether the process takes callers.
    pub ready: SocketAddr,
    /// Memory that the VM gives the process, in megabytes. Settings of earlier builds do
    /// not have it.
    #[serde(
        default,
        deserialize_with = "units::optional_megabytes",
        skip_serializing_if = "Option::is_none"
    )]
    pub memory_mb: Option<u64>,
    /// Connections of callers at once, if they are to be fewer than the memory allows.
    #[serde(
        default,
        deserialize_with = "units::optional_count",
        skip_serializing_if = "Option::is_none"
    )]
    pub connections: Option<usize>,
    /// Megabytes of requests' bodies that are held at once, if they are to be fewer than
    /// the memory allows.
    #[serde(
        default,
        deserialize_with = "units::optional_megabytes",
        skip_serializing_if = "Option::is_none"
    )]
    pub bodies_mb: Option<usize>,
    /// Which decisions are made.
    #[serde(default)]
    pub switches: Switches,
    /// What the VM gives the process; without it, other gateways hand it no
    /// requests. It is not known either if one of its numbers is missing or zero.
    #[serde(default, deserialize_with = "capacity")]
    pub capacity: Option<Capacity>,
}

/// What a VM gives a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Cores that it may use.
    pub cpu_share: f64,
}

impl Capacity {
    fn is_sound(&self) -> bool {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        positive(self.link_mbps) && positive(self.cpu_share)
    }
}

/// What a VM gives a process, each number of which may be missing.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct CapacitySettings {
    #[serde(deserialize_with = "units::optional_number")]
    link_mbps: Option<f64>,
    #[serde(deserialize_with = "units::optional_number")]
    cpu_share: Option<f64>,
}

fn capacity<'de, D: Deserializer<'de>>(input: D) -> Result<Option<Capacity>, D::Error> {
    let given = Option::<CapacitySettings>::deserialize(input)?.unwrap_or_default();
    let capacity = Capacity {
        link_mbps: given.link_mbps.unwrap_or(0.0),
        cpu_share: given.cpu_share.unwrap_or(0.0),
    };
    Ok(Some(capacity).filter(Capacity::is_sound))
}

impl GatewaySettings {
    /// Returns the memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20
    }

    /// Returns the bounds on what the process uses.
    pub fn budget(&self) -> GatewayBudget {
        let bodies = self.bodies_mb.map(|most| (most as u64) << 20);
        GatewayBudget::new(self.memory_bytes()).limited(self.connections, bodies)
    }
}

impl Check for GatewaySettings {
    fn check(&self, faults: &mut Vec<Fault>) {
        self.common.check(faults);
        if self.memory_bytes() < gateway_budget::MIN_MEMORY {
            faults.push(Fault::new(
                "memory_mb",
                format!(
                    "give the VM's memory, at least {}",
                    gateway_budget::MIN_MEMORY >> 20
                ),
            ));
        }
        if self.connections == Some(0) {
            faults.push(Fault::new("connections", "give a number above zero"));
        }
        if self.bodies_mb == Some(0) {
            faults.push(Fault::new("bodies_mb", "give a number above zero"));
        }
        if self.capacity.is_some_and(|capacity| !capacity.is_sound()) {
            faults.push(Fault::new(
                "capacity",
                "give link_mbps and cpu_share above zero, or leave it out",
            ));
        }
    }

    fn log(&self) -> &LogSettings {
        &self.common.log
    }

    fn node(&self) -> &str {
        &self.common.node
    }

    fn missing(&self) -> Vec<(&'static str, String)> {
        let mut missing = self.common.missing();
        if self.capacity.is_none() {
            missing.push(("capacity", "unknown".to_owned()));
        }
        missing
    }
}

/// Settings of a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperSettings {
    /// What every process is told.
    pub common: NodeSettings,
    /// Where turns are stored.
    pub data: DataSettings,
    /// Memory that the VM gives the process, in megabytes. Settings of earlier builds do
    /// not have it.
    #[serde(
        default,
        deserialize_with = "units::optional_megabytes",
        skip_serializing_if = "Option::is_none"
    )]
    pub memory_mb: Option<u64>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(deserialize_with = "units::flag")]
    pub first: bool,
}

impl KeeperSettings {
    /// Returns the memory that the process may use, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20
    }
}

impl Check for KeeperSettings {
    fn check(&self, faults: &mut Vec<Fault>) {
        self.common.check(faults);
        self.data.check(faults);
        if self.memory_bytes() < MIN_MEMORY {
            faults.push(Fault::new(
                "memory_mb",
                format!("give the VM's memory, at least {}", MIN_MEMORY >> 20),
            ));
        }
    }

    fn log(&self) -> &LogSettings {
        &self.common.log
    }

    fn node(&self) -> &str {
        &self.common.node
    }

    fn data(&self) -> Option<&DataSettings> {
        Some(&self.data)
    }

    fn missing(&self) -> Vec<(&'static str, String)> {
        self.common.missing()
    }
}
