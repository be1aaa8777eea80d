//! How many requests of this process were at a server a moment ago.

use std::collections::VecDeque;

use crate::time::Time;

/// Changes kept of one server: more than one process makes there within the
/// age at which a sample is still taken.
const MAX_CHANGES: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Time,
    before: u32,
}

/// The latest changes of a server's count of own requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnHistory {
    changes: VecDeque<Change>,
}

impl OwnHistory {
    /// Notes that the count changes, and what it was `before`.
    pub(crate) fn note(&mut self, now: Time, before: u32) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, before });
    }

    /// Returns what the count was at a time, `present` being what it is now.
    pub(crate) fn count(&self, at: Time, present: u32) -> u32 {
        let later = self.changes.iter().find(|change| change.at > at);
        later.map_or(present, |change| change.before)
    }
}
