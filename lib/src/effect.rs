//! What the reducers ask their surroundings to do.

use crate::id::CallId;
use crate::id::NodeId;
use crate::id::ProgramId;
use crate::keeper::CopyRecord;
use crate::message::Message;
use crate::message::Reply;
use crate::program::Target;
use crate::shard::Block;

/// Names one caller that waits at an entry's listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallerKey(pub u64);

/// One thing that happened and that an operator may want to know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Name of the event.
    pub event: &'static str,
    /// What it was about, as pairs of key and value.
    pub pairs: Vec<(&'static str, String)>,
}

impl Note {
    /// Makes a note without pairs.
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
}

/// What a reducer asks its surroundings to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a message, if there is a link; otherwise it is dropped.
    Send {
        /// The other process.
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
        /// The last word.
        reply: Reply,
    },
    /// Replaces a shard block in the key-value service, if it still has the
    /// revision; zero if it must not exist yet.
    Swap {
        /// Number of the block.
        block: u16,
        /// Revision that is replaced.
        revision: u64,
        /// The new assignments.
        value: Block,
    },
    /// Reads a shard block again, since a swap was lost or refused.
    Reread {
        /// Number of the block.
        block: u16,
    },
    /// Starts a call at the backend server.
    Start {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
        /// The work.
        work: Work,
    },
    /// Drops the connection of a call at the backend server.
    Abort {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u64,
    },
    /// Releases what the backend server holds in cache for a program.
    Release {
        /// The program.
        program: ProgramId,
    },
    /// Stores a change of the copies, before the effects that follow: they
    /// tell others that it is safe.
    Store(Box<CopyRecord>),
    /// Logs what happened.
    Note(Note),
}

/// Work for a backend server, ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// The program.
    pub program: ProgramId,
    /// What to ask.
    pub target: Target,
    /// JSON texts of the messages, for a model.
    pub turns: Vec<String>,
    /// Body, or a model's further parameters.
    pub body: Vec<u8>,
    /// Bound of the answer's tokens.
    pub tokens: u64,
    /// Engine priority; lower is sooner.
    pub priority: u8,
    /// Fencing number for engines that honour one.
    pub fence: u64,
}
