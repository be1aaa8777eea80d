//! Monotonic time as a value that callers pass in.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Longest span that a document, a header or a setting may name, ten years; longer ones
/// count as this one. Sums and small multiples of it fit every clock.
pub const MAX_SPAN: Duration = Duration::from_secs(3_650 * 24 * 3_600);

/// Converts seconds to a span: zero if the number is negative or none, [`MAX_SPAN`] if
/// it is larger.
pub fn span_from_secs(secs: f64) -> Duration {
    if secs < MAX_SPAN.as_secs_f64() {
        Duration::from_secs_f64(secs.max(0.0))
    } else if secs.is_nan() {
        Duration::ZERO
    } else {
        MAX_SPAN
    }
}

/// A point in time on the monotonic clock of one process, as the time since
/// that clock's origin. Times of two processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Time(Duration);

impl Time {
    /// Creates the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates the time `elapsed` after the origin.
    pub const fn from_elapsed(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Returns the time elapsed since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `span` earlier, or the origin if that would precede it.
    pub fn before(self, span: Duration) -> Time {
        Self(self.0.saturating_sub(span))
    }

    /// Returns the seconds since the origin.
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
