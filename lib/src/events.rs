//! Splits event streams of engines into complete events.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event; a stream with a longer one is closed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its unchanged bytes, with the blank line at the end.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its data, without the field name.
    pub data: Option<Bytes>,
}

/// Splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Bytes of an event that is not yet complete.
    buffer: BytesMut,
    /// Number of bytes of `buffer` that were searched for the end of an event.
    searched: usize,
}

impl Splitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some((end, skip)) = blank_line(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + end + skip).freeze();
        self.searched = 0;
        Some(parse(bytes))
    }

    /// Returns whether part of an event was received.
    pub fn has_partial_event(&self) -> bool {
        self.buffer.has_remaining()
    }

    /// Returns the number of bytes that were received and not returned as events.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub fn exceeds_max_size(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Finds the first blank line. Returns the offset of the newline that precedes
/// it, and the length of that newline and the blank line together.
fn blank_line(bytes: &[u8]) -> Option<(usize, usize)> {
    for at in newlines(bytes) {
        if bytes[at + 1..].starts_with(b"\n") {
            return Some((at, 2));
        }
        if bytes[at + 1..].starts_with(b"\r\n") {
            return Some((at, 3));
        }
    }
    None
}

fn newlines(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    let indexed = bytes.iter().enumerate();
    indexed
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(at, _)| at)
}

fn parse(bytes: Bytes) -> Event {
    let mut id = None;
    let mut data: Option<Bytes> = None;
    for line in bytes.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(value) = field(line, b"id:") {
            id = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        } else if let Some(value) = field(line, b"data:") {
            data = Some(match data {
                None => bytes.slice_ref(value),
                Some(first) => [&first[..], b"\n", value].concat().into(),
            });
        }
    }
    Event { bytes, id, data }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
