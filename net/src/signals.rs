//! Signals that stop a process or have it read its settings anew.

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt as _;

/// Returns a channel that says when the process is to read its settings anew.
///
/// # Errors
///
/// Returns an error if the signal cannot be caught.
pub fn reload_signal() -> std::io::Result<async_channel::Receiver<()>> {
    let mut signals = Signals::new([Signal::Hup])?;
    let (say, hear) = async_channel::bounded(1);
    smol::spawn(async move {
        while signals.next().await.is_some() {
            // One that waits is enough.
            let _ = say.try_send(());
        }
    })
    .detach();
    Ok(hear)
}

/// Exit code of a stop that a second signal cut short.
const CUT_SHORT: i32 = 3;

/// Returns a channel that says when the process is to stop. A second signal
/// ends the process at once.
///
/// # Errors
///
/// Returns an error if the signals cannot be caught.
pub fn stop_signal() -> std::io::Result<async_channel::Receiver<()>> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let (say, hear) = async_channel::bounded(1);
    smol::spawn(async move {
        signals.next().await;
        let _ = say.send(()).await;
        signals.next().await;
        std::process::exit(CUT_SHORT);
    })
    .detach();
    Ok(hear)
}
