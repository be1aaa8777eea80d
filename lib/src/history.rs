//! A program's history: its messages, linked into a hash chain.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::id::Digest;

/// A message of a history, as the original JSON text from the caller or the
/// engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// JSON text of the message.
    pub text: String,
}

impl Turn {
    /// Creates a turn from a message's JSON text.
    pub fn new(text: impl Into<String>) -> Self {
        Self { text: text.into() }
    }
}

/// Error of verifying a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HistoryError {
    /// The digest of the turns differs from the recorded one.
    #[error("the history's digest is {found}, not {expected}; supply the messages in full")]
    Broken {
        /// The recorded digest.
        expected: Digest,
        /// The digest computed from the turns.
        found: Digest,
    },
}

/// The messages of one program with the digest of their hash chain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    turns: Vec<Turn>,
    digest: Digest,
}

impl History {
    /// Returns the messages, oldest first.
    pub fn turns(&self) -> &[Turn] {
        &self.turns
    }

    /// Returns the digest of the whole chain.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the total size of the messages, in bytes.
    pub fn size(&self) -> usize {
        self.turns.iter().map(|turn| turn.text.len()).sum()
    }

    /// Appends messages and extends the chain by each.
    pub fn extend(&mut self, turns: impl IntoIterator<Item = Turn>) {
        for turn in turns {
            self.digest = self.digest.then(turn.text.as_bytes());
            self.turns.push(turn);
        }
    }

    /// Recomputes the chain and compares it with the recorded digest.
    ///
    /// # Errors
    ///
    /// Returns [`HistoryError::Broken`] if a turn is missing, was changed or
    /// belongs to another program.
    pub fn verify(&self) -> Result<(), HistoryError> {
        let mut found = Digest::default();
        for turn in &self.turns {
            found = found.then(turn.text.as_bytes());
        }
        if found == self.digest {
            return Ok(());
        }
        Err(HistoryError::Broken {
            expected: self.digest,
            found,
        })
    }
}
