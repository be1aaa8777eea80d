//! What a gateway knows of another one to which it hands requests.

use std::time::Duration;

use crate::load_report::GatewayState;
use crate::time::Time;

/// Round trip to a gateway of the same data centre until it is measured.
const NEAR_WAY: Duration = Duration::from_millis(1);
/// Round trip to a gateway of another data centre until it is measured.
const FAR_WAY: Duration = Duration::from_millis(5);
/// Time of the way from which on the target counts as late.
const LATE_HOP: Duration = Duration::from_millis(100);
/// Time for which a target is left out after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which a target is left out.
const MOST_PAUSE: Duration = Duration::from_secs(8);
/// Weight of the newest round trip.
const NEWEST: f64 = 0.2;

/// How a request ended that was handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopEnd {
    /// The answer came; `hop` is the time that neither the target's work nor
    /// the caller took.
    Answered {
        /// Time that the way there and back took.
        hop: Duration,
        /// How late this gateway was with its own work, which both ways wait
        /// for.
        late: Duration,
    },
    /// The target had no room for it.
    Full,
    /// There was no answer.
    Failed,
}

/// One target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    /// Requests handed over since the target's last report.
    fresh: u32,
    /// Its last report, as far as it tells one from the next.
    seen: (u32, u32),
    /// Round trip, in seconds.
    way: Option<f64>,
    failures: u32,
    paused: Option<Time>,
}

impl Target {
    /// Takes its report.
    pub(crate) fn see(&mut self, state: &GatewayState) {
        let seen = (state.requests, state.late_ms);
        if self.seen != seen {
            self.seen = seen;
            self.fresh = 0;
        }
    }

    /// Returns how many requests it has, with those that it has not told of yet.
    pub(crate) fn requests(&self, state: &GatewayState) -> u32 {
        state.requests.saturating_add(self.fresh)
    }

    /// Notes that a request goes there.
    pub(crate) fn begin(&mut self) {
        self.fresh = self.fresh.saturating_add(1);
    }

    /// Notes how a request ended there.
    pub(crate) fn end(&mut self, now: Time, end: HopEnd) {
        match end {
            HopEnd::Answered { hop, late } if hop < LATE_HOP + late * 2 => {
                self.failures = 0;
                self.paused = None;
            }
            HopEnd::Answered { .. } | HopEnd::Full | HopEnd::Failed => self.pause(now),
        }
    }

    /// Leaves it out, twice as long as the last time. Requests that fail
    /// together count once.
    fn pause(&mut self, now: Time) {
        if self.is_paused(now) {
            return;
        }
        let pause = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures));
        self.paused = Some(now + pause.min(MOST_PAUSE));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether it is left out.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Notes a round trip.
    pub(crate) fn observe_way(&mut self, took: Duration) {
        let new = took.as_secs_f64();
        self.way = Some(self.way.map_or(new, |old| old + (new - old) * NEWEST));
    }

    /// Returns the round trip, in seconds.
    pub(crate) fn way(&self, near: bool) -> f64 {
        let guess = if near { NEAR_WAY } else { FAR_WAY };
        self.way.unwrap_or(guess.as_secs_f64())
    }
}
