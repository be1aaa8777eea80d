//! Stand-in for the store of the users' platform, as far as the system uses
//! it, with the faults that their pages name.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use limpetferry_net::http::Body;
use limpetferry_net::http::Handler;
use limpetferry_net::http::json as json_answer;
use serde_json::Value;
use serde_json::json;

/// Time between looks of a waiting watch.
const LOOK: Duration = Duration::from_millis(5);
/// Items on one page, few enough that tests meet a second one.
const PAGE: usize = 10;

/// Faults that a test switches on.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Status that all calls get instead of an answer.
    pub refuse: Option<u16>,
    /// Writes that take effect without an answer.
    pub lose_replies: u32,
    /// Whether watches hear nothing.
    pub mute: bool,
    /// Whether pages after the first one wait.
    pub hold_pages: bool,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    history: Vec<Value>,
    /// Revisions up to which the history was dropped.
    dropped: u64,
    revision: u64,
    /// Counts the cuts of all watches.
    cuts: u64,
    faults: PlatformFaults,
    calls: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.items
            .insert(key.to_owned(), (value.to_owned(), revision));
        self.history
            .push(json!({"Key": key, "Value": value, "Revision": revision, "Lease": 0}));
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history
                .push(json!({"Key": key, "Revision": revision, "Tombstone": true}));
        }
    }

    fn list(&self, prefix: &str, after: &str) -> Value {
        let mut items: Vec<Value> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE + 1)
            .map(|(key, (value, revision))| json!({"Key": key, "Value": value, "Revision": revision}))
            .collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        json!({"items": items, "HasMore": more, "StoreRevision": self.revision})
    }

    fn swap(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("ExpectedRev") {
            let key = row["Key"].as_str().unwrap_or_default();
            let have = self.items.get(key).map_or(0, |(_, revision)| *revision);
            if row["Revision"].as_u64() != Some(have) {
                return (412, json!({"items": []}));
            }
        }
        let mut revision = self.revision;
        for row in rows("Puts") {
            let (key, value) = (row["Key"].as_str(), row["Value"].as_str());
            revision = self.put(key.unwrap_or_default(), value.unwrap_or_default());
        }
        (200, json!({"Revision": revision}))
    }
}

/// The stand-in; clones share their state.
#[derive(Clone, Default)]
pub struct StandInPlatform {
    state: Arc<Mutex<State>>,
}

impl StandInPlatform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Switches faults on or off.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Writes an item, as the operator or a server would.
    pub fn put(&self, key: &str, value: &Value) {
        let value = BASE64.encode(value.to_string());
        self.lock().put(key, &value);
    }

    /// Removes an item, and returns the revision of the store then.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.remove(key);
        state.revision
    }

    /// Reads an item.
    ///
    /// # Panics
    ///
    /// Panics if the value is no JSON in base64.
    pub fn get(&self, key: &str) -> Option<Value> {
        let state = self.lock();
        let (value, _) = state.items.get(key)?;
        let bytes = BASE64.decode(value).expect("values are base64");
        Some(serde_json::from_slice(&bytes).expect("values are JSON"))
    }

    /// Returns all that was ever written under a key and is not dropped, oldest
    /// first.
    ///
    /// # Panics
    ///
    /// Panics if a value is no JSON in base64.
    pub fn written(&self, key: &str) -> Vec<Value> {
        let state = self.lock();
        let events = state.history.iter().filter(|event| event["Key"] == key);
        let values = events.filter_map(|event| event["Value"].as_str());
        values
            .map(|value| {
                let bytes = BASE64.decode(value).expect("values are base64");
                serde_json::from_slice(&bytes).expect("values are JSON")
            })
            .collect()
    }

    /// Drops all history, and cuts the watches.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.dropped = state.revision;
        state.cuts += 1;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns what answers the listener.
    pub fn handler(&self) -> Handler {
        let this = self.clone();
        Arc::new(move |request| {
            let this = this.clone();
            Box::pin(async move { this.answer(request).await })
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
            state.faults
        };
        if let Some(status) = faults.refuse {
            return json_answer(status, &json!({}));
        }
        let query = request.uri().query().unwrap_or_default().to_owned();
        let path = request.uri().path().to_owned();
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value);
            found.next_back().unwrap_or_default().to_owned()
        };
        match path.as_str() {
            "/api/kv-range" => {
                let after = field("after");
                while !after.is_empty() && self.lock().faults.hold_pages {
                    smol::Timer::after(LOOK).await;
                }
                let page = self.lock().list(&field("PathPrefix"), &after);
                json_answer(200, &page)
            }
            "/api/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("WaitMs").parse().unwrap_or(0);
                self.watch(&field("PathPrefix"), after, wait).await
            }
            "/api/kv-txn" => {
                let body = request.into_body().collect().await;
                let body = body.map(|body| body.to_bytes()).unwrap_or_default();
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                self.swap(&body).await
            }
            _ => json_answer(404, &json!({})),
        }
    }

    async fn swap(&self, body: &Value) -> Response<Body> {
        let (status, answer, lost) = {
            let mut state = self.lock();
            let (status, answer) = state.swap(body);
            let lost = state.faults.lose_replies > 0;
            state.faults.lose_replies = state.faults.lose_replies.saturating_sub(1);
            (status, answer, lost)
        };
        if lost {
            futures_lite::future::pending::<()>().await;
        }
        json_answer(status, &answer)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: u64) -> Response<Body> {
        let start = Instant::now();
        let cuts = self.lock().cuts;
        loop {
            {
                let state = self.lock();
                if state.cuts != cuts {
                    return json_answer(503, &json!({}));
                }
                if after < state.dropped {
                    return json_answer(410, &json!({}));
                }
                let news = |event: &&Value| {
                    event["Revision"].as_u64() > Some(after)
                        && event["Key"]
                            .as_str()
                            .is_some_and(|key| key.starts_with(prefix))
                };
                let events: Vec<&Value> = state.history.iter().filter(news).collect();
                let over = start.elapsed() >= Duration::from_millis(wait);
                if over || (!events.is_empty() && !state.faults.mute) {
                    let answer = json!({"events": events, "StoreRevision": state.revision});
                    return json_answer(200, &answer);
                }
            }
            smol::Timer::after(LOOK).await;
        }
    }
}
