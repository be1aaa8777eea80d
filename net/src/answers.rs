//! Errors as callers and operators see them.

use http::HeaderValue;
use http::Response;
use limpetferry_lib::outcome::Refusal;
use serde_json::Value;
use serde_json::json;

use crate::http::Body;
use crate::http::json as json_answer;

/// Returns the JSON form of a refusal.
pub fn refusal_json(refusal: &Refusal) -> Value {
    json!({"error": {
        "code": refusal.code.as_str(),
        "message": refusal.to_string(),
        "remedy": refusal.code.remedy(),
        "ran": refusal.code.ran().as_str(),
        "retry_after": refusal.retry_after().map(|time| time.as_secs()),
    }})
}

/// Returns the HTTP answer of a refusal.
pub fn refusal_answer(refusal: &Refusal) -> Response<Body> {
    let mut response = json_answer(refusal.code.status(), &refusal_json(refusal));
    if let Some(after) = refusal.retry_after() {
        let value = HeaderValue::from(after.as_secs());
        response.headers_mut().insert("retry-after", value);
    }
    response
}
