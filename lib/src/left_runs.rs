//! Requests that were left at a server without a complete answer: their caller
//! disconnected, or the server was silent. The server may still end under them.

use std::collections::HashMap;
use std::time::Duration;

use crate::criteria::ServerKey;
use crate::fingerprint::RequestFingerprint;
use crate::time::Time;

/// How long the end of a server counts for a request that was left there: the entry
/// of a server that ends without a word is removed after three heartbeats.
pub const WATCH_TIME: Duration = Duration::from_secs(5);
/// Requests that are watched at one server.
const MAX_RUNS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct LeftRun {
    request: RequestFingerprint,
    left_at: Time,
}

/// Requests that were left at servers, and servers that ended.
#[derive(Clone, Debug, Default)]
pub struct LeftRuns {
    runs: HashMap<ServerKey, Vec<LeftRun>>,
    ended: HashMap<ServerKey, Time>,
}

impl LeftRuns {
    /// Records that a request was left at a server.
    pub fn leave(&mut self, now: Time, server: ServerKey, request: RequestFingerprint) {
        let runs = self.runs.entry(server).or_default();
        if runs.len() < MAX_RUNS {
            let left_at = now;
            runs.push(LeftRun { request, left_at });
        }
    }

    /// Records that a server has ended, and returns the requests that were left
    /// there.
    pub fn end(&mut self, now: Time, server: ServerKey) -> Vec<RequestFingerprint> {
        self.ended.insert(server, now);
        let runs = self.runs.remove(&server).unwrap_or_default();
        let counted = runs.iter().filter(|run| is_watched(now, run.left_at));
        counted.map(|run| run.request).collect()
    }

    /// Returns whether a server is known to have ended.
    pub fn has_ended(&self, server: ServerKey) -> bool {
        self.ended.contains_key(&server)
    }

    /// Removes the requests that were left at a server that leaves as planned.
    pub fn forget(&mut self, server: ServerKey) {
        self.runs.remove(&server);
    }

    /// Removes what no longer counts.
    pub fn expire(&mut self, now: Time) {
        self.runs.retain(|_, runs| {
            runs.retain(|run| is_watched(now, run.left_at));
            !runs.is_empty()
        });
        self.ended.retain(|_, at| now.since(*at) < 2 * WATCH_TIME);
    }
}

fn is_watched(now: Time, left_at: Time) -> bool {
    now.since(left_at) < WATCH_TIME
}
