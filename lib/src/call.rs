//! Description of a caller's request, from its headers.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Why a request's headers were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// A required header is missing.
    #[error("{0} is missing; send it with each request")]
    Missing(&'static str),
    /// A header cannot be parsed.
    #[error("{0} is malformed; send it as the interface describes")]
    Malformed(&'static str),
}

/// One attempt of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id of the attempt; a retry has a new one.
    pub attempt: Arc<str>,
    /// How long the caller waits, if given.
    pub patience: Option<Duration>,
    /// The program that the request belongs to.
    pub program: Option<Program>,
    /// Id of the turn that this one continues.
    pub previous: Option<Arc<str>>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Key of the object that the request concerns.
    pub object: Option<String>,
    /// Id of the last event that the caller received of a stream it resumes.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<Arc<str>>,
}

impl Call {
    /// Maximum length of an id in bytes; ids are stored for each turn.
    pub const MAX_ID: usize = 64;

    /// Returns whether it continues a stream of an earlier attempt.
    pub fn continues_stream(&self) -> bool {
        self.last_event.is_some() || self.resumes.is_some()
    }
}

/// The program of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// Its id.
    pub id: Arc<str>,
    /// The chain of turns within it.
    pub session: Arc<str>,
    /// Time left until its deadline.
    pub remaining: Option<Duration>,
    /// Tokens that all its turns may generate together.
    pub budget: Option<u64>,
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the part and its text.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}
