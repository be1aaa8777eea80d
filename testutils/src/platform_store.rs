//! Fake of the key-value store of the users' platform: the calls that the system
//! uses, with the faults that the platform specifies.

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
use percent_encoding::percent_decode_str;
use serde_json::Value;
use serde_json::json;

/// Time between two checks of a call that waits.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of each value of a list without end, and what its keys begin with.
const ENDLESS_VALUE: usize = 64 << 10;
const ENDLESS_PREFIX: &str = "servers/~";
/// Items per page; small, so that tests need more than one page.
const PAGE_SIZE: usize = 10;

/// Faults that a test can inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// If set, all calls are answered with this status and have no effect.
    pub refuse: Option<u16>,
    /// Number of further writes that take effect without an answer.
    pub lose_replies: u32,
    /// Whether watches return no events before their wait is over.
    pub mute: bool,
    /// Whether pages after the first one are withheld.
    pub hold_pages: bool,
    /// Whether there is always a further page.
    pub endless_pages: bool,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    history: Vec<Value>,
    /// Revision up to which the history was compacted.
    compacted: u64,
    revision: u64,
    /// Number of times that all watches were ended.
    watch_resets: u64,
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

    /// Returns a page after which there is another one, whatever the store holds.
    fn endless_page(&self, after: &str) -> Value {
        let last = after.strip_prefix(ENDLESS_PREFIX);
        let last: usize = last.and_then(|number| number.parse().ok()).unwrap_or(0);
        let value = "A".repeat(ENDLESS_VALUE);
        let items = (1..=PAGE_SIZE).map(|number| {
            let key = format!("{ENDLESS_PREFIX}{:020}", last + number);
            json!({"Key": key, "Value": value, "Revision": self.revision})
        });
        let items: Vec<Value> = items.collect();
        json!({"items": items, "HasMore": true, "StoreRevision": self.revision})
    }

    fn list(&self, prefix: &str, after: &str) -> Value {
        if self.faults.endless_pages {
            return self.endless_page(after);
        }
        let mut items: Vec<Value> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_SIZE + 1)
            .map(|(key, (value, revision))| json!({"Key": key, "Value": value, "Revision": revision}))
            .collect();
        let more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        json!({"items": items, "HasMore": more, "StoreRevision": self.revision})
    }

    fn compare_and_swap(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for row in rows("ExpectedRev") {
            let key = row["Key"].as_str().unwrap_or_default();
            let current = self.items.get(key).map_or(0, |(_, revision)| *revision);
            if row["Revision"].as_u64() != Some(current) {
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

/// The fake store; clones share their state.
#[derive(Clone, Default)]
pub struct StandInPlatform {
    state: Arc<Mutex<State>>,
}

impl StandInPlatform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Writes an item, as the operator or a server would.
    pub fn put(&self, key: &str, value: &Value) {
        let value = BASE64.encode(value.to_string());
        self.lock().put(key, &value);
    }

    /// Writes an item whose value may be no JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        let value = BASE64.encode(value);
        self.lock().put(key, &value);
    }

    /// Removes an item, and returns the revision of the store after that.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.lock();
        state.remove(key);
        state.revision
    }

    /// Reads an item.
    ///
    /// # Panics
    ///
    /// Panics if the value is not JSON in base64.
    pub fn get(&self, key: &str) -> Option<Value> {
        let state = self.lock();
        let (value, _) = state.items.get(key)?;
        let bytes = BASE64.decode(value).expect("values are base64");
        Some(serde_json::from_slice(&bytes).expect("values are JSON"))
    }

    /// Returns all values of a key in the uncompacted history, oldest first.
    ///
    /// # Panics
    ///
    /// Panics if a value is not JSON in base64.
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

    /// Compacts the whole history, and ends all watches.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.compacted = state.revision;
        state.watch_resets += 1;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the request handler.
    pub fn handler(&self) -> Handler {
        let store = self.clone();
        Arc::new(move |request| {
            let store = store.clone();
            Box::pin(async move { store.answer(request).await })
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
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value);
            let value = found.next_back().unwrap_or_default();
            percent_decode_str(value).decode_utf8_lossy().into_owned()
        };
        match path.as_str() {
            "/api/kv-range" => {
                let after = parameter("after");
                while !after.is_empty() && self.lock().faults.hold_pages {
                    smol::Timer::after(POLL_INTERVAL).await;
                }
                let page = self.lock().list(&parameter("PathPrefix"), &after);
                json_answer(200, &page)
            }
            "/api/kv-watch" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait_ms = parameter("WaitMs").parse().unwrap_or(0);
                self.watch(&parameter("PathPrefix"), after, wait_ms).await
            }
            "/api/kv-txn" => {
                let body = request.into_body().collect().await;
                let body = body.map(|body| body.to_bytes()).unwrap_or_default();
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                self.compare_and_swap(&body).await
            }
            _ => json_answer(404, &json!({})),
        }
    }

    async fn compare_and_swap(&self, body: &Value) -> Response<Body> {
        let (status, answer, lost) = {
            let mut state = self.lock();
            let (status, answer) = state.compare_and_swap(body);
            let lost = state.faults.lose_replies > 0;
            state.faults.lose_replies = state.faults.lose_replies.saturating_sub(1);
            (status, answer, lost)
        };
        if lost {
            futures_lite::future::pending::<()>().await;
        }
        json_answer(status, &answer)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Response<Body> {
        let start = Instant::now();
        let watch_resets = self.lock().watch_resets;
        loop {
            {
                let state = self.lock();
                if state.watch_resets != watch_resets {
                    return json_answer(503, &json!({}));
                }
                if after < state.compacted {
                    return json_answer(410, &json!({}));
                }
                let is_new = |event: &&Value| {
                    event["Revision"].as_u64() > Some(after)
                        && event["Key"]
                            .as_str()
                            .is_some_and(|key| key.starts_with(prefix))
                };
                let events: Vec<&Value> = state.history.iter().filter(is_new).collect();
                let expired = start.elapsed() >= Duration::from_millis(wait_ms);
                if expired || (!events.is_empty() && !state.faults.mute) {
                    let answer = json!({"events": events, "StoreRevision": state.revision});
                    return json_answer(200, &answer);
                }
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
}
