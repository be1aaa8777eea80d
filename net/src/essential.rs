//! Tasks and threads without which a process cannot serve. When one of them ends, the
//! process ends with its own exit code, so that a supervisor starts it again: one that
//! goes on without them looks alive and serves nothing.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use futures_lite::FutureExt as _;
use limpetferry_lib::effect::LogEvent;

use crate::log;

/// Exit code of a process that an essential task or thread has left.
pub const TASK_ENDED: i32 = 7;

/// The essential tasks of one process. They may end once it stops, which is when this
/// is dropped or [`Essential::stop`] is called.
#[derive(Debug)]
pub struct Essential {
    node: String,
    stopping: Arc<AtomicBool>,
}

impl Essential {
    /// Returns the empty set of tasks of the process `node`.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            stopping: Arc::default(),
        }
    }

    /// Runs a task. If it returns or panics while the process does not stop, the process
    /// ends with [`TASK_ENDED`].
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let (node, stopping) = (self.node.clone(), self.stopping.clone());
        smol::spawn(async move {
            let ended = AssertUnwindSafe(task).catch_unwind().await;
            if !stopping.load(Ordering::Relaxed) {
                end_process(&node, name, why(ended.is_err()));
            }
        })
        .detach();
    }

    /// Lets the tasks end from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

impl Drop for Essential {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Runs the body of a thread that may return, as when nobody needs it any more. If it
/// panics, the process ends with [`TASK_ENDED`].
pub fn run_thread(node: &str, name: &'static str, body: impl FnOnce()) {
    if catch_unwind(AssertUnwindSafe(body)).is_err() {
        end_process(node, name, why(true));
    }
}

/// Waits for a task that may return. If it panics, the process ends with
/// [`TASK_ENDED`].
pub async fn without_panic<T>(
    node: &str,
    name: &'static str,
    task: impl Future<Output = T> + Send,
) -> T {
    match AssertUnwindSafe(task).catch_unwind().await {
        Ok(value) => value,
        Err(_) => end_process(node, name, why(true)),
    }
}

fn why(has_panicked: bool) -> &'static str {
    if has_panicked {
        "it panicked, see the line before"
    } else {
        "it returned"
    }
}

/// Ends the process because an essential task has ended.
pub(crate) fn end_process(node: &str, task: &str, why: &str) -> ! {
    log::note(
        node,
        &LogEvent::new("task_ended")
            .with("task", task)
            .with("why", why)
            .with("code", TASK_ENDED)
            .with("remedy", "start the process again, and report this line"),
    );
    log::flush();
    std::process::exit(TASK_ENDED);
}
