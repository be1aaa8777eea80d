//! Panics: each one becomes a line of the log and is counted.

use std::any::Any;
use std::panic::PanicHookInfo;
use std::sync::LazyLock;

use limpetferry_lib::effect::LogEvent;
use prometheus::IntCounter;

use crate::essential;
use crate::log;

/// Panics whose line is flushed before the thread unwinds, as the process may end
/// with it. A flush blocks the thread, so those of a request that panics each time
/// it is sent are left to the log's own thread.
const MAX_FLUSHED: u64 = 8;

static PANICS: LazyLock<IntCounter> = LazyLock::new(|| {
    IntCounter::new("panics_total", "Panics of threads and tasks").expect("the name is valid")
});

/// Begins the message of a panic that meets a lock in whose hold another one happened.
pub const POISONED: &str = "no panic while locked";

/// Returns the counter of the process's panics.
pub fn counter() -> IntCounter {
    PANICS.clone()
}

/// Writes each panic of the process as one line of the log, in place of the report
/// on standard error, which may block. One that finds shared state half changed by an
/// earlier one ends the process, as each later use of that state would panic too.
pub fn install(node: &str) {
    let node = node.to_owned();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.inc();
        log::note(&node, &event(info));
        if message(info.payload()).starts_with(POISONED) {
            essential::end_process(&node, "shared state", "a panic left it half changed");
        }
        if PANICS.get() <= MAX_FLUSHED {
            log::flush();
        }
    }));
}

fn event(info: &PanicHookInfo<'_>) -> LogEvent {
    let thread = std::thread::current();
    let place = info.location().map(ToString::to_string);
    LogEvent::new("panicked")
        .with("thread", thread.name().unwrap_or("unnamed"))
        .with("at", place.unwrap_or_default())
        .with("why", message(info.payload()))
}

/// Returns the message of a panic; a fixed text if it has none.
fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| payload.downcast_ref::<&str>().copied());
    text.unwrap_or("a value that is no text")
}
