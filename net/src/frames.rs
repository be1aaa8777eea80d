//! Records in a file: size, checksum, then the record. One that is torn was
//! never acknowledged.

use std::io;
use std::io::BufReader;
use std::io::Read;

use bincode::error::DecodeError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Bytes of the size and of the checksum before each record.
const HEAD: usize = 8;
/// Largest record or message.
pub const MAX_RECORD: usize = 64 << 20;
/// Bytes of the fields that may be missing at the end of a value.
const MAX_MISSING: usize = 8;

/// Appends a record to `bytes`.
///
/// # Errors
///
/// Returns what is wrong with a record that cannot be written.
pub fn append(record: &impl Serialize, bytes: &mut Vec<u8>) -> Result<(), String> {
    let body = bincode::serde::encode_to_vec(record, bincode::config::standard())
        .map_err(|error| error.to_string())?;
    if body.len() > MAX_RECORD {
        return Err(format!("{} bytes in one record", body.len()));
    }
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// Reads the first record with its size; `None` if it is not whole.
pub fn first<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let number = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let size = number(0)? as usize;
    let sum = number(4)?;
    if size > MAX_RECORD {
        return None;
    }
    let body = bytes.get(HEAD..HEAD + size)?;
    if crc32fast::hash(body) != sum {
        return None;
    }
    Some((decode(body).ok()?, HEAD + size))
}

/// Bytes read from a file at once.
const READ_BYTES: usize = 64 << 10;

/// Reads records one after the other, with one of them in memory at a time.
pub struct FrameReader<R> {
    source: BufReader<R>,
    frame: Vec<u8>,
    offset: u64,
}

impl<R: Read> FrameReader<R> {
    /// Reads from the beginning of `source`.
    pub fn new(source: R) -> Self {
        Self {
            source: BufReader::with_capacity(READ_BYTES, source),
            frame: Vec::new(),
            offset: 0,
        }
    }

    /// Returns the next record; `None` at the end or before one that is not whole.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the source cannot be read.
    pub fn next_record<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        self.frame.clear();
        if !self.fill(HEAD)? {
            return Ok(None);
        }
        let size = self.frame[..4].try_into().map_or(0, u32::from_be_bytes) as usize;
        if size > MAX_RECORD || !self.fill(size)? {
            return Ok(None);
        }
        let record = first(&self.frame);
        Ok(record.map(|(record, size)| {
            self.offset += size as u64;
            record
        }))
    }

    /// Returns the bytes of the records that were read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Appends `count` bytes to the frame; returns whether there were as many.
    fn fill(&mut self, count: usize) -> io::Result<bool> {
        let mut part = self.source.by_ref().take(count as u64);
        Ok(part.read_to_end(&mut self.frame)? == count)
    }
}

/// Decodes a value of a file or a message. Fields that the writer's build does not
/// have are missing at its end, and are read as zeros; those that only the writer's
/// build has are ignored.
///
/// # Errors
///
/// Returns what is wrong with bytes that are no such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let config = bincode::config::standard().with_limit::<MAX_RECORD>();
    let decoded = match bincode::serde::decode_from_slice(bytes, config) {
        Err(DecodeError::UnexpectedEnd { .. }) => {
            let padded = [bytes, &[0; MAX_MISSING]].concat();
            bincode::serde::decode_from_slice(&padded, config)
        }
        decoded => decoded,
    };
    decoded.map(|(value, _)| value)
}
