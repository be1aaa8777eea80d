//! The backend server beside a side process: model engines by the
//! OpenAI-compatible protocol, other services by plain HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;
use limpetferry_lib::effect::BackendRequest;
use limpetferry_lib::id::CallId;
use limpetferry_lib::id::ProgramId;
use limpetferry_lib::outcome::Answer;
use limpetferry_lib::program::Target;
use limpetferry_lib::side::BackendResult;
use limpetferry_lib::sse::Assembler;
use limpetferry_lib::sse::SseEvent;
use serde_json::Value;
use serde_json::json;

use crate::http::Client;
use crate::http::HttpError;
use crate::http::connect;
use crate::http::post;

/// Header that carries the fencing number of an order.
pub const FENCE_HEADER: &str = "x-fencing-number";
/// Header that carries the call's id to a service.
pub const CALL_HEADER: &str = "idempotency-key";
/// Wait for a release of cache.
const RELEASE_WAIT: Duration = Duration::from_secs(2);
/// Largest answer of a backend server.
const MAX_ANSWER: usize = 16 << 20;

/// The backend server of one side process.
#[derive(Clone, Debug)]
pub struct Backend {
    address: Arc<str>,
    client: Arc<Client>,
}

impl Backend {
    /// Makes a client of the server at `address`, an IP address and port.
    pub fn new(address: &str) -> Self {
        Self {
            address: Arc::from(address),
            client: Arc::default(),
        }
    }

    /// Runs a call and sends pieces of its answer, each made an event by
    /// `wrap`.
    pub async fn run<E>(
        &self,
        call: CallId,
        work: BackendRequest,
        events: &async_channel::Sender<E>,
        wrap: impl Fn(Vec<u8>) -> E,
    ) -> BackendResult {
        // A call that may not run twice gets a connection of its own: on an
        // old one, a refusal could not be told from a loss.
        let sender = match &work.target {
            Target::Model(_) => self.client.sender(&self.address).await,
            Target::Service { .. } => connect(&self.address).await,
        };
        let Ok(mut sender) = sender else {
            return BackendResult::Unreachable;
        };
        let model = matches!(work.target, Target::Model(_));
        let Some(request) = self.request(call, &work) else {
            return BackendResult::Unreachable;
        };
        let Ok(response) = sender.send_request(request).await else {
            return BackendResult::Failed;
        };
        let status = response.status().as_u16();
        let kind = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let end = if model && status == 200 {
            read_stream(response.into_body(), kind, events, wrap).await
        } else {
            read_whole(response.into_body(), status, kind).await
        };
        if matches!(end, BackendResult::Answer(_)) {
            self.client.put(&self.address, sender);
        }
        end
    }

    fn request(&self, call: CallId, work: &BackendRequest) -> Option<Request<Full<Bytes>>> {
        match &work.target {
            Target::Model(model) => {
                let mut body: Value = serde_json::from_slice(&work.body).unwrap_or(json!({}));
                let messages: Vec<Value> = work
                    .turns
                    .iter()
                    .filter_map(|text| serde_json::from_str(text).ok())
                    .collect();
                body["model"] = json!(model.as_str());
                body["messages"] = Value::Array(messages);
                body["stream"] = json!(true);
                body["stream_options"] = json!({"include_usage": true});
                body["max_tokens"] = json!(work.tokens);
                body["priority"] = json!(work.priority);
                body["user"] = json!(work.program.to_string());
                let mut request = post(&self.address, "/v1/chat/completions", &body);
                request
                    .headers_mut()
                    .insert(FENCE_HEADER, work.fence.into());
                Some(request)
            }
            Target::Service { method, path, .. } => {
                let method = Method::from_bytes(method.as_bytes()).ok()?;
                Request::builder()
                    .method(method)
                    .uri(path.as_str())
                    .header("host", &*self.address)
                    .header("content-type", "application/json")
                    .header(CALL_HEADER, call.to_string())
                    .header(FENCE_HEADER, work.fence)
                    .body(Full::new(Bytes::from(work.body.clone())))
                    .ok()
            }
        }
    }

    /// Releases what the server holds in cache for a program.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if the server did not confirm it.
    pub async fn release(&self, program: ProgramId) -> Result<(), HttpError> {
        let body = json!({"user": program.to_string()});
        let request = post(&self.address, "/v1/cache/release", &body);
        self.client
            .exchange(&self.address, request, RELEASE_WAIT)
            .await
            .map(|_| ())
    }
}

async fn read_stream<E>(
    mut body: Incoming,
    kind: String,
    events: &async_channel::Sender<E>,
    wrap: impl Fn(Vec<u8>) -> E,
) -> BackendResult {
    let mut assembler = Assembler::default();
    let mut whole = Vec::new();
    let mut ended = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return BackendResult::Failed;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let mut fresh = Vec::new();
        for event in assembler.push(&data) {
            match event {
                SseEvent::Chunk(bytes) => fresh.extend_from_slice(&bytes),
                SseEvent::End => ended = true,
            }
        }
        if whole.len() + fresh.len() > MAX_ANSWER {
            return BackendResult::Failed;
        }
        whole.extend_from_slice(&fresh);
        if !fresh.is_empty() {
            let _ = events.send(wrap(fresh)).await;
        }
    }
    if !ended {
        return BackendResult::Failed;
    }
    BackendResult::Answer(Answer {
        status: 200,
        kind,
        body: whole,
        turn: Some(assembler.turn()),
        tokens: assembler.tokens(),
    })
}

async fn read_whole(body: Incoming, status: u16, kind: String) -> BackendResult {
    match crate::http::read_body(body, MAX_ANSWER).await {
        Ok(bytes) => BackendResult::Answer(Answer {
            status,
            kind,
            body: bytes.to_vec(),
            turn: None,
            tokens: 0,
        }),
        Err(_) => BackendResult::Failed,
    }
}
