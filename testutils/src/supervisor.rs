//! Restarts servers whose process ends, as a supervisor does: at once, under a new
//! id and a new address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde_json::Value;
use serde_json::json;

use crate::platform_server::Run;
use crate::platform_server::StandInServer;
use crate::platform_store::StandInPlatform;

#[derive(Default)]
struct State {
    /// All servers so far, with their ids; those that have ended too.
    servers: Vec<(String, StandInServer)>,
    /// Ids of ended servers whose entry is still there, the oldest first. The
    /// store drops an entry only after several missing heartbeats.
    lapsing: Vec<String>,
}

/// Servers of one service, each of which is replaced when its process ends.
#[derive(Clone)]
pub struct Supervisor {
    service: &'static str,
    store: StandInPlatform,
    state: Arc<Mutex<State>>,
    /// Paths under which servers end.
    end_reports: (
        async_channel::Sender<String>,
        async_channel::Receiver<String>,
    ),
}

impl Supervisor {
    /// Starts `count` servers of a service, which register in the store.
    pub async fn start(store: &StandInPlatform, service: &'static str, count: usize) -> Self {
        let supervisor = Self {
            service,
            store: store.clone(),
            state: Arc::default(),
            end_reports: async_channel::unbounded(),
        };
        for _ in 0..count {
            let (mut id, mut ended) = supervisor.start_server().await;
            let this = supervisor.clone();
            smol::spawn(async move {
                loop {
                    // It is closed, never sent to.
                    let _ = ended.recv().await;
                    this.lapse(id);
                    (id, ended) = this.start_server().await;
                }
            })
            .detach();
        }
        supervisor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Starts a server, and returns its id with a receiver that closes when it ends.
    async fn start_server(&self) -> (String, async_channel::Receiver<()>) {
        let server = StandInServer::default();
        let ended = server.wait_end();
        server.report_ends(self.end_reports.0.clone());
        let address = server.start().await;
        let id = {
            let mut state = self.lock();
            let id = format!("{}-supervised-{}", self.service, state.servers.len());
            state.servers.push((id.clone(), server));
            id
        };
        self.store.put(&key(&id), &entry(self.service, address));
        (id, ended)
    }

    /// Removes the entry of the server that ended before this one.
    fn lapse(&self, ended: String) {
        let lapsed = {
            let mut state = self.lock();
            state.lapsing.push(ended);
            (state.lapsing.len() > 1).then(|| state.lapsing.remove(0))
        };
        if let Some(lapsed) = lapsed {
            self.store.remove(&key(&lapsed));
        }
    }

    /// Returns the requests that all servers executed, by server.
    pub fn runs(&self) -> Vec<Run> {
        let state = self.lock();
        let servers = state.servers.iter();
        servers.flat_map(|(_, server)| server.runs()).collect()
    }

    /// Returns how many servers executed a request with this path.
    pub fn servers_of(&self, path: &str) -> usize {
        let state = self.lock();
        let servers = state.servers.iter();
        let ran = servers.filter(|(_, server)| server.runs().iter().any(|run| run.path == path));
        ran.count()
    }

    /// Returns how many servers ended while they executed a request with this path.
    pub fn ended_under(&self, path: &str) -> usize {
        let state = self.lock();
        let servers = state.servers.iter();
        let ended = servers.filter(|(_, server)| server.has_ended_under(path));
        ended.count()
    }

    /// Waits until a server has ended while it executed a request with this path. One
    /// caller waits at a time.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub async fn wait_ended_under(&self, path: &str) {
        while self.ended_under(path) == 0 {
            let report = self.end_reports.1.recv().await;
            report.expect("its sender is kept here");
        }
    }

    /// Returns how often servers executed a request with this path.
    pub fn runs_of(&self, path: &str) -> usize {
        self.runs().iter().filter(|run| run.path == path).count()
    }

    /// Returns how many servers have an entry in the store.
    pub fn listed(&self) -> usize {
        let state = self.lock();
        let running = state.servers.iter().filter(|(_, one)| !one.has_ended());
        running.count() + state.lapsing.len()
    }

    /// Returns how many servers have ended.
    pub fn ended(&self) -> usize {
        let state = self.lock();
        let servers = state.servers.iter();
        servers.filter(|(_, server)| server.has_ended()).count()
    }

    /// Returns the servers that run.
    pub fn running(&self) -> Vec<StandInServer> {
        let state = self.lock();
        let servers = state.servers.iter().map(|(_, server)| server);
        servers
            .filter(|server| !server.has_ended())
            .cloned()
            .collect()
    }
}

fn key(id: &str) -> String {
    format!("servers/{id}")
}

fn entry(service: &str, address: SocketAddr) -> Value {
    json!({"Service": service, "Address": address.to_string(), "Zone": "here", "Version": "v1",
           "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": 1})
}
