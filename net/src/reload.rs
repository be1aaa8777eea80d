//! Settings that change while a process runs: read anew at a signal, or when
//! the file has changed without one.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use limpetferry_lib::effect::LogEvent;

use crate::log;
use crate::settings;
use crate::settings::Check;
use crate::timeout::within;

/// Time between looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// The settings in force; clones share them.
#[derive(Debug)]
pub struct Live<S> {
    file: PathBuf,
    now: Arc<Mutex<Arc<S>>>,
}

impl<S> Clone for Live<S> {
    fn clone(&self) -> Self {
        Self {
            file: self.file.clone(),
            now: self.now.clone(),
        }
    }
}

impl<S: Check + PartialEq + Send + Sync + 'static> Live<S> {
    /// Makes settings that were read from `file`.
    pub fn new(file: &Path, settings: S) -> Self {
        Self {
            file: file.to_owned(),
            now: Arc::new(Mutex::new(Arc::new(settings))),
        }
    }

    /// Returns the settings in force.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn get(&self) -> Arc<S> {
        self.now.lock().expect("no panic while locked").clone()
    }

    /// Follows the file for as long as the process runs.
    pub async fn follow(self, node: String, signal: Receiver<()>) {
        let mut refused = String::new();
        loop {
            let signalled = within(LOOK_EVERY, signal.recv()).await.is_some();
            match self.read() {
                Ok(changed) => {
                    refused.clear();
                    if changed || signalled {
                        let note = LogEvent::new("reloaded").with("changed", changed);
                        log::note(&node, &note.with("signal", signalled));
                    }
                }
                Err(error) => {
                    let why = error.to_string();
                    if signalled || why != refused {
                        let note = LogEvent::new("reload_refused").with("why", &why);
                        log::note(&node, &note.with("signal", signalled));
                    }
                    refused = why;
                }
            }
        }
    }

    /// Reads the file; what is faulty changes nothing. Returns whether the
    /// settings are other ones than before.
    fn read(&self) -> Result<bool, settings::SettingsError> {
        let next: S = settings::read(&self.file)?;
        let mut now = self.now.lock().expect("no panic while locked");
        let changed = **now != next;
        if changed {
            *now = Arc::new(next);
        }
        Ok(changed)
    }
}
