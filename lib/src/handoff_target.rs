//! A gateway that requests are handed over to, as seen by the one that hands them
//! over.

use std::time::Duration;

use crate::load_report::GatewayState;
use crate::time::Time;

/// Assumed round trip to a gateway of the same data centre until one is measured.
const NEAR_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Assumed round trip to a gateway of another data centre until one is measured.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(5);
/// Hop time above which a target counts as late.
const LATE_HOP: Duration = Duration::from_millis(100);
/// How long a target is left out after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time for which a target is left out.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// Weight of the newest round trip in the mean.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

/// How a request that was handed over ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The answer arrived.
    Answered {
        /// Time on the way there and back, without the time of the target and the
        /// caller.
        hop: Duration,
        /// How late this gateway was with its own work, which delays both
        /// directions.
        late: Duration,
    },
    /// The target refused it for lack of capacity.
    Full,
    /// No answer arrived.
    Failed,
}

/// A gateway that requests may be handed over to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    /// Requests handed over since the target's latest report.
    unreported: u32,
    /// Requests and lateness in its latest report; a change marks a new report.
    last_report: (u32, u32),
    /// Mean round trip, in seconds.
    round_trip: Option<f64>,
    failures: u32,
    paused_until: Option<Time>,
}

impl Target {
    /// Applies a report of the target.
    pub(crate) fn update(&mut self, state: &GatewayState) {
        let last_report = (state.requests, state.late_ms);
        if self.last_report != last_report {
            self.last_report = last_report;
            self.unreported = 0;
        }
    }

    /// Returns its requests, including those handed over since its latest report.
    pub(crate) fn requests(&self, state: &GatewayState) -> u32 {
        state.requests.saturating_add(self.unreported)
    }

    /// Records that a request is handed over to it.
    pub(crate) fn begin(&mut self) {
        self.unreported = self.unreported.saturating_add(1);
    }

    /// Records how a request ended there.
    pub(crate) fn end(&mut self, now: Time, end: HopOutcome) {
        match end {
            HopOutcome::Answered { hop, late } if hop < LATE_HOP + late * 2 => {
                self.failures = 0;
                self.paused_until = None;
            }
            HopOutcome::Answered { .. } | HopOutcome::Full | HopOutcome::Failed => self.pause(now),
        }
    }

    /// Leaves the target out, twice as long as the last time. Failures during a
    /// pause count as one.
    fn pause(&mut self, now: Time) {
        if self.is_paused(now) {
            return;
        }
        let pause = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures));
        self.paused_until = Some(now + pause.min(MAX_PAUSE));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether it is left out at present.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Records a measured round trip.
    pub(crate) fn observe_round_trip(&mut self, took: Duration) {
        let new = took.as_secs_f64();
        self.round_trip = Some(
            self.round_trip
                .map_or(new, |old| old + (new - old) * ROUND_TRIP_WEIGHT),
        );
    }

    /// Returns the round trip, in seconds: the measured mean, or a default for
    /// the same or another data centre.
    pub(crate) fn round_trip(&self, near: bool) -> f64 {
        let default = if near {
            NEAR_ROUND_TRIP
        } else {
            FAR_ROUND_TRIP
        };
        self.round_trip.unwrap_or(default.as_secs_f64())
    }
}
