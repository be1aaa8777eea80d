//! How long a call that watches the platform's store is waited for.

use std::time::Duration;

use crate::time::Time;

/// How long the store may usually hold a call without a change. A call that an
/// outage has swallowed has to be given up before the platform counts on its
/// store again.
pub const HOLD: Duration = Duration::from_millis(1_500);
/// Longest time for which the store holds a call, by its protocol.
pub const MOST_HOLD: Duration = Duration::from_secs(30);
/// Wait for the answer beyond the hold: a slowed store takes some 400 ms.
const SPARE: Duration = Duration::from_millis(750);
/// Wait for the answer once other processes know more: theirs may have come
/// sooner by the pause between two calls and by a slow answer.
const BEHIND_WAIT: Duration = Duration::from_millis(700);

/// A call that waits for changes of what the store holds.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    sent: Time,
    hold: Duration,
    revision: u64,
    /// Since when other processes have known of later changes.
    behind: Option<Time>,
}

impl StoreWatch {
    /// Makes a call that is sent now, asks for changes after `revision`, and may
    /// be held for `hold`.
    pub fn new(now: Time, revision: u64, hold: Duration) -> Self {
        Self {
            sent: now,
            hold,
            revision,
            behind: None,
        }
    }

    /// Notes that another process knows what the store held at a revision.
    pub fn note_revision(&mut self, now: Time, revision: u64) {
        if revision > self.revision {
            self.behind.get_or_insert(now);
        }
    }

    /// Returns whether other processes know of changes that the call has not
    /// brought.
    pub fn is_behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Returns when the call counts as lost: the store may have taken it
    /// without ever answering.
    pub fn limit(&self) -> Time {
        let limit = self.sent + self.hold + SPARE;
        self.behind
            .map_or(limit, |since| limit.min(since + BEHIND_WAIT))
    }
}
