//! Lets operators list the requests under which servers ended, and release one.

use std::sync::Arc;

use http::Method;
use http::Response;
use http::header::AUTHORIZATION;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use limpetferry_lib::fingerprint::RequestFingerprint;
use limpetferry_lib::id::Digest;
use limpetferry_lib::request_ends::MAX_ENDS;
use limpetferry_lib::suspects::SuspectView;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::http::Body;
use crate::http::Handler;
use crate::http::json as json_answer;
use crate::quarantine::Quarantine;

/// Path of the list.
pub const LIST_PATH: &str = "/v1/requests";
/// Path of a release.
pub const RELEASE_PATH: &str = "/v1/requests/release";
/// Bytes of a release's body.
const MAX_BODY: usize = 1_024;

/// Which request to release.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Release {
    request: String,
}

/// Adds the operators' paths to a listener that `other` answers. They need the key
/// that all processes share, whose digest is `key`.
pub fn handler(quarantine: Arc<Quarantine>, key: Digest, other: Handler) -> Handler {
    Arc::new(move |request| {
        if !request.uri().path().starts_with(LIST_PATH) {
            return other(request);
        }
        let quarantine = quarantine.clone();
        Box::pin(async move { answer(&quarantine, key, request).await })
    })
}

async fn answer(
    quarantine: &Quarantine,
    key: Digest,
    request: Request<Incoming>,
) -> Response<Body> {
    let sent = request.headers().get(AUTHORIZATION);
    let sent = sent.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    if sent.map(Digest::of) != Some(key) {
        return refuse(
            401,
            "the key is missing or wrong",
            "send common.key of the gateway's settings as the key",
        );
    }
    match (request.method(), request.uri().path()) {
        (&Method::GET, LIST_PATH) => list(&quarantine.views()),
        (&Method::POST, RELEASE_PATH) => {
            let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            release(quarantine, &body).await
        }
        _ => refuse(
            404,
            "there is no such path",
            "try GET /v1/requests or POST /v1/requests/release",
        ),
    }
}

fn refuse(status: u16, message: &str, remedy: &str) -> Response<Body> {
    let error = json!({"message": message, "remedy": remedy});
    json_answer(status, &json!({"error": error}))
}

fn list(views: &[SuspectView]) -> Response<Body> {
    let requests = views.iter().map(|view| {
        json!({
            "request": view.request.to_hex(),
            "ends": view.ends,
            "refused": view.ends >= MAX_ENDS,
            "remaining_s": view.remaining.as_secs(),
        })
    });
    let requests: Vec<Value> = requests.collect();
    json_answer(200, &json!({"requests": requests}))
}

async fn release(quarantine: &Quarantine, body: &[u8]) -> Response<Body> {
    let asked = serde_json::from_slice::<Release>(body).ok();
    let Some(request) = asked.and_then(|asked| RequestFingerprint::from_hex(&asked.request)) else {
        return refuse(
            400,
            "the body names no request",
            "name it by the 32 hexadecimal digits of its answer or log line",
        );
    };
    let mut views = quarantine.views().into_iter();
    if !views.any(|view| view.request == request) {
        return refuse(
            404,
            "no server has ended under this request lately, as far as this gateway knows",
            "list the requests that are known, or ask another gateway",
        );
    }
    if !quarantine.forgive(request).await {
        return refuse(
            503,
            "too few keepers answer, and the release may not hold",
            "repeat it once they do",
        );
    }
    json_answer(200, &json!({"request": request.to_hex(), "released": true}))
}
