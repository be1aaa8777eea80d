//! How long a call that watches the platform's store is waited for.

use std::time::Duration;

use crate::time::Time;

/// How long the store may usually hold a call without a change. A call that an
/// outage has swallowed has to be given up before the platform counts on its
/// store again.
pub const HOLD: Duration = Duration::from_millis(1_500);
/// Longest time for which the store holds a call, by its protocol.
pub const MOST_HOLD: Duration = Duration::from_secs(30);
/// Wait for the answer beyond that: a slowed store takes some 400 ms.
const SPARE: Duration = Duration::from_millis(750);

/// A call that waits for changes of what the store holds.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    sent: Time,
    hold: Duration,
}

impl StoreWatch {
    /// Makes a call that is sent now and that the store may hold for `hold`.
    pub fn new(now: Time, hold: Duration) -> Self {
        Self { sent: now, hold }
    }

    /// Returns when the call counts as lost: the store may have taken it
    /// without ever answering.
    pub fn limit(&self) -> Time {
        self.sent + self.hold + SPARE
    }
}
