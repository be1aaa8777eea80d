//! A gateway's cache of turns, which saves requests to keepers. Turns that have
//! ended are immutable, so that entries never become stale.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use crate::ledger::ChainLink;

/// A cache of limited size with two generations: when the young generation
/// reaches half of the size, it replaces the old one.
#[derive(Clone, Debug)]
pub struct ChainCache {
    max_bytes: usize,
    young: HashMap<Arc<str>, ChainLink>,
    young_bytes: usize,
    old: HashMap<Arc<str>, ChainLink>,
}

impl ChainCache {
    /// Creates an empty cache for at most `max_bytes` bytes of text.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            young: HashMap::new(),
            young_bytes: 0,
            old: HashMap::new(),
        }
    }

    /// Adds a turn.
    pub fn put(&mut self, link: ChainLink) {
        if self.young.contains_key(&link.turn) {
            return;
        }
        if self.young_bytes + link.text.len() > self.max_bytes / 2 {
            self.old = std::mem::take(&mut self.young);
            self.young_bytes = 0;
        }
        self.young_bytes += link.text.len();
        self.young.insert(link.turn.clone(), link);
    }

    fn get(&mut self, turn: &str) -> Option<ChainLink> {
        if let Some(link) = self.young.get(turn) {
            return Some(link.clone());
        }
        let link = self.old.remove(turn)?;
        self.put(link.clone());
        Some(link)
    }

    /// Returns whether a turn and all its predecessors are cached.
    pub fn has_chain(&self, turn: &str) -> bool {
        let mut next = Some(turn);
        while let Some(id) = next {
            let Some(link) = self.young.get(id).or_else(|| self.old.get(id)) else {
                return false;
            };
            next = link.previous.as_deref();
        }
        true
    }

    /// Returns the prompt to send to a server for a turn that continues from
    /// `previous`: the texts of the whole chain, oldest first, then the new input.
    ///
    /// # Errors
    ///
    /// Returns the id of the first turn that is not cached.
    pub fn prompt(
        &mut self,
        previous: Option<&Arc<str>>,
        input: &Bytes,
    ) -> Result<Bytes, Arc<str>> {
        if previous.is_none() {
            return Ok(input.clone());
        }
        let mut texts = Vec::new();
        let mut next = previous.cloned();
        while let Some(id) = next {
            let link = self.get(&id).ok_or(id)?;
            next = link.previous;
            texts.push(link.text);
        }
        let history: usize = texts.iter().map(Bytes::len).sum();
        let mut prompt_text = BytesMut::with_capacity(history + input.len());
        for text in texts.iter().rev() {
            prompt_text.extend_from_slice(text);
        }
        prompt_text.extend_from_slice(input);
        Ok(prompt_text.freeze())
    }
}
