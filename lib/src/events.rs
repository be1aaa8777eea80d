//! Event streams of engines, cut into whole events.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

/// Longest event; a server that sends more without an end is cut off.
const MAX_EVENT: usize = 1 << 20;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came, with the blank line at the end.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its data, without the field's name.
    pub data: Option<Bytes>,
}

/// Cuts a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// Bytes of `rest` in which no end was found.
    searched: usize,
}

impl Splitter {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some((end, skip)) = blank_line(&self.rest[from..]) else {
            self.searched = self.rest.len();
            return None;
        };
        let bytes = self.rest.split_to(from + end + skip).freeze();
        self.searched = 0;
        Some(parse(bytes))
    }

    /// Returns whether an event has begun and not ended.
    pub fn is_midway(&self) -> bool {
        self.rest.has_remaining()
    }

    /// Returns whether the rest is too long for an event.
    pub fn is_overlong(&self) -> bool {
        self.rest.len() > MAX_EVENT
    }
}

/// Finds the first blank line: where the line end before it begins, and how
/// long both line ends are.
fn blank_line(bytes: &[u8]) -> Option<(usize, usize)> {
    for at in memchr(bytes) {
        if bytes[at + 1..].starts_with(b"\n") {
            return Some((at, 2));
        }
        if bytes[at + 1..].starts_with(b"\r\n") {
            return Some((at, 3));
        }
    }
    None
}

fn memchr(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    let ends = bytes.iter().enumerate();
    ends.filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at)
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
