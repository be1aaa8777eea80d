//! The servers that may continue a stream.
//!
//! Servers of several versions may serve one service at the same time, but a
//! stream must not mix events of two versions. A stream that has brought its caller
//! an event therefore continues only at servers of the service and version that
//! sent it: its origin. [`StreamBinding`] decides for every way in which a stream
//! continues.
//!
//! The origin is recorded with the turn at its program's replicas, and a majority
//! has it on disk before the first event is sent to the caller. A gateway that
//! receives the caller's next attempt gets it with the replies that open that
//! attempt's turn.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::server::Server;
use crate::server_version::ServerVersion;

/// Service and version of the servers that may continue a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// Version of the servers' software.
    pub version: ServerVersion,
}

impl StreamOrigin {
    /// Returns the origin of streams that a server begins.
    pub fn of(server: &Server) -> Self {
        Self {
            service: server.service.clone(),
            version: server.version.clone(),
        }
    }

    /// Creates the origin of streams that a server begins whose version is not known.
    /// No server may continue them.
    pub fn unknown(service: &Arc<str>) -> Self {
        Self {
            service: service.clone(),
            version: ServerVersion::unknown(),
        }
    }

    /// Returns whether a server may continue the stream.
    pub fn allows(&self, server: &Server) -> bool {
        let is_known = !self.version.is_unknown();
        is_known && self.service == server.service && self.version == server.version
    }
}

/// An origin as it is recorded with a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// Number of this record among those of the turn; the largest holds.
    pub serial: u32,
}

/// The stream that a request continues, as its caller names it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Continuation {
    /// The request begins a stream.
    #[default]
    None,
    /// The stream whose first event this attempt brought.
    Attempt(Arc<str>),
    /// One of the program's streams; the caller does not say which.
    Unnamed,
}

/// What one replica has recorded of the stream that a request continues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginView {
    /// It has a stream without an origin, streams with different origins, or does
    /// not answer the question.
    #[default]
    Unknown,
    /// It has no such stream.
    Absent,
    /// The origin.
    Recorded(RecordedOrigin),
}

/// Returns the origin of the stream that a request continues, by the views of a
/// majority of replicas that have lost nothing; `None` if their views do not determine it.
pub fn agreed_origin<'a>(
    continuation: &Continuation,
    views: impl Iterator<Item = &'a OriginView>,
) -> Option<StreamOrigin> {
    let mut found: Option<&RecordedOrigin> = None;
    for view in views {
        match view {
            OriginView::Unknown => return None,
            OriginView::Absent => {}
            OriginView::Recorded(recorded) => {
                // Records of one attempt replace each other by their serial; those of
                // different streams, or of two attempts with one id, do not.
                let conflicts = found.is_some_and(|found| {
                    let replaces =
                        *continuation != Continuation::Unnamed && found.serial != recorded.serial;
                    found.origin != recorded.origin && !replaces
                });
                if conflicts {
                    return None;
                }
                if found.is_none_or(|found| found.serial < recorded.serial) {
                    found = Some(recorded);
                }
            }
        }
    }
    found.map(|found| found.origin.clone())
}

/// The servers that may serve a stream, by what its caller has received, and what
/// replicas record of it.
#[derive(Clone, Debug, Default)]
pub struct StreamBinding {
    /// Origin of the events that the caller has.
    bound: Option<StreamOrigin>,
    /// What replicas were last sent.
    recorded: Option<RecordedOrigin>,
    /// Whether replicas record the stream.
    records: bool,
}

impl StreamBinding {
    /// Creates the binding of a stream that its caller cannot continue, so that
    /// nothing is recorded.
    pub fn unrecorded() -> Self {
        Self::default()
    }

    /// Creates the binding of a new stream.
    pub fn begin() -> Self {
        Self {
            records: true,
            ..Self::default()
        }
    }

    /// Creates the binding of an attempt that continues a stream.
    pub fn resume(origin: StreamOrigin) -> Self {
        Self {
            bound: Some(origin),
            recorded: None,
            records: true,
        }
    }

    /// Returns the origin of the stream; `None` while any server may begin it.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        self.bound.as_ref()
    }

    /// Returns what replicas were last sent.
    pub fn recorded(&self) -> Option<&RecordedOrigin> {
        self.recorded.as_ref()
    }

    /// Applies that the stream is sent to a server of `origin`. Returns what
    /// replicas have to record before an event of that server is sent to the
    /// caller, if it differs from what they were last sent.
    pub fn expect(&mut self, origin: &StreamOrigin) -> Option<RecordedOrigin> {
        let last = self.recorded.as_ref();
        if !self.records || last.is_some_and(|last| last.origin == *origin) {
            return None;
        }
        let serial = last.map_or(0, |last| last.serial + 1);
        let origin = origin.clone();
        self.recorded = Some(RecordedOrigin { origin, serial });
        self.recorded.clone()
    }

    /// Applies that an event of a server of `origin` is sent to the caller.
    pub fn deliver(&mut self, origin: &StreamOrigin) {
        self.bound.get_or_insert_with(|| origin.clone());
    }
}
