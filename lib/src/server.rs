//! Backend servers as they register, and the outcomes of requests sent to them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::hash;
use crate::load_report::ServerStart;
use crate::server_version::ServerVersion;

/// Most requests that one server may run concurrently.
pub const MAX_SLOTS: u32 = 10_000;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// A server as it describes itself in its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Its id, which is the same after a restart.
    pub id: Arc<str>,
    /// Start time in Unix milliseconds, if given.
    pub started_at: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Version of its software.
    pub version: ServerVersion,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
}

impl Server {
    /// Returns a digest that identifies this start of the server.
    pub fn start(&self) -> ServerStart {
        let start = match self.started_at {
            Some(born) => born.to_string(),
            None => self.address.to_string(),
        };
        ServerStart(hash::fnv(self.id.bytes().chain(start.bytes())))
    }

    /// Returns whether this describes an earlier start than `other`.
    pub(crate) fn is_before(&self, other: &Self) -> bool {
        matches!((self.started_at, other.started_at), (Some(own), Some(other)) if own < other)
    }

    /// Returns whether this describes the same start as the previously known
    /// `other`. A server that gives its start time gives it for as long as it
    /// runs; one that does not keeps its address for as long. Its software changes
    /// only with a restart.
    pub(crate) fn is_same_start(&self, other: &Self) -> bool {
        let same = match (self.started_at, other.started_at) {
            (Some(own), Some(other)) => own == other,
            (Some(_), None) => false,
            (None, _) => self.address == other.address,
        };
        same && self.service == other.service && self.version == other.version
    }
}

/// Load reported by a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
    /// How long work takes at present, in hundredths of its usual time, if the
    /// server reports it.
    pub pace: Option<u32>,
}

/// How a request ended, as far as it concerns the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server sent nothing for longer than answers take.
    Silent,
    /// The server answered.
    Answered,
    /// The server answered with a failure.
    Failed,
    /// The server refused the request for lack of capacity.
    Full,
    /// No connection could be made, or it broke.
    Broken,
    /// The server is not the one that the request was addressed to.
    Replaced,
    /// The caller disconnected, which is no evidence about the server.
    Abandoned,
}
