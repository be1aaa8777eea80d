//! `status` and `programs`: print the state of an entry and its programs.

use serde_json::Value;

use crate::api::Failure;
use crate::api::Target;
use crate::api::text;

fn rows(value: &Value, list: &str, fields: &[&str]) -> Vec<String> {
    let items = value[list].as_array().cloned().unwrap_or_default();
    let row = |item: &Value| {
        let pairs: Vec<String> = fields
            .iter()
            .map(|f| format!("{f}={}", text(item, f)))
            .collect();
        pairs.join(" ")
    };
    items.iter().map(row).collect()
}

/// Runs `status`.
///
/// # Errors
///
/// Returns a [`Failure`] with the exit code.
pub fn cmd_status(target: &Target) -> Result<(), Failure> {
    let answer = target.send("GET", "/v1/status", None)?;
    target.print(&answer, |value| {
        let fields = [
            "node",
            "version",
            "shards_owned",
            "callers_waiting",
            "calls_open",
            "programs",
            "store_calls",
        ];
        let mut lines: Vec<String> = fields
            .iter()
            .map(|f| format!("{f}={}", text(value, f)))
            .collect();
        let peer_fields = [
            "node", "role", "centre", "linked", "leaving", "running", "queued",
        ];
        lines.extend(rows(value, "peers", &peer_fields));
        lines
    });
    Ok(())
}

/// Runs `programs`.
///
/// # Errors
///
/// Returns a [`Failure`] with the exit code.
pub fn cmd_programs(target: &Target) -> Result<(), Failure> {
    let answer = target.send("GET", "/v1/programs", None)?;
    target.print(&answer, |value| {
        rows(
            value,
            "programs",
            &["id", "deployment", "next_call", "ended", "spent_tokens"],
        )
    });
    Ok(())
}
