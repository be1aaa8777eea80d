//! Signals that stop a process or have it read its settings anew.

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::TrySendError;
use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt as _;

/// Exit code of a stop that a second SIGINT cut short.
const CUT_SHORT: i32 = 3;

/// The signals of a process, from when its handlers are installed.
#[derive(Debug)]
pub struct CaughtSignals {
    /// Says that the process is to stop.
    pub stop: Receiver<()>,
    /// Says that the process is to read its settings anew.
    pub reload: Receiver<()>,
}

impl CaughtSignals {
    /// Installs the handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// Until then each of them ends the process, so this goes before anything else that a
    /// program does. What is signalled meanwhile waits in the channels.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a signal cannot be caught.
    pub fn catch() -> std::io::Result<Self> {
        let stops = Signals::new([Signal::Term, Signal::Int])?;
        let hangups = Signals::new([Signal::Hup])?;
        let (say_stop, stop) = async_channel::bounded(1);
        let (say_reload, reload) = async_channel::bounded(1);
        smol::spawn(follow_stops(stops, say_stop)).detach();
        smol::spawn(follow_hangups(hangups, say_reload)).detach();
        Ok(Self { stop, reload })
    }
}

async fn follow_stops(mut signals: Signals, say: Sender<()>) {
    let mut stops = StopSignals::default();
    while let Some(Ok(signal)) = signals.next().await {
        let signal = match signal {
            Signal::Int => StopSignal::Interrupt,
            _ => StopSignal::Terminate,
        };
        match stops.take(signal) {
            StopAction::Begin => {
                let _ = say.send(()).await;
            }
            StopAction::NoteRepeated => {
                log::info!("event=stop_repeated signal={}", signal.name());
            }
            StopAction::CutShort => {
                log::warn!("event=stop_cut_short signal={}", signal.name());
                crate::log::flush();
                std::process::exit(CUT_SHORT);
            }
            StopAction::Nothing => {}
        }
    }
}

async fn follow_hangups(mut signals: Signals, say: Sender<()>) {
    while signals.next().await.is_some() {
        // One that waits is enough.
        if let Err(TrySendError::Closed(())) = say.try_send(()) {
            log::info!("event=reload_unsupported remedy=\"restart to change settings\"");
        }
    }
}

/// A signal that asks a process to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM, which supervisors send and repeat.
    Terminate,
    /// SIGINT, which a terminal sends.
    Interrupt,
}

impl StopSignal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
        }
    }
}

/// What a process does about a signal that asks it to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAction {
    /// Begins its planned stop.
    Begin,
    /// Goes on with its stop, and logs that it was asked again.
    NoteRepeated,
    /// Ends at once.
    CutShort,
    /// Goes on with its stop.
    Nothing,
}

/// The signals so far that asked a process to stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct StopSignals {
    received: u32,
    interrupts: u32,
}

impl StopSignals {
    /// Returns what to do about the next signal. Only a second SIGINT cuts a stop short.
    pub fn take(&mut self, signal: StopSignal) -> StopAction {
        self.received = self.received.saturating_add(1);
        if signal == StopSignal::Interrupt {
            self.interrupts = self.interrupts.saturating_add(1);
        }
        match (self.received, self.interrupts) {
            (1, _) => StopAction::Begin,
            (_, 2..) => StopAction::CutShort,
            (2, _) => StopAction::NoteRepeated,
            _ => StopAction::Nothing,
        }
    }
}
