//! Recent number of requests of this process at a server.

use std::collections::VecDeque;

use crate::time::Time;

/// Maximum number of changes kept per server: more than one process makes within
/// the maximum age of a load sample.
const MAX_CHANGES: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Time,
    before: u32,
}

/// The latest changes of the number of own requests at a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnHistory {
    changes: VecDeque<Change>,
}

impl OwnHistory {
    /// Records a change of the count; `before` is the count until then.
    pub(crate) fn record(&mut self, now: Time, before: u32) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, before });
    }

    /// Returns the count at the time `at`; `current` is the present count.
    pub(crate) fn count(&self, at: Time, current: u32) -> u32 {
        let later = self.changes.iter().find(|change| change.at > at);
        later.map_or(current, |change| change.before)
    }
}
