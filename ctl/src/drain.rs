//! `drain`: starts and ends drains of backend servers.

use clap::Args;

use crate::api::Failure;
use crate::api::Target;
use crate::api::text;

/// Drains a backend server: stops new work from being sent to it, or ends a
/// drain.
#[derive(Clone, Debug, Args)]
pub struct DrainArgs {
    /// Name of the server's side process.
    server: String,
    /// Ends the drain, so that the server receives new work.
    #[arg(long)]
    end: bool,
}

/// Runs `drain`.
///
/// # Errors
///
/// Returns a [`Failure`] with the exit code.
pub fn cmd_drain(target: &Target, args: &DrainArgs) -> Result<(), Failure> {
    let method = if args.end { "DELETE" } else { "POST" };
    let answer = target.send(method, &format!("/v1/drains/{}", args.server), None)?;
    target.print(&answer, |value| {
        vec![format!(
            "server={} draining={}",
            text(value, "server"),
            text(value, "draining")
        )]
    });
    Ok(())
}
