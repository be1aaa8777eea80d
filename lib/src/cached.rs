//! What a server keeps of prompts, as far as one process knows.

use std::collections::HashMap;
use std::time::Duration;

use crate::call::Part;
use crate::time::Time;

/// Parts and objects remembered for each server; the older half goes first. An
/// engine's memory holds some tens of lines of turns.
const MOST: usize = 4_096;
/// How long a part that nobody asked for is remembered at least: programs
/// pause for seconds. Without it a gateway in front of 12,000 servers would
/// remember what it sent them for days.
const MEMORY: Duration = Duration::from_secs(60);

/// The parts of prompts that a server read, and how much of each. A line of
/// turns is one part that grows with each turn.
#[derive(Clone, Debug, Default)]
pub struct Cached {
    young: HashMap<u64, u64>,
    old: HashMap<u64, u64>,
    /// When the older half was last forgotten.
    turned: Option<Time>,
}

impl Cached {
    /// Notes that the server has read a part, or so much of it.
    pub fn add(&mut self, now: Time, part: Part) {
        let tokens = part.tokens.max(self.tokens(part.id));
        let turned = *self.turned.get_or_insert(now);
        if self.young.len() >= MOST / 2 || now.since(turned) > MEMORY {
            self.old = std::mem::take(&mut self.young);
            self.turned = Some(now);
        }
        self.young.insert(part.id, tokens);
    }

    /// Returns how much of a part the server has read.
    pub fn tokens(&self, id: u64) -> u64 {
        let known = self.young.get(&id).or_else(|| self.old.get(&id));
        known.copied().unwrap_or_default()
    }

    /// Returns whether the server has met a part.
    pub fn has(&self, id: u64) -> bool {
        self.young.contains_key(&id) || self.old.contains_key(&id)
    }

    /// Returns the tokens of a prompt that the server would have to read. Parts
    /// are read in order, so that all before one that is there are there too.
    pub fn cold(&self, parts: &[Part]) -> u64 {
        let mut cold = 0;
        for part in parts.iter().rev() {
            let warm = self.tokens(part.id);
            cold += part.tokens.saturating_sub(warm);
            if warm > 0 {
                break;
            }
        }
        cold
    }
}
