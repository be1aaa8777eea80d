//! Gateways and keepers as processes of their own, before stand-ins of the
//! users' platform and its servers.

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
use crate::platform_server::StandInServer;
use crate::platform_store::StandInPlatform;
use crate::process::Process;
use crate::wire::Wire;

/// Key of the system's processes in tests.
const KEY: &str = "a key for the tests of a site";
/// Host of all routes.
pub const HOST: &str = "agents.example";
/// Longest wait for the site to serve; a test that needs more has failed.
const START_WAIT: Duration = Duration::from_secs(30);
/// Time between looks.
const LOOK: Duration = Duration::from_millis(20);
/// Longest wait for an answer.
const ANSWER_WAIT: Duration = Duration::from_secs(15);

/// Wires through which the processes of a site reach each other.
#[derive(Default)]
pub struct Wires {
    /// To the platform's store.
    pub store: Vec<Wire>,
    /// From each keeper to the first of these, so that one keeper alone hears
    /// nothing of the store.
    pub watches: Vec<Wire>,
    /// To each keeper.
    pub keepers: Vec<Wire>,
    /// To each server, in the order in which they were added.
    pub servers: Vec<Wire>,
}

/// A site under test.
pub struct PlatformSite {
    /// The platform's store.
    pub store: StandInPlatform,
    /// The engines.
    pub engines: Vec<StandInServer>,
    /// The plain servers.
    pub plain: Vec<StandInServer>,
    processes: BTreeMap<String, Process>,
    gateways: Vec<GatewaySettings>,
    keepers: Vec<KeeperSettings>,
    folder: Folder,
    /// Between the processes, if they are to be disturbed.
    pub wires: Wires,
    wired: bool,
    /// Decisions that gateways make.
    switches: Switches,
    /// How long the store may hold a call that watches it.
    hold: Duration,
    /// Keeps the store's listener open.
    _store_open: async_channel::Sender<()>,
    attempts: std::sync::atomic::AtomicU64,
}

/// How a site is built.
#[derive(Clone, Copy, Debug)]
struct SiteRules {
    wired: bool,
    switches: Switches,
    hold: Duration,
}

impl Default for SiteRules {
    fn default() -> Self {
        Self {
            wired: false,
            switches: Switches::default(),
            hold: store_watch::DEFAULT_HOLD,
        }
    }
}

impl SiteRules {
    fn wired() -> Self {
        Self {
            wired: true,
            ..Self::default()
        }
    }
}

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: Bytes,
    /// Whether it came to its end.
    pub whole: bool,
}

impl Answer {
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

/// Returns the routing document of the tests, in a version.
pub fn routing(version: u64) -> Value {
    let mut kept = route("stream", "streaming", "engine");
    kept["PathPrefix"] = json!("/stream/kept/");
    kept["Retained"] = json!(true);
    kept["RetentionS"] = json!(60.0);
    kept["MaxAttempts"] = json!(1);
    let mut resumable = route("resumable", "streaming", "engine");
    resumable["PathPrefix"] = json!("/stream/resumable/");
    resumable["Resumable"] = json!(true);
    resumable["MaxAttempts"] = json!(1);
    json!({
        "Version": version,
        "Routes": [
            kept, resumable,
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

/// Names of the workspaces of [`keyed_routing`], each with its key.
pub const WORKSPACES: [(&str, &str); 2] = [("red", "red1key4x8w1z5p"), ("blue", "blue1key6t0v3b7")];

/// Returns the routing document of the tests with workspaces, in a version.
pub fn keyed_routing(version: u64) -> Value {
    let mut document = routing(version);
    let workspaces = WORKSPACES.map(|(name, key)| json!({"Name": name, "ApiKeys": [key]}));
    document["Tenants"] = json!(workspaces);
    document
}

impl PlatformSite {
    /// Starts a site, and waits until all gateways serve.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start(gateways: usize, keepers: usize, faults: usize) -> Self {
        Self::begin(gateways, keepers, faults, SiteRules::default()).await
    }

    /// Starts a site whose gateways make these decisions, and waits until all of
    /// them serve.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start_switched(
        gateways: usize,
        keepers: usize,
        faults: usize,
        switches: Switches,
    ) -> Self {
        let rules = SiteRules {
            switches,
            ..SiteRules::default()
        };
        Self::begin(gateways, keepers, faults, rules).await
    }

    /// Starts a site whose processes reach each other through wires, and waits
    /// until all gateways serve.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start_wired(gateways: usize, keepers: usize, faults: usize) -> Self {
        Self::begin(gateways, keepers, faults, SiteRules::wired()).await
    }

    /// Starts a site as [`Self::start_wired`] does, whose gateways have these
    /// switches.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start_wired_switched(
        gateways: usize,
        keepers: usize,
        faults: usize,
        switches: Switches,
    ) -> Self {
        let rules = SiteRules {
            switches,
            ..SiteRules::wired()
        };
        Self::begin(gateways, keepers, faults, rules).await
    }

    /// Starts a site as [`Self::start_wired`] does, whose watches of the store
    /// that fall silent are not found by time within a test.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn start_wired_patient(gateways: usize, keepers: usize, faults: usize) -> Self {
        let rules = SiteRules {
            hold: store_watch::MAX_HOLD,
            ..SiteRules::wired()
        };
        Self::begin(gateways, keepers, faults, rules).await
    }

    async fn begin(gateways: usize, keepers: usize, faults: usize, rules: SiteRules) -> Self {
        let store = StandInPlatform::default();
        let (at, stop) = listen(any_port(), store.handler()).await;
        let mut site = Self {
            store,
            engines: Vec::new(),
            plain: Vec::new(),
            processes: BTreeMap::new(),
            gateways: Vec::new(),
            keepers: Vec::new(),
            folder: Folder::default(),
            wires: Wires::default(),
            wired: rules.wired,
            switches: rules.switches,
            hold: rules.hold,
            _store_open: stop,
            attempts: 0.into(),
        };
        site.store.put("op/config", &routing(1));
        let mut at = at;
        if rules.wired {
            let wire = Wire::to(at).await;
            at = wire.address();
            site.wires.store.push(wire);
        }
        for _ in 0..2 {
            site.add_engine().await;
            site.add_plain().await;
        }
        site.add_keepers(at, keepers, faults).await;
        site.add_gateways(at, gateways, faults);
        site.wait_ready().await;
        site
    }

    fn common(&self, node: &str, store: SocketAddr, faults: usize) -> NodeSettings {
        NodeSettings {
            node: node.to_owned(),
            centre: "here".to_owned(),
            peers: free(),
            advertised: None,
            metrics: free(),
            key: KEY.to_owned(),
            store,
            watch_ms: self.hold.as_millis() as u64,
            seeds: self
                .keepers
                .iter()
                .map(|keeper| keeper.common.reachable())
                .collect(),
            faults,
            stop_ms: 6_000,
            allowances: AllowanceBounds::default(),
            log: LogSettings::default(),
        }
    }

    async fn add_keepers(&mut self, store: SocketAddr, count: usize, faults: usize) {
        for number in 0..count {
            let node = format!("keeper-{number}");
            let folder = self.folder.join(&node);
            std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
            let mut common = self.common(&node, store, faults);
            if self.wired {
                let wire = Wire::to(common.peers).await;
                common.advertised = Some(wire.address());
                self.wires.keepers.push(wire);
                let watch = Wire::to(store).await;
                common.store = watch.address();
                self.wires.watches.push(watch);
            }
            self.keepers.push(KeeperSettings {
                common,
                data: DataSettings { folder, most: 100 },
                first: true,
            });
        }
        for number in 0..count {
            self.start_keeper(number);
            // Only the first start of all is the first.
            self.keepers[number].first = false;
        }
    }

    fn add_gateways(&mut self, store: SocketAddr, count: usize, faults: usize) {
        for number in 0..count {
            let settings = GatewaySettings {
                common: self.common(&format!("gateway-{number}"), store, faults),
                callers: free(),
                ready: free(),
                connections: 1_000,
                bodies_mb: 24,
                switches: self.switches,
                capacity: None,
            };
            self.gateways.push(settings);
            self.start_gateway(number);
        }
    }

    /// Starts a keeper, anew if it ran before.
    pub fn start_keeper(&mut self, number: usize) {
        let settings = &self.keepers[number];
        let node = settings.common.node.clone();
        let process = Process::spawn("limpetferry-keeper", &self.folder, &node, settings);
        self.processes.insert(node, process);
    }

    /// Starts a gateway, anew if it ran before.
    pub fn start_gateway(&mut self, number: usize) {
        let settings = &self.gateways[number];
        let node = settings.common.node.clone();
        let process = Process::spawn("limpetferry-gateway", &self.folder, &node, settings);
        self.processes.insert(node, process);
    }

    /// Starts a gateway anew with other settings, and waits until it takes
    /// callers.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
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

    /// Returns the settings of a gateway.
    pub fn gateway_settings(&self, number: usize) -> &GatewaySettings {
        &self.gateways[number]
    }

    /// Returns a process by its name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn process(&mut self, node: &str) -> &mut Process {
        self.processes.get_mut(node).expect("a process of the site")
    }

    /// Hands a process over to the test.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn take_process(&mut self, node: &str) -> Process {
        self.processes.remove(node).expect("a process of the site")
    }

    /// Returns the names of the processes that have ended.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self
            .processes
            .iter_mut()
            .filter_map(|(node, process)| process.has_ended().then(|| node.clone()));
        ended.collect()
    }

    /// Puts bytes at the end of a keeper's last file, as a write that was torn
    /// by a loss of power.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be written.
    pub fn tear(&self, number: usize, bytes: &[u8]) {
        let folder = std::fs::read_dir(&self.keepers[number].data.folder);
        let files = folder.expect("the folder is there").flatten();
        let files = files.map(|entry| entry.path());
        let last = files
            .filter(|path| path.extension().is_some_and(|end| end == "turns"))
            .max();
        if let Some(last) = last {
            let file = std::fs::OpenOptions::new().append(true).open(last);
            let mut file = file.expect("the file can be written");
            std::io::Write::write_all(&mut file, bytes).expect("the file can be written");
        }
    }

    /// Returns the address where a gateway takes callers.
    pub fn callers(&self, number: usize) -> String {
        self.gateways[number].callers.to_string()
    }

    /// Empties the disk of a keeper that does not run.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be written.
    pub fn wipe(&mut self, number: usize) {
        let folder = &self.keepers[number].data.folder;
        std::fs::remove_dir_all(folder).expect("the folder is there");
        std::fs::create_dir_all(folder).expect("the temporary folder can be written");
    }

    async fn add_engine(&mut self) {
        let server = StandInServer::default();
        let number = self.engines.len();
        self.register(&server, "engine", &format!("engine-{number}"))
            .await;
        self.engines.push(server);
    }

    /// Adds a plain server.
    pub async fn add_plain(&mut self) {
        let server = StandInServer::default();
        let number = self.plain.len();
        self.register(&server, "plain", &format!("plain-{number}"))
            .await;
        self.plain.push(server);
    }

    async fn register(&mut self, server: &StandInServer, service: &str, id: &str) {
        let mut address = server.start().await;
        if self.wired {
            let wire = Wire::to(address).await;
            address = wire.address();
            self.wires.servers.push(wire);
        }
        let entry = json!({"Service": service, "Address": address.to_string(), "Zone": "here",
                           "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": 1});
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Changes the state in a server's entry.
    ///
    /// # Panics
    ///
    /// Panics if the server has no entry.
    pub fn set_state(&self, id: &str, state: &str) {
        self.change_entry(id, |entry| entry["State"] = json!(state));
    }

    /// Changes a server's entry.
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

    /// Waits until all gateways take callers.
    ///
    /// # Panics
    ///
    /// Panics if that does not come about in time.
    pub async fn wait_ready(&self) {
        let ready = async {
            for number in 0..self.gateways.len() {
                while !self.is_ready(number).await {
                    smol::Timer::after(LOOK).await;
                }
            }
        };
        within(START_WAIT, ready)
            .await
            .expect("the site serves in time");
    }

    /// Waits until a gateway takes no callers; returns whether it does.
    ///
    /// # Panics
    ///
    /// Panics if that does not come about in time.
    pub async fn wait_not_ready(&self, number: usize) -> bool {
        let wait = async {
            while self.is_ready(number).await {
                smol::Timer::after(LOOK).await;
            }
        };
        within(START_WAIT, wait)
            .await
            .expect("it stops taking callers in time");
        self.is_ready(number).await
    }

    /// Puts faulty settings in the place of those of a process.
    ///
    /// # Panics
    ///
    /// Panics if the folder cannot be written.
    pub fn break_settings(&self, node: &str) {
        let file = self.folder.join(format!("{node}.json"));
        std::fs::write(file, "{}").expect("the temporary folder can be written");
    }

    /// Returns the first line with `text` that a process has logged; lines begin
    /// with their time.
    pub fn logged(&self, node: &str, text: &str) -> Option<String> {
        let log = std::fs::read_to_string(self.folder.join(format!("{node}.log")));
        let log = log.ok()?;
        let line = log.lines().find(|line| line.contains(text));
        line.map(str::to_owned)
    }

    /// Waits until a process has logged a line with `text`.
    ///
    /// # Panics
    ///
    /// Panics if that does not come about in time.
    pub async fn wait_for_log(&self, node: &str, text: &str) {
        self.wait_until(|site| site.logged(node, text).is_some())
            .await;
    }

    /// Returns whether a gateway takes callers.
    pub async fn is_ready(&self, number: usize) -> bool {
        let address = self.gateways[number].ready.to_string();
        let answer = self.get(&address, "/api/readyz").await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until `done` is true of what it is told.
    ///
    /// # Panics
    ///
    /// Panics if that does not come about in time.
    pub async fn wait_until(&self, done: impl Fn(&Self) -> bool) {
        let wait = async {
            while !done(self) {
                smol::Timer::after(LOOK).await;
            }
        };
        within(START_WAIT, wait)
            .await
            .expect("it comes about in time");
    }

    /// Returns an attempt id that was not used before.
    pub fn attempt(&self) -> String {
        let order = std::sync::atomic::Ordering::Relaxed;
        format!("{:016x}", self.attempts.fetch_add(1, order) + 1)
    }

    /// Sends a request with a new attempt id to a gateway.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if there is no answer.
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

    /// Sends a request with these headers only.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if there is no answer.
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
        let work = async {
            let mut sender = connect(address).await?;
            let broken = |error: hyper::Error| HttpError::Broken(error.to_string());
            let response = sender.send_request(request).await.map_err(broken)?;
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
        within(ANSWER_WAIT, work)
            .await
            .unwrap_or(Err(HttpError::Late))
    }

    /// Sends bytes to a gateway, and returns what comes back first.
    ///
    /// # Panics
    ///
    /// Panics if there is no connection or nothing comes.
    pub async fn send_bytes(&self, gateway: usize, bytes: &str) -> String {
        let stream = TcpStream::connect(self.gateways[gateway].callers).await;
        let mut stream = stream.expect("the gateway listens");
        stream.write_all(bytes.as_bytes()).await.expect("it reads");
        let mut answer = vec![0; 1_024];
        let read = within(ANSWER_WAIT, stream.read(&mut answer)).await;
        let size = read.expect("it answers in time").expect("it answers");
        String::from_utf8_lossy(&answer[..size]).into_owned()
    }

    /// Returns whether a process shows this value of a metric.
    async fn shows(&self, metrics: SocketAddr, name: &str, value: u64) -> bool {
        let line = format!("limpetferry_{name} {value}");
        let answer = self.get(&metrics.to_string(), "/metrics").await;
        answer.is_ok_and(|answer| answer.text().lines().any(|shown| shown == line))
    }

    async fn get(&self, address: &str, path: &str) -> Result<Answer, HttpError> {
        let request = Request::get(path).header("host", address);
        let request = request.body(Full::default());
        let request = request.expect("an address and a path are valid");
        self.exchange(address, request).await
    }

    /// Returns the files of the site, settings, logs and disks, that hold a text.
    ///
    /// # Panics
    ///
    /// Panics if a file cannot be read.
    pub fn files_with(&self, text: &str) -> Vec<PathBuf> {
        let mut folders = vec![self.folder.join("")];
        let mut found = Vec::new();
        while let Some(folder) = folders.pop() {
            let entries = std::fs::read_dir(folder).expect("the folder can be read");
            for path in entries.map(|entry| entry.expect("it has entries").path()) {
                if path.is_dir() {
                    folders.push(path);
                    continue;
                }
                let bytes = std::fs::read(&path).expect("the file can be read");
                let mut places = bytes.windows(text.len());
                if places.any(|place| place == text.as_bytes()) {
                    found.push(path);
                }
            }
        }
        found
    }

    /// Returns what a gateway shows as its metrics.
    ///
    /// # Panics
    ///
    /// Panics if it shows none.
    pub async fn metrics(&self, gateway: usize) -> String {
        let metrics = self.gateways[gateway].common.metrics.to_string();
        let answer = self.get(&metrics, "/metrics").await;
        answer.expect("it shows its metrics").text()
    }

    /// Returns whether a keeper has all that was ever acknowledged.
    pub async fn is_whole(&self, keeper: usize) -> bool {
        let metrics = self.keepers[keeper].common.metrics;
        self.shows(metrics, "whole", 1).await
    }

    /// Waits until a gateway's metric has a value.
    ///
    /// # Panics
    ///
    /// Panics if that does not come about in time.
    async fn wait_for(&self, metrics: SocketAddr, name: &str, value: u64) {
        let wait = async {
            while !self.shows(metrics, name, value).await {
                smol::Timer::after(LOOK).await;
            }
        };
        within(START_WAIT, wait)
            .await
            .expect("it comes about in time");
    }

    /// Waits until a gateway goes by a version of the routing.
    pub async fn wait_for_routing(&self, gateway: usize, version: u64) {
        let metrics = self.gateways[gateway].common.metrics;
        self.wait_for(metrics, "routing_version", version).await;
    }

    /// Waits until a gateway knows so many servers that take requests.
    pub async fn wait_for_servers(&self, gateway: usize, count: u64) {
        let metrics = self.gateways[gateway].common.metrics;
        self.wait_for(metrics, "servers_ready", count).await;
    }

    /// Waits until a keeper watches the platform's store.
    pub async fn wait_for_watch(&self, keeper: usize) {
        let metrics = self.keepers[keeper].common.metrics;
        self.wait_for(metrics, "store_watching", 1).await;
    }

    /// Waits until a keeper has all that was ever acknowledged.
    pub async fn wait_for_whole(&self, keeper: usize) {
        let metrics = self.keepers[keeper].common.metrics;
        self.wait_for(metrics, "whole", 1).await;
    }
}
