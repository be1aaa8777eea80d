//! Load shedding of a gateway that is late with its work.
//!
//! A program is useful only as a whole. A gateway that has more work than
//! processor time therefore refuses first turns, before it does any work for
//! them, and continues the programs that it has begun. The lateness of a timer
//! shows how long tasks wait for the processor, and the response time of the
//! keepers shows how long messages wait for the network: the link of a weak
//! gateway is saturated before its processor is. Refused callers retry at another
//! gateway, which may be stronger: gateways differ by more than five times in
//! capacity, yet each gets the same number of callers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::time::span_from_secs;

/// Lateness from which on some first turns are refused: half of what the target
/// of 150 ms for a lookup leaves beside its own work.
const SHED_FROM: Duration = Duration::from_millis(50);
/// Lateness from which on all first turns are refused. A turn waits for the
/// processor about five times on its way, so that it is late by then.
const SHED_ALL: Duration = Duration::from_millis(150);
/// Weight of the newest sample of the lateness. Timers fire twenty times a
/// second, so that the average follows a burst within a fifth of a second.
const EWMA_WEIGHT: f64 = 0.25;
/// Factor by which the keepers' response time decays with each timer: it halves
/// within a second without turns.
const ANSWER_DECAY: f64 = 0.966;
/// Retry time of a refused caller: short, as the retry reaches another gateway.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Limit of the remembered programs, of which the older half is dropped first. A
/// program lasts about four seconds, and a gateway begins 10 a second.
const MAX_PROGRAMS: usize = 8_192;

/// The programs that a gateway has begun, and how late the gateway is.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    late: f64,
    answers: f64,
    behind: bool,
    recent: HashSet<Arc<str>>,
    previous: HashSet<Arc<str>>,
}

impl LoadShedder {
    /// Adds a sample of the lateness of a timer.
    pub fn observe_timer(&mut self, late: Duration) {
        self.late += (late.as_secs_f64() - self.late) * EWMA_WEIGHT;
        self.answers *= ANSWER_DECAY;
    }

    /// Adds a sample of the time that the keepers of a turn took to answer.
    pub fn observe_answer(&mut self, took: Duration) {
        self.answers += (took.as_secs_f64() - self.answers) * EWMA_WEIGHT;
    }

    /// Updates whether the gateway is behind its work, and returns the new state if
    /// it has changed since the last call.
    pub fn update_behind(&mut self) -> Option<bool> {
        let late = self.lateness();
        let behind = if self.behind {
            late > SHED_FROM / 2
        } else {
            late > SHED_FROM
        };
        let changed = behind != self.behind;
        self.behind = behind;
        changed.then_some(behind)
    }

    /// Returns the average lateness of timers.
    pub fn timer_lateness(&self) -> Duration {
        span_from_secs(self.late)
    }

    /// Returns the average response time of the keepers.
    pub fn answer_time(&self) -> Duration {
        span_from_secs(self.answers)
    }

    /// Returns the larger of the timers' lateness and the keepers' response time.
    pub fn lateness(&self) -> Duration {
        self.timer_lateness().max(self.answer_time())
    }

    /// Admits a turn, or returns after which time its caller should retry. `draw` is
    /// a random number from 0 up to 1: the later the gateway, the more first turns
    /// are refused.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should retry.
    pub fn admit(&mut self, program: &Arc<str>, first: bool, draw: f64) -> Result<(), Duration> {
        if first && !self.has_begun(program) && draw < self.refused_share() {
            return Err(RETRY_AFTER);
        }
        self.note_begun(program);
        Ok(())
    }

    /// Returns whether the program has begun here.
    pub(crate) fn has_begun(&self, program: &Arc<str>) -> bool {
        self.recent.contains(program) || self.previous.contains(program)
    }

    /// Records that the program has begun.
    pub(crate) fn note_begun(&mut self, program: &Arc<str>) {
        if self.recent.len() >= MAX_PROGRAMS / 2 {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(program.clone());
    }

    /// Returns the share of first turns to refuse.
    pub(crate) fn refused_share(&self) -> f64 {
        let (from, to) = (SHED_FROM.as_secs_f64(), SHED_ALL.as_secs_f64());
        ((self.late.max(self.answers) - from) / (to - from)).clamp(0.0, 1.0)
    }
}
