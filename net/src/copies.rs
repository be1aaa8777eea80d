//! The copies of a side process in a data folder: one file to which every
//! change is appended before it is acknowledged.
//!
//! A change that was written survives the end of the process, not that of the
//! machine, since nothing waits for the disk. The file therefore names the
//! machine's run; after another run of the machine it is given up, as a copy
//! that may lack what was acknowledged must never be handed out.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read as _;
use std::io::Seek as _;
use std::io::SeekFrom;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use limpetferry_lib::id::NodeId;
use limpetferry_lib::shard_copies::CopyRecord;
use thiserror::Error;

use crate::frames;
use crate::settings::DataSettings;

/// First bytes of the file; another layout gets another number.
const MAGIC: &[u8] = b"limpetferry-copies 1\n";
/// Size below which the file is never written anew.
const SMALL: u64 = 4 << 20;
/// Growth since the last rewriting after which the file is written anew.
const GROWTH: u64 = 4;

/// Says why copies cannot be stored.
#[derive(Debug, Error)]
pub enum CopyError {
    /// Another process uses the file.
    #[error(
        "{0} is used by another process; end that one, or give this one a data folder of its own"
    )]
    Taken(PathBuf),
    /// The file or its folder cannot be used.
    #[error("{0}: {1}; give data.folder a folder that can be written and has room")]
    Io(PathBuf, std::io::Error),
    /// A record cannot be written as bytes.
    #[error("a copy cannot be written: {0}; lower the program's tokens in the document")]
    Record(String),
    /// The copies are larger than the bound.
    #[error("{0}: the copies need {1} bytes, data.max_mb allows {2}; raise it")]
    Full(PathBuf, u64, u64),
}

/// What was found in the data folder.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// The records, oldest first.
    pub records: Vec<CopyRecord>,
    /// Bytes at the end that make no whole record, and were cut off: the
    /// process ended while it wrote them, before it acknowledged anything.
    pub torn: u64,
    /// Whether a file was given up since the machine was started anew.
    pub stale: bool,
}

/// Stores changes of the copies.
pub trait CopyStore: Send + Sync {
    /// Stores one change; it is safe from the end of the process then.
    ///
    /// # Errors
    ///
    /// Returns a [`CopyError`] if it could not be written.
    fn append(&mut self, record: &CopyRecord) -> Result<(), CopyError>;

    /// Returns whether the file is due to be written anew.
    fn has_grown(&self) -> bool;

    /// Replaces everything by `records`, in one step.
    ///
    /// # Errors
    ///
    /// Returns a [`CopyError`] if they do not fit or cannot be written.
    fn rewrite(&mut self, records: &mut dyn Iterator<Item = CopyRecord>) -> Result<(), CopyError>;

    /// Forgets everything: what is there now must never be found again.
    ///
    /// # Errors
    ///
    /// Returns a [`CopyError`] if the file cannot be removed.
    fn clear(&mut self) -> Result<(), CopyError>;
}

/// A side process without a data folder stores nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoCopies;

impl CopyStore for NoCopies {
    fn append(&mut self, _: &CopyRecord) -> Result<(), CopyError> {
        Ok(())
    }

    fn has_grown(&self) -> bool {
        false
    }

    fn rewrite(&mut self, _: &mut dyn Iterator<Item = CopyRecord>) -> Result<(), CopyError> {
        Ok(())
    }

    fn clear(&mut self) -> Result<(), CopyError> {
        Ok(())
    }
}

/// Copies in a file.
#[derive(Debug)]
pub struct FileCopies {
    path: PathBuf,
    file: File,
    /// Held for as long as the process runs.
    _lock: File,
    run: String,
    most: u64,
    size: u64,
    /// Size after the last rewriting.
    base: u64,
}

impl FileCopies {
    /// Opens the file of the process `node` and reads what an earlier life
    /// stored. `run` names the machine's run.
    ///
    /// # Errors
    ///
    /// Returns a [`CopyError`] if the file is in use or cannot be read.
    pub fn open(data: &DataSettings, node: &NodeId, run: &str) -> Result<(Self, Found), CopyError> {
        let path = data.folder.join(format!("{node}.copies"));
        let lock = take_lock(&data.folder.join(format!("{node}.lock")))?;
        let mut file = open_file(&path).map_err(|error| CopyError::Io(path.clone(), error))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)
            .map_err(|error| CopyError::Io(path.clone(), error))?;
        let (found, size) = read(&bytes, run);
        let mut copies = Self {
            path,
            file,
            _lock: lock,
            run: run.to_owned(),
            most: data.most << 20,
            size,
            base: size,
        };
        copies.cut(size)?;
        Ok((copies, found))
    }

    /// Cuts the file off after `size` bytes; an empty one gets its head.
    fn cut(&mut self, size: u64) -> Result<(), CopyError> {
        let head = head(&self.run);
        let fail = |error| CopyError::Io(self.path.clone(), error);
        self.file.set_len(size).map_err(fail)?;
        self.file.seek(SeekFrom::End(0)).map_err(fail)?;
        if size == 0 {
            self.file.write_all(&head).map_err(fail)?;
            self.size = head.len() as u64;
            self.base = self.size;
        }
        Ok(())
    }

    fn check_room(&self, size: u64) -> Result<(), CopyError> {
        if size > self.most {
            return Err(CopyError::Full(self.path.clone(), size, self.most));
        }
        Ok(())
    }
}

impl CopyStore for FileCopies {
    fn append(&mut self, record: &CopyRecord) -> Result<(), CopyError> {
        let bytes = frame(record)?;
        self.check_room(self.size + bytes.len() as u64)?;
        self.file
            .write_all(&bytes)
            .map_err(|error| CopyError::Io(self.path.clone(), error))?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    fn has_grown(&self) -> bool {
        let due = SMALL.max(self.base * GROWTH).min(self.most / 2);
        self.size > due && self.size > self.base * 2
    }

    fn rewrite(&mut self, records: &mut dyn Iterator<Item = CopyRecord>) -> Result<(), CopyError> {
        let mut bytes = head(&self.run);
        for record in records {
            bytes.extend(frame(&record)?);
        }
        self.check_room(bytes.len() as u64)?;
        let next = self.path.with_extension("next");
        let fail = |error| CopyError::Io(next.clone(), error);
        let mut file = open_file(&next).map_err(fail)?;
        file.set_len(0).map_err(fail)?;
        file.write_all(&bytes).map_err(fail)?;
        std::fs::rename(&next, &self.path).map_err(fail)?;
        self.file = file;
        self.size = bytes.len() as u64;
        self.base = self.size;
        Ok(())
    }

    fn clear(&mut self) -> Result<(), CopyError> {
        std::fs::remove_file(&self.path).map_err(|error| CopyError::Io(self.path.clone(), error))
    }
}

/// Returns the name of the machine's run; it changes when the machine starts
/// anew.
///
/// # Errors
///
/// Returns an error if the system does not tell.
pub fn machine_run() -> std::io::Result<String> {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
    Ok(text.trim().to_owned())
}

fn open_file(path: &Path) -> std::io::Result<File> {
    OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)
}

fn take_lock(path: &Path) -> Result<File, CopyError> {
    let file = open_file(path).map_err(|error| CopyError::Io(path.to_owned(), error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(std::fs::TryLockError::WouldBlock) => Err(CopyError::Taken(path.to_owned())),
        Err(std::fs::TryLockError::Error(error)) => Err(CopyError::Io(path.to_owned(), error)),
    }
}

fn head(run: &str) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(run.as_bytes());
    bytes.push(b'\n');
    bytes
}

fn frame(record: &CopyRecord) -> Result<Vec<u8>, CopyError> {
    let mut bytes = Vec::new();
    frames::append(record, &mut bytes).map_err(CopyError::Record)?;
    Ok(bytes)
}

/// Reads the whole records of a file; returns them with the number of bytes
/// that they and the head take.
fn read(bytes: &[u8], run: &str) -> (Found, u64) {
    let head = head(run);
    if !bytes.starts_with(&head) {
        let found = Found {
            stale: !bytes.is_empty(),
            ..Found::default()
        };
        return (found, 0);
    }
    let mut found = Found::default();
    let mut rest = &bytes[head.len()..];
    while let Some((record, size)) = frames::first(rest) {
        found.records.push(record);
        rest = &rest[size..];
    }
    found.torn = rest.len() as u64;
    (found, (bytes.len() - rest.len()) as u64)
}
