//! Time-out of the long-polling calls that watch the platform's store.

use std::time::Duration;

use crate::time::Time;

/// Default time for which the store may hold a call without a change. A call
/// that was lost in an outage of the store has to time out before the platform
/// relies on its store again.
pub const DEFAULT_HOLD: Duration = Duration::from_millis(1_500);
/// Longest time for which the store's protocol allows a call to be held.
pub const MAX_HOLD: Duration = Duration::from_secs(30);
/// Time allowed for the answer after the hold time: a slow store needs about
/// 400 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(750);
/// Time allowed for the answer once another process reports a later revision:
/// that process may have received its answer earlier by the pause between two
/// calls plus the duration of a slow answer.
const BEHIND_TIMEOUT: Duration = Duration::from_millis(700);

/// A long-polling call that waits for changes in the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    sent: Time,
    hold: Duration,
    revision: u64,
    /// When another process first reported a revision that this call has not
    /// returned.
    behind_since: Option<Time>,
}

impl StoreWatch {
    /// Records a call that is sent now, requests changes after `revision`, and may
    /// be held for `hold`.
    pub fn new(now: Time, revision: u64, hold: Duration) -> Self {
        Self {
            sent: now,
            hold,
            revision,
            behind_since: None,
        }
    }

    /// Records that another process has seen the store at `revision`.
    pub fn record_other_revision(&mut self, now: Time, revision: u64) {
        if revision > self.revision {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns whether another process has seen changes that this call has not
    /// returned.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns the deadline after which the call is treated as lost: the store may
    /// have accepted it and never answer.
    pub fn deadline(&self) -> Time {
        let limit = self.sent + self.hold + ANSWER_TIMEOUT;
        self.behind_since
            .map_or(limit, |since| limit.min(since + BEHIND_TIMEOUT))
    }
}
