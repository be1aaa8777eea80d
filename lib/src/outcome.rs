//! Outcomes of calls: an answer, or a refusal that states whether the call ran.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::code::Code;
use crate::history::Turn;

/// Whether a call without an answer has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The call did not run, and will not.
    NotRun,
    /// The call ran, completely or in part.
    Ran,
    /// Cannot be determined; the call is never started again.
    Unknown,
}

impl Ran {
    /// Returns the value as sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// A refusal or failure; its code states the remedy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of refusal.
    pub code: Code,
    /// Details of this case; empty if the code is sufficient.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal without details.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            detail: String::new(),
        }
    }

    /// Creates a refusal with details of this case.
    pub fn with_detail(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }

    /// Returns the time after which the caller should retry; `None` if a retry
    /// does not help.
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

/// The complete answer of a backend server to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status from the backend server.
    pub status: u16,
    /// Content type of the body.
    pub kind: String,
    /// Body: the event stream of a model without the event that ends it, or the
    /// body from a service.
    pub body: Vec<u8>,
    /// The message that a model's answer appends to the history.
    pub turn: Option<Turn>,
    /// Tokens that the call consumed, prompt and answer; zero for a service.
    pub tokens: u64,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The call was answered.
    Answer(Answer),
    /// The call has no answer.
    Refused(Refusal),
}

impl Outcome {
    /// Creates the outcome of a refusal without details.
    pub fn refused(code: Code) -> Self {
        Self::Refused(Refusal::new(code))
    }

    /// Returns whether the call is known not to have run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(refusal) if refusal.code.ran() == Ran::NotRun)
    }
}
