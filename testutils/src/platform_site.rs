//! Sites for tests: gateways and keepers as child processes, with fakes of the
//! users' platform and of its backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Bytes;
use limpetferry_lib::allowance::AllowanceBounds;
use limpetferry_lib::store_watch;
use limpetferry_lib::switches::Switches;
use limpetferry_net::gateway_settings::GatewaySettings;
use limpetferry_net::gateway_settings::KeeperSettings;
use limpetferry_net::gateway_settings::NodeSettings;
use limpetferry_net::http::HttpError;
use limpetferry_net::http::connect;
use limpetferry_net::settings::DataSettings;
use limpetferry_net::settings::LogSettings;
use limpetferry_net::timeout::within;
use serde_json::Value;
use serde_json::json;
use smol::io::AsyncReadExt as _;
use smol::io::AsyncWriteExt as _;
use smol::net::TcpStream;

use crate::folder::Folder;
use crate::listen::any_port;
use crate::listen::free;
use crate::listen::listen;
use crate::platform_server::Report;
use crate::platform_server::StandInServer;
use crate::platform_store::StandInPlatform;
use crate::process::Process;
use crate::wire::Wire;

/// Key with which the processes of the site authenticate each other.
const KEY: &str = "a key for the tests of a site";
/// Field of the stored routing document that has the digests of workspaces' keys.
const STORED_KEYS: &[u8] = b"KeyDigests";
/// Host name of all routes.
pub const HOST: &str = "agents.example";
/// Version of the servers that a site starts with.
pub const FIRST_VERSION: &str = "v1";
/// Memory of a gateway's VM, in megabytes.
const GATEWAY_MEMORY_MB: u64 = 256;
/// Longest wait until the site is ready or another awaited condition holds; a test
/// that needs longer fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// TCP proxies through which the processes of a site connect to each other.
#[derive(Default)]
pub struct Wires {
    /// In front of the platform's store.
    pub store: Vec<Wire>,
    /// For each keeper, between it and the proxy in `store`, so that a single keeper
    /// can be cut off from the store.
    pub watches: Vec<Wire>,
    /// In front of each keeper.
    pub keepers: Vec<Wire>,
    /// In front of each server, in the order in which they were added.
    pub servers: Vec<Wire>,
}

/// Begins the line of the metric that counts a keeper's turns.
const TURNS: &str = "limpetferry_turns ";

/// A site under test.
pub struct PlatformSite {
    /// The platform's store.
    pub store: StandInPlatform,
    /// Backend servers of the service `engine`, which stream.
    pub engines: Vec<StandInServer>,
    /// Backend servers of the service `plain`.
    pub plain: Vec<StandInServer>,
    processes: BTreeMap<String, Process>,
    gateways: Vec<GatewaySettings>,
    keepers: Vec<KeeperSettings>,
    folder: Folder,
    /// Proxies between the processes; empty unless the site was started with them.
    pub wires: Wires,
    has_proxies: bool,
    /// Switches of the gateways.
    switches: Switches,
    /// Longest time for which the store may delay the answer to a watch.
    long_poll: Duration,
    /// The store's listener closes when this is dropped.
    _store_listener: async_channel::Sender<()>,
    attempts: std::sync::atomic::AtomicU64,
}

/// Options of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    /// Whether processes connect through proxies.
    pub proxies: bool,
    /// Switches of the gateways.
    pub switches: Switches,
    /// Longest time for which the store may delay the answer to a watch.
    pub long_poll: Duration,
    /// Megabytes that each keeper may store.
    pub disk_mb: u64,
    /// Megabytes of memory that each keeper may use; without it what settings of earlier
    /// builds mean.
    pub memory_mb: Option<u64>,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            proxies: false,
            switches: Switches::default(),
            long_poll: store_watch::DEFAULT_HOLD,
            disk_mb: 100,
            memory_mb: None,
        }
    }
}

impl SiteOptions {
    fn with_proxies() -> Self {
        Self {
            proxies: true,
            ..Self::default()
        }
    }
}

/// An answer with its body, read to the end.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, up to the point where the connection broke if it did.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub whole: bool,
}

impl Answer {
    /// Waits until the caller may come back, as the answer says; not at all if it does
    /// not say.
    pub async fn wait_to_return(&self) {
        let after = self.headers.get("retry-after");
        let after = after.and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(seconds) = after {
            smol::Timer::after(Duration::from_secs_f64(seconds)).await;
        }
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Type": kind,
        "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 1, "Service": service,
        "MaxAttempts": 2, "Retained": false, "Sticky": false, "Resumable": false,
    })
}

/// Returns the routing document of the tests with this version number.
pub fn routing(version: u64) -> Value {
    let mut retained = route("stream", "streaming", "engine");
    retained["PathPrefix"] = json!("/stream/kept/");
    retained["Retained"] = json!(true);
    retained["RetentionS"] = json!(60.0);
    retained["MaxAttempts"] = json!(1);
    let mut resumable = route("resumable", "streaming", "engine");
    resumable["PathPrefix"] = json!("/stream/resumable/");
    resumable["Resumable"] = json!(true);
    resumable["MaxAttempts"] = json!(1);
    json!({
        "Version": version,
        "Routes": [
            retained, resumable,
            route("read", "idempotent", "plain"),
            route("write", "non_idempotent", "plain"),
        ],
        "Services": [
            {"Name": "engine", "MaxConns": 100, "Runtime": {"ChunkTokens": 10}},
            {"Name": "plain", "MaxConns": 100},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    })
}

/// Names and keys of the workspaces in [`keyed_routing`].
pub const WORKSPACES: [(&str, &str); 2] = [("red", "red1key4x8w1z5p"), ("blue", "blue1key6t0v3b7")];

/// Returns the routing document of the tests with workspaces and this version
/// number.
pub fn keyed_routing(version: u64) -> Value {
    let mut document = routing(version);
    let workspaces = WORKSPACES.map(|(name, key)| json!({"Name": name, "ApiKeys": [key]}));
    document["Tenants"] = json!(workspaces);
    document
}

impl PlatformSite {
    /// Starts a site, and waits until all gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn start(gateways: usize, keepers: usize, faults: usize) -> Self {
        Self::start_with(gateways, keepers, faults, SiteOptions::default()).await
    }

    /// Starts a site whose gateways have these switches, and waits until all
    /// gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn start_switched(
        gateways: usize,
        keepers: usize,
        faults: usize,
        switches: Switches,
    ) -> Self {
        let options = SiteOptions {
            switches,
            ..SiteOptions::default()
        };
        Self::start_with(gateways, keepers, faults, options).await
    }

    /// Starts a site whose processes connect through proxies, and waits until all
    /// gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn start_wired(gateways: usize, keepers: usize, faults: usize) -> Self {
        Self::start_with(gateways, keepers, faults, SiteOptions::with_proxies()).await
    }

    /// Starts a site as [`Self::start_wired`] does, whose gateways have these
    /// switches.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn start_wired_switched(
        gateways: usize,
        keepers: usize,
        faults: usize,
        switches: Switches,
    ) -> Self {
        let options = SiteOptions {
            switches,
            ..SiteOptions::with_proxies()
        };
        Self::start_with(gateways, keepers, faults, options).await
    }

    /// Starts a site as [`Self::start_wired`] does, with the longest time for
    /// watches of the store, so that a silent watch does not time out within a test.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn start_wired_patient(gateways: usize, keepers: usize, faults: usize) -> Self {
        let options = SiteOptions {
            long_poll: store_watch::MAX_HOLD,
            ..SiteOptions::with_proxies()
        };
        Self::start_with(gateways, keepers, faults, options).await
    }

    /// Starts a site with these options, and waits until all gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn start_with(
        gateways: usize,
        keepers: usize,
        faults: usize,
        options: SiteOptions,
    ) -> Self {
        let store = StandInPlatform::default();
        let (store_address, stop) = listen(any_port(), store.handler()).await;
        let mut site = Self {
            store,
            engines: Vec::new(),
            plain: Vec::new(),
            processes: BTreeMap::new(),
            gateways: Vec::new(),
            keepers: Vec::new(),
            folder: Folder::default(),
            wires: Wires::default(),
            has_proxies: options.proxies,
            switches: options.switches,
            long_poll: options.long_poll,
            _store_listener: stop,
            attempts: 0.into(),
        };
        site.store.put("op/config", &routing(1));
        let mut store_address = store_address;
        if options.proxies {
            let proxy = Wire::to(store_address).await;
            store_address = proxy.address();
            site.wires.store.push(proxy);
        }
        for _ in 0..2 {
            site.add_engine().await;
            site.add_plain().await;
        }
        site.add_keepers(store_address, keepers, faults, options)
            .await;
        site.add_gateways(store_address, gateways, faults);
        site.wait_ready().await;
        site
    }

    fn node_settings(&self, node: &str, store: SocketAddr, faults: usize) -> NodeSettings {
        NodeSettings {
            node: node.to_owned(),
            centre: "here".to_owned(),
            peers: free(),
            advertised: None,
            metrics: free(),
            key: KEY.to_owned(),
            store,
            watch_ms: self.long_poll.as_millis() as u64,
            seeds: self
                .keepers
                .iter()
                .map(|keeper| keeper.common.reachable())
                .collect(),
            faults,
            stop: Some(Duration::from_secs(6)),
            stop_ms: None,
            allowances: AllowanceBounds::default(),
            log: LogSettings::default(),
        }
    }

    async fn add_keepers(
        &mut self,
        store: SocketAddr,
        count: usize,
        faults: usize,
        options: SiteOptions,
    ) {
        for number in 0..count {
            let node = format!("keeper-{number}");
            let folder = self.folder.join(&node);
            std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
            let mut common = self.node_settings(&node, store, faults);
            if self.has_proxies {
                let proxy = Wire::to(common.peers).await;
                common.advertised = Some(proxy.address());
                self.wires.keepers.push(proxy);
                let store_proxy = Wire::to(store).await;
                common.store = store_proxy.address();
                self.wires.watches.push(store_proxy);
            }
            self.keepers.push(KeeperSettings {
                common,
                data: DataSettings {
                    folder,
                    most: options.disk_mb,
                },
                memory_mb: options.memory_mb,
                first: true,
            });
        }
        for number in 0..count {
            self.start_keeper(number);
            // `first` holds for the very first start only.
            self.keepers[number].first = false;
        }
    }

    fn add_gateways(&mut self, store: SocketAddr, count: usize, faults: usize) {
        for number in 0..count {
            let settings = GatewaySettings {
                common: self.node_settings(&format!("gateway-{number}"), store, faults),
                callers: free(),
                ready: free(),
                memory_mb: Some(GATEWAY_MEMORY_MB),
                connections: Some(1_000),
                bodies_mb: Some(24),
                switches: self.switches,
                capacity: None,
            };
            self.gateways.push(settings);
            self.start_gateway(number);
        }
    }

    /// Starts or restarts a keeper.
    pub fn start_keeper(&mut self, number: usize) {
        let settings = &self.keepers[number];
        let node = settings.common.node.clone();
        let process = Process::spawn("limpetferry-keeper", &self.folder, &node, settings);
        self.processes.insert(node, process);
    }

    /// Starts or restarts a gateway.
    pub fn start_gateway(&mut self, number: usize) {
        let settings = &self.gateways[number];
        let node = settings.common.node.clone();
        let process = Process::spawn("limpetferry-gateway", &self.folder, &node, settings);
        self.processes.insert(node, process);
    }

    /// Starts a process a second time while the first one still runs, as a supervisor does
    /// that does not wait for its end. Returns the first one.
    ///
    /// # Panics
    ///
    /// Panics if the site does not have this process.
    pub fn start_successor(&mut self, node: &str) -> Process {
        let predecessor = self.take_process(node);
        let log = self.folder.join(format!("{node}.log"));
        let kept = self.folder.join(format!("{node}.predecessor.log"));
        std::fs::rename(log, kept).expect("the process has a log");
        let gateway = self.gateways.iter().position(|s| s.common.node == node);
        let keeper = self.keepers.iter().position(|s| s.common.node == node);
        match (gateway, keeper) {
            (Some(number), _) => self.start_gateway(number),
            (_, Some(number)) => self.start_keeper(number),
            _ => unreachable!("all processes are gateways or keepers"),
        }
        predecessor
    }

    /// Returns the node names of all gateways and keepers.
    pub fn nodes(&self) -> Vec<String> {
        self.processes.keys().cloned().collect()
    }

    /// Restarts a gateway with changed settings, and waits until all gateways are
    /// ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn change_gateway(
        &mut self,
        number: usize,
        change: impl FnOnce(&mut GatewaySettings),
    ) {
        let settings = &mut self.gateways[number];
        change(settings);
        self.processes.remove(&settings.common.node);
        self.start_gateway(number);
        self.wait_ready().await;
    }

    /// Restarts a keeper with changed settings, and waits until all gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn change_keeper(&mut self, number: usize, change: impl FnOnce(&mut KeeperSettings)) {
        let settings = &mut self.keepers[number];
        change(settings);
        self.processes.remove(&settings.common.node);
        self.start_keeper(number);
        self.wait_for_whole(number).await;
        self.wait_ready().await;
    }

    /// Returns the settings of a keeper.
    pub fn keeper_settings(&self, number: usize) -> &KeeperSettings {
        &self.keepers[number]
    }

    /// Returns the settings of a gateway.
    pub fn gateway_settings(&self, number: usize) -> &GatewaySettings {
        &self.gateways[number]
    }

    /// Changes the settings with which a gateway starts the next time.
    pub fn change_gateway_settings(
        &mut self,
        number: usize,
        change: impl FnOnce(&mut GatewaySettings),
    ) {
        change(&mut self.gateways[number]);
    }

    /// Returns a process by its node name.
    ///
    /// # Panics
    ///
    /// Panics if the site does not have this process.
    pub fn process(&mut self, node: &str) -> &mut Process {
        self.processes
            .get_mut(node)
            .expect("the site has this process")
    }

    /// Removes a process from the site, and returns it.
    ///
    /// # Panics
    ///
    /// Panics if the site does not have this process.
    pub fn take_process(&mut self, node: &str) -> Process {
        self.processes
            .remove(node)
            .expect("the site has this process")
    }

    /// Returns the node names of the processes that have exited.
    pub fn ended(&mut self) -> Vec<String> {
        let exited = self
            .processes
            .iter_mut()
            .filter_map(|(node, process)| process.has_ended().then(|| node.clone()));
        exited.collect()
    }

    /// Appends bytes to a keeper's newest file, like a write that was torn by a
    /// loss of power.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be written.
    pub fn tear(&self, number: usize, bytes: &[u8]) {
        let entries = std::fs::read_dir(&self.keepers[number].data.folder);
        let files = entries.expect("the folder exists").flatten();
        let files = files.map(|entry| entry.path());
        let last = files
            .filter(|path| path.extension().is_some_and(|suffix| suffix == "turns"))
            .max();
        if let Some(last) = last {
            let file = std::fs::OpenOptions::new().append(true).open(last);
            let mut file = file.expect("the file can be written");
            std::io::Write::write_all(&mut file, bytes).expect("the file can be written");
        }
    }

    /// Waits until all keepers have stored a routing document with workspaces.
    ///
    /// # Panics
    ///
    /// Panics if they do not in time.
    pub async fn wait_for_stored_workspaces(&self) {
        let has_digests = |keeper: &KeeperSettings| {
            let stored = std::fs::read(keeper.data.folder.join("site"));
            let stored = stored.unwrap_or_default();
            let mut windows = stored.windows(STORED_KEYS.len());
            windows.any(|window| window == STORED_KEYS)
        };
        self.wait_until(|site| site.keepers.iter().all(has_digests))
            .await;
    }

    /// Returns the address at which a gateway accepts callers.
    pub fn callers(&self, number: usize) -> String {
        self.gateways[number].callers.to_string()
    }

    /// Deletes the data of a keeper that is not running.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be written.
    pub fn wipe(&mut self, number: usize) {
        let folder = &self.keepers[number].data.folder;
        std::fs::remove_dir_all(folder).expect("the folder exists");
        std::fs::create_dir_all(folder).expect("the temporary folder can be written");
    }

    async fn add_engine(&mut self) {
        self.add_engine_of(FIRST_VERSION).await;
    }

    /// Adds an engine whose software has this version.
    pub async fn add_engine_of(&mut self, version: &'static str) {
        let server = StandInServer::default();
        let id = format!("engine-{}", self.engines.len());
        self.register(&server, "engine", &id, version).await;
        self.engines.push(server);
    }

    /// Ends an engine, and starts one with another version of its software under its id
    /// and at its address. Its entry in the store stays as it is.
    ///
    /// # Panics
    ///
    /// Panics if the site has no such engine.
    pub async fn restart_engine(&mut self, number: usize, version: &'static str, report: Report) {
        let entry = self.store.get(&format!("servers/engine-{number}"));
        let entry = entry.expect("the engine has an entry");
        let address = entry["Address"].as_str().and_then(|text| text.parse().ok());
        let server = StandInServer::default();
        server.set_version(version);
        server.set_report(report);
        self.engines[number].end();
        server.start_at(address.expect("an address")).await;
        self.engines[number] = server;
    }

    /// Adds a plain server.
    pub async fn add_plain(&mut self) {
        let server = StandInServer::default();
        let number = self.plain.len();
        let id = format!("plain-{number}");
        self.register(&server, "plain", &id, FIRST_VERSION).await;
        self.plain.push(server);
    }

    async fn register(&mut self, server: &StandInServer, service: &str, id: &str, version: &str) {
        let mut address = server.start().await;
        if self.has_proxies {
            let proxy = Wire::to(address).await;
            address = proxy.address();
            self.wires.servers.push(proxy);
        }
        let entry = json!({"Service": service, "Address": address.to_string(), "Zone": "here",
                           "Version": version, "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": 1});
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Changes the state in a server's entry in the store.
    ///
    /// # Panics
    ///
    /// Panics if the server has no entry.
    pub fn set_state(&self, id: &str, state: &str) {
        self.change_entry(id, |entry| entry["State"] = json!(state));
    }

    /// Changes a server's entry in the store.
    ///
    /// # Panics
    ///
    /// Panics if the server has no entry.
    pub fn change_entry(&self, id: &str, change: impl FnOnce(&mut Value)) {
        let key = format!("servers/{id}");
        let mut entry = self.store.get(&key).expect("the server has an entry");
        change(&mut entry);
        self.store.put(&key, &entry);
    }

    /// Waits until all gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub async fn wait_ready(&self) {
        let ready = async {
            for number in 0..self.gateways.len() {
                while !self.is_ready(number).await {
                    smol::Timer::after(POLL_INTERVAL).await;
                }
            }
        };
        within(CONDITION_TIMEOUT, ready)
            .await
            .expect("the gateways are ready in time");
    }

    /// Waits until a gateway is not ready, then checks once more and returns whether
    /// it is ready.
    ///
    /// # Panics
    ///
    /// Panics if it stays ready for too long.
    pub async fn wait_not_ready(&self, number: usize) -> bool {
        let wait = async {
            while self.is_ready(number).await {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("the gateway ceases to be ready in time");
        self.is_ready(number).await
    }

    /// Overwrites the settings file of a process with invalid settings.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be written.
    pub fn break_settings(&self, node: &str) {
        let file = self.folder.join(format!("{node}.json"));
        std::fs::write(file, "{}").expect("the temporary folder can be written");
    }

    /// Returns the first line in the log of a process that contains `text`. Lines
    /// begin with their time.
    pub fn logged(&self, node: &str, text: &str) -> Option<String> {
        let log = std::fs::read_to_string(self.folder.join(format!("{node}.log")));
        let log = log.ok()?;
        let line = log.lines().find(|line| line.contains(text));
        line.map(str::to_owned)
    }

    /// Returns the lines in the logs of all processes that contain `text`.
    pub fn logged_anywhere(&self, text: &str) -> Vec<String> {
        let nodes = self.processes.keys();
        let logs = nodes.filter_map(|node| {
            std::fs::read_to_string(self.folder.join(format!("{node}.log"))).ok()
        });
        let mut lines: Vec<String> = logs
            .flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>())
            .filter(|line| line.contains(text))
            .collect();
        lines.sort();
        lines
    }

    /// Waits until a process has logged a line that contains `text`.
    ///
    /// # Panics
    ///
    /// Panics if no such line is logged in time.
    pub async fn wait_for_log(&self, node: &str, text: &str) {
        self.wait_until(|site| site.logged(node, text).is_some())
            .await;
    }

    /// Waits until a process has logged a line that contains `text`.
    ///
    /// # Panics
    ///
    /// Panics if it ends before that, or no such line is logged in time.
    pub async fn wait_for_log_or_end(&mut self, node: &str, text: &str) {
        let wait = async {
            while self.logged(node, text).is_none() {
                assert!(
                    !self.process(node).has_ended(),
                    "{node} ended without a line {text}"
                );
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("the condition holds in time");
    }

    /// Asks a gateway whether it is ready for callers.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if no answer is received.
    pub async fn ask_ready(&self, number: usize) -> Result<Answer, HttpError> {
        let address = self.gateways[number].ready.to_string();
        self.get(&address, "/api/readyz").await
    }

    /// Returns whether a gateway reports that it is ready for callers.
    pub async fn is_ready(&self, number: usize) -> bool {
        let answer = self.ask_ready(number).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until `condition` returns true.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let wait = async {
            while !condition(self) {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("the condition holds in time");
    }

    /// Returns an unused attempt id.
    pub fn attempt(&self) -> String {
        let order = std::sync::atomic::Ordering::Relaxed;
        format!("{:016x}", self.attempts.fetch_add(1, order) + 1)
    }

    /// Sends a request with a new attempt id to a gateway.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if no answer is received.
    pub async fn send(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, HttpError> {
        let attempt = self.attempt();
        let mut all = vec![("x-attempt-id", attempt.as_str())];
        all.extend_from_slice(headers);
        self.send_raw(gateway, method, path, &all, body).await
    }

    /// Sends a request with these headers and `host` only.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if no answer is received.
    ///
    /// # Panics
    ///
    /// Panics if a header is malformed.
    pub async fn send_raw(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::from(body.to_owned()));
        let request = request.body(body).expect("the headers are valid");
        let address = self.gateways[gateway].callers.to_string();
        self.exchange(&address, request).await
    }

    async fn exchange(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, HttpError> {
        let exchange = async {
            let mut sender = connect(address).await?;
            let to_error = |error: hyper::Error| HttpError::Broken(error.to_string());
            let response = sender.send_request(request).await.map_err(to_error)?;
            let (head, mut body) = response.into_parts();
            let mut bytes = Vec::new();
            let mut whole = true;
            while let Some(frame) = body.frame().await {
                match frame {
                    Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                    Err(_) => {
                        whole = false;
                        break;
                    }
                }
            }
            Ok(Answer {
                status: head.status.as_u16(),
                headers: head.headers,
                body: bytes.into(),
                whole,
            })
        };
        within(ANSWER_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(HttpError::Late))
    }

    /// Sends bytes to a gateway, and returns the connection.
    ///
    /// # Panics
    ///
    /// Panics if the connection fails.
    pub async fn open(&self, gateway: usize, bytes: &str) -> TcpStream {
        let stream = TcpStream::connect(self.gateways[gateway].callers).await;
        let mut stream = stream.expect("the gateway listens");
        let sent = stream.write_all(bytes.as_bytes()).await;
        sent.expect("the gateway reads");
        stream
    }

    /// Sends bytes to a gateway, and returns the first bytes that it sends back.
    ///
    /// # Panics
    ///
    /// Panics if the connection fails or nothing is received in time.
    pub async fn send_bytes(&self, gateway: usize, bytes: &str) -> String {
        let stream = TcpStream::connect(self.gateways[gateway].callers).await;
        let mut stream = stream.expect("the gateway listens");
        stream
            .write_all(bytes.as_bytes())
            .await
            .expect("the gateway reads");
        let mut answer = vec![0; 1_024];
        let read = within(ANSWER_TIMEOUT, stream.read(&mut answer)).await;
        let size = read
            .expect("the gateway answers in time")
            .expect("the connection can be read");
        String::from_utf8_lossy(&answer[..size]).into_owned()
    }

    /// Sends an operator's request to a gateway, with the key that all processes of
    /// the site share.
    ///
    /// # Panics
    ///
    /// Panics if the request is malformed or no answer is received.
    pub async fn operate(&self, gateway: usize, method: &str, path: &str, body: &str) -> Answer {
        self.operate_with(gateway, method, path, body, KEY).await
    }

    /// Sends an operator's request to a gateway, with any key.
    ///
    /// # Panics
    ///
    /// Panics if the request is malformed or no answer is received.
    pub async fn operate_with(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> Answer {
        let address = self.gateways[gateway].common.metrics.to_string();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &address)
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::from(body.to_owned())));
        let request = request.expect("the headers are valid");
        let answer = self.exchange(&address, request).await;
        answer.expect("the gateway answers")
    }

    /// Returns whether a process reports this value of a metric.
    async fn has_metric(&self, metrics: SocketAddr, name: &str, value: u64) -> bool {
        let line = format!("limpetferry_{name} {value}");
        let answer = self.get(&metrics.to_string(), "/metrics").await;
        answer.is_ok_and(|answer| answer.text().lines().any(|reported| reported == line))
    }

    async fn get(&self, address: &str, path: &str) -> Result<Answer, HttpError> {
        let request = Request::get(path).header("host", address);
        let request = request.body(Full::default());
        let request = request.expect("the address and the path are valid");
        self.exchange(address, request).await
    }

    /// Returns those files of the site (settings, logs and data) that contain a text.
    ///
    /// # Panics
    ///
    /// Panics if a file cannot be read.
    pub fn files_with(&self, text: &str) -> Vec<PathBuf> {
        let mut folders = vec![self.folder.join("")];
        let mut found = Vec::new();
        while let Some(folder) = folders.pop() {
            let entries = std::fs::read_dir(folder).expect("the folder can be read");
            for path in entries.map(|entry| entry.expect("the entry can be read").path()) {
                if path.is_dir() {
                    folders.push(path);
                    continue;
                }
                let bytes = std::fs::read(&path).expect("the file can be read");
                let mut windows = bytes.windows(text.len());
                if windows.any(|window| window == text.as_bytes()) {
                    found.push(path);
                }
            }
        }
        found
    }

    /// Returns a gateway's metrics as text.
    ///
    /// # Panics
    ///
    /// Panics if the gateway does not return them.
    pub async fn metrics(&self, gateway: usize) -> String {
        let metrics = self.gateways[gateway].common.metrics.to_string();
        let answer = self.get(&metrics, "/metrics").await;
        answer.expect("the gateway returns its metrics").text()
    }

    /// Returns whether a keeper reports that it holds all acknowledged data.
    pub async fn is_whole(&self, keeper: usize) -> bool {
        let metrics = self.keepers[keeper].common.metrics;
        self.has_metric(metrics, "whole", 1).await
    }

    /// Waits until a metric of a process has this value.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
    async fn wait_for_metric(&self, metrics: SocketAddr, name: &str, value: u64) {
        let wait = async {
            while !self.has_metric(metrics, name, value).await {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("the condition holds in time");
    }

    /// Waits until a metric of a gateway has this value.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
    pub async fn wait_for_gauge(&self, gateway: usize, name: &str, value: u64) {
        let metrics = self.gateways[gateway].common.metrics;
        self.wait_for_metric(metrics, name, value).await;
    }

    /// Waits until a metric of a keeper has this value.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
    pub async fn wait_for_keeper_gauge(&self, keeper: usize, name: &str, value: u64) {
        let metrics = self.keepers[keeper].common.metrics;
        self.wait_for_metric(metrics, name, value).await;
    }

    /// Returns the first keeper that has this number of turns or more.
    ///
    /// # Panics
    ///
    /// Panics if none has in time.
    pub async fn keeper_with_turns(&self, turns: u64) -> usize {
        let wait = async {
            loop {
                for (number, keeper) in self.keepers.iter().enumerate() {
                    let metrics = keeper.common.metrics.to_string();
                    let answer = self.get(&metrics, "/metrics").await;
                    let text = answer.map_or_else(|_| String::new(), |answer| answer.text());
                    let value = text.lines().find_map(|line| line.strip_prefix(TURNS));
                    if value.is_some_and(|value| value.parse().is_ok_and(|held: u64| held >= turns))
                    {
                        return number;
                    }
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("a keeper has the turns in time")
    }

    /// Waits until a counter of a keeper with this label has reached a value.
    ///
    /// # Panics
    ///
    /// Panics if it has not in time.
    pub async fn wait_for_keeper_counter(
        &self,
        keeper: usize,
        name: &str,
        label: &str,
        least: u64,
    ) {
        let metrics = self.keepers[keeper].common.metrics.to_string();
        let name = format!("limpetferry_{name}{{");
        let label = format!("\"{label}\"");
        let is_reached = |text: &str| {
            let mut lines = text.lines();
            let line = lines.find(|line| line.starts_with(&name) && line.contains(&label));
            let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
            value.is_some_and(|value| value >= least)
        };
        let wait = async {
            while !(self.get(&metrics, "/metrics").await).is_ok_and(|a| is_reached(&a.text())) {
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("the condition holds in time");
    }

    /// Waits until a gateway's metrics have this line.
    ///
    /// # Panics
    ///
    /// Panics if they do not in time.
    pub async fn wait_for_metric_line(&self, gateway: usize, line: &str) {
        let address = self.gateways[gateway].common.metrics.to_string();
        let wait = async {
            loop {
                let answer = self.get(&address, "/metrics").await;
                if answer.is_ok_and(|answer| answer.text().lines().any(|l| l == line)) {
                    return;
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
        };
        within(CONDITION_TIMEOUT, wait)
            .await
            .expect("the condition holds in time");
    }

    /// Waits until a gateway uses this version of the routing document.
    pub async fn wait_for_routing(&self, gateway: usize, version: u64) {
        let metrics = self.gateways[gateway].common.metrics;
        self.wait_for_metric(metrics, "routing_version", version)
            .await;
    }

    /// Waits until a gateway lists this number of servers as ready.
    pub async fn wait_for_servers(&self, gateway: usize, count: u64) {
        let metrics = self.gateways[gateway].common.metrics;
        self.wait_for_metric(metrics, "servers_ready", count).await;
    }

    /// Waits until a keeper watches the platform's store.
    pub async fn wait_for_watch(&self, keeper: usize) {
        self.wait_for_keeper_gauge(keeper, "store_watching", 1)
            .await;
    }

    /// Waits until a keeper reports that it holds all acknowledged data.
    pub async fn wait_for_whole(&self, keeper: usize) {
        self.wait_for_keeper_gauge(keeper, "whole", 1).await;
    }
}
