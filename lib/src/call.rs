//! What a caller's request says of itself.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Says why a request's own description was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// A header is missing.
    #[error("{0} is missing; send it with each request")]
    Missing(&'static str),
    /// A header cannot be read.
    #[error("{0} is malformed; send it as the interface describes")]
    Malformed(&'static str),
}

/// One attempt of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Id of the attempt; each attempt has its own.
    pub attempt: Arc<str>,
    /// How long the caller waits, if it says so.
    pub patience: Option<Duration>,
    /// The program that it belongs to.
    pub program: Option<Program>,
    /// The turn that it continues from.
    pub previous: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub most_tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// The object that it concerns.
    pub object: Option<String>,
    /// Last event that the caller has of a stream that goes on.
    pub last_event: Option<u64>,
}

impl Call {
    /// Longest id, in bytes; ids are kept for each turn.
    pub const MAX_ID: usize = 64;
}

/// The program of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    /// Its id.
    pub id: Arc<str>,
    /// The line of turns within it.
    pub line: Arc<str>,
    /// Time until it should have ended.
    pub remaining: Option<Duration>,
    /// Tokens that all its turns may generate together.
    pub budget: Option<u64>,
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// Names the part and its text.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}
