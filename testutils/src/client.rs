//! An HTTP client for callers and operators, for tests and the load command.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use limpetferry_net::http::Client;
use limpetferry_net::http::HttpError;
use serde_json::Value;

/// Time-out for every answer. Tests that need a shorter one set it by a header.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Client that sends requests with one key to one address.
pub struct Caller {
    client: Client,
    address: String,
    key: String,
}

/// An answer with its complete body.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    /// HTTP status.
    pub status: u16,
    /// Complete body.
    pub body: Bytes,
}

impl Got {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the error code in the body, or an empty string if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl Caller {
    /// Creates a client of `address` that sends `key`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            client: Client::default(),
            address: address.to_string(),
            key: key.to_owned(),
        }
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Returns an [`HttpError`] if the connection fails or the answer takes too
    /// long.
    ///
    /// # Panics
    ///
    /// Panics if a header is malformed.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Got, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.address)
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let request = request
            .body(Full::new(Bytes::from(body)))
            .expect("tests send valid headers");
        let (status, body) = self
            .client
            .exchange(&self.address, request, ANSWER_TIMEOUT)
            .await?;
        Ok(Got { status, body })
    }
}
