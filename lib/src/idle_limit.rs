//! How long a connection to a server may have been idle before it is used for
//! a request that may run once only.
//!
//! A connection that its server dropped breaks as soon as something is sent on
//! it, and the request's outcome is unknown. So an early drop makes the limit
//! shorter for a while. A break that comes later, when the server had time to
//! answer, says nothing of idle connections: the server lost an answer. Taken
//! for drops, lost answers of some servers had all connections that were idle
//! for a fifth of a second thrown away for 20 s, and a third of all
//! connections made for that.

use std::time::Duration;

use crate::time::Time;

/// Longest idle time while no connection was found dropped: the answer of a
/// request that may run once cannot be asked for again if it is lost.
const LONGEST: Duration = Duration::from_secs(4);
/// Least such time, however early connections are dropped.
const LEAST: Duration = Duration::from_millis(200);
/// How long servers that drop connections early are remembered.
const MEMORY: Duration = Duration::from_secs(20);
/// How soon after a request was sent on it a dropped connection breaks: a round
/// trip between data centres of 3 ms, and the delays of a small VM. Servers
/// work for 20 ms and longer before they answer.
const BREAK_WAIT: Duration = Duration::from_millis(15);

/// A connection that its server had dropped without a word.
#[derive(Clone, Copy, Debug)]
struct Dropped {
    at: Time,
    /// How long it had been idle.
    idle: Duration,
}

/// The longest time that a connection may have been idle.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    dropped: Option<Dropped>,
}

impl IdleLimit {
    /// Notes that a connection that was used again after `idle` broke, `after` a
    /// request was sent on it and before its answer.
    pub fn note_break(&mut self, now: Time, idle: Duration, after: Duration) {
        if after > BREAK_WAIT {
            return;
        }
        let known = self.fresh(now).map_or(idle, |old| old.idle.min(idle));
        self.dropped = Some(Dropped {
            at: now,
            idle: known,
        });
    }

    /// Returns the longest time that a connection may have been idle.
    pub fn longest(&self, now: Time) -> Duration {
        match self.fresh(now) {
            Some(dropped) => (dropped.idle / 2).clamp(LEAST, LONGEST),
            None => LONGEST,
        }
    }

    fn fresh(&self, now: Time) -> Option<Dropped> {
        self.dropped
            .filter(|dropped| now.since(dropped.at) < MEMORY)
    }
}
