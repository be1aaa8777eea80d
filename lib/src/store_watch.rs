//! How long a call that watches the platform's store is waited for.

use std::time::Duration;

use crate::time::Time;

/// How long the store may hold a call without a change.
pub const HOLD: Duration = Duration::from_secs(8);
/// Wait for the answer beyond that.
const SPARE: Duration = Duration::from_secs(2);

/// A call that waits for changes of what the store holds.
#[derive(Clone, Copy, Debug)]
pub struct StoreWatch {
    sent: Time,
}

impl StoreWatch {
    /// Makes a call that is sent now.
    pub fn new(now: Time) -> Self {
        Self { sent: now }
    }

    /// Returns when the call counts as lost: the store may have taken it
    /// without ever answering.
    pub fn limit(&self) -> Time {
        self.sent + HOLD + SPARE
    }
}
