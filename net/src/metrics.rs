//! Metrics by prometheus, and the listener for them and for health checks.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Response;
use limpetferry_lib::id::Operator;
use limpetferry_lib::id::Version;
use prometheus::Encoder as _;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::http::Body;
use crate::http::Handler;
use crate::http::json;
use crate::http::whole;
use crate::panics;

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests by outcome.
    pub requests: IntCounterVec,
    /// Time from a request to the first byte of its answer.
    pub first_byte: Histogram,
    /// Events handled by the reducer, by kind.
    pub events: IntCounterVec,
    /// Callers that wait.
    pub waiting: IntGauge,
    /// Calls under way here.
    pub calls: IntGauge,
    /// Programs held here.
    pub programs: IntGauge,
    /// Shards owned here.
    pub shards: IntGauge,
    /// Shards owned here whose keeper has everything.
    pub kept: IntGauge,
    /// Links to other processes.
    pub links: IntGauge,
    /// Calls to the key-value service so far.
    pub store_calls: IntGauge,
    /// Version of each operator's document in force.
    pub version: IntGaugeVec,
    ready: Arc<AtomicBool>,
}

impl Metrics {
    /// Makes the metrics of a process, all zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new_custom(Some("limpetferry".into()), None)?;
        registry.register(Box::new(panics::counter()))?;
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let first_byte = Histogram::with_opts(HistogramOpts::new(
            "first_byte_seconds",
            "Time from a request to the first byte of its answer",
        ))?;
        registry.register(Box::new(first_byte.clone()))?;
        let opts = Opts::new("document_version", "Version of the document in force");
        let version = IntGaugeVec::new(opts, &["operator"])?;
        registry.register(Box::new(version.clone()))?;
        Ok(Self {
            version,
            requests: counter("requests_total", "Callers' requests by outcome", "outcome")?,
            events: counter("events_total", "Events handled by the reducer", "kind")?,
            waiting: gauge("callers_waiting", "Callers that wait")?,
            calls: gauge("calls_open", "Calls under way here")?,
            programs: gauge("programs_held", "Programs held here")?,
            shards: gauge("shards_owned", "Shards owned here")?,
            kept: gauge("shards_kept", "Shards owned here whose keeper has all")?,
            links: gauge("links", "Links to other processes")?,
            store_calls: gauge("store_calls", "Calls to the key-value service so far")?,
            ready: Arc::default(),
            first_byte,
            registry,
        })
    }

    /// Returns the registry of all of them.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Says whether the process is ready to serve.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Notes the time to the first byte of an answer.
    pub fn observe_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Notes the versions in force.
    pub fn set_versions(&self, versions: &[(Operator, Version)]) {
        for (operator, version) in versions {
            let gauge = self.version.with_label_values(&[operator.as_str()]);
            gauge.set(version.0 as i64);
        }
    }

    /// Returns what answers the metrics listener.
    pub fn handler(&self) -> Handler {
        let ready = self.ready.clone();
        handler(&self.registry, move || ready.load(Ordering::Relaxed))
    }
}

/// Returns what answers a metrics listener: the metrics of `registry`, and
/// whether the process lives and is ready.
pub fn handler(registry: &Registry, ready: impl Fn() -> bool + Send + Sync + 'static) -> Handler {
    let registry = registry.clone();
    Arc::new(move |request| {
        let answer = answer(&registry, ready(), request.uri().path());
        Box::pin(async move { answer })
    })
}

/// Returns the text that prometheus reads.
fn text(registry: &Registry) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut bytes) {
        log::warn!("event=metrics_unread why={:?}", error.to_string());
    }
    String::from_utf8(bytes).unwrap_or_default()
}

fn answer(registry: &Registry, ready: bool, path: &str) -> Response<Body> {
    match path {
        "/metrics" => {
            let mut response = Response::new(whole(text(registry)));
            let kind = http::HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert("content-type", kind);
            response
        }
        "/healthz" => json(200, &serde_json::json!({"status": "ok"})),
        "/readyz" if ready => json(200, &serde_json::json!({"status": "ready"})),
        "/readyz" => json(503, &serde_json::json!({"status": "starting or stopping"})),
        _ => json(
            404,
            &serde_json::json!({"status": "try /metrics, /healthz or /readyz"}),
        ),
    }
}
