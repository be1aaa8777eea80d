//! How long a connection to a server may have been idle and still be used for a
//! request that must run at most once.
//!
//! If the server has closed a connection, the next send on it fails and the
//! outcome of the request is unknown. An early close therefore lowers the limit
//! for a while. A break that comes later, when the server had time to answer, is
//! no evidence about idle connections: the server lost an answer. When lost
//! answers of some servers were taken for closed connections, all connections
//! that had been idle for a fifth of a second were discarded for 20 s, and a
//! third of all connections were opened to replace them.

use std::time::Duration;

use crate::time::Time;

/// Limit while no connection was found closed: if the answer of a request that
/// must run at most once is lost, the request cannot be sent again.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Lower bound of the limit, however early connections are closed.
const MIN_IDLE: Duration = Duration::from_millis(200);
/// How long an early close lowers the limit.
const CLOSE_RETENTION: Duration = Duration::from_secs(20);
/// How soon after a send a connection breaks if the server had closed it: a round
/// trip of 3 ms between data centres, and the delays of a small VM. Servers work
/// for at least 20 ms before they answer.
const MAX_BREAK_DELAY: Duration = Duration::from_millis(15);

/// A connection that its server had closed while it was idle.
#[derive(Clone, Copy, Debug)]
struct EarlyClose {
    at: Time,
    /// How long the connection had been idle.
    idle: Duration,
}

/// Limit of the idle time of connections to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct IdleLimit {
    early_close: Option<EarlyClose>,
}

impl IdleLimit {
    /// Records that a connection which was reused after `idle` broke, `after` a
    /// request was sent on it and before the answer.
    pub fn note_break(&mut self, now: Time, idle: Duration, after: Duration) {
        if after > MAX_BREAK_DELAY {
            return;
        }
        let shortest = self
            .recent_close(now)
            .map_or(idle, |old| old.idle.min(idle));
        self.early_close = Some(EarlyClose {
            at: now,
            idle: shortest,
        });
    }

    /// Returns the longest time that a connection may have been idle.
    pub fn max_idle(&self, now: Time) -> Duration {
        match self.recent_close(now) {
            Some(early_close) => (early_close.idle / 2).clamp(MIN_IDLE, MAX_IDLE),
            None => MAX_IDLE,
        }
    }

    fn recent_close(&self, now: Time) -> Option<EarlyClose> {
        self.early_close
            .filter(|early_close| now.since(early_close.at) < CLOSE_RETENTION)
    }
}
