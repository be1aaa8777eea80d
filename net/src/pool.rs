//! Idle connections to servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use limpetferry_lib::criteria::IdleConnections;
use limpetferry_lib::criteria::ServerKey;
use limpetferry_lib::idle_limit::IdleLimit;
use limpetferry_lib::time::Time;

use crate::http::HttpError;
use crate::http::Sender;
use crate::http::connect;

/// How long an idle connection is used again if the server does not say how
/// long it keeps it.
const USUAL_KEEP: Duration = Duration::from_secs(2);
/// Part of the server's own time after which a connection is not used again:
/// the server may be just closing it.
const SAFE_SHARE: f64 = 0.6;
/// Idle connections kept for each server.
const MAX_IDLE: usize = 24;

/// Why there is no connection to use again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// All are in use.
    None,
    /// The server closed those that were idle.
    Closed,
    /// Those that are idle have been so for too long.
    Old,
}

impl Absence {
    /// Returns its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "new_all_in_use",
            Self::Closed => "new_closed_by_server",
            Self::Old => "new_idle_too_long",
        }
    }
}

struct Idle {
    sender: Sender,
    since: Time,
    keep: Duration,
}

impl Idle {
    fn age(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    /// Returns whether its server keeps it still, as far as is known.
    fn is_kept(&self, now: Time) -> bool {
        self.age(now) < self.keep
    }

    fn is_usable(&self, now: Time) -> bool {
        self.is_kept(now) && !self.sender.is_closed()
    }
}

/// Idle connections to servers, by the server's id.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<ServerKey, Vec<Idle>>>,
    limit: Mutex<IdleLimit>,
}

/// A connection that is used again.
pub struct Kept {
    /// The connection.
    pub sender: Sender,
    /// How long it was idle.
    pub idle: Duration,
}

/// The servers to which there is an idle connection.
pub struct Warm<'a> {
    idle: MutexGuard<'a, HashMap<ServerKey, Vec<Idle>>>,
    now: Time,
    longest: Duration,
}

impl IdleConnections for Warm<'_> {
    fn has(&self, server: ServerKey) -> bool {
        let last = self.idle.get(&server).and_then(|list| list.last());
        last.is_some_and(|last| last.is_usable(self.now) && last.age(self.now) <= self.longest)
    }
}

impl Pool {
    /// Takes the connection to a server that was used last, if it is fresh
    /// enough for a request that may run `once` only or more often.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn take(&self, now: Time, server: ServerKey, once: bool) -> Result<Kept, Absence> {
        let once_idle = self.once_idle(now);
        let mut idle = self.idle.lock().expect("no panic while locked");
        let list = idle.get_mut(&server).ok_or(Absence::None)?;
        let before = list.len();
        list.retain(|idle| !idle.sender.is_closed());
        let closed = before > list.len();
        list.retain(|idle| idle.is_kept(now));
        let Some(last) = list.last() else {
            return Err(match (before, closed) {
                (0, _) => Absence::None,
                (_, true) => Absence::Closed,
                (_, false) => Absence::Old,
            });
        };
        if once && last.age(now) > once_idle {
            return Err(Absence::Old);
        }
        let last = list.pop().ok_or(Absence::None)?;
        Ok(Kept {
            idle: last.age(now),
            sender: last.sender,
        })
    }

    /// Returns a view of the servers to which there is a connection that a
    /// request may use, one that may run `once` only or more often.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn warm(&self, now: Time, once: bool) -> Warm<'_> {
        let once_idle = self.once_idle(now);
        Warm {
            idle: self.idle.lock().expect("no panic while locked"),
            now,
            longest: if once { once_idle } else { Duration::MAX },
        }
    }

    /// Notes that a connection that was used again after `idle` broke off before
    /// its answer, `after` the request was sent on it.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn note_break(&self, now: Time, idle: Duration, after: Duration) {
        let mut limit = self.limit.lock().expect("no panic while locked");
        limit.note_break(now, idle, after);
    }

    fn once_idle(&self, now: Time) -> Duration {
        let limit = self.limit.lock().expect("no panic while locked");
        limit.max_idle(now)
    }

    /// Keeps a connection for the next request.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn put(&self, now: Time, server: ServerKey, sender: Sender, keep: Option<Duration>) {
        if sender.is_closed() {
            return;
        }
        let keep = keep.unwrap_or(USUAL_KEEP).mul_f64(SAFE_SHARE);
        let mut idle = self.idle.lock().expect("no panic while locked");
        let list = idle.entry(server).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle {
                sender,
                since: now,
                keep,
            });
        }
    }

    /// Closes what was idle for too long, and what belongs to servers that
    /// are gone. Returns the servers that closed idle connections themselves.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn expire(&self, now: Time, exists: impl Fn(ServerKey) -> bool) -> Vec<ServerKey> {
        let mut closed = Vec::new();
        let mut idle = self.idle.lock().expect("no panic while locked");
        idle.retain(|server, list| {
            if list.iter().any(|idle| idle.sender.is_closed()) {
                closed.push(*server);
            }
            list.retain(|idle| idle.is_usable(now));
            exists(*server) && !list.is_empty()
        });
        closed
    }

    /// Makes a connection.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Connect`] if none can be made in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Sender, HttpError> {
        connect(&address.to_string()).await
    }
}
