//! What the programs do first: read settings, start logging, wait for a signal.

use std::future::Future;
use std::io;
use std::path::Path;
use std::process;
use std::process::ExitCode;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use limpetferry_lib::document::Fault;
use limpetferry_lib::effect::LogEvent;

use crate::addresses::ListenError;
use crate::data_folder;
use crate::essential;
use crate::essential::Essential;
use crate::log;
use crate::panics;
use crate::reload::Live;
use crate::settings;
use crate::settings::Check;
use crate::settings::DataSettings;
use crate::settings::EXIT_REFUSED;
use crate::settings::SettingsError;
use crate::signals::CaughtSignals;

/// Exit code of a check that found faults, and of a process that failed for another
/// reason than its settings.
const EXIT_FAILED: u8 = 1;

/// Longest wait for a settings file that is missing or has no end.
const SETTINGS_LIMIT: Duration = Duration::from_secs(10);
/// Time between two looks at it.
const SETTINGS_PAUSE: Duration = Duration::from_millis(20);

/// When the process began to start.
static BEGUN: OnceLock<Instant> = OnceLock::new();

/// Adds to an event which build and which start of a process it is of, and how long the
/// start took.
pub fn identify(note: LogEvent) -> LogEvent {
    let note = note.with("version", env!("CARGO_PKG_VERSION"));
    let note = note.with("pid", process::id());
    let begun = BEGUN.get();
    note.with_some("start_ms", begun.map(|begun| begun.elapsed().as_millis()))
}

/// Does the same as [`start`] for a process that takes changed settings while
/// it runs.
pub fn start_live<S, F>(
    signals: io::Result<CaughtSignals>,
    file: &Path,
    check: bool,
    run: impl FnOnce(Live<S>, Receiver<()>) -> F,
) -> ExitCode
where
    S: Check + PartialEq + Send + Sync + 'static,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    start_with(signals, file, check, |settings: S, signals| {
        let node = settings.node().to_owned();
        let live = Live::new(file, settings);
        let running = run(live.clone(), signals.stop);
        async move {
            let essential = Essential::new(&node);
            essential.spawn("settings", live.follow(node, signals.reload));
            running.await
        }
    })
}

/// Reads the settings in `file` and runs a process with them until a signal
/// stops it; with `check`, only checks them. Returns the exit code of the process, after
/// a line that says why if it failed.
pub fn start<S, F>(
    signals: io::Result<CaughtSignals>,
    file: &Path,
    check: bool,
    run: impl FnOnce(S, Receiver<()>) -> F,
) -> ExitCode
where
    S: Check,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    start_with(signals, file, check, |settings, signals| {
        run(settings, signals.stop)
    })
}

fn start_with<S, F>(
    signals: io::Result<CaughtSignals>,
    file: &Path,
    check: bool,
    run: impl FnOnce(S, CaughtSignals) -> F,
) -> ExitCode
where
    S: Check,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    BEGUN.get_or_init(Instant::now);
    if check {
        return check_settings::<S>(file);
    }
    let stop = signals.as_ref().ok().map(|signals| &signals.stop);
    match read_settings::<S>(file, stop) {
        Ok(Some(settings)) => run_process(signals, file, settings, run),
        Ok(None) => ExitCode::SUCCESS,
        Err(error) => refuse(&error),
    }
}

fn check_settings<S: Check>(file: &Path) -> ExitCode {
    match settings::read::<S>(file) {
        Ok(_) => {
            println!("{}: no faults", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Reads the settings, and waits for a file that is missing or still being written. Returns
/// nothing if the process is stopped meanwhile.
fn read_settings<S: Check>(
    file: &Path,
    stop: Option<&Receiver<()>>,
) -> Result<Option<S>, SettingsError> {
    let begun = Instant::now();
    let mut is_told = false;
    loop {
        let error = match settings::read(file) {
            Ok(settings) => return Ok(Some(settings)),
            Err(error) => error,
        };
        if !error.is_incomplete() || begun.elapsed() >= SETTINGS_LIMIT {
            return Err(error);
        }
        if stop.is_some_and(|stop| stop.try_recv().is_ok()) {
            return Ok(None);
        }
        if !is_told {
            is_told = true;
            let note = LogEvent::new("settings_awaited").with("file", file.display());
            let note = note.with("limit_s", SETTINGS_LIMIT.as_secs());
            log::note_end("", &note.with("why", error));
        }
        thread::sleep(SETTINGS_PAUSE);
    }
}

fn run_process<S, F>(
    signals: io::Result<CaughtSignals>,
    file: &Path,
    settings: S,
    run: impl FnOnce(S, CaughtSignals) -> F,
) -> ExitCode
where
    S: Check,
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    let node = settings.node().to_owned();
    if let Err(error) = log::init(settings.log()) {
        return fail(&node, &error);
    }
    panics::install(&node);
    if let Some(data) = settings.data()
        && let Err(fault) = make_folder(&node, data)
    {
        let value = data.folder.display().to_string();
        return refuse(&SettingsError::Faulty {
            file: file.to_owned(),
            node,
            faults: vec![(fault, value)],
        });
    }
    for (setting, assumed) in settings.missing() {
        let note = LogEvent::new("setting_missing").with("setting", setting);
        log::note(&node, &note.with("assumed", assumed));
    }
    let ended = signals.map_err(eyre::Report::from).and_then(|signals| {
        // Everything runs on the executor's one thread. Waiting for it without a
        // reactor of its own keeps this thread from taking events away from it.
        let running = run(settings, signals);
        let name = node.clone();
        futures_lite::future::block_on(smol::spawn(async move {
            essential::without_panic(&name, "main", running).await
        }))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&node, &error),
    }
}

/// Makes the folder for data if it is not there.
fn make_folder(node: &str, data: &DataSettings) -> Result<(), Fault> {
    match data_folder::create(&data.folder) {
        Ok(false) => Ok(()),
        Ok(true) => {
            let note = LogEvent::new("folder_created").with("folder", data.folder.display());
            log::note(node, &note);
            Ok(())
        }
        Err(error) => Err(Fault::new(
            "data.folder",
            format!("cannot be made: {error}; name a folder on the VM's disk"),
        )),
    }
}

fn refuse(error: &SettingsError) -> ExitCode {
    for note in error.notes() {
        log::note_end(error.node(), &note);
    }
    ExitCode::from(EXIT_REFUSED)
}

fn fail(node: &str, error: &eyre::Report) -> ExitCode {
    let unbound = error.downcast_ref::<ListenError>();
    let code = unbound.map_or(EXIT_FAILED, ListenError::exit_code);
    let note = LogEvent::new("start_failed").with("code", code);
    let note = match unbound {
        Some(unbound) => note
            .with("setting", unbound.setting())
            .with("value", unbound.address())
            .with("why", unbound)
            .with("remedy", unbound.remedy()),
        None => note.with("why", format!("{error:#}")),
    };
    log::note_end(node, &note);
    ExitCode::from(code)
}
