//! `settle`: says what became of a call whose outcome is unknown.

use clap::Args;
use clap::ValueEnum;
use serde_json::json;

use crate::api::Failure;
use crate::api::Target;

/// Says what became of a call whose outcome is unknown, after a look at the
/// service.
#[derive(Clone, Debug, Args)]
pub struct SettleArgs {
    /// The program's id.
    program: String,
    /// The call's idempotency key.
    key: String,
    /// What the service shows.
    #[arg(value_enum)]
    found: Found,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Found {
    /// It ran: its caller is told so, and it never runs again.
    Ran,
    /// It did not run: its caller may send it again under the same key.
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
