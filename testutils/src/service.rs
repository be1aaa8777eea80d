//! Stand-in for a tool service or a plain service. Counts how often each call
//! runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use limpetferry_net::backend::CALL_HEADER;
use limpetferry_net::http::Body;
use limpetferry_net::http::Handler;
use limpetferry_net::http::json as json_answer;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Speed of the stand-in, and a fault that a test switches on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceRules {
    /// Duration of a call, in milliseconds.
    pub delay_ms: u64,
    /// Whether calls never end.
    pub hang: bool,
}

#[derive(Default)]
struct State {
    rules: ServiceRules,
    /// Number of runs of each call, by call id.
    runs: BTreeMap<String, u64>,
    /// Paths of the calls in the order in which they ran.
    paths: Vec<String>,
}

/// The stand-in; clones share their state.
#[derive(Clone, Default)]
pub struct StandInService {
    state: Arc<Mutex<State>>,
}

impl StandInService {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Replaces the rules for speed and faults.
    pub fn set_rules(&self, rules: ServiceRules) {
        self.lock().rules = rules;
    }

    /// Returns the number of runs of each call, by call id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.lock().runs.clone()
    }

    /// Returns the paths of the calls in the order in which they ran.
    pub fn paths(&self) -> Vec<String> {
        self.lock().paths.clone()
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
        let call = request.headers().get(CALL_HEADER);
        let call = call
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
            .to_owned();
        let body = request.into_body().collect().await;
        let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
        if path == "/rules" {
            self.set_rules(serde_json::from_slice(&bytes).unwrap_or_default());
            return json_answer(200, &json!({}));
        }
        if path == "/state" {
            return json_answer(200, &json!({"runs": self.runs()}));
        }
        let rules = {
            let mut state = self.lock();
            *state.runs.entry(call.clone()).or_default() += 1;
            state.paths.push(path.clone());
            state.rules.clone()
        };
        if rules.hang {
            std::future::pending::<()>().await;
        }
        smol::Timer::after(Duration::from_millis(rules.delay_ms)).await;
        let sent: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        json_answer(200, &json!({"done": path, "call": call, "said": sent}))
    }
}
