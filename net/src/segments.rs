//! Records of turns on a keeper's disk: files to which records are appended,
//! and which are dropped whole when nothing in them is wanted any more.
//!
//! A record counts as kept once `sync` has returned after it. A record that is
//! torn at the end of a file was never acknowledged, and is cut off.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use limpetferry_lib::keeper_protocol::Snapshot;
use limpetferry_lib::ledger::StoredRecord;
use thiserror::Error;

use crate::frames;
use crate::site_file;

/// End of the names of files with records.
const SUFFIX: &str = ".turns";
/// File that says that the keeper has all that it ever acknowledged.
const WHOLE: &str = "whole";
/// Size at which a new file is begun, small against the disks of 420 MB and
/// more, and large against a second's 2 MB.
const SEGMENT_BYTES: u64 = 8 << 20;

/// Says why records cannot be stored.
#[derive(Debug, Error)]
pub enum SegmentError {
    /// The folder or a file in it cannot be used.
    #[error("{0}: {1}; give data.folder a folder that can be written and has room")]
    Io(PathBuf, io::Error),
    /// A record cannot be written as bytes.
    #[error("a turn cannot be written: {0}; lower the longest body in the routing document")]
    Record(String),
    /// The records are larger than the bound.
    #[error("the records need {0} bytes, data.max_mb allows {1}; raise it")]
    Full(u64, u64),
}

/// What was found in the folder.
#[derive(Debug, Default)]
pub struct Found {
    /// The records, oldest first.
    pub records: Vec<StoredRecord>,
    /// Whether the keeper has all that it ever acknowledged.
    pub whole: bool,
    /// Bytes that were cut off.
    pub torn: u64,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    bytes: u64,
}

/// The files of one keeper.
#[derive(Debug)]
pub struct Segments {
    folder: PathBuf,
    most: u64,
    file: File,
    current: Segment,
    older: Vec<Segment>,
}

impl Segments {
    /// Opens the folder, reads what is there and begins a new file.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the folder cannot be used.
    pub fn open(folder: &Path, most: u64) -> Result<(Self, Found), SegmentError> {
        let fail = |error| SegmentError::Io(folder.to_owned(), error);
        let mut found = Found {
            whole: folder.join(WHOLE).exists(),
            ..Found::default()
        };
        let mut older = Vec::new();
        for number in numbers(folder).map_err(fail)? {
            let path = path(folder, number);
            let bytes = fs::read(&path).map_err(|error| SegmentError::Io(path.clone(), error))?;
            let good = read_records(&bytes, &mut found.records);
            found.torn += (bytes.len() - good) as u64;
            older.push(Segment {
                number,
                bytes: good as u64,
            });
        }
        let next = older.last().map_or(1, |segment| segment.number + 1);
        let (file, current) = create(folder, next)?;
        let segments = Self {
            folder: folder.to_owned(),
            most,
            file,
            current,
            older,
        };
        Ok((segments, found))
    }

    /// Appends records; they count once [`Segments::sync`] has returned.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if they cannot be written.
    pub fn append(&mut self, records: &[StoredRecord]) -> Result<(), SegmentError> {
        let mut batch = Vec::new();
        for record in records {
            frames::append(record, &mut batch).map_err(SegmentError::Record)?;
        }
        let whole = self.bytes() + batch.len() as u64;
        if whole > self.most {
            return Err(SegmentError::Full(whole, self.most));
        }
        if self.current.bytes >= SEGMENT_BYTES {
            self.rotate()?;
        }
        self.file
            .write_all(&batch)
            .map_err(|error| self.fail(error))?;
        self.current.bytes += batch.len() as u64;
        Ok(())
    }

    /// Waits until all that was appended is on disk.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn sync(&mut self) -> Result<(), SegmentError> {
        self.file.sync_data().map_err(|error| self.fail(error))
    }

    /// Notes on disk that the keeper has all that it ever acknowledged.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn set_whole(&mut self) -> Result<(), SegmentError> {
        let path = self.folder.join(WHOLE);
        let write = || -> io::Result<()> {
            let mut file = File::create(&path)?;
            file.write_all(b"limpetferry turns 1\n")?;
            file.sync_all()?;
            File::open(&self.folder)?.sync_all()
        };
        write().map_err(|error| self.fail(error))
    }

    /// Puts what is known from the platform's store beside the records.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn write_site(&mut self, snapshot: &Snapshot) -> Result<(), SegmentError> {
        site_file::write(&self.folder, snapshot).map_err(|error| self.fail(error))
    }

    /// Returns the bytes of all files.
    pub fn bytes(&self) -> u64 {
        let older: u64 = self.older.iter().map(|segment| segment.bytes).sum();
        older + self.current.bytes
    }

    /// Begins a new file, and returns the number of older ones.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn rotate(&mut self) -> Result<usize, SegmentError> {
        self.sync()?;
        let (file, segment) = create(&self.folder, self.current.number + 1)?;
        self.file = file;
        self.older
            .push(std::mem::replace(&mut self.current, segment));
        Ok(self.older.len())
    }

    /// Writes `live` anew and removes all files that were begun before.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails; nothing is lost then.
    pub fn rewrite(&mut self, live: &[StoredRecord]) -> Result<(), SegmentError> {
        let old = self.rotate()?;
        let most = std::mem::replace(&mut self.most, u64::MAX);
        let written = self.append(live).and_then(|()| self.sync());
        self.most = most;
        written?;
        for segment in self.older.drain(..old) {
            let path = path(&self.folder, segment.number);
            fs::remove_file(&path).map_err(|error| SegmentError::Io(path, error))?;
        }
        Ok(())
    }

    fn fail(&self, error: io::Error) -> SegmentError {
        SegmentError::Io(self.folder.clone(), error)
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:012}{SUFFIX}"))
}

fn numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_suffix(SUFFIX));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn create(folder: &Path, number: u64) -> Result<(File, Segment), SegmentError> {
    let path = path(folder, number);
    let open = || -> io::Result<File> {
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(&path)?;
        file.sync_all()?;
        // The name is on disk only once the folder is.
        File::open(folder)?.sync_all()?;
        Ok(file)
    };
    let file = open().map_err(|error| SegmentError::Io(path.clone(), error))?;
    Ok((file, Segment { number, bytes: 0 }))
}

/// Reads records up to the first one that is not whole, and returns the bytes
/// that they take.
fn read_records(bytes: &[u8], records: &mut Vec<StoredRecord>) -> usize {
    let mut at = 0;
    while let Some((record, size)) = frames::first(&bytes[at..]) {
        records.push(record);
        at += size;
    }
    at
}
