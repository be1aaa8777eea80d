//! Callers in the soak test whose requests end the servers that run them, and that do
//! not stop sending them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Bytes;
use limpetferry_net::http::connect;
use limpetferry_net::timeout::within;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;

use crate::platform_server::FATAL;
use crate::platform_site::HOST;
use crate::platform_site::PlatformSite;
use crate::platform_site::WORKSPACES;
use crate::platform_site::keyed_routing;
use crate::supervisor::Supervisor;

/// Service whose servers are replaced when they end.
pub const SERVICE: &str = "fragile";
/// Number of its servers.
pub const SERVERS: usize = 6;
/// Servers that may end under a request.
const MAX_ENDS: usize = 3;
/// Attempts after which a caller begins another request.
const MAX_ATTEMPTS: usize = 14;
/// Attempts that are refused for good after which a caller begins another request.
const MAX_REFUSED: usize = 3;
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// When the requests end their servers.
const WHEN: [&str; 5] = ["0", "1", "3", "whole", "sometimes"];

/// Returns the routing document of the soak, with the routes of these callers.
pub fn routing(version: u64) -> Value {
    let mut document = keyed_routing(version);
    let route = |name: &str, kind: &str, resumable: bool| {
        json!({
            "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Type": kind,
            "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 1, "Service": SERVICE,
            "MaxAttempts": 2, "Retained": false, "Sticky": false, "Resumable": resumable,
        })
    };
    let mut stream = route("stream/fragile", "streaming", true);
    stream["PathPrefix"] = json!("/stream/fragile/");
    let routes = document["Routes"].as_array_mut().expect("it has routes");
    routes.extend([route("fragile", "idempotent", false), stream]);
    let services = document["Services"]
        .as_array_mut()
        .expect("it has services");
    services.push(json!({"Name": SERVICE, "MaxConns": 100}));
    document
}

/// A request that ends servers, as its caller sent it.
#[derive(Clone, Debug)]
pub struct FatalRequest {
    path: String,
    attempts: Vec<String>,
    /// When it was sent first and last.
    sent: (Instant, Instant),
    statuses: Vec<u16>,
}

impl FatalRequest {
    /// Returns the log lines of its attempts, and those that name only its
    /// fingerprint.
    fn logged(&self, site: &PlatformSite) -> Vec<String> {
        let attempts = self.attempts.iter();
        let mut lines: Vec<String> = attempts
            .flat_map(|attempt| site.logged_anywhere(attempt))
            .collect();
        let named = lines.iter().find_map(|line| line.split("request=").nth(1));
        let id = named.map(|id| id.chars().take(32).collect::<String>());
        lines.extend(id.into_iter().flat_map(|id| site.logged_anywhere(&id)));
        lines.sort();
        lines.dedup();
        lines
    }
}

/// Requests of all such callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct FatalRequests(Arc<Mutex<Vec<FatalRequest>>>);

impl FatalRequests {
    fn all(&self) -> Vec<FatalRequest> {
        self.0.lock().expect("no panic while locked").clone()
    }

    /// Returns the number of requests that were refused for good.
    pub fn refused(&self) -> usize {
        let refused = |request: &FatalRequest| request.statuses.contains(&400);
        self.all().iter().filter(|request| refused(request)).count()
    }

    /// Returns how many servers ended under one request, at most.
    pub fn most_ended(&self, servers: &Supervisor) -> usize {
        let requests = self.all();
        let ended = requests.iter().map(|one| servers.ended_under(&one.path));
        ended.max().unwrap_or(0)
    }

    /// Returns what is broken: a request that was sent after three servers ended under
    /// it. Each fault that may hide an end from the others allows one more; `faults`
    /// are their spans. What the processes of the site logged of it follows.
    pub fn broken(
        &self,
        site: &PlatformSite,
        servers: &Supervisor,
        faults: &[(Instant, Instant)],
    ) -> Vec<String> {
        let requests = self.all();
        let broken = requests.iter().filter_map(|request| {
            let (first, last) = request.sent;
            let during = faults.iter();
            let hidden = during.filter(|(from, to)| *from <= last && first <= *to);
            let allowed = MAX_ENDS + hidden.count();
            let ended = servers.ended_under(&request.path);
            (ended > allowed).then(|| {
                let what = format!(
                    "{ended} servers ended under {}, {allowed} at most may; statuses {:?}",
                    request.path, request.statuses
                );
                [vec![what], request.logged(site)].concat()
            })
        });
        broken.flatten().collect()
    }
}

/// A caller of requests that end servers.
pub struct FatalCaller {
    number: usize,
    random: SmallRng,
    gateways: Vec<String>,
    requests: FatalRequests,
    attempts: u64,
}

impl FatalCaller {
    /// Creates a caller of the gateways at these addresses.
    pub fn new(number: usize, seed: u64, gateways: Vec<String>, requests: FatalRequests) -> Self {
        let seed = seed.wrapping_mul(1_000).wrapping_add(900 + number as u64);
        Self {
            number,
            random: SmallRng::seed_from_u64(seed),
            gateways,
            requests,
            attempts: 0,
        }
    }

    /// Sends one request after the other until `stop` is closed.
    pub async fn run(mut self, stop: async_channel::Receiver<()>) {
        let mut number = 0;
        while !stop.is_closed() {
            self.send_request(number, &stop).await;
            number += 1;
        }
    }

    async fn send_request(&mut self, number: u64, stop: &async_channel::Receiver<()>) {
        let when = WHEN[self.random.random_range(0..WHEN.len())];
        let prefix = ["/fragile", "/stream/fragile"][self.random.random_range(0..2)];
        let path = format!("{prefix}/{FATAL}{when}-{}-{number}", self.number);
        let first = Instant::now();
        let (mut attempts, mut statuses) = (Vec::new(), Vec::new());
        for _ in 0..MAX_ATTEMPTS {
            if stop.is_closed() {
                break;
            }
            let attempt = self.next_attempt();
            attempts.push(attempt.clone());
            let sent = within(ANSWER_TIMEOUT, self.send(&path, attempt));
            let status = sent.await.flatten();
            statuses.push(status.unwrap_or(0));
            let refused = statuses.iter().filter(|status| **status == 400).count();
            if refused >= MAX_REFUSED {
                break;
            }
            let pause = self.random.random_range(0..60);
            smol::Timer::after(Duration::from_millis(pause)).await;
        }
        let sent = (first, Instant::now());
        let mut requests = self.requests.0.lock().expect("no panic while locked");
        requests.push(FatalRequest {
            path,
            attempts,
            sent,
            statuses,
        });
    }

    fn next_attempt(&mut self) -> String {
        self.attempts += 1;
        format!("f{:03x}{:012x}", self.number, self.attempts)
    }

    /// Sends an attempt, and returns the status of its answer, if it has one.
    async fn send(&mut self, path: &str, attempt: String) -> Option<u16> {
        let (_, key) = WORKSPACES[0];
        let method = if path.starts_with("/stream") {
            "POST"
        } else {
            "GET"
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST)
            .header("authorization", format!("Token {key}"))
            .header("x-attempt-id", attempt)
            .header(
                "x-program-id",
                format!("fatal-{}-{}", self.number, self.attempts),
            )
            .header("x-token-usage", "100,50")
            .body(Full::new(Bytes::new()))
            .expect("the headers are valid");
        let gateway = self.random.random_range(0..self.gateways.len());
        let mut sender = connect(&self.gateways[gateway]).await.ok()?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        // One that breaks off ends its server.
        let _ = response.into_body().collect().await;
        Some(status)
    }
}
