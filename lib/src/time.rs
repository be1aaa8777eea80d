//! The present time as a value that callers hand in.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A point of time on the clock of one process, counted from a start that
/// only this process knows. Two processes never compare theirs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Time(Duration);

impl Time {
    /// Makes the time that lies `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Makes the time that lies `elapsed` after the start.
    pub const fn from_elapsed(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns how long ago `earlier` was, zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time that lies `span` earlier, or the start.
    pub fn before(self, span: Duration) -> Time {
        Self(self.0.saturating_sub(span))
    }

    /// Returns the time since the start, in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0.as_secs_f64()
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span))
    }
}
