//! Prompt parts that a server holds in its cache, as far as one process knows.

use std::collections::HashMap;
use std::time::Duration;

use crate::call::Part;
use crate::time::Time;

/// Maximum number of parts and objects remembered per server; the older half is
/// dropped first. An engine's cache holds a few dozen chains of turns.
const MAX_PARTS: usize = 4_096;
/// Minimum time for which an unused part is remembered: programs pause for
/// seconds. Without this limit a gateway with 12,000 servers would remember for
/// days what it sent them.
const MIN_RETENTION: Duration = Duration::from_secs(60);

/// The prompt parts that a server has cached, and the number of tokens of each.
/// A chain of turns is one part that grows with each turn.
#[derive(Clone, Debug, Default)]
pub struct Cached {
    recent: HashMap<u64, u64>,
    older: HashMap<u64, u64>,
    /// When the older half was last dropped.
    rotated_at: Option<Time>,
}

impl Cached {
    /// Records that the server has cached a part, or more of it than before.
    pub fn add(&mut self, now: Time, part: Part) {
        let tokens = part.tokens.max(self.tokens(part.id));
        let rotated_at = *self.rotated_at.get_or_insert(now);
        if self.recent.len() >= MAX_PARTS / 2 || now.since(rotated_at) > MIN_RETENTION {
            self.older = std::mem::take(&mut self.recent);
            self.rotated_at = Some(now);
        }
        self.recent.insert(part.id, tokens);
    }

    /// Returns the number of tokens of a part that the server has cached.
    pub fn tokens(&self, id: u64) -> u64 {
        let known = self.recent.get(&id).or_else(|| self.older.get(&id));
        known.copied().unwrap_or_default()
    }

    /// Returns whether the server has cached a part.
    pub fn contains(&self, id: u64) -> bool {
        self.recent.contains_key(&id) || self.older.contains_key(&id)
    }

    /// Returns the prompt tokens that the server would have to prefill. Engines
    /// prefill parts in order, so all parts before a cached one are cached too.
    pub fn uncached_tokens(&self, parts: &[Part]) -> u64 {
        let mut uncached = 0_u64;
        for part in parts.iter().rev() {
            let cached = self.tokens(part.id);
            uncached = uncached.saturating_add(part.tokens.saturating_sub(cached));
            if cached > 0 {
                break;
            }
        }
        uncached
    }
}
