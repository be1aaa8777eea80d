//! A program's history: a chain of messages, each naming the one before by
//! its digest.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::id::Digest;

/// One message of a history, as the JSON text that the caller or the engine
/// gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// JSON text of the message.
    pub text: String,
}

impl Turn {
    /// Makes a turn of a message's JSON text.
    pub fn new(text: impl Into<String>) -> Self {
        Self { text: text.into() }
    }
}

/// Says why a history was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HistoryError {
    /// The turns do not add up to the digest that was recorded with them.
    #[error("the history's digest is {found}, not {expected}; supply the messages in full")]
    Broken {
        /// Digest that was recorded.
        expected: Digest,
        /// Digest that the turns have.
        found: Digest,
    },
}

/// The messages of one program, and the digest of their chain.
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

    /// Returns the size of all messages, in bytes.
    pub fn size(&self) -> usize {
        self.turns.iter().map(|turn| turn.text.len()).sum()
    }

    /// Appends messages, each of which extends the chain.
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
    /// Returns [`HistoryError::Broken`] if a turn was lost, changed or mixed
    /// up with one of another program.
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
