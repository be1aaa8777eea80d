//! When a gateway reports its load.

use std::time::Duration;

use crate::time::Time;

/// Time between reports of a gateway with requests. What it decides by is as
/// old as its latest answer and half as old again: a load that grows by half
/// within 300 ms is still known to a fifth.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// Time between reports to the keeper that stands in: its answers are read
/// only while the one in charge is being missed.
const STAND_IN_EVERY: Duration = Duration::from_millis(200);
/// Time between reports of a gateway without requests: its estimate does not
/// age out in between, also if it is late.
const IDLE_EVERY: Duration = Duration::from_millis(600);
/// Time between any two reports at a keeper: of more than a hundred gateways,
/// each reports less often.
const KEEPER_EVERY: Duration = Duration::from_millis(1);
/// Longest time between reports of a gateway with requests: two of them lie
/// within the age at which an estimate is no longer used.
const LONGEST_EVERY: Duration = Duration::from_millis(450);

/// Which of the keepers that hear of load it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// The one in charge.
    First,
    /// The one that stands in for it.
    Second,
}

/// When a gateway reported to a keeper last.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportTimes {
    last: Option<Time>,
    was_busy: bool,
}

impl ReportTimes {
    /// Returns whether a report is due of a gateway that has requests or is not
    /// `busy`, where so many gateways report.
    pub fn is_due(&self, now: Time, duty: Duty, busy: bool, reporters: u32) -> bool {
        let Some(last) = self.last else {
            return true;
        };
        let least = match duty {
            Duty::First => REPORT_EVERY,
            Duty::Second => STAND_IN_EVERY,
        };
        let every = if busy || self.was_busy {
            (KEEPER_EVERY * reporters).clamp(least, LONGEST_EVERY)
        } else {
            IDLE_EVERY
        };
        now.since(last) >= every
    }

    /// Returns when the last report went.
    pub fn last(&self) -> Option<Time> {
        self.last
    }

    /// Notes a report.
    pub fn note(&mut self, now: Time, busy: bool) {
        self.last = Some(now);
        self.was_busy = busy;
    }
}
