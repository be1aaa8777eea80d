//! Where the prompt of a line of turns is kept.
//!
//! The turns of a program come through several gateways, and each knows only
//! which prompts it sent itself. What turns end tell the program's replicas
//! where they ran; the next turn hears of it with the answer to its opening, at
//! no message of its own, and goes where its history is read.

use serde::Deserialize;
use serde::Serialize;

use crate::call::Part;

/// Places remembered for each program, the latest: those of the lines that are
/// under way at once.
const MOST: usize = 16;

/// A server that keeps a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Names the server, in the start in which it read the part.
    pub start: u64,
    /// The part, and how much of it is there.
    pub part: Part,
}

/// The places of one program.
#[derive(Clone, Debug, Default)]
pub struct Places {
    latest: Vec<Place>,
}

impl Places {
    /// Takes a place; an earlier one of the same part no longer counts.
    pub fn put(&mut self, place: Place) {
        self.latest.retain(|old| old.part.id != place.part.id);
        if self.latest.len() == MOST {
            self.latest.remove(0);
        }
        self.latest.push(place);
    }

    /// Returns the places, the latest last.
    pub fn all(&self) -> &[Place] {
        &self.latest
    }
}
