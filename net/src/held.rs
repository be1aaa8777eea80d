//! A bound on bytes that are held at once.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Counts the bytes that are held.
#[derive(Clone, Debug, Default)]
pub struct Held {
    bytes: Arc<AtomicUsize>,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Hold {
    held: Held,
    bytes: usize,
}

impl Held {
    /// Holds `bytes`; `None` if all together would be more than `most`.
    pub fn hold(&self, bytes: usize, most: usize) -> Option<Hold> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let hold = Hold {
            held: self.clone(),
            bytes,
        };
        (before + bytes <= most).then_some(hold)
    }

    /// Begins to hold, with no bytes.
    pub fn none(&self) -> Hold {
        Hold {
            held: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Hold {
    /// Returns its bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds `bytes` in place of what it holds; changes nothing and returns `false` if all
    /// together would be more than `most`. Fewer bytes are always held.
    pub fn set(&mut self, bytes: usize, most: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            return more == 0 || self.grow(more, most);
        }
        let fewer = self.bytes - bytes;
        self.held.bytes.fetch_sub(fewer, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }

    /// Holds nothing any more.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        self.held.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Holds `bytes` more; changes nothing and returns `false` if all together would be
    /// more than `most`.
    pub fn grow(&mut self, bytes: usize, most: usize) -> bool {
        let Some(mut more) = self.held.hold(bytes, most) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }
}

/// Bytes that count as held until they are dropped.
struct HeldBytes {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Makes bytes that `hold` counts until the last use of them is dropped.
pub fn held_bytes(bytes: Bytes, hold: Hold) -> Bytes {
    Bytes::from_owner(HeldBytes { bytes, _hold: hold })
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
