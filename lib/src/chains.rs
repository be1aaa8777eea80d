//! Chains of turns that a gateway has seen, so that it need not ask keepers
//! for them. A turn that has ended never changes.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;

use crate::ledger::Link;

/// A bounded store of turns; the older half goes when the younger is full.
#[derive(Clone, Debug)]
pub struct Chains {
    most: usize,
    young: HashMap<Arc<str>, Link>,
    young_bytes: usize,
    old: HashMap<Arc<str>, Link>,
}

impl Chains {
    /// Makes an empty store of at most `most` bytes of text.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            young: HashMap::new(),
            young_bytes: 0,
            old: HashMap::new(),
        }
    }

    /// Takes a turn.
    pub fn put(&mut self, link: Link) {
        if self.young.contains_key(&link.turn) {
            return;
        }
        if self.young_bytes + link.text.len() > self.most / 2 {
            self.old = std::mem::take(&mut self.young);
            self.young_bytes = 0;
        }
        self.young_bytes += link.text.len();
        self.young.insert(link.turn.clone(), link);
    }

    fn get(&mut self, turn: &str) -> Option<Link> {
        if let Some(link) = self.young.get(turn) {
            return Some(link.clone());
        }
        let link = self.old.remove(turn)?;
        self.put(link.clone());
        Some(link)
    }

    /// Returns whether a turn and all those before it are here.
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

    /// Returns what a server is to receive for a turn that continues from
    /// `previous`: the texts of the whole chain, oldest first, then the new
    /// input; or the first turn that is missing.
    ///
    /// # Errors
    ///
    /// Returns the id of the turn that is not here.
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
        let mut whole = BytesMut::with_capacity(history + input.len());
        for text in texts.iter().rev() {
            whole.extend_from_slice(text);
        }
        whole.extend_from_slice(input);
        Ok(whole.freeze())
    }
}
