//! The limpetferry gateway process.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use limpetferry_net::gateway;
use limpetferry_net::signals::CaughtSignals;
use limpetferry_net::start::start_live;
use limpetferry_platform::SETTINGS_VARIABLE;

/// Runs the limpetferry gateway process.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// JSON file with the settings.
    #[arg(long, env = SETTINGS_VARIABLE)]
    settings: PathBuf,
    /// Only checks the settings; exits with 1 if they are invalid.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let signals = CaughtSignals::catch();
    let args = Args::parse();
    start_live(signals, &args.settings, args.check, gateway::run)
}
