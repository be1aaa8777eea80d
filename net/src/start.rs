//! What the programs do first: read settings, start logging, wait for a signal.

use std::future::Future;
use std::path::Path;

use async_channel::Receiver;

use crate::essential;
use crate::essential::Essential;
use crate::log;
use crate::panics;
use crate::reload::Live;
use crate::settings;
use crate::settings::Check;
use crate::signals::reload_signal;
use crate::signals::stop_signal;

/// Does the same as [`start`] for a process that takes changed settings while
/// it runs.
///
/// # Errors
///
/// Returns an error if the settings have faults, or that of the process.
pub fn start_live<S, F>(
    file: &Path,
    check: bool,
    run: impl FnOnce(Live<S>, Receiver<()>) -> F,
) -> eyre::Result<()>
where
    S: Check + PartialEq + Send + Sync + 'static,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    start(file, check, |settings: S, stop| {
        let node = settings.node().to_owned();
        let live = Live::new(file, settings);
        let reload = reload_signal();
        let running = run(live.clone(), stop);
        async move {
            let essential = Essential::new(&node);
            essential.spawn("settings", live.follow(node, reload?));
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
    panics::install(settings.node());
    let stop = stop_signal()?;
    let node = settings.node().to_owned();
    let running = run(settings, stop);
    // Everything runs on the executor's one thread. Waiting for it without a
    // reactor of its own keeps this thread from taking events away from it.
    futures_lite::future::block_on(smol::spawn(async move {
        essential::without_panic(&node, "main", running).await
    }))
}
