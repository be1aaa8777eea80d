//! `requests`: the requests under which servers ended, and their release.

use clap::Args;
use clap::Subcommand;
use limpetferry_net::suspect_api::LIST_PATH;
use limpetferry_net::suspect_api::RELEASE_PATH;
use serde_json::json;

use crate::api::Failure;
use crate::api::Target;
use crate::api::text;

/// Lists the requests under which servers ended, and lets one through again.
///
/// `--address` is `common.metrics` of a gateway, `--key` its `common.key`.
#[derive(Clone, Debug, Args)]
pub struct RequestsArgs {
    #[command(subcommand)]
    command: RequestsCommand,
}

#[derive(Clone, Debug, Subcommand)]
enum RequestsCommand {
    /// Prints them, those with the most ended servers first.
    List,
    /// Has the servers that ended under a request so far count no longer, at all
    /// gateways.
    Release {
        /// The request, by the digits that its answers and log lines name.
        request: String,
    },
}

/// Runs `requests`.
///
/// # Errors
///
/// Returns a [`Failure`] with the exit code.
pub fn cmd_requests(target: &Target, args: &RequestsArgs) -> Result<(), Failure> {
    match &args.command {
        RequestsCommand::List => {
            let answer = target.send("GET", LIST_PATH, None)?;
            target.print(&answer, |value| {
                let requests = value["requests"].as_array().cloned().unwrap_or_default();
                let row = |one: &serde_json::Value| {
                    let fields = ["request", "ends", "refused", "remaining_s"];
                    let pairs = fields.map(|field| format!("{field}={}", text(one, field)));
                    pairs.join(" ")
                };
                requests.iter().map(row).collect()
            });
        }
        RequestsCommand::Release { request } => {
            let body = json!({"request": request});
            let answer = target.send("POST", RELEASE_PATH, Some(&body))?;
            target.print(&answer, |value| {
                vec![format!("request={} released=true", text(value, "request"))]
            });
        }
    }
    Ok(())
}
