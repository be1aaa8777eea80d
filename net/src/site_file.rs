//! What a keeper knows from the platform's store, on its disk.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write as _;
use std::path::Path;

use limpetferry_lib::keeper_protocol::Snapshot;

use crate::descriptors;

/// Name of the file.
const NAME: &str = "site";
/// Name of the file while it is written.
const NEXT: &str = "site.next";
/// Bytes of the checksum before the contents.
const HEAD: usize = 4;
/// Largest file: the routing document and an entry for each server.
const MAX_BYTES: usize = 64 << 20;

/// Reads the file; `None` if there is none or it is torn, as the platform's
/// store has all of it too.
pub fn read(folder: &Path) -> Option<Snapshot> {
    let bytes = fs::read(folder.join(NAME)).ok()?;
    let sum = u32::from_be_bytes(bytes.get(..HEAD)?.try_into().ok()?);
    let body = &bytes[HEAD..];
    if crc32fast::hash(body) != sum {
        return None;
    }
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    let (snapshot, _) = bincode::serde::decode_from_slice(body, config).ok()?;
    Some(snapshot)
}

/// Writes the file anew; the old one stays until the new one is on disk.
///
/// # Errors
///
/// Returns the system's error if the folder cannot be written.
pub fn write(folder: &Path, snapshot: &Snapshot) -> io::Result<()> {
    let body = bincode::serde::encode_to_vec(snapshot, bincode::config::standard())
        .map_err(io::Error::other)?;
    let next = folder.join(NEXT);
    let mut file = descriptors::open(|| File::create(&next))?;
    file.write_all(&crc32fast::hash(&body).to_be_bytes())?;
    file.write_all(&body)?;
    file.sync_all()?;
    fs::rename(&next, folder.join(NAME))?;
    descriptors::open(|| File::open(folder))?.sync_all()
}
