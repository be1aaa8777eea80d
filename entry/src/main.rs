//! The limpetferry entry process.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use limpetferry_net::entry_node;
use limpetferry_net::signals::CaughtSignals;
use limpetferry_net::start::start;

/// Runs the limpetferry entry process.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// JSON file with the settings.
    #[arg(long)]
    settings: PathBuf,
    /// Only checks the settings; exits with 1 if they are invalid.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let signals = CaughtSignals::catch();
    let args = Args::parse();
    start(signals, &args.settings, args.check, entry_node::run)
}
