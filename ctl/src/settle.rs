//! `settle`: resolves a call whose outcome is unknown.

use clap::Args;
use clap::ValueEnum;
use serde_json::json;

use crate::api::Failure;
use crate::api::Target;

/// Resolves a call whose outcome is unknown. Check in the service first whether
/// the call ran.
#[derive(Clone, Debug, Args)]
pub struct SettleArgs {
    /// The program's id.
    program: String,
    /// The call's idempotency key.
    key: String,
    /// Whether the call ran, as seen in the service.
    #[arg(value_enum)]
    found: Found,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Found {
    /// It ran: its caller receives this outcome, and it never runs again.
    Ran,
    /// It did not run: its caller may send it again with the same key.
    NotRun,
}

/// Runs `settle`.
///
/// # Errors
///
/// Returns a [`Failure`] with the exit code.
pub fn cmd_settle(target: &Target, args: &SettleArgs) -> Result<(), Failure> {
    let body = json!({"program": args.program, "key": args.key, "ran": args.found == Found::Ran});
    let answer = target.send("POST", "/v1/settle", Some(&body))?;
    target.print(&answer, |_| vec!["settled".to_owned()]);
    Ok(())
}
