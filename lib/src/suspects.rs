//! Requests under which servers ended, as one gateway knows them.

use std::collections::HashMap;
use std::time::Duration;

use crate::fingerprint::RequestFingerprint;
use crate::load_report::ServerStart;
use crate::request_ends::EndNotice;
use crate::request_ends::MAX_ENDS;
use crate::request_ends::RETENTION;
use crate::time::Time;

/// Largest number of requests in the table: those under way at some hundred servers
/// that end at once. Above it, those with the fewest ends are dropped first.
const MAX_SUSPECTS: usize = 4_096;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No server is known to have ended under it: it is sent as any other.
    Clear,
    /// This many servers have ended under it: each run has to be recorded first.
    Suspect(u64),
    /// So many servers have ended under it that it is sent to none.
    Refused,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Servers that ended under runs of this gateway.
    servers: Vec<ServerStart>,
    ended: u64,
    forgiven: u64,
    until: Time,
}

impl Suspect {
    fn ends(&self) -> u64 {
        let recorded = self.ended.saturating_sub(self.forgiven);
        recorded.max(self.servers.len() as u64)
    }
}

/// One request of the table, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectView {
    /// The request.
    pub request: RequestFingerprint,
    /// Servers that ended under it and count.
    pub ends: u64,
    /// Time until its ends no longer count, if no other server ends.
    pub remaining: Duration,
}

/// The requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<RequestFingerprint, Suspect>,
}

impl SuspectTable {
    /// Returns whether there are none, so that no request needs to be identified.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a request may be sent.
    pub fn standing(&self, now: Time, request: RequestFingerprint) -> Standing {
        let suspect = self.suspects.get(&request);
        let suspect = suspect.filter(|suspect| suspect.until > now);
        match suspect.map_or(0, Suspect::ends) {
            0 => Standing::Clear,
            ends if ends < MAX_ENDS => Standing::Suspect(ends),
            _ => Standing::Refused,
        }
    }

    /// Returns how many of a request's ends count no longer.
    pub fn forgiven(&self, request: RequestFingerprint) -> u64 {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.forgiven)
    }

    /// Returns how many servers ended under a request, all since the records began.
    pub fn ended(&self, request: RequestFingerprint) -> u64 {
        let suspect = self.suspects.get(&request);
        suspect.map_or(0, |suspect| suspect.forgiven + suspect.ends())
    }

    /// Records that a server ended under a run of this gateway.
    pub fn record_end(&mut self, now: Time, request: RequestFingerprint, server: ServerStart) {
        let suspect = self.entry(now, request);
        if !suspect.servers.contains(&server) && suspect.servers.len() < MAX_ENDS as usize {
            suspect.servers.push(server);
        }
        suspect.until = now + RETENTION;
    }

    /// Applies what keepers have recorded.
    pub fn apply(&mut self, now: Time, notice: &EndNotice) {
        let age = Duration::from_millis(notice.age_ms);
        if age >= RETENTION {
            return;
        }
        let suspect = self.entry(now, notice.request);
        if notice.forgiven > suspect.forgiven {
            suspect.forgiven = notice.forgiven;
            suspect.servers.clear();
        }
        suspect.ended = suspect.ended.max(notice.ended);
        suspect.until = suspect.until.max(now + (RETENTION - age));
    }

    fn entry(&mut self, now: Time, request: RequestFingerprint) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.expire(now);
            let least = self.suspects.iter();
            let least = least.min_by_key(|(_, suspect)| (suspect.ends(), suspect.until));
            if let Some(least) = least.map(|(&request, _)| request)
                && self.suspects.len() >= MAX_SUSPECTS
            {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(request).or_default()
    }

    /// Removes requests whose ends no longer count.
    pub fn expire(&mut self, now: Time) {
        self.suspects.retain(|_, suspect| suspect.until > now);
    }

    /// Returns the requests, those with the most ends first.
    pub fn views(&self, now: Time) -> Vec<SuspectView> {
        let live = self.suspects.iter().filter(|(_, one)| one.until > now);
        let views = live.map(|(&request, suspect)| SuspectView {
            request,
            ends: suspect.ends(),
            remaining: suspect.until.since(now),
        });
        let mut views: Vec<SuspectView> = views.filter(|view| view.ends > 0).collect();
        views.sort_by_key(|view| (std::cmp::Reverse(view.ends), view.request));
        views
    }
}
