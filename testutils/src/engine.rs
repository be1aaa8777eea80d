//! Stand-in for a model engine: the OpenAI-compatible streaming protocol, a
//! prefix cache for each user that can be released, and fencing numbers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use limpetferry_net::backend::FENCE_HEADER;
use limpetferry_net::http::Body;
use limpetferry_net::http::Cut;
use limpetferry_net::http::Handler;
use limpetferry_net::http::json as json_answer;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Time between two checks whether answers are still held back.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Speed and answers of the stand-in, and faults that a test switches on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineRules {
    /// Tokens of an answer, unless the request asks for fewer.
    pub tokens: u64,
    /// Time to generate a token, in microseconds.
    pub token_us: u64,
    /// Time to process a thousand prompt bytes that are not in the cache, in
    /// microseconds.
    pub prefill_us: u64,
    /// Whether requests with a fencing number below the highest one received are
    /// refused.
    pub fencing: bool,
    /// Whether answers are held back until this is switched off.
    pub hold: bool,
    /// Number of events after which an answer ends early; zero if it does not.
    pub break_at: u64,
}

impl Default for EngineRules {
    fn default() -> Self {
        Self {
            tokens: 8,
            token_us: 0,
            prefill_us: 0,
            fencing: false,
            hold: false,
            break_at: 0,
        }
    }
}

#[derive(Default)]
struct State {
    rules: EngineRules,
    running: u64,
    served: u64,
    fencing_number: u64,
    /// Number of cached prompt bytes, by user.
    cache: BTreeMap<String, u64>,
    prompts: Vec<Value>,
}

/// The stand-in; clones share their state.
#[derive(Clone, Default)]
pub struct StandInEngine {
    state: Arc<Mutex<State>>,
}

/// Counts a stream as running until it is dropped.
struct Running(StandInEngine);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl StandInEngine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Replaces the rules for answers and faults.
    pub fn set_rules(&self, rules: EngineRules) {
        self.lock().rules = rules;
    }

    /// Returns the number of running streams.
    pub fn running(&self) -> u64 {
        self.lock().running
    }

    /// Returns the number of streams started so far.
    pub fn served(&self) -> u64 {
        self.lock().served
    }

    /// Returns the users whose prompts are in the cache.
    pub fn cached(&self) -> Vec<String> {
        self.lock().cache.keys().cloned().collect()
    }

    /// Returns the messages of each prompt received so far.
    pub fn prompts(&self) -> Vec<Value> {
        self.lock().prompts.clone()
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
        let fencing_number = request.headers().get(FENCE_HEADER);
        let fencing_number = fencing_number
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .unwrap_or(0);
        let body = request.into_body().collect().await;
        let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        match path.as_str() {
            "/v1/chat/completions" => self.chat(fencing_number, &body).await,
            "/v1/cache/release" => {
                let user = body["user"].as_str().unwrap_or_default();
                self.lock().cache.remove(user);
                json_answer(200, &json!({}))
            }
            "/rules" => {
                self.set_rules(serde_json::from_value(body).unwrap_or_default());
                json_answer(200, &json!({}))
            }
            "/state" => {
                let state = self.lock();
                json_answer(
                    200,
                    &json!({"running": state.running, "served": state.served,
                                         "cache": state.cache}),
                )
            }
            _ => json_answer(404, &json!({"error": "no such path"})),
        }
    }

    async fn chat(&self, fencing_number: u64, body: &Value) -> Response<Body> {
        let (rules, missing) = {
            let mut state = self.lock();
            if state.rules.fencing && fencing_number < state.fencing_number {
                return json_answer(409, &json!({"error": "old fencing number"}));
            }
            state.fencing_number = state.fencing_number.max(fencing_number);
            state.running += 1;
            state.served += 1;
            state.prompts.push(body["messages"].clone());
            let user = body["user"].as_str().unwrap_or_default().to_owned();
            let size = body["messages"].to_string().len() as u64;
            let held = state.cache.insert(user, size).unwrap_or(0);
            (state.rules.clone(), size.saturating_sub(held))
        };
        let running = Running(self.clone());
        let prefill = Duration::from_micros(rules.prefill_us * missing / 1_000);
        if !prefill.is_zero() {
            smol::Timer::after(prefill).await;
        }
        stream(&rules, body, running)
    }
}

/// Returns an answer whose stream starts with the content of the last message.
fn stream(rules: &EngineRules, body: &Value, running: Running) -> Response<Body> {
    let last = body["messages"].as_array().and_then(|list| list.last());
    let last = last
        .and_then(|message| message["content"].as_str())
        .unwrap_or("");
    let prompt = body["messages"].to_string().len() as u64 / 4;
    let wanted = body["max_tokens"].as_u64().unwrap_or(rules.tokens);
    let count = rules.tokens.min(wanted).max(1);
    let mut pieces: Vec<Bytes> = Vec::new();
    for index in 0..count {
        let content = if index == 0 {
            format!("re: {last}")
        } else {
            format!(" t{index}")
        };
        let delta = json!({"role": "assistant", "content": content});
        pieces.push(event(
            &json!({"model": body["model"], "choices": [{"index": 0, "delta": delta}]}),
        ));
    }
    let usage = json!({"prompt_tokens": prompt, "completion_tokens": count, "total_tokens": prompt + count});
    pieces.push(event(
        &json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}], "usage": usage}),
    ));
    pieces.push(Bytes::from_static(b"data: [DONE]\n\n"));
    if rules.break_at > 0 {
        pieces.truncate(rules.break_at as usize);
    }
    let wait = Duration::from_micros(rules.token_us);
    let engine = running.0.clone();
    let state = (pieces.into_iter(), running);
    let frames = futures_lite::stream::unfold(state, move |(mut pieces, running)| async move {
        let piece = pieces.next()?;
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        Some((Ok::<_, Cut>(Frame::data(piece)), (pieces, running)))
    });
    let (sender, receiver) = async_channel::bounded(4);
    // A separate task produces the answer. It ends when the caller closes the
    // connection.
    smol::spawn(async move {
        let mut frames = std::pin::pin!(frames);
        while engine.lock().rules.hold && !sender.is_closed() {
            smol::Timer::after(HOLD_POLL_INTERVAL).await;
        }
        while let Some(frame) = futures_lite::StreamExt::next(&mut frames).await {
            if sender.send(frame).await.is_err() {
                return;
            }
        }
    })
    .detach();
    let mut response = Response::new(http_body_util::BodyExt::boxed_unsync(StreamBody::new(
        receiver,
    )));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}
