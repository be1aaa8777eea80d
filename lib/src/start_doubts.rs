//! Servers whose entry may describe an earlier start than the one that runs.
//!
//! A server may start again under its id and at its address, with another version of its
//! software. Its entry follows some time later. Until then the entry's version is not
//! that of the events that the server sends, so that a stream that began there, or goes on
//! there, could mix two versions. A start ends all connections of the one before. After a
//! connection to a server has ended, and while a gateway has just started, the server is
//! therefore in doubt until it says itself which start it is, or until its entry had the
//! time to follow.

use std::time::Duration;

use slotmap::SecondaryMap;

use crate::criteria::ServerKey;
use crate::time::Time;

/// Time within which the entry of a server that started again is known here: a few
/// heartbeats of the server and the delay of a watch.
const ENTRY_LAG: Duration = Duration::from_secs(5);

/// What is known of the process behind an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartEvidence {
    /// It is the start that the entry describes.
    Same,
    /// It is a later one.
    Other,
    /// It does not say.
    Unknown,
}

impl StartEvidence {
    /// Compares the start in an entry with the one that the server told; `told` is
    /// `None` if it told nothing. A server that never started again under its id gives no
    /// start.
    pub fn of(entry: Option<u64>, told: Option<Option<u64>>) -> Self {
        match (entry, told) {
            (_, None) | (Some(_), Some(None)) => Self::Unknown,
            (entry, Some(told)) if entry == told => Self::Same,
            (entry, Some(told)) if entry < told => Self::Other,
            _ => Self::Unknown,
        }
    }

    /// Returns its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Standing {
    /// When a connection ended last.
    InDoubt(Time),
    Confirmed,
}

/// The servers that are in doubt at one gateway.
#[derive(Clone, Debug)]
pub struct StartDoubts {
    started: Time,
    servers: SecondaryMap<ServerKey, Standing>,
}

impl StartDoubts {
    /// Creates the doubts of a gateway that starts now.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            servers: SecondaryMap::new(),
        }
    }

    /// Applies that a connection to a server has ended.
    pub fn lose_connection(&mut self, now: Time, key: ServerKey) {
        self.servers.insert(key, Standing::InDoubt(now));
    }

    /// Applies that a server, which was asked at `asked`, is the start that its entry
    /// describes.
    pub fn confirm(&mut self, asked: Time, key: ServerKey) {
        let ended = match self.servers.get(key) {
            Some(Standing::InDoubt(ended)) => Some(*ended),
            Some(Standing::Confirmed) | None => None,
        };
        if ended.is_none_or(|ended| ended < asked) {
            self.servers.insert(key, Standing::Confirmed);
        }
    }

    /// Returns whether the entry of a server may describe an earlier start.
    pub fn is_in_doubt(&self, now: Time, key: ServerKey) -> bool {
        let since = match self.servers.get(key) {
            Some(Standing::Confirmed) => return false,
            Some(Standing::InDoubt(ended)) => *ended,
            None => self.started,
        };
        now.since(since) < ENTRY_LAG
    }

    /// Forgets the servers that do not exist any more.
    pub fn retain(&mut self, exists: impl Fn(ServerKey) -> bool) {
        self.servers.retain(|key, _| exists(key));
    }
}
