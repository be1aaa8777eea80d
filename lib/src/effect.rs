//! Effects: the actions that the reducers request from their environment.

use crate::id::CallId;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::message::Message;
use crate::message::Reply;
use crate::program::Target;
use crate::shard_copies::CopyRecord;
use crate::shard_map::Block;

/// Identifies a caller's request at an entry's listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerKey(pub u64);

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Name of the event.
    pub event: &'static str,
    /// Key-value pairs that describe it.
    pub pairs: Vec<(&'static str, String)>,
}

impl LogEvent {
    /// Creates an event without pairs.
    pub fn new(event: &'static str) -> Self {
        Self {
            event,
            pairs: Vec::new(),
        }
    }

    /// Adds a pair.
    #[must_use]
    pub fn with(mut self, key: &'static str, value: impl ToString) -> Self {
        self.pairs.push((key, value.to_string()));
        self
    }

    /// Adds a pair if there is a value.
    #[must_use]
    pub fn with_some(self, key: &'static str, value: Option<impl ToString>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }
}

/// An action that a reducer requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message. It is dropped if there is no link to the receiver.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Passes bytes of an answer to a caller.
    Chunk {
        /// The caller.
        caller: CallerKey,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Ends a caller's request.
    Finish {
        /// The caller.
        caller: CallerKey,
        /// The final reply.
        reply: Reply,
    },
    /// Replaces a shard block in the key-value service by compare-and-swap on
    /// its revision.
    Swap {
        /// Number of the block.
        block: u16,
        /// Expected revision; zero if the block must not exist yet.
        revision: u64,
        /// The new assignments.
        value: Block,
    },
    /// Reads a shard block again, after a swap was rejected or its answer was
    /// lost.
    ReadBlock {
        /// Number of the block.
        block: u16,
    },
    /// Starts a call on the backend server.
    Start {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// The request to the backend server.
        work: BackendRequest,
    },
    /// Closes the connection of a call to the backend server.
    Abort {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// Releases the backend server's cache for a program.
    Release {
        /// The program.
        program: ProgramId,
    },
    /// Writes a change of the copies to disk, before the effects that follow
    /// are carried out: they acknowledge the change to other processes.
    Store(Box<CopyRecord>),
    /// Logs an event.
    Log(LogEvent),
}

/// A request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendRequest {
    /// The program.
    pub program: ProgramId,
    /// The model or service to use.
    pub target: Target,
    /// The messages as JSON, for a model.
    pub turns: Vec<String>,
    /// The body for a service, or further parameters for a model.
    pub body: Vec<u8>,
    /// Upper bound of the answer's tokens.
    pub tokens: u64,
    /// Engine priority; lower values run first.
    pub priority: u8,
    /// Fencing number for engines that support one.
    pub fence: u64,
}
