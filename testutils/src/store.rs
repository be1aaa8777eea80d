//! Stand-in for the platform's key-value service: the part of the etcd v3 JSON
//! API that the system uses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use limpetferry_net::http::Body;
use limpetferry_net::http::Cut;
use limpetferry_net::http::Handler;
use limpetferry_net::http::json as json_answer;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Faults that a test switches on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether calls are left unanswered.
    pub down: bool,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but are not answered.
    pub lose_replies: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    value: String,
    revision: u64,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<Vec<u8>, Entry>,
    revision: u64,
    leases: u64,
    faults: StoreFaults,
    calls: BTreeMap<String, u64>,
    log: Vec<Value>,
    watchers: Vec<Watcher>,
}

struct Watcher {
    start: Vec<u8>,
    end: Vec<u8>,
    sender: async_channel::Sender<Bytes>,
}

/// The stand-in; clones share their state.
#[derive(Clone, Default)]
pub struct StandInStore {
    state: Arc<Mutex<State>>,
}

impl StandInStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Switches faults on or off. Going down also closes all watches.
    pub fn set_faults(&self, faults: StoreFaults) {
        let mut state = self.lock();
        if faults.down {
            state.watchers.clear();
        }
        state.faults = faults;
    }

    /// Returns the number of calls received so far, by path.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.lock().calls.clone()
    }

    /// Writes a value, as a process would through the API.
    pub fn set(&self, key: &str, value: &str) {
        let body = json!({"key": BASE64.encode(key), "value": BASE64.encode(value)});
        let mut state = self.lock();
        state.revision += 1;
        state.put(&body);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.lock();
        state
            .entries
            .get(key.as_bytes())
            .map(|entry| entry.value.clone())
    }

    /// Returns the HTTP handler.
    pub fn handler(&self) -> Handler {
        let this = self.clone();
        Arc::new(move |request| {
            let this = this.clone();
            Box::pin(async move { this.answer(request).await })
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let bytes = request.into_body().collect().await;
        let bytes = bytes.map(|body| body.to_bytes()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        if path == "/faults" {
            self.set_faults(serde_json::from_value(body).unwrap_or_default());
            return json_answer(200, &json!({}));
        }
        if path == "/calls" {
            return json_answer(200, &json!(self.calls()));
        }
        let faults = {
            let mut state = self.lock();
            *state.calls.entry(path.clone()).or_default() += 1;
            state.faults.clone()
        };
        if faults.down {
            std::future::pending::<()>().await;
        }
        if faults.delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        if path == "/v3/watch" {
            return self.watch(&body["create_request"]);
        }
        let answer = self.lock().call(&path, &body);
        let writes = path.ends_with("txn") || path.ends_with("put");
        if writes && self.lose_reply() {
            std::future::pending::<()>().await;
        }
        match answer {
            Some(answer) => json_answer(200, &answer),
            None => json_answer(404, &json!({"error": "no such call"})),
        }
    }

    fn lose_reply(&self) -> bool {
        let mut state = self.lock();
        let lose = state.faults.lose_replies > 0;
        state.faults.lose_replies = state.faults.lose_replies.saturating_sub(1);
        lose
    }

    fn watch(&self, request: &Value) -> Response<Body> {
        let (sender, receiver) = async_channel::unbounded::<Bytes>();
        let start = decode(&request["key"]);
        let end = decode(&request["range_end"]);
        let from = number(&request["start_revision"]);
        let mut state = self.lock();
        let created = json!({"result": {"created": true}});
        let _ = sender.try_send(line(&created));
        for event in &state.log {
            let key = decode(&event["kv"]["key"]);
            let wanted = key >= start && key < end;
            if wanted && number(&event["kv"]["mod_revision"]) >= from {
                let _ = sender.try_send(line(&json!({"result": {"events": [event]}})));
            }
        }
        state.watchers.push(Watcher { start, end, sender });
        let frames =
            futures_lite::StreamExt::map(receiver, |bytes| Ok::<_, Cut>(Frame::data(bytes)));
        Response::new(http_body_util::BodyExt::boxed_unsync(StreamBody::new(
            frames,
        )))
    }
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn decode(value: &Value) -> Vec<u8> {
    BASE64
        .decode(value.as_str().unwrap_or_default())
        .unwrap_or_default()
}

fn text(value: &Value) -> String {
    String::from_utf8(decode(value)).unwrap_or_default()
}

fn number(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

impl State {
    fn call(&mut self, path: &str, body: &Value) -> Option<Value> {
        let answer = match path {
            "/v3/kv/range" => self.range(body),
            "/v3/kv/put" => {
                self.revision += 1;
                self.put(body);
                json!({"header": self.header()})
            }
            "/v3/kv/deleterange" => self.delete(&decode(&body["key"])),
            "/v3/kv/txn" => self.txn(body),
            "/v3/lease/grant" => {
                self.leases += 1;
                json!({"ID": self.leases.to_string(), "TTL": body["TTL"]})
            }
            "/v3/lease/keepalive" => json!({"result": {"ID": body["ID"], "TTL": "600"}}),
            _ => return None,
        };
        Some(answer)
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn range(&self, body: &Value) -> Value {
        let start = decode(&body["key"]);
        let end = decode(&body["range_end"]);
        let found = self.entries.range(start.clone()..);
        let kvs: Vec<Value> = found
            .take_while(|(key, _)| **key < end || **key == start)
            .map(|(key, entry)| kv(key, entry))
            .collect();
        json!({"header": self.header(), "kvs": kvs})
    }

    fn put(&mut self, body: &Value) {
        let key = decode(&body["key"]);
        let entry = Entry {
            value: text(&body["value"]),
            revision: self.revision,
        };
        let event = json!({"type": "PUT", "kv": kv(&key, &entry)});
        self.entries.insert(key.clone(), entry);
        self.notify_watchers(&key, event);
    }

    fn delete(&mut self, key: &[u8]) -> Value {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            let kv = json!({"key": BASE64.encode(key), "mod_revision": self.revision.to_string()});
            self.notify_watchers(key, json!({"type": "DELETE", "kv": kv}));
        }
        json!({"header": self.header()})
    }

    fn txn(&mut self, body: &Value) -> Value {
        let empty = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&empty);
        let matches = compares.iter().all(|compare| {
            let have = self.entries.get(&decode(&compare["key"]));
            have.map_or(0, |entry| entry.revision) == number(&compare["mod_revision"])
        });
        if matches {
            self.revision += 1;
            for step in body["success"].as_array().unwrap_or(&empty) {
                self.put(&step["request_put"]);
            }
        }
        json!({"header": self.header(), "succeeded": matches})
    }

    fn notify_watchers(&mut self, key: &[u8], event: Value) {
        let message = line(&json!({"result": {"events": [event]}}));
        self.log.push(event);
        self.watchers.retain(|watcher| {
            if key < watcher.start.as_slice() || key >= watcher.end.as_slice() {
                return !watcher.sender.is_closed();
            }
            watcher.sender.try_send(message.clone()).is_ok()
        });
    }
}

fn kv(key: &[u8], entry: &Entry) -> Value {
    json!({"key": BASE64.encode(key), "value": BASE64.encode(&entry.value),
           "mod_revision": entry.revision.to_string()})
}
