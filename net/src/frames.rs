//! Records in a file: size, checksum, then the record. One that is torn was
//! never acknowledged.

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
