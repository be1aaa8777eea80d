//! The clock that binaries hand to the reducers.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use limpetferry_lib::time::Time;

/// Counts the time since a process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the present time.
    pub fn now(&self) -> Time {
        Time::from_elapsed(self.start.elapsed())
    }
}

/// Returns the seconds since 1970, for people and audit trails only.
pub fn unix_secs() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |span| span.as_secs())
}
