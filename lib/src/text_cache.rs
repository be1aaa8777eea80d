//! The newest inputs and outputs of turns that are on a keeper's disk. Most turns
//! are continued within seconds, so that their histories need not be read from disk.

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::text::Location;
use crate::text::Text;

/// Bytes that an entry takes up beside its text.
const ENTRY_BYTES: usize = 160;

/// A cache of texts by the locations of their records; the oldest leave first.
#[derive(Clone, Debug, Default)]
pub struct TextCache {
    max_bytes: usize,
    bytes: usize,
    texts: HashMap<Location, Bytes>,
    order: VecDeque<Location>,
}

impl TextCache {
    /// Creates an empty cache that takes up at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            ..Self::default()
        }
    }

    /// Adds the text of a record.
    pub fn put(&mut self, location: Location, text: Bytes) {
        let size = text.len() + ENTRY_BYTES;
        if text.is_empty() || size > self.max_bytes || self.texts.contains_key(&location) {
            return;
        }
        self.bytes += size;
        self.texts.insert(location, text);
        self.order.push_back(location);
        while self.bytes > self.max_bytes
            && let Some(oldest) = self.order.pop_front()
        {
            let text = self.texts.remove(&oldest);
            self.bytes -= text.map_or(0, |text| text.len() + ENTRY_BYTES);
        }
    }

    /// Returns the text in memory if it is cached, else as it is.
    pub fn look_up(&self, text: Text) -> Text {
        let cached = match &text {
            Text::Disk(location) => self.texts.get(location),
            Text::Memory(_) | Text::Dropped(_) => None,
        };
        cached.map_or(text, |bytes| Text::Memory(bytes.clone()))
    }

    /// Returns the number of bytes that it takes up.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
