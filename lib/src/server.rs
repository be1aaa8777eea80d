//! A backend server as it describes itself, and what its answers say of it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::load_report::ServerStart;

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A server as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its id, which it keeps if it starts again.
    pub id: Arc<str>,
    /// Unix millisecond of its start, if it says so.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
}

impl Server {
    /// Returns a digest that names this start of the server.
    pub fn start(&self) -> ServerStart {
        let start = match self.born {
            Some(born) => born.to_string(),
            None => self.address.to_string(),
        };
        ServerStart(hash::fnv(self.id.bytes().chain(start.bytes())))
    }

    /// Returns whether this describes an earlier start than `other` does.
    pub(crate) fn is_before(&self, other: &Self) -> bool {
        matches!((self.born, other.born), (Some(own), Some(other)) if own < other)
    }

    /// Returns whether this describes the same start as `other`, which was known
    /// before. A server that says when it started says so as long as it runs;
    /// one that does not keeps its address as long.
    pub(crate) fn is_same_start(&self, other: &Self) -> bool {
        let same = match (self.born, other.born) {
            (Some(own), Some(other)) => own == other,
            (Some(_), None) => false,
            (None, _) => self.address == other.address,
        };
        same && self.service == other.service
    }
}

/// Load as a server reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// How long work takes at the moment, in hundredths of its usual time, if
    /// the server says so.
    pub pace: Option<u32>,
}

/// How a request ended, as far as it tells of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing came for longer than answers take.
    Silent,
    /// The server answered.
    Answered,
    /// The server answered that it failed.
    Failed,
    /// The server refused for lack of room.
    Full,
    /// No connection was to be had, or it broke.
    Broken,
    /// The server is another one than was meant.
    Replaced,
    /// The caller left, which says nothing of the server.
    Abandoned,
}
