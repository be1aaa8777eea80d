//! How a call ended: an answer, or a refusal that says whether it ran.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::history::Turn;

/// What is known of the work of a call that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The work did not happen, and will not.
    NotRun,
    /// The work happened, in whole or in part.
    Ran,
    /// Nobody can tell; the work is never started again.
    Unknown,
}

impl Ran {
    /// Returns the word as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// A refusal or failure, with its remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of refusal.
    pub code: Code,
    /// What was wrong in this case; empty if the code says all.
    pub detail: String,
}

impl Refusal {
    /// Makes a refusal of which the code says all.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            detail: String::new(),
        }
    }

    /// Makes a refusal with a detail of this case.
    pub fn with(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// Returns when the caller should come back, if that helps.
    pub fn retry_after(&self) -> Option<Duration> {
        let secs = self.code.retry_secs();
        (secs > 0).then(|| Duration::from_secs(secs))
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code.meaning())?;
        if !self.detail.is_empty() {
            write!(f, " ({})", self.detail)?;
        }
        Ok(())
    }
}

impl std::error::Error for Refusal {}

/// The whole answer of a backend server to one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status that the backend server gave.
    pub status: u16,
    /// Content type of the body.
    pub kind: String,
    /// Body: the event stream of a model's answer, without its end mark, or
    /// the body of a service's.
    pub body: Vec<u8>,
    /// The message that a model's answer adds to the history.
    pub turn: Option<Turn>,
    /// Tokens that the call consumed, prompt and answer; zero for a service.
    pub tokens: u64,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call ran and this is its answer.
    Answer(Answer),
    /// The call has no answer.
    Refused(Refusal),
}

impl Outcome {
    /// Makes the outcome of a refusal without detail.
    pub fn refused(code: Code) -> Self {
        Self::Refused(Refusal::new(code))
    }

    /// Returns whether the work surely did not happen.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.code.ran() == Ran::NotRun)
    }
}
