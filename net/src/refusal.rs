//! Answers of the system's own.

use std::borrow::Cow;
use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;

use crate::http::Body;
use crate::http::whole;

/// When to come back while too few keepers answer: one is back in some
/// hundred milliseconds.
pub const RETRY_KEEPERS: Duration = Duration::from_millis(250);
/// When to come back after servers were full: some of the requests there have
/// ended by then.
pub const RETRY_FULL: Duration = Duration::from_millis(120);
/// When to come back while other turns of the program wait for a server: half of the time
/// after which those of a gateway that is gone count no longer.
pub const RETRY_RESERVED: Duration = Duration::from_millis(500);
/// When to come back while nothing is known yet, or no server is there.
pub const RETRY_UNKNOWN: Duration = Duration::from_millis(300);

/// Why a request gets an answer of the system's own.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Status of the answer.
    pub status: StatusCode,
    /// What is wrong and what remedies it.
    pub why: Cow<'static, str>,
    /// When to come back.
    pub after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal without a time to come back.
    pub fn new(status: StatusCode, why: impl Into<Cow<'static, str>>) -> Self {
        Self {
            status,
            why: why.into(),
            after: None,
        }
    }

    /// Makes the refusal of a request that has not run and may come back.
    pub fn later(after: Duration, why: impl Into<Cow<'static, str>>) -> Self {
        // Callers that were refused together do not return together.
        let spread = rand::random_range(0.7..1.3);
        Self::later_at(after.mul_f64(spread), why)
    }

    /// Makes the refusal of a request that has not run and may come back after
    /// just this time, which is spread already.
    pub fn later_at(after: Duration, why: impl Into<Cow<'static, str>>) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            why: why.into(),
            after: Some(after),
        }
    }

    /// Makes the refusal of a request beyond an allowance, which has not run.
    pub fn over(after: Duration, why: impl Into<Cow<'static, str>>) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Self::later(after, why)
        }
    }

    /// Makes the answer.
    pub fn answer(&self) -> Response<Body> {
        let text = format!("{{\"error\":{:?}}}\n", self.why);
        let mut response = Response::new(whole(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        let after = self
            .after
            .map(|after| format!("{:.3}", after.as_secs_f64()));
        if let Some(value) = after.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert("retry-after", value);
        }
        response
    }
}

/// The answer to a body that is longer than the routing allows.
pub fn too_long() -> Refusal {
    Refusal::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        "the body is longer than the routing document allows; send less",
    )
}

/// The last answer of a request whose time is over.
pub fn late(runs: u32) -> Refusal {
    if runs > 0 {
        Refusal::new(
            StatusCode::GATEWAY_TIMEOUT,
            "the time is over; whether the request ran is unknown",
        )
    } else {
        Refusal::later(
            RETRY_UNKNOWN,
            "the time is over, and the request did not run",
        )
    }
}
