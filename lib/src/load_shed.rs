//! Which programs a gateway takes while it is behind its work.
//!
//! A program is of use only whole, so a gateway that has more work than
//! processor time refuses first turns, before it does anything for them, and
//! goes on with programs that it has begun. A timer that fires late says how
//! long everything waits for the processor, and keepers that answer late say
//! how long everything waits for the network: a weak gateway's link is full
//! before its processor is. Refused callers come back to
//! another gateway, which may be stronger: they differ by more than five times
//! and get the same number of callers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// Lateness from which on some first turns are refused: half of what a
/// lookup's aim of 150 ms leaves beside its work.
const FIRST_LATE: Duration = Duration::from_millis(50);
/// Lateness at which all first turns are refused. A turn waits for the
/// processor some five times on its way, so that it is late by then.
const ALL_LATE: Duration = Duration::from_millis(150);
/// Weight of the newest of the timers, which fire twenty times a second: the
/// lateness follows a burst within a fifth of a second.
const NEWEST: f64 = 0.25;
/// Part of the keepers' lateness that is left after a timer: half of it is
/// forgotten after a second without turns.
const FORGET: f64 = 0.966;
/// When a refused caller comes back: at once, as it reaches another gateway.
pub(crate) const COME_BACK: Duration = Duration::from_millis(50);
/// Programs remembered; the older half goes first. A program lasts some four
/// seconds, and a gateway begins 10 a second.
const MAX_PROGRAMS: usize = 8_192;

/// The programs that a gateway has begun, and how late its timers are.
#[derive(Clone, Debug, Default)]
pub struct LoadShed {
    late: f64,
    answers: f64,
    behind: bool,
    young: HashSet<Arc<str>>,
    old: HashSet<Arc<str>>,
}

impl LoadShed {
    /// Takes the lateness of a timer.
    pub fn observe(&mut self, late: Duration) {
        self.late += (late.as_secs_f64() - self.late) * NEWEST;
        self.answers *= FORGET;
    }

    /// Takes the time that the keepers of a turn took to answer.
    pub fn observe_answer(&mut self, took: Duration) {
        self.answers += (took.as_secs_f64() - self.answers) * NEWEST;
    }

    /// Returns whether the gateway has fallen behind its work, or has caught up
    /// again, since it was last asked.
    pub fn change(&mut self) -> Option<bool> {
        let late = self.lateness();
        let behind = if self.behind {
            late > FIRST_LATE / 2
        } else {
            late > FIRST_LATE
        };
        let changed = behind != self.behind;
        self.behind = behind;
        changed.then_some(behind)
    }

    /// Returns how late timers are now.
    pub fn timers(&self) -> Duration {
        Duration::from_secs_f64(self.late.max(0.0))
    }

    /// Returns how late the keepers' answers are now.
    pub fn answers(&self) -> Duration {
        Duration::from_secs_f64(self.answers.max(0.0))
    }

    /// Returns how late timers or answers are now.
    pub fn lateness(&self) -> Duration {
        self.timers().max(self.answers())
    }

    /// Takes a turn, or returns when its caller is to come back. `draw` is a
    /// number from 0 up to 1: the later the timers, the more are refused.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller is to come back.
    pub fn admit(&mut self, program: &Arc<str>, first: bool, draw: f64) -> Result<(), Duration> {
        if first && !self.knows(program) && draw < self.share() {
            return Err(COME_BACK);
        }
        self.remember(program);
        Ok(())
    }

    /// Returns whether a program has begun here.
    pub(crate) fn knows(&self, program: &Arc<str>) -> bool {
        self.young.contains(program) || self.old.contains(program)
    }

    /// Notes that a program has begun.
    pub(crate) fn remember(&mut self, program: &Arc<str>) {
        if self.young.len() >= MAX_PROGRAMS / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(program.clone());
    }

    /// Returns the share of first turns that are refused.
    pub(crate) fn share(&self) -> f64 {
        let (from, to) = (FIRST_LATE.as_secs_f64(), ALL_LATE.as_secs_f64());
        ((self.late.max(self.answers) - from) / (to - from)).clamp(0.0, 1.0)
    }
}
