//! What is believed of the requests of other processes at a server.

use std::time::Duration;

use crate::time::Time;

/// Time without a word from a server after which nobody goes there: turns of
/// programs follow each other within a second.
const UNHEARD: Duration = Duration::from_secs(1);
/// Age at which what other processes told says nothing of the present.
const TOLD_AGE: Duration = Duration::from_millis(500);

/// Requests of other processes at the servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Others {
    /// Mean at one server.
    pub(crate) mean: f64,
    /// When other processes last told from which servers they heard.
    pub(crate) told: Option<Time>,
}

impl Others {
    /// Returns what is usual at a server that was last heard from at `heard`, by
    /// this process or another one. While others tell, one that nobody hears
    /// from is idle: servers that hold requests without an answer are told of
    /// too.
    pub(crate) fn usual(&self, now: Time, heard: Option<Time>) -> f64 {
        let tell = self.told.is_some_and(|at| now.since(at) < TOLD_AGE);
        let unheard = heard.is_none_or(|at| now.since(at) > UNHEARD);
        if tell && unheard { 0.0 } else { self.mean }
    }
}
