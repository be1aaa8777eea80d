//! Idle connections to servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

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
/// Longest idle time before a request that may run once only: an answer lost
/// with a dropped connection cannot be asked for again.
const ONCE_IDLE: Duration = Duration::from_millis(1_000);
/// Idle connections kept for each server.
const MAX_IDLE: usize = 24;

struct Idle {
    sender: Sender,
    since: Time,
    keep: Duration,
}

/// Idle connections to servers, by the server's id.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection to a server that was used last, if it is fresh
    /// enough for a request that may run `once` only or more often.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn take(&self, now: Time, server: &str, once: bool) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let list = idle.get_mut(server)?;
        list.retain(|idle| now.since(idle.since) < idle.keep && !idle.sender.is_closed());
        let last = list.last()?;
        if once && now.since(last.since) > ONCE_IDLE {
            return None;
        }
        list.pop().map(|idle| idle.sender)
    }

    /// Keeps a connection for the next request.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn put(&self, now: Time, server: &Arc<str>, sender: Sender, keep: Option<Duration>) {
        if sender.is_closed() {
            return;
        }
        let keep = keep.unwrap_or(USUAL_KEEP).mul_f64(SAFE_SHARE);
        let mut idle = self.idle.lock().expect("no panic while locked");
        let list = idle.entry(server.clone()).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle {
                sender,
                since: now,
                keep,
            });
        }
    }

    /// Closes what was idle for too long, and what belongs to servers that
    /// are gone.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock.
    pub fn expire(&self, now: Time, exists: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        idle.retain(|server, list| {
            list.retain(|idle| now.since(idle.since) < idle.keep && !idle.sender.is_closed());
            exists(server) && !list.is_empty()
        });
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
