//! What the programs do first: read settings, start logging, wait for a signal.

use std::future::Future;
use std::path::Path;

use async_channel::Receiver;

use crate::addresses::ListenError;
use crate::log;
use crate::reload::Live;
use crate::settings;
use crate::settings::Check;
use crate::signals::CaughtSignals;

/// Does the same as [`start`] for a process that takes changed settings while
/// it runs.
///
/// # Errors
///
/// Returns an error if the settings have faults, or that of the process.
pub fn start_live<S, F>(
    signals: CaughtSignals,
    file: &Path,
    check: bool,
    run: impl FnOnce(Live<S>, Receiver<()>) -> F,
) -> eyre::Result<()>
where
    S: Check + PartialEq + Send + Sync + 'static,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    let CaughtSignals { stop, reload } = signals;
    run_with(stop, file, check, |settings: S, stop| {
        let node = settings.node().to_owned();
        let live = Live::new(file, settings);
        let running = run(live.clone(), stop);
        async move {
            smol::spawn(live.follow(node, reload)).detach();
            running.await
        }
    })
}

/// Reads the settings in `file` and runs a process with them until a signal
/// stops it; with `check`, only checks them.
///
/// # Errors
///
/// Returns an error if the settings have faults, or that of the process.
pub fn start<S, F>(
    signals: CaughtSignals,
    file: &Path,
    check: bool,
    run: impl FnOnce(S, Receiver<()>) -> F,
) -> eyre::Result<()>
where
    S: Check,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    run_with(signals.stop, file, check, run)
}

fn run_with<S, F>(
    stop: Receiver<()>,
    file: &Path,
    check: bool,
    run: impl FnOnce(S, Receiver<()>) -> F,
) -> eyre::Result<()>
where
    S: Check,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    let settings: S = settings::read(file)?;
    if check {
        println!("{}: no faults", file.display());
        return Ok(());
    }
    log::init(settings.log())?;
    // Everything runs on the executor's one thread. Waiting for it without a
    // reactor of its own keeps this thread from taking events away from it.
    let ended = futures_lite::future::block_on(smol::spawn(run(settings, stop)));
    if let Some(error) = ended.as_ref().err().and_then(|e| e.downcast_ref()) {
        end_unbound(error);
    }
    ended
}

/// Ends the process, as it cannot listen on an address.
fn end_unbound(error: &ListenError) -> ! {
    ::log::error!(
        "event=start_failed setting={} value={} why={:?} remedy={:?}",
        error.setting(),
        error.address(),
        error.to_string(),
        error.remedy()
    );
    log::flush();
    std::process::exit(error.exit_code().into())
}
