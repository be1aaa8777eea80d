//! Client for the operators' API of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use eyre::WrapErr as _;
use http::Request;
use http_body_util::Full;
use limpetferry_net::http::Client;
use serde_json::Value;

/// Timeout of a request to the entry.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Exit codes of the command; docs/operators.md lists them.
pub mod exit {
    /// The request was refused; nothing changed.
    pub const REFUSED: u8 = 2;
    /// The entry or the key-value service did not respond, or the outcome is
    /// unknown; the same request may be retried.
    pub const UNAVAILABLE: u8 = 3;
}

/// The entry to send requests to, the operator's key, and the output format.
#[derive(Clone, Debug, Args)]
pub struct Target {
    /// Address of an entry's operators' API.
    #[arg(
        long,
        global = true,
        env = "LIMPETFERRY_ADDRESS",
        default_value = "127.0.0.1:7113"
    )]
    pub address: SocketAddr,
    /// Operator's key.
    #[arg(
        long,
        global = true,
        env = "LIMPETFERRY_KEY",
        default_value = "",
        hide_env_values = true
    )]
    pub key: String,
    /// Prints answers as JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

/// A failed command.
#[derive(Debug)]
pub struct Failure {
    /// Exit code.
    pub code: u8,
    /// Description of the error, with a hint.
    pub message: String,
}

impl Target {
    /// Sends a request and returns the JSON of the response.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the entry refuses the request or does not
    /// respond.
    pub fn send(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, Failure> {
        let sent = smol::block_on(self.exchange(method, path, body));
        let (status, body) = sent.map_err(|error| Failure {
            code: exit::UNAVAILABLE,
            message: format!(
                "Error: {error:#}\nHint: check --address and that the entry is running"
            ),
        })?;
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if status == 200 {
            return Ok(value);
        }
        let error = &value["error"];
        let error_text = |field: &str| error[field].as_str().unwrap_or("unknown").to_owned();
        Err(Failure {
            code: if status >= 500 {
                exit::UNAVAILABLE
            } else {
                exit::REFUSED
            },
            message: format!(
                "Error: {}\nHint: {}",
                error_text("message"),
                error_text("remedy")
            ),
        })
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<(u16, Bytes)> {
        let address = self.address.to_string();
        let text = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &address)
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(text)))
            .wrap_err("the key contains characters that are not allowed in a header")?;
        Ok(Client::default()
            .exchange(&address, request, TIMEOUT)
            .await?)
    }

    /// Prints a response: as JSON with `--json`, otherwise the lines that
    /// `lines` returns.
    pub fn print(&self, value: &Value, lines: impl FnOnce(&Value) -> Vec<String>) {
        if self.json {
            println!("{value}");
        } else {
            for line in lines(value) {
                println!("{line}");
            }
        }
    }
}

/// Returns a field of a JSON object as text; strings without quotes.
pub fn text(value: &Value, field: &str) -> String {
    match &value[field] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
