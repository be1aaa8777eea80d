//! `limpetferry-ctl explain`: from an id to its cause.

use std::fs;
use std::path::PathBuf;

use clap::Args;
use limpetferry_lib::explain;
use limpetferry_lib::explain::LogLine;

use crate::api::Failure;

/// Exit code if nothing is known of the id.
const UNKNOWN: u8 = 2;
/// Exit code if a file cannot be read.
const UNREADABLE: u8 = 1;

/// Tells from collected log files what became of a request or a program, and
/// why.
#[derive(Args)]
pub struct ExplainArgs {
    /// Id of the attempt or of the program.
    id: String,
    /// Files with the log lines of gateways and keepers.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

/// Prints the lines about an id, and what caused what went wrong.
///
/// # Errors
///
/// Returns a [`Failure`] if a file cannot be read or no line names the id.
pub fn cmd_explain(args: &ExplainArgs) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &args.logs {
        let bytes = fs::read(path).map_err(|error| Failure {
            message: format!("{}: {error}; name files that can be read", path.display()),
            code: UNREADABLE,
        })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    let found = explain::explain(&lines, &args.id);
    if found.lines.is_empty() {
        return Err(Failure {
            message: format!(
                "none of {} lines names {}; give the logs of all gateways of that time",
                lines.len(),
                args.id
            ),
            code: UNKNOWN,
        });
    }
    found.lines.iter().for_each(|line| println!("{line}"));
    println!();
    for cause in &found.causes {
        println!("cause: {cause}");
    }
    if found.causes.is_empty() {
        println!("nothing went wrong that a line tells of");
    }
    Ok(())
}
