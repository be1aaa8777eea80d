//! The platform's key-value service, by the JSON form of the etcd v3
//! protocol.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use futures_lite::future::Boxed;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::http::Client;
use crate::http::HttpError;
use crate::http::Sender;
use crate::http::connect;
use crate::http::post;
use crate::timeout::within;

/// Wait for the answer to one call.
const CALL_WAIT: Duration = Duration::from_secs(2);
/// Changes of a watch that wait to be handled.
const MAX_CHANGES: usize = 1_024;
/// Longest silence of a watch.
const WATCH_WAIT: Duration = Duration::from_secs(60);

/// Says why a call to the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No answer; a write may have taken effect.
    #[error(
        "the key-value service does not answer ({0}); what is in force stays so until it is back"
    )]
    Down(String),
    /// The answer does not have the expected form.
    #[error(
        "the key-value service gave a malformed answer ({0}); check that it speaks the v3 protocol"
    )]
    Malformed(String),
}

impl From<HttpError> for StoreError {
    fn from(error: HttpError) -> Self {
        Self::Down(error.to_string())
    }
}

/// One value of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; empty if it was deleted.
    pub value: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Whether it was deleted.
    pub deleted: bool,
}

/// What a compare-and-swap did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapEnd {
    /// It took effect, at this revision.
    Done(u64),
    /// The key has another revision.
    Conflict,
}

/// The calls to the key-value service that the system makes.
pub trait Store: Send + Sync {
    /// Reads all values below `prefix`, with the revision of the reading.
    fn list(&self, prefix: &str) -> Boxed<Result<(Vec<Item>, u64), StoreError>>;

    /// Writes `writes` if `key` still has `revision` (zero: does not exist).
    fn swap(
        &self,
        key: &str,
        revision: u64,
        writes: Vec<(String, String)>,
    ) -> Boxed<Result<SwapEnd, StoreError>>;

    /// Writes a value that goes with the lease.
    fn put(&self, key: &str, value: &str, lease: u64) -> Boxed<Result<u64, StoreError>>;

    /// Deletes a value.
    fn delete(&self, key: &str) -> Boxed<Result<(), StoreError>>;

    /// Grants a lease of `secs` seconds.
    fn lease(&self, secs: u64) -> Boxed<Result<u64, StoreError>>;

    /// Keeps a lease; returns whether it still exists.
    fn renew(&self, lease: u64) -> Boxed<Result<bool, StoreError>>;

    /// Watches all values below `prefix` from `revision` on.
    fn watch(&self, prefix: &str, revision: u64) -> Boxed<Result<Changes, StoreError>>;

    /// Returns the number of calls made so far, each watch counted as one.
    fn calls(&self) -> u64;
}

/// Changes that a watch brings; it is closed when the watch breaks.
pub type Changes = async_channel::Receiver<Vec<Item>>;

/// The key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: Arc<str>,
    client: Arc<Client>,
    calls: Arc<AtomicU64>,
}

impl HttpStore {
    /// Makes a client of the service at `address`, an IP address and port.
    pub fn new(address: &str) -> Self {
        Self {
            address: Arc::from(address),
            client: Arc::default(),
            calls: Arc::default(),
        }
    }

    fn call(&self, path: &'static str, body: Value) -> Boxed<Result<Value, StoreError>> {
        let this = self.clone();
        Box::pin(async move {
            this.calls.fetch_add(1, Ordering::Relaxed);
            let request = post(&this.address, path, &body);
            let (status, bytes) = this
                .client
                .exchange(&this.address, request, CALL_WAIT)
                .await?;
            if status != 200 {
                return Err(StoreError::Down(format!("status {status}")));
            }
            serde_json::from_slice(&bytes).map_err(|error| StoreError::Malformed(error.to_string()))
        })
    }
}

fn b64(text: &str) -> String {
    BASE64.encode(text)
}

fn un64(value: &Value) -> String {
    let bytes = BASE64.decode(value.as_str().unwrap_or_default());
    String::from_utf8(bytes.unwrap_or_default()).unwrap_or_default()
}

/// Reads a number that the protocol writes as text.
fn number(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

fn item(value: &Value, deleted: bool) -> Item {
    Item {
        key: un64(&value["key"]),
        value: un64(&value["value"]),
        revision: number(&value["mod_revision"]),
        deleted,
    }
}

/// Returns the end of the range of keys that start with `prefix`.
fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    BASE64.encode(end)
}

impl Store for HttpStore {
    fn list(&self, prefix: &str) -> Boxed<Result<(Vec<Item>, u64), StoreError>> {
        let body = json!({"key": b64(prefix), "range_end": range_end(prefix)});
        let call = self.call("/v3/kv/range", body);
        Box::pin(async move {
            let answer = call.await?;
            let empty = Vec::new();
            let found = answer["kvs"].as_array().unwrap_or(&empty);
            let items = found.iter().map(|value| item(value, false)).collect();
            Ok((items, number(&answer["header"]["revision"])))
        })
    }

    fn swap(
        &self,
        key: &str,
        revision: u64,
        writes: Vec<(String, String)>,
    ) -> Boxed<Result<SwapEnd, StoreError>> {
        let puts: Vec<Value> = writes
            .iter()
            .map(|(key, value)| json!({"request_put": {"key": b64(key), "value": b64(value)}}))
            .collect();
        let body = json!({
            "compare": [{"key": b64(key), "target": "MOD", "result": "EQUAL",
                         "mod_revision": revision.to_string()}],
            "success": puts,
        });
        let call = self.call("/v3/kv/txn", body);
        Box::pin(async move {
            let answer = call.await?;
            if answer["succeeded"].as_bool() == Some(true) {
                Ok(SwapEnd::Done(number(&answer["header"]["revision"])))
            } else {
                Ok(SwapEnd::Conflict)
            }
        })
    }

    fn put(&self, key: &str, value: &str, lease: u64) -> Boxed<Result<u64, StoreError>> {
        let body = json!({"key": b64(key), "value": b64(value), "lease": lease.to_string()});
        let call = self.call("/v3/kv/put", body);
        Box::pin(async move { Ok(number(&call.await?["header"]["revision"])) })
    }

    fn delete(&self, key: &str) -> Boxed<Result<(), StoreError>> {
        let call = self.call("/v3/kv/deleterange", json!({"key": b64(key)}));
        Box::pin(async move { call.await.map(|_| ()) })
    }

    fn lease(&self, secs: u64) -> Boxed<Result<u64, StoreError>> {
        let call = self.call("/v3/lease/grant", json!({"TTL": secs.to_string()}));
        Box::pin(async move { Ok(number(&call.await?["ID"])) })
    }

    fn renew(&self, lease: u64) -> Boxed<Result<bool, StoreError>> {
        let call = self.call("/v3/lease/keepalive", json!({"ID": lease.to_string()}));
        Box::pin(async move { Ok(number(&call.await?["result"]["TTL"]) > 0) })
    }

    fn watch(&self, prefix: &str, revision: u64) -> Boxed<Result<Changes, StoreError>> {
        let this = self.clone();
        let body = json!({"create_request": {"key": b64(prefix), "range_end": range_end(prefix),
                          "start_revision": revision.to_string()}});
        Box::pin(async move {
            this.calls.fetch_add(1, Ordering::Relaxed);
            let mut sender = connect(&this.address).await?;
            let request = post(&this.address, "/v3/watch", &body);
            let response = within(CALL_WAIT, sender.send_request(request))
                .await
                .ok_or(HttpError::Late)?
                .map_err(|error| StoreError::Down(error.to_string()))?;
            let (changes, receiver) = async_channel::bounded(MAX_CHANGES);
            smol::spawn(follow(sender, response.into_body(), changes)).detach();
            Ok(receiver)
        })
    }

    fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

struct Lines {
    body: Incoming,
    have: Vec<u8>,
}

impl Lines {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            have: Vec::new(),
        }
    }

    async fn next(&mut self) -> Result<Bytes, StoreError> {
        loop {
            if let Some(end) = self.have.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.have.drain(..=end).collect();
                return Ok(Bytes::from(line));
            }
            let frame = within(WATCH_WAIT, self.body.frame())
                .await
                .ok_or(HttpError::Late)?
                .ok_or_else(|| StoreError::Down("the watch ended".into()))?
                .map_err(|error| StoreError::Down(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.have.extend_from_slice(&data);
            }
        }
    }
}

/// Passes on what a watch brings until it breaks or nobody listens.
async fn follow(_sender: Sender, body: Incoming, changes: async_channel::Sender<Vec<Item>>) {
    let mut lines = Lines::new(body);
    while let Ok(line) = lines.next().await {
        let Ok(value) = serde_json::from_slice::<Value>(&line) else {
            return;
        };
        let found = events(&value);
        if !found.is_empty() && changes.send(found).await.is_err() {
            return;
        }
    }
}

fn events(value: &Value) -> Vec<Item> {
    let empty = Vec::new();
    let events = value["result"]["events"].as_array().unwrap_or(&empty);
    events
        .iter()
        .map(|event| item(&event["kv"], event["type"].as_str() == Some("DELETE")))
        .collect()
}
