//! Starts an entry: reads settings, starts logging, and waits for a signal.

use std::path::PathBuf;

use clap::Parser;
use limpetferry_net::entry_node;
use limpetferry_net::log;
use limpetferry_net::settings;
use limpetferry_net::settings::EntrySettings;
use limpetferry_net::signals::stop_signal;

/// Runs the limpetferry entry process.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// File with the settings, in JSON.
    #[arg(long)]
    settings: PathBuf,
    /// Only checks the settings; exits with 1 if they have faults.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let settings: EntrySettings = settings::read(&args.settings)?;
    if args.check {
        println!("{}: no faults", args.settings.display());
        return Ok(());
    }
    log::init(&settings.common.log)?;
    let stop = stop_signal()?;
    // Everything runs on the executor's one thread. Waiting for it without a
    // reactor of its own keeps this thread from taking events away from it.
    futures_lite::future::block_on(smol::spawn(entry_node::run(settings, stop)))
}
