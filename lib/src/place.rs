//! Servers that have a program's prompts in their caches.
//!
//! The turns of a program arrive at several gateways, and each gateway knows only
//! the prompts that it sent itself. When a turn ends, its gateway reports to the
//! program's replicas where the turn ran. The next turn's gateway receives this
//! with the reply that opens the turn, without an extra message, and sends the
//! turn to a server that has its history cached.

use serde::Deserialize;
use serde::Serialize;

use crate::call::Part;

/// Maximum number of places stored per program, the latest ones: enough for the
/// chains of turns that are active at the same time.
const MAX_PLACES: usize = 16;

/// A server that has a part of a prompt in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Digest of the server's start in which it cached the part.
    pub start: u64,
    /// The part, and how many of its tokens are cached.
    pub part: Part,
}

/// The latest places of one program.
#[derive(Clone, Debug, Default)]
pub struct Places {
    latest: Vec<Place>,
}

impl Places {
    /// Adds a place, replacing an earlier one of the same part.
    pub fn put(&mut self, place: Place) {
        self.latest.retain(|old| old.part.id != place.part.id);
        if self.latest.len() == MAX_PLACES {
            self.latest.remove(0);
        }
        self.latest.push(place);
    }

    /// Returns the places, newest last.
    pub fn all(&self) -> &[Place] {
        &self.latest
    }
}
