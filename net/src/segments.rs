//! Records of turns on a keeper's disk: files to which records are appended, and
//! which are removed whole when nothing in them is needed any more.
//!
//! A record counts as stored once `sync` has returned after it. A record that is
//! torn at the end of a file was never acknowledged, and is cut off.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write as _;
use std::os::unix::fs::FileExt as _;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use limpetferry_lib::keeper_protocol::Snapshot;
use limpetferry_lib::ledger::StoredRecord;
use limpetferry_lib::text::Location;
use limpetferry_lib::text::TextError;
use limpetferry_lib::text::TextSource;
use thiserror::Error;

use crate::descriptors;
use crate::frames;
use crate::frames::FrameReader;
use crate::site_file;

/// Suffix of the files with records.
const SUFFIX: &str = ".turns";
/// File that exists if the keeper has all that it ever acknowledged.
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
    /// Number of records.
    pub records: u64,
    /// Whether the keeper has all that it ever acknowledged.
    pub whole: bool,
    /// Bytes that were cut off.
    pub torn: u64,
}

impl Found {
    /// Returns whether there is no record, nor a part of one.
    pub fn is_empty(&self) -> bool {
        self.records == 0 && self.torn == 0
    }
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
    has_unsynced: bool,
}

impl Segments {
    /// Opens the folder, passes each record there to `take`, oldest first, and begins a
    /// new file. One record at a time is in memory.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the folder cannot be used.
    pub fn open(
        folder: &Path,
        most: u64,
        mut take: impl FnMut(StoredRecord, Location),
    ) -> Result<(Self, Found), SegmentError> {
        let fail = |error| SegmentError::Io(folder.to_owned(), error);
        let mut found = Found {
            whole: folder.join(WHOLE).exists(),
            ..Found::default()
        };
        let mut older = Vec::new();
        for number in numbers(folder).map_err(fail)? {
            let path = path(folder, number);
            let fail = |error| SegmentError::Io(path.clone(), error);
            let mut records = SegmentReader::open(folder, number).map_err(fail)?;
            while let Some((record, location)) = records.next_record().map_err(fail)? {
                found.records += 1;
                take(record, location);
            }
            let bytes = records.offset();
            let size = fs::metadata(&path).map_err(fail)?.len();
            found.torn += size.saturating_sub(bytes);
            older.push(Segment { number, bytes });
        }
        let next = older.last().map_or(1, |segment| segment.number + 1);
        let (file, current) = create(folder, next)?;
        let segments = Self {
            folder: folder.to_owned(),
            most,
            file,
            current,
            older,
            has_unsynced: false,
        };
        Ok((segments, found))
    }

    /// Appends records and returns where they are; they count once [`Segments::sync`]
    /// has returned.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if they cannot be written.
    pub fn append(&mut self, records: &[StoredRecord]) -> Result<Vec<Location>, SegmentError> {
        let mut batch = Vec::new();
        let mut locations = Vec::with_capacity(records.len());
        if self.current.bytes >= SEGMENT_BYTES {
            self.rotate()?;
        }
        for stored in records {
            let start = batch.len();
            frames::append(stored, &mut batch).map_err(SegmentError::Record)?;
            locations.push(Location {
                segment: self.current.number,
                offset: (self.current.bytes + start as u64) as u32,
                size: (batch.len() - start) as u32,
                text: stored.record.text().len() as u32,
            });
        }
        let whole = self.bytes() + batch.len() as u64;
        if whole > self.most {
            return Err(SegmentError::Full(whole, self.most));
        }
        if !batch.is_empty() {
            self.has_unsynced = true;
        }
        self.file
            .write_all(&batch)
            .map_err(|error| self.fail(error))?;
        self.current.bytes += batch.len() as u64;
        Ok(locations)
    }

    /// Waits until all that was appended is on disk.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn sync(&mut self) -> Result<(), SegmentError> {
        if self.has_unsynced {
            self.file.sync_data().map_err(|error| self.fail(error))?;
            self.has_unsynced = false;
        }
        Ok(())
    }

    /// Notes on disk that the keeper has all that it ever acknowledged.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn set_whole(&mut self) -> Result<(), SegmentError> {
        let path = self.folder.join(WHOLE);
        let write = || -> io::Result<()> {
            let mut file = descriptors::open(|| File::create(&path))?;
            file.write_all(b"limpetferry turns 1\n")?;
            file.sync_all()?;
            descriptors::open(|| File::open(&self.folder))?.sync_all()
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

    /// Returns the number of the file to which records are appended.
    pub fn current(&self) -> u64 {
        self.current.number
    }

    /// Begins a new file.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails.
    pub fn rotate(&mut self) -> Result<(), SegmentError> {
        self.sync()?;
        let (file, segment) = create(&self.folder, self.current.number + 1)?;
        self.file = file;
        self.older
            .push(std::mem::replace(&mut self.current, segment));
        Ok(())
    }

    /// Removes an older file, after a sync of what was appended: records of it may have
    /// been written again.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if the disk fails; nothing is lost then.
    pub fn remove(&mut self, number: u64) -> Result<(), SegmentError> {
        self.sync()?;
        let Some(at) = self.older.iter().position(|older| older.number == number) else {
            return Ok(());
        };
        let path = path(&self.folder, number);
        fs::remove_file(&path).map_err(|error| SegmentError::Io(path, error))?;
        self.older.remove(at);
        Ok(())
    }

    /// Reads an older file from its beginning.
    ///
    /// # Errors
    ///
    /// Returns a [`SegmentError`] if it cannot be opened.
    pub fn read(&self, number: u64) -> Result<SegmentReader, SegmentError> {
        SegmentReader::open(&self.folder, number).map_err(|error| self.read_error(number, error))
    }

    /// Makes the error of a file that cannot be read.
    pub(crate) fn read_error(&self, number: u64, error: io::Error) -> SegmentError {
        SegmentError::Io(path(&self.folder, number), error)
    }

    fn fail(&self, error: io::Error) -> SegmentError {
        SegmentError::Io(self.folder.clone(), error)
    }
}

/// Reads the records of one file in their order.
pub struct SegmentReader {
    number: u64,
    frames: FrameReader<File>,
}

impl SegmentReader {
    fn open(folder: &Path, number: u64) -> io::Result<Self> {
        let path = path(folder, number);
        let frames = FrameReader::new(descriptors::open(|| File::open(&path))?);
        Ok(Self { number, frames })
    }

    /// Returns the next record; `None` at the end or before one that is torn.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the file cannot be read.
    pub fn next_record(&mut self) -> io::Result<Option<(StoredRecord, Location)>> {
        let offset = self.frames.offset();
        let next = self.frames.next_record::<StoredRecord>()?;
        Ok(next.map(|record| {
            let location = Location {
                segment: self.number,
                offset: offset as u32,
                size: (self.frames.offset() - offset) as u32,
                text: record.record.text().len() as u32,
            };
            (record, location)
        }))
    }

    /// Returns the bytes of the records that were read.
    pub fn offset(&self) -> u64 {
        self.frames.offset()
    }
}

/// Reads texts by their locations. Files stay open as long as it lives.
pub struct SegmentTexts<'a> {
    folder: &'a Path,
    files: HashMap<u64, File>,
}

impl<'a> SegmentTexts<'a> {
    /// Reads from the files in `folder`.
    pub fn new(folder: &'a Path) -> Self {
        Self {
            folder,
            files: HashMap::new(),
        }
    }

    fn file(&mut self, number: u64) -> io::Result<&File> {
        if !self.files.contains_key(&number) {
            let file = File::open(path(self.folder, number))?;
            self.files.insert(number, file);
        }
        Ok(&self.files[&number])
    }
}

impl TextSource for SegmentTexts<'_> {
    fn text(&mut self, location: Location) -> Result<Bytes, TextError> {
        let fail = |error: io::Error| match error.kind() {
            io::ErrorKind::NotFound => TextError::Moved(location),
            _ => TextError::Io(location, error.to_string()),
        };
        let mut frame = vec![0; location.size as usize];
        let file = self.file(location.segment).map_err(fail)?;
        file.read_exact_at(&mut frame, u64::from(location.offset))
            .map_err(fail)?;
        let record = frames::first::<StoredRecord>(&frame);
        let (stored, _) = record.ok_or(TextError::Damaged(location))?;
        Ok(stored.record.text().clone())
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
        let mut options = OpenOptions::new();
        options.create_new(true).append(true);
        let file = descriptors::open(|| options.open(&path))?;
        file.sync_all()?;
        // The name is on disk only once the folder is.
        descriptors::open(|| File::open(folder))?.sync_all()?;
        Ok(file)
    };
    let file = open().map_err(|error| SegmentError::Io(path.clone(), error))?;
    Ok((file, Segment { number, bytes: 0 }))
}
