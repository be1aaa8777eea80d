//! A small site on loopback, for the demonstration and for tests over real
//! sockets: stand-ins in this process, and entries and side processes as tasks
//! or as separate processes.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use limpetferry_lib::id::DataCentre;
use limpetferry_lib::id::NodeId;
use limpetferry_lib::id::Operator;
use limpetferry_lib::member::Node;
use limpetferry_lib::rules::Rules;
use limpetferry_net::callers::key_digest;
use limpetferry_net::keys;
use limpetferry_net::settings::CallerLimits;
use limpetferry_net::settings::Common;
use limpetferry_net::settings::DataSettings;
use limpetferry_net::settings::EntrySettings;
use limpetferry_net::settings::LogSettings;
use limpetferry_net::settings::SideSettings;
use serde_json::Value;
use serde_json::json;

use crate::client::Caller;
use crate::engine::StandInEngine;
use crate::folder::Folder;
use crate::listen::any_port;
use crate::listen::free;
use crate::listen::listen;
use crate::process::Process;
use crate::service::StandInService;
use crate::store::StandInStore;
use crate::vms::StandInVms;
use crate::wire::Wire;

/// Key that callers of the site's deployment send.
pub const CALLER_KEY: &str = "caller-key-of-the-site";
/// Key that the site's operator sends.
pub const OPERATOR_KEY: &str = "operator-key-of-the-site";
/// Shared key with which the site's processes connect to each other.
const PEER_KEY: &str = "peer-key-of-the-site";
/// Data centres among which the site's processes are distributed.
const CENTRES: [&str; 3] = ["osijek", "vinkovci", "pozega"];

/// Number of attempts to start a process, each with new addresses.
const START_TRIES: u32 = 10;
/// Time between two checks whether a process is up.
const START_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How the site's entries and side processes run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As tasks of this process.
    Tasks,
    /// As separate processes, which can be killed and frozen.
    Processes,
}

/// The addresses of one entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
}

/// A site: the platform's services, backend servers, entries and side processes.
pub struct Site {
    /// Stand-in for the platform's key-value service.
    pub store: StandInStore,
    /// Stand-in for the platform's VM list.
    pub vms: StandInVms,
    /// Stand-ins for model engines.
    pub engines: Vec<StandInEngine>,
    /// Stand-ins for tool services.
    pub services: Vec<StandInService>,
    /// Addresses of the entries.
    pub entries: Vec<EntryAddresses>,
    /// Addresses at which the processes serve metrics.
    pub metrics: Vec<SocketAddr>,
    /// Processes by name.
    pub processes: BTreeMap<String, Process>,
    /// Settings of side processes by name, for restarts.
    sides: BTreeMap<String, SideSettings>,
    store_address: SocketAddr,
    vms_address: SocketAddr,
    /// Times and limits for processes that are started later.
    pub rules: Rules,
    /// Whether side processes that are added get a data folder.
    with_data: bool,
    mode: Mode,
    folder: Folder,
    stops: Vec<async_channel::Sender<()>>,
}

impl Site {
    /// Starts only the stand-ins of the platform's services.
    pub async fn start_platform(rules: Rules, mode: Mode) -> Self {
        let store = StandInStore::default();
        let vms = StandInVms::default();
        let (store_address, stop_store) = listen(any_port(), store.handler()).await;
        let (vms_address, stop_vms) = listen(any_port(), vms.handler()).await;
        Self {
            store,
            vms,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            metrics: Vec::new(),
            processes: BTreeMap::new(),
            sides: BTreeMap::new(),
            store_address,
            vms_address,
            rules,
            with_data: false,
            mode,
            folder: Folder::default(),
            stops: vec![stop_store, stop_vms],
        }
    }

    /// Starts a site with its processes as tasks, and applies its first document.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up.
    pub async fn start(entries: usize, engines: usize, services: usize) -> Self {
        Self::start_as(Mode::Tasks, entries, engines, services).await
    }

    /// Starts a site with its processes in `mode`, and applies its first document.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up.
    pub async fn start_as(mode: Mode, entries: usize, engines: usize, services: usize) -> Self {
        let mut site = Self::start_platform(Rules::default(), mode).await;
        site.fill(entries, engines, services).await;
        site
    }

    /// Starts a site in separate processes whose side processes have data
    /// folders, and applies its first document.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up.
    pub async fn start_stored(entries: usize, engines: usize, services: usize) -> Self {
        let mut site = Self::start_platform(Rules::default(), Mode::Processes).await;
        site.with_data = true;
        site.fill(entries, engines, services).await;
        site
    }

    async fn fill(&mut self, entries: usize, engines: usize, services: usize) {
        for _ in 0..engines {
            self.add_engine().await;
        }
        for _ in 0..services {
            self.add_service().await;
        }
        for _ in 0..entries {
            self.add_entry().await;
        }
        self.apply_first_document().await;
    }

    fn common(&self, name: &str, index: usize) -> Common {
        Common {
            node: NodeId::new(name),
            centre: DataCentre::new(CENTRES[index % CENTRES.len()]),
            vm: format!("vm-{name}"),
            peers: free(),
            metrics: free(),
            key: PEER_KEY.to_owned(),
            store: self.store_address,
            vms: Some(self.vms_address),
            stop_ms: 30_000,
            log: LogSettings::default(),
            rules: self.rules.clone(),
        }
    }

    /// Starts an entry.
    ///
    /// # Panics
    ///
    /// Panics if it does not come up.
    pub async fn add_entry(&mut self) {
        let name = format!("entry-{}", self.entries.len() + 1);
        for _ in 0..START_TRIES {
            let addresses = self.start_entry(&name);
            if self.is_up(&name, addresses.metrics).await {
                self.entries.push(addresses);
                self.metrics.push(addresses.metrics);
                return;
            }
        }
        panic!("{name} does not start");
    }

    /// Waits until a started process listens at all its addresses. Returns false
    /// if it exits instead, which it does when an outgoing connection took one of
    /// its ports after the port had been chosen as free.
    async fn is_up(&mut self, name: &str, metrics: SocketAddr) -> bool {
        let caller = Caller::new(metrics, "none");
        while !self.process(name).has_ended() {
            let got = caller.send("GET", "/healthz", &[], &Value::Null).await;
            if got.is_ok() {
                return true;
            }
            smol::Timer::after(START_POLL_INTERVAL).await;
        }
        false
    }

    fn start_entry(&mut self, name: &str) -> EntryAddresses {
        let index = self.entries.len();
        let common = self.common(name, index);
        let addresses = EntryAddresses {
            callers: free(),
            operators: free(),
            metrics: common.metrics,
        };
        self.vms.set(&common.vm, "live");
        let settings = EntrySettings {
            common,
            callers: addresses.callers,
            operators: addresses.operators,
            operator_keys: BTreeMap::from([(Operator::new("registrars"), OPERATOR_KEY.to_owned())]),
            limits: CallerLimits::default(),
        };
        let process = match self.mode {
            Mode::Tasks => Process::task(|stop| limpetferry_net::entry_node::run(settings, stop)),
            Mode::Processes => Process::spawn("limpetferry-entry", &self.folder, name, &settings),
        };
        self.processes.insert(name.to_owned(), process);
        addresses
    }

    fn data_settings(&self) -> DataSettings {
        let folder = self.folder.join("data");
        std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
        DataSettings { folder, most: 64 }
    }

    async fn add_side(&mut self, name: String, index: usize, server: SocketAddr) {
        for _ in 0..START_TRIES {
            let settings = SideSettings {
                common: self.common(&name, index),
                server,
                data: self.with_data.then(|| self.data_settings()),
            };
            let metrics = settings.common.metrics;
            self.vms.set(&settings.common.vm, "live");
            self.sides.insert(name.clone(), settings);
            self.start_side(&name);
            if self.is_up(&name, metrics).await {
                self.metrics.push(metrics);
                return;
            }
        }
        panic!("{name} does not start");
    }

    /// Starts or restarts the side process `name`.
    ///
    /// # Panics
    ///
    /// Panics if the site has no such side process.
    pub fn start_side(&mut self, name: &str) {
        let settings = self.sides[name].clone();
        let process = match self.mode {
            Mode::Tasks => Process::task(|stop| limpetferry_net::side_node::run(settings, stop)),
            Mode::Processes => Process::spawn("limpetferry-side", &self.folder, name, &settings),
        };
        self.processes.insert(name.to_owned(), process);
    }

    /// Registers a new wire as the address of `name`, so that entries connect to
    /// it through the wire.
    ///
    /// # Panics
    ///
    /// Panics if the process is not registered.
    pub async fn put_wire(&self, name: &str) -> Wire {
        let key = keys::node(&NodeId::new(name));
        let text = self.store.get(&key).expect("the process is registered");
        let mut node: Node = serde_json::from_str(&text).expect("a registration");
        let address = node.address.parse().expect("an IP address and port");
        let wire = Wire::to(address).await;
        node.address = wire.address().to_string();
        let text = serde_json::to_string(&node).expect("plain data");
        self.store.set(&key, &text);
        wire
    }

    /// Returns the process with this name.
    ///
    /// # Panics
    ///
    /// Panics if it was never started.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .expect("the process was started")
    }

    /// Starts a model engine with its side process.
    pub async fn add_engine(&mut self) {
        let engine = StandInEngine::default();
        let (at, stop) = listen(any_port(), engine.handler()).await;
        self.stops.push(stop);
        self.engines.push(engine);
        let index = self.engines.len();
        self.add_side(format!("engine-{index}"), index, at).await;
    }

    /// Starts a tool service with its side process.
    pub async fn add_service(&mut self) {
        let service = StandInService::default();
        let (at, stop) = listen(any_port(), service.handler()).await;
        self.stops.push(stop);
        self.services.push(service);
        let index = self.services.len();
        self.add_side(format!("tool-{index}"), index + 1, at).await;
    }

    /// Returns the site's first document: one deployment with a model and a
    /// transfer service whose lookups are idempotent.
    pub fn document(&self) -> Value {
        let engines: Vec<String> = (1..=self.engines.len())
            .map(|i| format!("engine-{i}"))
            .collect();
        let tools: Vec<String> = (1..=self.services.len())
            .map(|i| format!("tool-{i}"))
            .collect();
        let mut servers = serde_json::Map::new();
        for name in engines.iter().chain(&tools) {
            servers.insert(name.clone(), json!({"slots": 64, "cache": 100_000}));
        }
        let mut deployment = json!({
            "key": key_digest(CALLER_KEY),
            "limits": {"running": 10_000, "waiting": 10_000},
            "program": {"tokens": 150_000, "calls": 98, "idle_s": 3_600},
            "weights": {"latency": 1.0, "waste": 0.5},
        });
        if !engines.is_empty() {
            deployment["models"] =
                json!({"cask-7b": {"servers": engines, "tokens": 512, "timeout_ms": 60_000}});
        }
        if !tools.is_empty() {
            let routes = json!([{"prefix": "/lookup", "idempotent": true}]);
            deployment["services"] = json!({"transfers": {"servers": tools, "idempotent": false,
                                            "timeout_ms": 10_000, "routes": routes}});
        }
        json!({"servers": servers, "deployments": {"register": deployment}})
    }

    /// Returns a client of the entry with `index` that has the caller key.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.entries[index].callers, CALLER_KEY)
    }

    /// Returns a client of the entry with `index` that has the operator key.
    pub fn operator(&self, index: usize) -> Caller {
        Caller::new(self.entries[index].operators, OPERATOR_KEY)
    }

    /// Opens a program at the entry with `index` and returns its id.
    ///
    /// # Panics
    ///
    /// Panics if the entry refuses.
    pub async fn open_program(&self, index: usize) -> String {
        let caller = self.caller(index);
        let got = caller.send("POST", "/v1/programs", &[], &Value::Null).await;
        let got = got.expect("the entry answers");
        got.json()["id"].as_str().expect("an id").to_owned()
    }

    /// Waits until the metrics of every process show the document's `version` as
    /// the one in force.
    pub async fn in_force_everywhere(&self, version: u64) {
        let line = format!("limpetferry_document_version{{operator=\"registrars\"}} {version}\n");
        for address in &self.metrics {
            let caller = Caller::new(*address, "none");
            loop {
                let got = caller.send("GET", "/metrics", &[], &Value::Null).await;
                if got.is_ok_and(|got| String::from_utf8_lossy(&got.body).contains(&line)) {
                    break;
                }
                smol::Timer::after(Duration::from_millis(2)).await;
            }
        }
    }

    /// Waits until every shard has an owner and a keeper with a complete copy.
    pub async fn whole(&self) {
        eventually("every shard has an owner and a keeper", async || {
            let mut kept = 0;
            for entry in &self.entries {
                kept += read_gauge(entry.metrics, "limpetferry_shards_kept").await;
            }
            kept == u64::from(self.rules.shards)
        })
        .await;
    }

    /// Applies the first document, and waits until every entry opens programs and
    /// every shard has an owner and a keeper with a complete copy.
    ///
    /// # Panics
    ///
    /// Panics if the site does not come up.
    pub async fn apply_first_document(&self) {
        let patch = json!({"id": "first", "base": 0, "change": {"merge": self.document()}});
        let operator = self.operator(0);
        let last = Cell::new(None);
        let apply = async || {
            let sent = operator
                .send("POST", "/v1/config/patches", &[], &patch)
                .await;
            let done = sent.as_ref().is_ok_and(|got| got.status == 200);
            last.set(Some(sent));
            done
        };
        if !holds_in_time(apply).await {
            panic!("the first patch was not applied: {:?}", last.take());
        }
        for index in 0..self.entries.len() {
            let caller = self.caller(index);
            eventually("every entry opens programs", async || {
                let sent = caller.send("POST", "/v1/programs", &[], &Value::Null).await;
                sent.is_ok_and(|got| got.status == 200)
            })
            .await;
        }
        if !self.sides.is_empty() {
            self.whole().await;
        }
    }
}

/// Reads a metric without labels. Returns zero if it is missing or the process
/// does not answer.
pub async fn read_gauge(metrics: SocketAddr, name: &str) -> u64 {
    let caller = Caller::new(metrics, "none");
    let got = caller.send("GET", "/metrics", &[], &Value::Null).await;
    let Ok(got) = got else { return 0 };
    let text = String::from_utf8_lossy(&got.body).into_owned();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    let found = lines.filter(|(key, _)| *key == name);
    let mut values = found.filter_map(|(_, value)| value.parse().ok());
    values.next().unwrap_or(0)
}

/// Waits until `check` holds. The time limit is long, so that the result does
/// not depend on the machine's speed.
///
/// # Panics
///
/// Panics with `what` if the time limit expires.
pub async fn eventually(what: &str, check: impl AsyncFn() -> bool) {
    assert!(holds_in_time(check).await, "timed out waiting until {what}");
}

/// Returns whether `check` holds within the time limit of [`eventually`].
async fn holds_in_time(check: impl AsyncFn() -> bool) -> bool {
    let pause = Duration::from_millis(20);
    for _ in 0..9_000 {
        if check().await {
            return true;
        }
        smol::Timer::after(pause).await;
    }
    false
}
