//! Inputs and outputs of turns, in memory or on a keeper's disk.

use bytes::Bytes;
use thiserror::Error;

/// Where a record is stored on a keeper's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Number of the file.
    pub segment: u64,
    /// First byte of the record in the file.
    pub offset: u32,
    /// Bytes of the record.
    pub size: u32,
    /// Bytes of the input or output in it.
    pub text: u32,
}

impl Location {
    /// Returns the bytes of the record without its input or output.
    pub fn bare_size(&self) -> u64 {
        u64::from(self.size.saturating_sub(self.text))
    }
}

/// Says why an input or output cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TextError {
    /// The record was moved or removed since its location was looked up.
    #[error("no record at {0:?}; look its location up again")]
    Moved(Location),
    /// The record is damaged.
    #[error("the record at {0:?} is damaged; replace the disk, the keeper then copies from others")]
    Damaged(Location),
    /// The file cannot be read.
    #[error("the record at {0:?} cannot be read: {1}; check the disk")]
    Io(Location, String),
}

/// Reads inputs and outputs from a keeper's disk.
pub trait TextSource {
    /// Returns the input or output of the record at `location`.
    ///
    /// # Errors
    ///
    /// Returns a [`TextError`] if there is no such record or it cannot be read.
    fn text(&mut self, location: Location) -> Result<Bytes, TextError>;
}

/// Stands for the disk of a keeper whose texts are all in memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoDisk;

impl TextSource for NoDisk {
    fn text(&mut self, location: Location) -> Result<Bytes, TextError> {
        Err(TextError::Moved(location))
    }
}

/// The input or output of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Text {
    /// It is in memory.
    Memory(Bytes),
    /// It is in the record at this location.
    Disk(Location),
    /// It is not needed any more; the location of its record, once that is on disk.
    Dropped(Option<Location>),
}

impl Text {
    /// Returns the location of its record, if that is on disk.
    pub fn location(&self) -> Option<Location> {
        match self {
            Self::Memory(_) | Self::Dropped(None) => None,
            Self::Disk(location) | Self::Dropped(Some(location)) => Some(*location),
        }
    }

    /// Returns the number of bytes that it takes up in memory.
    pub fn memory_bytes(&self) -> usize {
        match self {
            Self::Memory(bytes) => bytes.len(),
            Self::Disk(_) | Self::Dropped(_) => 0,
        }
    }

    /// Returns its length in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Memory(bytes) => bytes.len(),
            Self::Disk(location) => location.text as usize,
            Self::Dropped(_) => 0,
        }
    }

    /// Returns whether it has to be read from disk.
    pub fn is_on_disk(&self) -> bool {
        matches!(self, Self::Disk(location) if location.text > 0)
    }

    /// Sets the location of its record, and returns whether it is still needed.
    pub(crate) fn place(&mut self, location: Location) -> bool {
        let needed = !matches!(self, Self::Dropped(_));
        *self = if needed {
            Self::Disk(location)
        } else {
            Self::Dropped(Some(location))
        };
        needed
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Returns the error of `source`.
    pub fn read(&self, source: &mut dyn TextSource) -> Result<Bytes, TextError> {
        match self {
            Self::Memory(bytes) => Ok(bytes.clone()),
            Self::Disk(location) if location.text > 0 => source.text(*location),
            Self::Disk(_) | Self::Dropped(_) => Ok(Bytes::new()),
        }
    }
}
