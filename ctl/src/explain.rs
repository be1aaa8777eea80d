//! `explain`: finds what happened to a request or program in log files.

use std::fs;
use std::path::PathBuf;

use clap::Args;
use limpetferry_lib::explain;
use limpetferry_lib::explain::LogLine;

use crate::api::Failure;

/// Exit code if no log line contains the id.
const ID_NOT_FOUND: u8 = 2;
/// Exit code if a file cannot be read.
const UNREADABLE: u8 = 1;

/// Shows from log files what happened to a request or a program, and why.
#[derive(Args)]
pub struct ExplainArgs {
    /// Id of the attempt or of the program.
    id: String,
    /// Log files of gateways and keepers.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

/// Prints the log lines about an id and the causes of any failure.
///
/// # Errors
///
/// Returns a [`Failure`] if a file cannot be read or no line contains the id.
pub fn cmd_explain(args: &ExplainArgs) -> Result<(), Failure> {
    let mut lines = Vec::new();
    for path in &args.logs {
        let bytes = fs::read(path).map_err(|error| Failure {
            message: format!("{}: {error}; pass readable files", path.display()),
            code: UNREADABLE,
        })?;
        let text = String::from_utf8_lossy(&bytes);
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    let found = explain::explain(&lines, &args.id);
    if found.lines.is_empty() {
        return Err(Failure {
            message: format!(
                "none of {} log lines contains {}; pass the logs of all gateways from that time",
                lines.len(),
                args.id
            ),
            code: ID_NOT_FOUND,
        });
    }
    found.lines.iter().for_each(|line| println!("{line}"));
    println!();
    for cause in &found.causes {
        println!("cause: {cause}");
    }
    if found.causes.is_empty() {
        println!("no failure found in these lines");
    }
    Ok(())
}
